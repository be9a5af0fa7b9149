package dispatch

import (
	"log"
	"maps"
)

// Event is a kind of state transition that operators can count by its cause.
type Event string

// The events.
const (
	AttemptCancelled Event = "cancelled" // an attempt was given up by this program
	StateReleased    Event = "released"  // replicas were asked to let go of what they hold
	ClientClosed     Event = "closed"    // a client's connection was ended by this program
	RuleViolated     Event = "violated"  // an invariant did not hold at run time
)

// Cause says why an event happened. It is a word of metrics and of the log.
type Cause string

// Why an attempt was cancelled.
const (
	Overdue          Cause = "overdue"        // the decision module gave it up
	LostRace         Cause = "lost_race"      // another attempt answered first
	ClientGone       Cause = "client_gone"    // nobody waits for the answer
	DeadlineExceeded Cause = "deadline"       // the request's time was over
	ProgramEnding    Cause = "program_ending" // the request was answered before SIGKILL could come
	NoLease          Cause = "no_licence"     // this dispatcher may not act
	NotRecorded      Cause = "not_recorded"   // its intent could not be noted
)

// Why replicas were asked to let go.
const (
	FetchUnproven Cause = "fetch_unproven" // no answer proves that the state was fetched
	ReadUncertain Cause = "read_uncertain" // a read ended without a word on what it left
	RequestEnded  Cause = "request_ended"  // the decision module ended the request
)

// count books an event. It may be called from any goroutine.
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

// Count books an event with its line in the log. It may be called from any goroutine.
func (c *Counts) Count(event Event, cause Cause, subject string) {
	c.count(event, cause)
	log.Printf("%s %s: %s", subject, event, cause)
}

// Causes gives the events so far by their causes.
func (c *Counts) Causes() map[Event]map[Cause]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[Event]map[Cause]int{}
	for event, causes := range c.causes {
		all[event] = maps.Clone(causes)
	}
	return all
}
