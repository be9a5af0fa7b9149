package proving

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"standpulley/internal/agree"
)

// Act is what was seen from outside of one thing that a dispatcher did by the settings that it named. It was done between
// From and To, by the machine's monotonic clock.
type Act struct {
	Who      string // the dispatcher, "" where a replica can't tell
	What     string // take, send
	ID       string // of the request
	Where    string // the replica, for a send
	Mark     string // version and fingerprint
	From, To time.Duration
}

// Asked is one request as its client saw it.
type Asked struct {
	Who        string
	ID         string
	Customer   string
	Once       bool // must not run twice
	Sent, Done time.Duration
	Status     int   // 0: the connection ended without an answer ...
	Why        error // ... for this reason, as the client saw it
	Mark       string
	Whole      bool
	Unread     string // id of a sending before it, whose connection had ended before the dispatcher read it
}

// Version is what the voters say of one in the end.
type Version struct {
	Number uint64
	Print  string
	State  agree.State
	Keys   map[string]string
	Acked  time.Duration // when an operator was told that it is in force; 0: never
}

// Record is all that was seen.
type Record struct {
	Within   time.Duration
	Alone    string
	Acts     []Act
	Asked    []Asked
	Read     map[string]bool // ids that dispatchers took, by their logs
	Runs     map[string]int  // of writers, by request
	Drains   []*Drained
	Cold     []Cold
	Orders   []Order
	Versions []Version
	Downs    map[string][][2]time.Duration // when a dispatcher was killed, stopped or sent away, and until when it was back
	Wrong    []string                      // what the play itself found wrong
}

// Finding is one breach.
type Finding struct {
	Rule string
	Text string
}

func (f Finding) String() string { return f.Rule + ": " + f.Text }

// Judgement is what the judge finds, and how near it came to the bound.
type Judgement struct {
	Findings             []Finding
	LongestContradiction time.Duration // that two contradicting versions were acted on, as far as it shows
	Actions              int
	Served               int
	Refused              int
	Failed               int
	Unanswered           int               // requests whose dispatcher went down
	Instructions         InstructionCounts // instructions that clients repeat
	PeakColdLoad         float64           // the most that a cold replica was sent in a span, of what the rule allows
}

// answerWithin bounds how long a client waits for an answer of a dispatcher that is up, beyond any deadline. It is no
// safety rule, so it is generous.
const answerWithin = 20 * time.Second

