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
type Action struct {
	Dispatcher string // the dispatcher, "" where a replica can't tell
	Kind       string // take, send
	ID         string // of the request
	Replica    string // the replica, for a send
	VersionTag string // version and fingerprint
	From, To   time.Duration
}

// Asked is one request as its client saw it.
type ClientRequest struct {
	Dispatcher string
	ID         string
	Customer   string
	AtMostOnce bool // must not run twice
	Sent, Done time.Duration
	Status     int   // 0: the connection ended without an answer ...
	Err        error // ... for this reason, as the client saw it
	VersionTag string
	Complete   bool
	ResendOf   string // id of a sending before it, whose connection had ended before the dispatcher read it
}

// Version is what the voters say of one in the end.
type Version struct {
	Number         uint64
	Fingerprint    string
	State          agree.State
	Keys           map[string]string
	AcknowledgedAt time.Duration // when an operator was told that it is in force; 0: never
}

// Record is all that was seen.
type Record struct {
	Within       time.Duration
	Alone        string
	Actions      []Action
	Requests     []ClientRequest
	ReadIDs      map[string]bool // ids that dispatchers took, by their logs
	Runs         map[string]int  // of writers, by request
	Drains       []*Drain
	ColdReplicas []ColdReplica
	Instructions []Instruction
	Versions     []Version
	Downtimes    map[string][][2]time.Duration // when a dispatcher was killed, stopped or sent away, and until when it was back
	Problems     []string                      // what the play itself found wrong
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
const maxAnswerTime = 20 * time.Second

// Judge holds a record against the promise. Versions that contradict each other may both be acted on only for Within after
// the later one was decided; that was no later than it was first seen in force.
func Judge(r Record) Judgement {
	j := Judgement{}
	report := func(rule, form string, args ...any) {
		if len(j.Findings) < 20 {
			j.Findings = append(j.Findings, Finding{rule, fmt.Sprintf(form, args...)})
		}
	}
	for _, text := range r.Problems {
		report("play", "%s", text)
	}
	versions := map[uint64]*Version{}
	for i := range r.Versions {
		versions[r.Versions[i].Number] = &r.Versions[i]
	}
	actions := slices.Clone(r.Actions)
	for _, a := range r.Requests {
		if a.VersionTag != "" && a.VersionTag != "none" {
			actions = append(actions, Action{Dispatcher: a.Dispatcher, Kind: "take", ID: a.ID, VersionTag: a.VersionTag, From: a.Sent, To: a.Done})
		}
	}
	inForceBy := map[uint64]time.Duration{} // by when a version was surely in force
	fingerprints := map[uint64]string{}
	for _, a := range actions {
		n, fingerprint, err := parseVersionTag(a.VersionTag)
		if err != nil {
			report("mark", "%s of %s by %s: %v", a.Kind, a.ID, a.Dispatcher, err)
			continue
		}
		if p, ok := fingerprints[n]; ok && p != fingerprint {
			report("one content", "version %d stands for %s and for %s", n, p, fingerprint)
		}
		fingerprints[n] = fingerprint
		if t, ok := inForceBy[n]; !ok || a.To < t {
			inForceBy[n] = a.To
		}
		v := versions[n]
		switch {
		case v == nil:
			report("known", "%s acted on version %d, which the voters do not know", a.Dispatcher, n)
		case v.State == agree.TurnedDown || v.State == agree.Pending:
			report("turned down", "%s acted on version %d, which is %s", a.Dispatcher, n, v.State)
		case !strings.HasPrefix(v.Fingerprint, fingerprint):
			report("one content", "%s acted on version %d as %s, and the voters hold %s", a.Dispatcher, n, fingerprint, v.Fingerprint)
		}
	}
	for _, v := range r.Versions {
		if v.AcknowledgedAt != 0 {
			if t, ok := inForceBy[v.Number]; !ok || v.AcknowledgedAt < t {
				inForceBy[v.Number] = v.AcknowledgedAt
			}
			if v.State != agree.InForce && v.State != agree.Superseded {
				report("lost", "version %d was acknowledged as in force and is %s", v.Number, v.State)
			}
		}
	}
	exempt := map[string]bool{}
	for _, a := range r.Requests {
		exempt[a.ID] = r.Alone == "safe" && !a.AtMostOnce // what a dispatcher goes on with that has lost contact
	}
	contradictions := map[[2]uint64]bool{}
	contradicts := func(a, b uint64) bool {
		key := [2]uint64{a, b}
		is, ok := contradictions[key]
		if !ok {
			va, vb := versions[a], versions[b]
			is = va != nil && vb != nil && len(agree.ConflictingKeys(va.Keys, vb.Keys)) > 0
			contradictions[key] = is
		}
		return is
	}
	// restored tells whether a still later version, in force by a time, has brought back what one version held and another did not: a
	// dispatcher whose newest version brought it down twice serves by the last good one, if that contradicts nothing in force.
	restored := func(n, later uint64, by time.Duration) bool {
		for w, t := range inForceBy {
			if w > later && t <= by && !contradicts(n, w) {
				return true
			}
		}
		return false
	}
	for _, a := range actions {
		n, _, err := parseVersionTag(a.VersionTag)
		if err != nil {
			continue
		}
		for later, t := range inForceBy {
			if later <= n || !contradicts(n, later) || a.From <= t || exempt[a.ID] || restored(n, later, a.To) {
				continue
			}
			j.LongestContradiction = max(j.LongestContradiction, a.From-t)
			if a.From > t+r.Within {
				report("within", "%s: %s of %s by version %d at %v, and version %d was in force at %v: %v later, allowed is %v", a.Dispatcher, a.Kind, a.ID, n,
					a.From, later, t, a.From-t, r.Within)
			}
		}
	}
	r.checkDrains(exempt, report)
	r.checkInstructions(report, &j)
	j.PeakColdLoad = r.checkColdLoad(report).Ratio
	j.Actions = len(actions)
	for _, a := range r.Requests {
		if a.ResendOf != "" && r.ReadIDs[a.ResendOf] && !r.wasDown(a) {
			report("lost", "%s at %s was taken, and its connection ended without an answer", a.ResendOf, a.Dispatcher)
		}
		switch {
		case a.Status == 200 && a.Complete:
			j.Served++
		case a.Status == 503:
			j.Refused++
		case a.Status != 0:
			j.Failed++
		case r.wasDown(a):
			j.Unanswered++
		default:
			report("lost", "%s at %s, sent at %v, ended at %v without an answer: %v", a.ID, a.Dispatcher, a.Sent, a.Done, a.Err)
		}
		if a.Status == 200 && !a.Complete && !r.wasDown(a) {
			report("lost", "%s at %s: a stream was cut", a.ID, a.Dispatcher)
		}
		if a.Done-a.Sent > maxAnswerTime && !r.wasDown(a) {
			report("lost", "%s at %s took %v", a.ID, a.Dispatcher, a.Done-a.Sent)
		}
		if a.AtMostOnce && r.Runs[a.ID] > 1 {
			report("twice", "%s ran %d times", a.ID, r.Runs[a.ID])
		}
	}
	return j
}

// down tells whether a request's dispatcher was not there at some time while it was open.
func (r *Record) wasDown(a ClientRequest) bool {
	for _, d := range r.Downtimes[a.Dispatcher] {
		if a.Done >= d[0] && (d[1] == 0 || a.Sent <= d[1]) {
			return true
		}
	}
	return false
}

func parseVersionTag(tag string) (uint64, string, error) {
	number, fingerprint, ok := strings.Cut(tag, "-")
	n, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || n == 0 {
		return 0, "", fmt.Errorf("%q is no version", tag)
	}
	return n, fingerprint, nil
}
