// Package recovery decides how a dispatcher comes back: from a cold start to serving, alone in a warm fleet or with all others after a
// loss of power. It does no I/O, reads no clock and keeps no goroutines.
//
//	recovery.go the stages, what each waits for, and what it does when that takes too long
//	known.go    what the fleet is known to bear, from before
//	gate.go     who is let in, by class and customer
//	ramp.go     how much is let in while replicas warm up, and when the others may come back
package recovery

import (
	"fmt"
	"time"
)

// Stage is where a dispatcher stands.
type Stage uint8

// The stages, in their order. None is gone back to but by another start.
const (
	CheckDisk  Stage = iota // its own files are read and checked
	FindOthers              // who is there, and is this the only one that starts
	Agree                   // a version of the settings, and a lease
	Learn                   // the list of replicas, what must not run twice, what others know of replicas
	Admit                   // requests are let in by the ramp
	Serving
)

func (s Stage) String() string {
	return [...]string{"check disk", "find others", "agree", "learn", "admit", "serving"}[s]
}

// Facts are what is known at a moment.
type Facts struct {
	DiskChecked    bool // the own files are checked, or there are none
	Voters         int  // in all ...
	VotersAnswered int  // ... and how many of them, this one among them, have answered since the start
	WarmMember     bool // one that answered serves, and has for longer than a replica takes to warm up
	HasLease       bool
	ListApplied    bool // a list of replicas is agreed on and acted on here
	ListFresh      bool // that list holds what the register said since the return began
	IntentsKnown   bool // what must not run twice is known, by a majority of its holders
	Throttled      bool // more come than the ramp lets in
	ReplicasWarm   bool // all replicas that are listed have warmed up, or prove by what they serve that they have
}

// Timeouts are how long a stage may take before the dispatcher goes on in a safer way.
type Timeouts struct {
	Find  time.Duration // for others to answer
	Learn time.Duration // for the register to be read
	Admit time.Duration // for replicas to prove that they are warm: their own ramp and what their clocks may differ
	Surge time.Duration // beyond that, for what comes to be no more than the ramp lets in
}

// Permissions is what a dispatcher may do.
type Permissions struct {
	AcceptRequests   bool // requests, by the ramp if Ramps
	LimitRate        bool // cold replicas: as much as the ramp lets in
	AcceptAtMostOnce bool // such as must not run twice
	Reason           string
}

// Machine follows the stages of one start.
type Machine struct {
	bounds Timeouts
	stage  Stage
	since  time.Duration
	lone   bool // a start beside others that serve: the short way
	late   bool // the stage before was left because its time was over
}

// NewMachine begins at a time of the dispatcher's monotonic clock.
func NewMachine(now time.Duration, b Timeouts) *Machine { return &Machine{bounds: b, since: now} }

// Current gives the stage and since when it lasts.
func (m *Machine) Current() (Stage, time.Duration) { return m.stage, m.since }

// JoinedWarmFleet tells whether this start is one beside others that serve.
func (m *Machine) JoinedWarmFleet() bool { return m.lone }

// Step goes as far as the facts let it, and says what the dispatcher may do, and what it waits for.
func (m *Machine) Step(now time.Duration, f Facts) Permissions {
	for m.stage < Serving {
		wait, over := m.waits(now, f)
		if wait != "" && !over {
			return m.manner(f, wait)
		}
		m.late = wait != ""
		m.stage, m.since = m.stage+1, now
		if m.stage == Admit && m.lone {
			m.stage = Serving // in a warm fleet nothing is to be ramped
		}
	}
	return m.manner(f, "")
}

// waits tells what the stage waits for, empty where it is done, and whether its time is over. The first three have no time: without
// files that are read, others and a lease nothing safe can be done, and what is done without a lease `agree.alone` says.
func (m *Machine) waits(now time.Duration, f Facts) (wait string, over bool) {
	spent := now - m.since
	switch m.stage {
	case CheckDisk:
		if !f.DiskChecked {
			return "its own files are being checked", false
		}
	case FindOthers:
		m.lone = f.WarmMember
		if !f.WarmMember && f.VotersAnswered < f.Voters {
			return fmt.Sprintf("%d of %d voters have answered", f.VotersAnswered, f.Voters), f.VotersAnswered > f.Voters/2 && spent >= m.bounds.Find
		}
	case Agree:
		if !f.HasLease {
			return "it has no lease: a majority of the voters must agree again", false
		}
	case Learn:
		switch {
		case !f.ListApplied:
			return "no list of replicas is agreed on yet", false
		case !f.ListFresh && !m.lone: // without it all replicas count as started with this dispatcher
			return "the register has not been read since the start", spent >= m.bounds.Learn
		}
	case Admit:
		switch {
		case !f.ReplicasWarm:
			return "replicas are warming up", spent >= m.bounds.Admit
		case f.Throttled:
			return "more come than replicas have proven to bear", spent >= m.bounds.Admit+m.bounds.Surge
		}
	}
	return "", false
}

func (m *Machine) manner(f Facts, wait string) Permissions {
	w := Permissions{AcceptRequests: m.stage >= Admit && f.HasLease, LimitRate: m.stage == Admit, Reason: wait}
	// What must not run twice comes only where it is known what may have run.
	w.AcceptAtMostOnce = w.AcceptRequests && f.IntentsKnown
	if m.stage == Serving && m.late && !f.ReplicasWarm {
		w.LimitRate = true // replicas took longer than they say: their share stays that of cold ones
	}
	if w.AcceptRequests && !w.AcceptAtMostOnce && w.Reason == "" {
		w.Reason = "instructions wait: what may have run is not known to a majority of the voters yet"
	}
	return w
}
