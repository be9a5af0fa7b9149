// Package recovery decides how a dispatcher gets from a start to normal service, be it alone in a
// warm fleet or together with all others after a loss of power. It does no I/O, reads no clock and
// runs no goroutines.
//
//	recovery.go  the stages, what each waits for, and what happens when that takes too long
//	warmrates.go the capacity of the fleet as learned before the start
//	admission.go which requests are admitted, by class and tenant
//	ramp.go      how much is admitted while replicas warm up, and when refused clients should retry
package recovery

import (
	"fmt"
	"time"
)

// Stage is a step of the recovery.
type Stage uint8

// The stages, in their order. A dispatcher returns to an earlier stage only by a restart.
const (
	CheckDisk  Stage = iota // reads and checks the dispatcher's own files
	FindOthers              // finds out which voters are up, and whether others serve already
	Agree                   // waits for a version of the settings and a lease
	Learn                   // learns the list of replicas, the recorded intents and warm rates of others
	Admit                   // admits requests at the rate of the ramp
	Serving
)

func (s Stage) String() string {
	return [...]string{"check disk", "find others", "agree", "learn", "admit", "serving"}[s]
}

// Facts is what a dispatcher knows at a given moment.
type Facts struct {
	DiskChecked    bool // the dispatcher's own files are checked, or there are none
	Voters         int  // in the cluster ...
	VotersAnswered int  // ... and how many, including this dispatcher, have answered since the start
	WarmMember     bool // a member that answered has served for longer than replicas take to warm up
	HasLease       bool
	ListApplied    bool // a list of replicas is agreed on and applied here
	ListFresh      bool // that list reflects what the registry reported after the recovery began
	// IntentsKnown is set once a majority of the ledger holders has answered, so that it is known
	// which of the requests that must not run twice may have run.
	IntentsKnown bool
	Throttled    bool // demand exceeds the rate of the ramp
	ReplicasWarm bool // all listed replicas have warmed up, or prove it by the load that they serve
}

// Timeouts bound how long a stage waits before the dispatcher goes on in a safer way.
type Timeouts struct {
	Find  time.Duration // for other voters to answer
	Learn time.Duration // for the registry to be read
	// Admit is for replicas to prove that they are warm. It covers their warm-up time and the
	// difference between clocks.
	Admit time.Duration
	Surge time.Duration // after Admit, for demand to fall to the rate of the ramp
}

// Permissions is what a dispatcher may do.
type Permissions struct {
	AcceptRequests   bool   // at the rate of the ramp if LimitRate is set
	LimitRate        bool   // replicas are cold: admit only the rate of the ramp
	AcceptAtMostOnce bool   // accept requests that must not run twice
	Reason           string // what the dispatcher waits for
}

// Machine is the state machine of one start.
type Machine struct {
	timeouts        Timeouts
	stage           Stage
	since           time.Duration
	joinedWarmFleet bool // other dispatchers serve already, so some stages are shortened
	timedOut        bool // the previous stage was left by its timeout
}

// NewMachine returns a machine that starts at now, a time of the dispatcher's monotonic clock.
func NewMachine(now time.Duration, t Timeouts) *Machine { return &Machine{timeouts: t, since: now} }

// Current returns the present stage and the time at which it began.
func (m *Machine) Current() (Stage, time.Duration) { return m.stage, m.since }

// JoinedWarmFleet reports whether other dispatchers were serving already when this one started.
func (m *Machine) JoinedWarmFleet() bool { return m.joinedWarmFleet }

// Step advances through as many stages as the facts allow. It returns what the dispatcher may do
// and what it waits for.
func (m *Machine) Step(now time.Duration, f Facts) Permissions {
	for m.stage < Serving {
		reason, expired := m.waitReason(now, f)
		if reason != "" && !expired {
			return m.permissions(f, reason)
		}
		m.timedOut = reason != ""
		m.stage, m.since = m.stage+1, now
		if m.stage == Admit && m.joinedWarmFleet {
			m.stage = Serving // replicas of a warm fleet need no ramp
		}
	}
	return m.permissions(f, "")
}

// waitReason returns what the present stage waits for, empty if the stage is complete, and whether
// its timeout has expired. There is no timeout for checked files, a majority of the voters and a
// lease, as nothing is safe without them, and none for a list of replicas that is agreed on. What a
// dispatcher may do without a lease is up to the setting agree.alone.
func (m *Machine) waitReason(now time.Duration, f Facts) (reason string, expired bool) {
	elapsed := now - m.since
	switch m.stage {
	case CheckDisk:
		if !f.DiskChecked {
			return "its own files are being checked", false
		}
	case FindOthers:
		m.joinedWarmFleet = f.WarmMember
		if !f.WarmMember && f.VotersAnswered < f.Voters {
			return fmt.Sprintf("%d of %d voters have answered", f.VotersAnswered, f.Voters), f.VotersAnswered > f.Voters/2 && elapsed >= m.timeouts.Find
		}
	case Agree:
		if !f.HasLease {
			return "it has no lease: a majority of the voters must agree again", false
		}
	case Learn:
		switch {
		case !f.ListApplied:
			return "no list of replicas is agreed on yet", false
		case !f.ListFresh && !m.joinedWarmFleet:
			// After the timeout all replicas count as started together with this dispatcher.
			return "the register has not been read since the start", elapsed >= m.timeouts.Learn
		}
	case Admit:
		switch {
		case !f.ReplicasWarm:
			return "replicas are warming up", elapsed >= m.timeouts.Admit
		case f.Throttled:
			return "more come than replicas have proven to bear", elapsed >= m.timeouts.Admit+m.timeouts.Surge
		}
	}
	return "", false
}

// permissions returns what the dispatcher may do in the present stage while it waits for reason.
func (m *Machine) permissions(f Facts, reason string) Permissions {
	w := Permissions{AcceptRequests: m.stage >= Admit && f.HasLease, LimitRate: m.stage == Admit, Reason: reason}
	// Requests that must not run twice are accepted only once it is known which of them may have
	// run.
	w.AcceptAtMostOnce = w.AcceptRequests && f.IntentsKnown
	if m.stage == Serving && m.timedOut && !f.ReplicasWarm {
		w.LimitRate = true // replicas warm up later than configured; they keep the share of cold ones
	}
	if w.AcceptRequests && !w.AcceptAtMostOnce && w.Reason == "" {
		w.Reason = "instructions wait: what may have run is not known to a majority of the voters yet"
	}
	return w
}
