package proving

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"standpulley/internal/clusterstate"
)

// Action is one thing that a dispatcher did under a settings version, as a replica or a client
// observed it. It happened between From and To by the machine's monotonic clock.
type Action struct {
	Dispatcher string // empty where a replica observed it: the request doesn't name the dispatcher
	Kind       string // "take" (a request was accepted) or "send" (an attempt was sent)
	ID         string // request ID
	Replica    string // the replica that an attempt was sent to; empty for "take"
	VersionTag string // settings version and its fingerprint, as in the X-Settings header
	From, To   time.Duration
}

// ClientRequest is one request as its client saw it.
type ClientRequest struct {
	Dispatcher string
	ID         string
	Customer   string
	AtMostOnce bool // the request must not be executed more than once
	Sent, Done time.Duration
	// Status is 0 where the connection ended without an answer; Err then holds the client's error.
	Status     int
	Err        error
	VersionTag string
	Complete   bool
	// ResendOf is the ID of the first transmission, if this is the second one: the connection of
	// the first had ended before the dispatcher read it.
	ResendOf string
}

// Version is what the voters report about one settings version at the end of a trial.
type Version struct {
	Number         uint64
	Fingerprint    string
	State          clusterstate.State
	Keys           map[string]string
	AcknowledgedAt time.Duration // when an operator was first told that it is in force; 0 if never
}

// Record is everything that was observed in a trial.
type Record struct {
	Within   time.Duration
	Alone    string
	Actions  []Action
	Requests []ClientRequest
	// ReadIDs says, for each first transmission that was repeated, whether a dispatcher's log shows
	// that the dispatcher accepted it.
	ReadIDs      map[string]bool
	Runs         map[string]int // executions at writers, by request ID
	Drains       []*Drain
	ColdReplicas []ColdReplica
	Instructions []Instruction
	Versions     []Version
	// Downtimes are the periods from when a dispatcher was killed, stopped or sent SIGTERM until
	// its restart no longer affected requests. An end of 0 means that it was not restarted.
	Downtimes map[string][][2]time.Duration
	Problems  []string // failures that the script runner itself found
}

// Finding is one violation of a rule.
type Finding struct {
	Rule string
	Text string
}

func (f Finding) String() string { return f.Rule + ": " + f.Text }

// Judgement holds the findings of the judge and summary figures of a trial.
type Judgement struct {
	Findings []Finding
	// LongestContradiction is the longest time for which two contradicting versions were acted on,
	// as far as the record shows.
	LongestContradiction time.Duration
	Actions              int
	Served               int
	Refused              int
	Failed               int
	// Unanswered are requests without an answer whose dispatcher was down meanwhile.
	Unanswered   int
	Instructions InstructionCounts // instructions that clients repeat under the same key
	// PeakColdLoad is the highest load of a cold replica in a span, as a ratio of what the
	// slow-start rule allows.
	PeakColdLoad float64
}

// maxAnswerTime bounds how long a client waits for an answer from a dispatcher that is up, beyond
// any deadline. It is not a safety rule, so it is generous.
const maxAnswerTime = 20 * time.Second

