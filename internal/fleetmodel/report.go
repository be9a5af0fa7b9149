package fleetmodel

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"standpulley/logic"
)

// rowLength is the part of a day that a row of a report covers.
const rowLength = 5 * time.Second

// Row has the counts of the requests that clients first sent in one part of a day.
type Row struct {
	Offered, InTime, Late, Refused, Failed int
	Sends                                  int
	worth, earned                          float64
	latencies                              []float64
}

// Report is the result of a run.
type Report struct {
	Rows                         []Row
	Served                       float64 // as operators count it: worth of answers, late ones times LateWorth, over worth of all requests
	BudgetUse                    float64 // highest load of a cold replica, as a share of its budget in slow start
	BudgetUseWithMargin          float64 // the same, with a margin for chance; over 1 the replica is overloaded
	Cancelled                    int     // attempts that routers cancelled before their timeout
	RefusedFull                  int     // attempts refused as full
	WastedReads                  int     // reads that finished after their router had given them up
	Dials                        int     // new connections, including failed ones
	Probes                       int     // probes that routers sent
	FailedDials                  int     // new connections that failed, as the replica was down or at its limit
	BrokenStreams                int     // streams broken because their writer was killed
	uncachedTokens, promptTokens float64 // of all reads: uncached tokens, and tokens of the whole prompts
	settings                     logic.Settings
	warmUpRow                    Row // requests of the warm-up
	results                      []result
}

// result is a request with its final result.
type result struct {
	class        int
	session      uint64
	promptTokens float64
	answered     bool // in time or late
}

// addResult records the final result of a request, unless it was first sent during the warm-up.
func (r *Report) addResult(q *request, answered bool) {
	if q.firstSent >= start {
		r.results = append(r.results, result{q.session.class, q.sessionKey, q.promptTokens, answered})
	}
}

// Answered returns the share of a class's requests that were answered: among the given fraction with
// the longest prompts, and among all.
func (r *Report) Answered(class int, fraction float64) (longest, all float64) {
	var results []result
	for _, e := range r.results {
		if e.class == class {
			results = append(results, e)
		}
	}
	slices.SortStableFunc(results, func(a, b result) int { return cmp.Compare(b.promptTokens, a.promptTokens) })
	share := func(results []result) float64 {
		n := 0
		for _, e := range results {
			if e.answered {
				n++
			}
		}
		return float64(n) / float64(max(len(results), 1))
	}
	return share(results[:int(fraction*float64(len(results)))]), share(results)
}

// UnansweredSessions returns the share of a class's sessions without any answered turn, and the share
// expected if unanswered requests were spread at random over the class.
func (r *Report) UnansweredSessions(class int) (unanswered, chance float64) {
	turns, unansweredTurns, notAnswered, all := map[uint64]int{}, map[uint64]int{}, 0.0, 0.0
	for _, e := range r.results {
		if e.class != class {
			continue
		}
		turns[e.session]++
		all++
		if !e.answered {
			unansweredTurns[e.session]++
			notAnswered++
		}
	}
	sessions, none, expected := 0.0, 0.0, 0.0
	// Sorted, so that the sum of floats is deterministic.
	for _, s := range slices.Sorted(maps.Keys(turns)) {
		sessions++
		expected += math.Pow(notAnswered/all, float64(turns[s]))
		if unansweredTurns[s] == turns[s] {
			none++
		}
	}
	return none / max(sessions, 1), expected / max(sessions, 1)
}

func newReport(m *Model) Report {
	return Report{settings: m.settings, Rows: make([]Row, int((m.day.Length+rowLength-1)/rowLength))}
}

// row returns the row for the time at which a request was first sent.
func (r *Report) row(q *request) *Row {
	if q.firstSent < start {
		return &r.warmUpRow
	}
	return &r.Rows[min(int((q.firstSent-start)/rowLength), len(r.Rows)-1)]
}

// worth returns the worth of a request: its class's worth times its tokens, with 20 prompt tokens
// counting as one output token.
func (r *Report) worth(q *request) float64 {
	return r.settings.Classes[q.session.class].Worth * (q.promptTokens/20 + q.outputTokens)
}

// offered records a new request.
func (r *Report) offered(q *request) {
	row := r.row(q)
	row.Offered++
	row.worth += r.worth(q)
}

// addRead records a read.
func (r *Report) addRead(uncached, all float64) {
	r.uncachedTokens, r.promptTokens = r.uncachedTokens+uncached, r.promptTokens+all
}

// served records an answer whose first token took the given time from the client's first try.
func (r *Report) served(q *request, took time.Duration) {
	class, row := r.settings.Classes[q.session.class], r.row(q)
	row.latencies = append(row.latencies, took.Seconds())
	r.addResult(q, true)
	if took <= class.Aim+seconds(class.AimPer1K.Seconds()*q.promptTokens/1000) {
		row.InTime++
		row.earned += r.worth(q)
	} else {
		row.Late++
		row.earned += r.worth(q) * class.LateWorth
	}
}

// finish computes Served from the rows.
func (r *Report) finish() {
	var worth, earned float64
	for _, row := range r.Rows {
		worth, earned = worth+row.worth, earned+row.earned
	}
	r.Served = earned / max(worth, 1e-9)
}

// InTime returns the share of requests answered in time among those first sent between two times of
// the day, which must be multiples of 5 s.
func (r *Report) InTime(from, to time.Duration) float64 {
	var all, in int
	for i := int(from / rowLength); i < min(int(to/rowLength), len(r.Rows)); i++ {
		all, in = all+r.Rows[i].Offered, in+r.Rows[i].InTime
	}
	return float64(in) / float64(max(all, 1))
}

// UncachedShare returns the share of all prompt tokens that were read because they were not cached.
func (r *Report) UncachedShare() float64 { return r.uncachedTokens / max(r.promptTokens, 1) }

// String formats the report as a table for people.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "served %.3f  read anew %.2f  cancelled %d  wasted reads %d  broken %d  dials %d, failed %d  pressure %.2f\n",
		r.Served, r.UncachedShare(), r.Cancelled, r.WastedReads, r.BrokenStreams, r.Dials, r.FailedDials, r.BudgetUse)
	fmt.Fprintf(&b, "%5s %8s %8s %6s %8s %7s %7s %7s\n", "from", "offered", "in time%", "late%", "refused%", "failed%", "p50 s", "sends")
	for i, row := range r.Rows {
		pct := func(n int) float64 { return 100 * float64(n) / float64(max(row.Offered, 1)) }
		p50 := 0.0
		if slices.Sort(row.latencies); len(row.latencies) > 0 {
			p50 = row.latencies[len(row.latencies)/2]
		}
		fmt.Fprintf(&b, "%5d %8d %8.1f %6.1f %8.1f %7.1f %7.3f %7.2f\n", i*int(rowLength/time.Second), row.Offered, pct(row.InTime),
			pct(row.Late), pct(row.Refused), pct(row.Failed), p50, float64(row.Sends)/float64(max(row.Offered, 1)))
	}
	return b.String()
}
