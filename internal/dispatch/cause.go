package dispatch

import (
	"log"
	"maps"
)

// Event is a kind of state transition that is counted by cause for operators.
type Event string

// The events.
const (
	AttemptCancelled Event = "cancelled" // this program gave an attempt up
	StateReleased    Event = "released"  // replicas were asked to release what they hold
	ClientClosed     Event = "closed"    // this program closed a client's connection
	StreamBroken     Event = "broken"    // a stream ended before its end, and with it the client's connection
	RuleViolated     Event = "violated"  // an invariant did not hold at run time
)

// Cause is the reason of an event. It appears in metrics and in the log.
type Cause string

// Causes of AttemptCancelled.
const (
	Overdue          Cause = "overdue"        // the decision module gave the attempt up
	LostRace         Cause = "lost_race"      // another attempt answered first
	ClientGone       Cause = "client_gone"    // the client has gone
	DeadlineExceeded Cause = "deadline"       // the deadline of the request has passed
	ProgramEnding    Cause = "program_ending" // the request was answered before SIGKILL could come
	NoLease          Cause = "no_licence"     // this dispatcher has no lease
	NotRecorded      Cause = "not_recorded"   // the intent could not be recorded
)

// Causes of StateReleased.
const (
	FetchUnproven Cause = "fetch_unproven" // no answer proves that the state was fetched
	ReadUncertain Cause = "read_uncertain" // a read ended without reporting whether it left state behind
	RequestEnded  Cause = "request_ended"  // the decision module ended the request
)

// Causes of StreamBroken. The replica has stopped in the last three.
const (
	FramingInvalid   Cause = "framing_invalid" // a chunk or line that is against the framing, or states too large a size
	ConnectionBroken Cause = "connection_lost" // the replica's connection ended or broke
	FramingStalled   Cause = "framing_stalled" // within a line of the framing
	EventStalled     Cause = "event_stalled"   // within an event
	NoEvent          Cause = "no_event"        // between two events
)

// count counts an event. It may be called from any goroutine.
func (c *Counts) count(event Event, cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.causes == nil {
		c.causes = map[Event]map[Cause]int{}
	}
	if c.causes[event] == nil {
		c.causes[event] = map[Cause]int{}
	}
	c.causes[event][cause]++
}

// Count counts an event and logs it. It may be called from any goroutine.
func (c *Counts) Count(event Event, cause Cause, subject string) {
	c.count(event, cause)
	log.Printf("%s %s: %s", subject, event, cause)
}

// Causes returns the number of events so far by event and cause.
func (c *Counts) Causes() map[Event]map[Cause]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[Event]map[Cause]int{}
	for event, causes := range c.causes {
		all[event] = maps.Clone(causes)
	}
	return all
}
