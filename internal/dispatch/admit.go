package dispatch

import (
	"sync/atomic"
	"time"

	"standpulley/logic"
)

// request is one that was taken, from its arrival until its answer is given and no attempt is out.
type request struct {
	id         string
	ask        logic.Request
	received   time.Time
	deadline   time.Time
	class      *logic.Class
	parcel     Payload
	size       int
	movable    bool
	noted      IntentRecorder
	ticket     *Ticket
	late       bool        // it has waited for the core for too long to be decided
	left       atomic.Bool // the client has gone; any goroutine may find that out
	clientGone func() bool
	answered   bool
	answeredAt time.Duration
	verdict    Verdict
	sent       int
	out        map[int]*attempt // by number
	ran        bool             // an attempt that ended may have run
	reached    bool             // an attempt that ended may have come to its replica
	held       held             // at the first stage
	loose      bool             // a read ended without a word on what it left behind
	unheard    bool             // a read was given up, and goes on if its replica could not hear of that
	ranSince   time.Time        // when the first attempt that may have run, or may be out yet, was sent
}

const (
	fullAfter = 200 * time.Millisecond // advice to a client for whom the table has no room
	// The module's own timer fires at the deadline. What it left unanswered is failed this much later, still
	// inside the slack.
	backstop = 10 * time.Millisecond
)

// admit enters a request into the table and lets the module decide. Turned away here is only what the module is
// never told of: a request beyond the table's bound, and an id that is open already.
func (d *Dispatcher) admit(r *request) {
	d.Counts.taken(r)
	if r.answered { // its client has left meanwhile
		r.parcel = nil
		return
	}
	for i := range d.set.Classes {
		if d.set.Classes[i].Name == r.ask.Class {
			r.class = &d.set.Classes[i]
		}
	}
	switch {
	case r.class == nil:
		d.answer(r, Answer{Verdict: Failed, Reason: "unknown class"})
	case d.requests[r.id] != nil:
		d.answer(r, Answer{Verdict: Failed, Reason: "a request with this id is open"})
	case d.ending:
		d.answer(r, Answer{Verdict: Refused, RetryAfter: fullAfter, Reason: "the program ends"})
	case r.late && !r.ask.Resumed:
		d.answer(r, Answer{Verdict: Refused, RetryAfter: fullAfter, Reason: "too many requests wait to be decided"})
	case len(d.requests) >= d.bounds.Requests || d.size+r.size > d.bounds.Bytes:
		d.answer(r, Answer{Verdict: Refused, RetryAfter: fullAfter, Reason: "too many requests are open"})
	case d.licence != nil:
		if err := d.licence.MayAdmit(Admission{r.class.Name, r.ask.Tenant, r.ask.Retried, r.class.Repeat == logic.Unsafe}); err != nil {
			d.answer(r, Answer{Verdict: Refused, RetryAfter: comeBack(err), SettingsVersion: noMark, Reason: err.Error()})
		}
	}
	if r.answered {
		r.parcel = nil
		return
	}
	r.out = map[int]*attempt{}
	d.requests[r.id] = r
	d.Phases.begin() // until it is forgotten: answered, with nothing out and nothing held
	d.size += r.size
	r.deadline = r.received.Add(r.ask.Remaining)
	r.ask.Remaining = max(r.deadline.Sub(d.clock()), 0) // some of it may have gone by on the way here
	d.after(r.ask.Remaining+backstop, func() { d.overtime(r) })
	d.route(logic.Event{Kind: logic.Arrived, RequestID: r.id, Request: r.ask})
}

// overtime answers a request that the module has not answered by its deadline.
func (d *Dispatcher) overtime(r *request) {
	if !r.answered {
		d.giveUp(r, Answer{Verdict: Failed, Reason: "deadline"}, DeadlineExceeded)
	}
}

// clientLeft tells whether a request's client has gone, as far as anybody can tell now.
func (r *request) clientLeft() bool {
	if !r.left.Load() && r.clientGone != nil && r.clientGone() {
		r.left.Store(true)
	}
	return r.left.Load()
}

// giveUp answers a request over the module's head, which is told that it has gone.
func (d *Dispatcher) giveUp(r *request, a Answer, cause Cause) {
	d.answer(r, a)
	d.cancelAll(r, cause)
	d.route(logic.Event{Kind: logic.Departed, RequestID: r.id})
	d.settle(r)
}
