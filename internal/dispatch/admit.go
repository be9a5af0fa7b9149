package dispatch

import (
	"sync/atomic"
	"time"

	"standpulley/logic"
)

// request is one that was taken, from its arrival until its answer is given and no attempt is out.
type request struct {
	id              string
	spec            logic.Request
	received        time.Time
	deadline        time.Time
	class           *logic.Class
	payload         Payload
	size            int
	resumable       bool
	intents         IntentRecorder
	ticket          *Ticket
	waitedTooLong   bool        // it has waited for the core for too long to be decided
	clientGone      atomic.Bool // the client has gone; any goroutine may find that out
	checkClientGone func() bool
	answered        bool
	answeredAt      time.Duration
	verdict         Verdict
	sent            int
	inFlight        map[int]*attempt // by number
	mayHaveRun      bool             // an attempt that ended may have run
	reachedReplica  bool             // an attempt that ended may have come to its replica
	held            heldState        // at the first stage
	orphaned        bool             // a read ended without a word on what it left behind
	unresolved      bool             // a read was given up, and goes on if its replica could not hear of that
	uncertainSince  time.Time        // when the first attempt that may have run, or may be out yet, was sent
}

const (
	fullRetryAfter = 200 * time.Millisecond // advice to a client for whom the table has no room
	// The module's own timer fires at the deadline. What it left unanswered is failed this much later, still
	// inside the slack.
	deadlineGrace = 10 * time.Millisecond
)

// admit enters a request into the table and lets the module decide. Turned away here is only what the module is
// never told of: a request beyond the table's bound, and an id that is open already.
func (d *Dispatcher) admit(r *request) {
	d.Counts.countTaken(r)
	if r.answered { // its client has left meanwhile
		r.payload = nil
		return
	}
	for i := range d.set.Classes {
		if d.set.Classes[i].Name == r.spec.Class {
			r.class = &d.set.Classes[i]
		}
	}
	switch {
	case r.class == nil:
		d.answer(r, Answer{Verdict: Failed, Reason: "unknown class"})
	case d.requests[r.id] != nil:
		d.answer(r, Answer{Verdict: Failed, Reason: "a request with this id is open"})
	case d.admissionStopped:
		d.answer(r, Answer{Verdict: Refused, RetryAfter: fullRetryAfter, Reason: "the program ends"})
	case r.waitedTooLong && !r.spec.Resumed:
		d.answer(r, Answer{Verdict: Refused, RetryAfter: fullRetryAfter, Reason: "too many requests wait to be decided"})
	case len(d.requests) >= d.bounds.Requests || d.openBytes+r.size > d.bounds.Bytes:
		d.answer(r, Answer{Verdict: Refused, RetryAfter: fullRetryAfter, Reason: "too many requests are open"})
	case d.lease != nil:
		if err := d.lease.MayAdmit(Admission{r.class.Name, r.spec.Tenant, r.spec.Retried, r.class.Repeat == logic.Unsafe}); err != nil {
			d.answer(r, Answer{Verdict: Refused, RetryAfter: retryAfterOf(err), SettingsVersion: noSettingsVersion, Reason: err.Error()})
		}
	}
	if r.answered {
		r.payload = nil
		return
	}
	r.inFlight = map[int]*attempt{}
	d.requests[r.id] = r
	d.Phases.begin() // until it is forgotten: answered, with nothing out and nothing held
	d.openBytes += r.size
	r.deadline = r.received.Add(r.spec.Remaining)
	r.spec.Remaining = max(r.deadline.Sub(d.clock()), 0) // some of it may have gone by on the way here
	d.after(r.spec.Remaining+deadlineGrace, func() { d.deadlinePassed(r) })
	d.route(logic.Event{Kind: logic.Arrived, RequestID: r.id, Request: r.spec})
}

// overtime answers a request that the module has not answered by its deadline.
func (d *Dispatcher) deadlinePassed(r *request) {
	if !r.answered {
		d.giveUp(r, Answer{Verdict: Failed, Reason: "deadline"}, DeadlineExceeded)
	}
}

// clientLeft tells whether a request's client has gone, as far as anybody can tell now.
func (r *request) isClientGone() bool {
	if !r.clientGone.Load() && r.checkClientGone != nil && r.checkClientGone() {
		r.clientGone.Store(true)
	}
	return r.clientGone.Load()
}

// giveUp answers a request over the module's head, which is told that it has gone.
func (d *Dispatcher) giveUp(r *request, a Answer, cause Cause) {
	d.answer(r, a)
	d.cancelAll(r, cause)
	d.route(logic.Event{Kind: logic.Departed, RequestID: r.id})
	d.forgetIfDone(r)
}