// Judge holds a record against the promise. Versions that contradict each other may both be acted on only for Within after
// the later one was decided; that was no later than it was first seen in force.
func Judge(r Record) Judgement {
	j := Judgement{}
	find := func(rule, form string, args ...any) {
		if len(j.Findings) < 20 {
			j.Findings = append(j.Findings, Finding{rule, fmt.Sprintf(form, args...)})
		}
	}
	for _, text := range r.Wrong {
		find("play", "%s", text)
	}
	versions := map[uint64]*Version{}
	for i := range r.Versions {
		versions[r.Versions[i].Number] = &r.Versions[i]
	}
	acts := slices.Clone(r.Acts)
	for _, a := range r.Asked {
		if a.Mark != "" && a.Mark != "none" {
			acts = append(acts, Act{Who: a.Who, What: "take", ID: a.ID, Mark: a.Mark, From: a.Sent, To: a.Done})
		}
	}
	seen := map[uint64]time.Duration{} // by when a version was surely in force
	prints := map[uint64]string{}
	for _, a := range acts {
		n, print, err := split(a.Mark)
		if err != nil {
			find("mark", "%s of %s by %s: %v", a.What, a.ID, a.Who, err)
			continue
		}
		if p, ok := prints[n]; ok && p != print {
			find("one content", "version %d stands for %s and for %s", n, p, print)
		}
		prints[n] = print
		if t, ok := seen[n]; !ok || a.To < t {
			seen[n] = a.To
		}
		v := versions[n]
		switch {
		case v == nil:
			find("known", "%s acted on version %d, which the voters do not know", a.Who, n)
		case v.State == agree.TurnedDown || v.State == agree.Pending:
			find("turned down", "%s acted on version %d, which is %s", a.Who, n, v.State)
		case !strings.HasPrefix(v.Print, print):
			find("one content", "%s acted on version %d as %s, and the voters hold %s", a.Who, n, print, v.Print)
		}
	}
	for _, v := range r.Versions {
		if v.Acked != 0 {
			if t, ok := seen[v.Number]; !ok || v.Acked < t {
				seen[v.Number] = v.Acked
			}
			if v.State != agree.InForce && v.State != agree.Superseded {
				find("lost", "version %d was acknowledged as in force and is %s", v.Number, v.State)
			}
		}
	}
	harmless := map[string]bool{}
	for _, a := range r.Asked {
		harmless[a.ID] = r.Alone == "safe" && !a.Once // what a dispatcher goes on with that has lost contact
	}
	contrary := map[[2]uint64]bool{}
	contradicts := func(a, b uint64) bool {
		key := [2]uint64{a, b}
		is, ok := contrary[key]
		if !ok {
			va, vb := versions[a], versions[b]
			is = va != nil && vb != nil && len(agree.ConflictingKeys(va.Keys, vb.Keys)) > 0
			contrary[key] = is
		}
		return is
	}
	// restored tells whether a still later version, in force by a time, has brought back what one version held and another did not: a
	// dispatcher whose newest version brought it down twice serves by the last good one, if that contradicts nothing in force.
	restored := func(n, later uint64, by time.Duration) bool {
		for w, t := range seen {
			if w > later && t <= by && !contradicts(n, w) {
				return true
			}
		}
		return false
	}
	for _, a := range acts {
		n, _, err := split(a.Mark)
		if err != nil {
			continue
		}
		for later, t := range seen {
			if later <= n || !contradicts(n, later) || a.From <= t || harmless[a.ID] || restored(n, later, a.To) {
				continue
			}
			j.LongestContradiction = max(j.LongestContradiction, a.From-t)
			if a.From > t+r.Within {
				find("within", "%s: %s of %s by version %d at %v, and version %d was in force at %v: %v later, allowed is %v", a.Who, a.What, a.ID, n,
					a.From, later, t, a.From-t, r.Within)
			}
		}
	}
	r.judgeDrains(harmless, find)
	r.judgeOrders(find, &j)
	j.PeakColdLoad = r.judgeCold(find).Part
	j.Actions = len(acts)
	for _, a := range r.Asked {
		if a.Unread != "" && r.Read[a.Unread] && !r.down(a) {
			find("lost", "%s at %s was taken, and its connection ended without an answer", a.Unread, a.Who)
		}
		switch {
		case a.Status == 200 && a.Whole:
			j.Served++
		case a.Status == 503:
			j.Refused++
		case a.Status != 0:
			j.Failed++
		case r.down(a):
			j.Unanswered++
		default:
			find("lost", "%s at %s, sent at %v, ended at %v without an answer: %v", a.ID, a.Who, a.Sent, a.Done, a.Why)
		}
		if a.Status == 200 && !a.Whole && !r.down(a) {
			find("lost", "%s at %s: a stream was cut", a.ID, a.Who)
		}
		if a.Done-a.Sent > answerWithin && !r.down(a) {
			find("lost", "%s at %s took %v", a.ID, a.Who, a.Done-a.Sent)
		}
		if a.Once && r.Runs[a.ID] > 1 {
			find("twice", "%s ran %d times", a.ID, r.Runs[a.ID])
		}
	}
	return j
}

// down tells whether a request's dispatcher was not there at some time while it was open.
func (r *Record) down(a Asked) bool {
	for _, d := range r.Downs[a.Who] {
		if a.Done >= d[0] && (d[1] == 0 || a.Sent <= d[1]) {
			return true
		}
	}
	return false
}

func split(mark string) (uint64, string, error) {
	number, print, ok := strings.Cut(mark, "-")
	n, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || n == 0 {
		return 0, "", fmt.Errorf("%q is no version", mark)
	}
	return n, print, nil
}