// Judge checks a record against the guarantees of the cluster. Two versions that contradict each
// other may both be acted on only for Within after the later one was decided. The time at which it
// was first seen in force is used instead, which can't be earlier.
func Judge(r Record) Judgement {
	j := Judgement{}
	report := func(rule, format string, args ...any) {
		if len(j.Findings) < 20 {
			j.Findings = append(j.Findings, Finding{rule, fmt.Sprintf(format, args...)})
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
	inForceBy := map[uint64]time.Duration{} // a time by which each version was certainly in force
	fingerprints := map[uint64]string{}
	for _, a := range actions {
		n, fingerprint, err := parseVersionTag(a.VersionTag)
		if err != nil {
			report("mark", "%s of %s by %s: %v", a.Kind, a.ID, a.Dispatcher, err)
			continue
		}
		if p, ok := fingerprints[n]; ok && p != fingerprint {
			report("one content", "version %d has two fingerprints, %s and %s", n, p, fingerprint)
		}
		fingerprints[n] = fingerprint
		if t, ok := inForceBy[n]; !ok || a.To < t {
			inForceBy[n] = a.To
		}
		v := versions[n]
		switch {
		case v == nil:
			report("known", "%s acted on version %d, which the voters don't know", a.Dispatcher, n)
		case v.State == clusterstate.TurnedDown || v.State == clusterstate.Pending:
			report("turned down", "%s acted on version %d, which is %s", a.Dispatcher, n, v.State)
		case !strings.HasPrefix(v.Fingerprint, fingerprint):
			report("one content", "%s acted on version %d as %s, but the voters have it as %s", a.Dispatcher, n, fingerprint, v.Fingerprint)
		}
	}
	for _, v := range r.Versions {
		if v.AcknowledgedAt != 0 {
			if t, ok := inForceBy[v.Number]; !ok || v.AcknowledgedAt < t {
				inForceBy[v.Number] = v.AcknowledgedAt
			}
			if v.State != clusterstate.InForce && v.State != clusterstate.Superseded {
				report("lost", "version %d was acknowledged as in force and is %s", v.Number, v.State)
			}
		}
	}
	exempt := map[string]bool{}
	for _, a := range r.Requests {
		// requests that a dispatcher in the "safe" mode may continue after it lost contact
		exempt[a.ID] = r.Alone == "safe" && !a.AtMostOnce
	}
	contradictions := map[[2]uint64]bool{}
	contradicts := func(a, b uint64) bool {
		key := [2]uint64{a, b}
		result, ok := contradictions[key]
		if !ok {
			va, vb := versions[a], versions[b]
			result = va != nil && vb != nil && len(clusterstate.ConflictingKeys(va.Keys, vb.Keys)) > 0
			contradictions[key] = result
		}
		return result
	}
	// restored reports whether a version after later, in force by the given time, no longer
	// contradicts version n. A dispatcher that crashed twice after it activated its newest version
	// serves under the last good one, if that contradicts nothing in force.
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
				report("within", "%s: %s of %s under version %d at %v, but version %d was in force at %v: %v late, the limit is %v", a.Dispatcher, a.Kind, a.ID, n,
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
			report("lost", "%s at %s was accepted, but its connection ended without an answer", a.ResendOf, a.Dispatcher)
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
			report("lost", "%s at %s, sent at %v, got no answer until the connection ended at %v: %v", a.ID, a.Dispatcher, a.Sent, a.Done, a.Err)
		}
		if a.Status == 200 && !a.Complete && !r.wasDown(a) {
			report("lost", "%s at %s: the answer was cut off", a.ID, a.Dispatcher)
		}
		if a.Done-a.Sent > maxAnswerTime && !r.wasDown(a) {
			report("lost", "%s at %s: the answer took %v", a.ID, a.Dispatcher, a.Done-a.Sent)
		}
		if a.AtMostOnce && r.Runs[a.ID] > 1 {
			report("twice", "%s was executed %d times", a.ID, r.Runs[a.ID])
		}
	}
	return j
}

// wasDown reports whether the dispatcher of a request was down at some time while the request was
// open.
func (r *Record) wasDown(a ClientRequest) bool {
	for _, d := range r.Downtimes[a.Dispatcher] {
		if a.Done >= d[0] && (d[1] == 0 || a.Sent <= d[1]) {
			return true
		}
	}
	return false
}

// parseVersionTag splits a version tag into version number and fingerprint.
func parseVersionTag(tag string) (uint64, string, error) {
	number, fingerprint, ok := strings.Cut(tag, "-")
	n, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || n == 0 {
		return 0, "", fmt.Errorf("%q is not a version tag", tag)
	}
	return n, fingerprint, nil
}
