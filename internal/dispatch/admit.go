package dispatch

import (
	"sync/atomic"
	"time"

	"standpulley/logic"
)

// request is an open request. It is kept from its submission until it is answered and has no
// attempt in flight.
type request struct {
	id              string
	identity        string // what Claims knows it by
	spec            logic.Request
	received        time.Time
	deadline        time.Time
	class           *logic.Class
	payload         Payload
	size            int  // bytes
	hasSpace        bool // space for the payload is reserved
	claimed         bool // the id is claimed
	resumable       bool
	intents         IntentRecorder
	ticket          *Ticket
	timers          []*timer
	waitedTooLong   bool        // the request waited too long in the inbox and the core is overloaded
	clientGone      atomic.Bool // the client has gone; may be set from any goroutine
	checkClientGone func() bool
	answered        bool
	answeredAt      time.Duration
	verdict         Verdict
	sent            int
	inFlight        map[int]*attempt // attempts by number
	mayHaveRun      bool             // an attempt that has ended may have run
	reachedReplica  bool             // an attempt that has ended may have reached its replica
	held            heldState        // state that a reader holds
	orphaned        bool             // a read ended without reporting whether it left state behind
	// unresolved is set if a read was given up and may continue, as its replica may not have
	// noticed.
	unresolved bool
	// uncertainSince is the send time of the first attempt that may have run or may still be
	// running.
	uncertainSince time.Time
}

const (
	// fullRetryAfter is the retry advice when the table of open requests has no room, the core is
	// overloaded or the program is ending.
	fullRetryAfter = 200 * time.Millisecond
	// deadlineGrace is how long after its deadline the core fails a request that is still
	// unanswered. The timer of the decision module fires at the deadline, and an answer this much
	// later is still within answerSlack.
	deadlineGrace = 10 * time.Millisecond
)

// admit enters a request into the table and passes it to the decision module. Requests that the
// module never sees are rejected here, for instance when the table is full, when the class is
// unknown or when a request with the same id is already open.
func (d *Dispatcher) admit(r *request) {
	d.Counts.countTaken(r)
	if r.answered { // the client left before the request was admitted
		d.dropPayload(r)
		return
	}
	for i := range d.settings.Classes {
		if d.settings.Classes[i].Name == r.spec.Class {
			r.class = &d.settings.Classes[i]
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
	case len(d.requests) >= d.bounds.Requests || !r.hasSpace:
		d.answer(r, Answer{Verdict: Refused, RetryAfter: fullRetryAfter, Reason: "too many requests are open"})
	default:
		d.checkLease(r)
	}
	if !r.answered && !d.claim(r) {
		d.answer(r, Answer{Verdict: Failed, Reason: "a request with this id may have run", MayRun: true})
	}
	if r.answered {
		d.dropPayload(r)
		return
	}
	r.inFlight = map[int]*attempt{}
	d.requests[r.id] = r
	// Ended by forgetIfDone once the request is answered, has no attempt in flight and no release
	// pending.
	d.Phases.begin()
	r.deadline = r.received.Add(r.spec.Remaining)
	// Part of the time may have passed before the request got here.
	r.spec.Remaining = max(r.deadline.Sub(d.clock()), 0)
	d.afterFor(r, r.spec.Remaining+deadlineGrace, func() { d.deadlinePassed(r) })
	d.route(logic.Event{Kind: logic.Arrived, RequestID: r.id, Request: r.spec})
}

// checkLease refuses a request that the lease does not admit.
func (d *Dispatcher) checkLease(r *request) {
	if d.lease == nil {
		return
	}
	if err := d.lease.MayAdmit(Admission{r.class.Name, r.spec.Tenant, r.spec.Retried, r.class.Repeat == logic.Unsafe}); err != nil {
		d.answer(r, Answer{Verdict: Refused, RetryAfter: retryAfterOf(err), SettingsVersion: noSettingsVersion, Reason: err.Error()})
	}
}

// deadlinePassed fails a request that the decision module has not answered by its deadline.
func (d *Dispatcher) deadlinePassed(r *request) {
	if !r.answered {
		d.giveUp(r, Answer{Verdict: Failed, Reason: "deadline"}, DeadlineExceeded)
	}
}

// isClientGone reports whether the client is known to have gone, checking the connection if
// possible.
func (r *request) isClientGone() bool {
	if !r.clientGone.Load() && r.checkClientGone != nil && r.checkClientGone() {
		r.clientGone.Store(true)
	}
	return r.clientGone.Load()
}

// giveUp answers a request without asking the decision module, and tells the module that the
// request has gone.
func (d *Dispatcher) giveUp(r *request, a Answer, cause Cause) {
	d.answer(r, a)
	d.cancelAll(r, cause)
	d.route(logic.Event{Kind: logic.Departed, RequestID: r.id})
	d.forgetIfDone(r)
}
