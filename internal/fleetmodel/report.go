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

// window is how much of a day a row of a report covers.
const rowLength = 5 * time.Second

// Row is a part of a day, by the arrival of its requests.
type Row struct {
	Offered, InTime, Late, Refused, Failed int
	Sends                                  int
	worth, earned                          float64
	latencies                              []float64
}

// Report is what a run showed.
type Report struct {
	Rows                         []Row
	Served                       float64 // worth served over worth asked for, as the operators count it: late answers by their share
	BudgetUse                    float64 // most that a cold replica was sent, of what the rule on cold replicas allows
	BudgetUseWithMargin          float64 // the same, beside what chance may add to it: over 1 the replica falls
	Cancelled                    int     // attempts that routers gave up by choice
	RefusedFull                  int     // attempts turned away as full
	WastedReads                  int     // reads that ran to their end for nobody
	Dials                        int     // new connections
	Probes                       int     // that routers sent
	FailedDials                  int     // and those that found the replica gone or every place taken
	BrokenStreams                int     // streams cut by the death of their writer
	uncachedTokens, promptTokens float64 // tokens read, and of all prompts read
	settings                     logic.Settings
	warmUpRow                    Row // the prelude
	results                      []result
}

// ended is a request with its last word.
type result struct {
	class        int
	session      uint64
	promptTokens float64
	answered     bool // in time or late
}

// end books a request's last word.
func (r *Report) addResult(q *request, answered bool) {
	if q.firstSent >= start {
		r.results = append(r.results, result{q.session.class, q.sessionKey, q.promptTokens, answered})
	}
}

// Answered is the share of a class's requests that were answered: of those with the longest prompts, by their part of the class, and of all.
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

// Shunned is the share of a class's sessions of which no turn was answered, and what chance gives with its share of answers.
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
	for _, s := range slices.Sorted(maps.Keys(turns)) { // sums of floats, in one order
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

// row is the part of the day in which a request came first.
func (r *Report) row(q *request) *Row {
	if q.firstSent < start {
		return &r.warmUpRow
	}
	return &r.Rows[min(int((q.firstSent-start)/rowLength), len(r.Rows)-1)]
}

func (r *Report) worth(q *request) float64 {
	return r.settings.Classes[q.session.class].Worth * (q.promptTokens/20 + q.outputTokens)
}

func (r *Report) offered(q *request) {
	row := r.row(q)
	row.Offered++
	row.worth += r.worth(q)
}

func (r *Report) addRead(uncached, all float64) {
	r.uncachedTokens, r.promptTokens = r.uncachedTokens+uncached, r.promptTokens+all
}

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

func (r *Report) finish() {
	var worth, earned float64
	for _, row := range r.Rows {
		worth, earned = worth+row.worth, earned+row.earned
	}
	r.Served = earned / max(worth, 1e-9)
}

// InTime is the share of requests answered in time that came between two times of the day.
func (r *Report) InTime(from, to time.Duration) float64 {
	var all, in int
	for i := int(from / rowLength); i < min(int(to/rowLength), len(r.Rows)); i++ {
		all, in = all+r.Rows[i].Offered, in+r.Rows[i].InTime
	}
	return float64(in) / float64(max(all, 1))
}

// Anew is the share of all prompt tokens that were read anew, as they were not found kept.
func (r *Report) UncachedShare() float64 { return r.uncachedTokens / max(r.promptTokens, 1) }

// String is the report as a table, for people.
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
