package dispatch

import (
	"fmt"

	"standpulley/logic"
)

// Written is called by the transport when the attempt's last byte is written.
func (at *attempt) Written() {
	c := at.d.Counts
	c.mu.Lock()
	c.written++
	c.mu.Unlock()
}

// Ended is called by the transport when the attempt is over.
func (at *attempt) Ended(res Result) { at.d.post(ending{at, res}) }

type ending struct {
	at  *attempt
	res Result
}

func (e ending) apply(d *Dispatcher) { d.ended(e.at, e.res) }

// ended books an attempt's end.
func (d *Dispatcher) ended(at *attempt, res Result) {
	r := at.r
	delete(r.out, at.n)
	out := res.Outcome
	if out == logic.ReadDone && at.role != logic.Reader {
		out = logic.ServerError // only a reader can say that nothing but a read was done
	}
	d.checkEnd(at, out)
	r.reached = r.reached || out != logic.NotSent && out != logic.ConnectFailed
	if !neverRan(out) {
		if at.dropped && at.stream == nil {
			out = logic.Cancelled
		}
		if !r.unsure() {
			r.ranSince = at.sentAt
		}
		if at.role == logic.Reader {
			r.loose = true
			r.unheard = r.unheard || out == logic.Cancelled || out == logic.TimedOut
		} else {
			r.ran = true
		}
	}
	if at.stream != nil && out == logic.Delivered {
		d.Counts.result(r.ask.Class, Served)
	} else if at.stream != nil {
		d.Counts.result(r.ask.Class, Failed)
	}
	if at.end != nil {
		at.end(out)
	}
	d.Counts.ended(out)
	detail := res.Detail
	if out == logic.ReadDone {
		detail = fmt.Sprintf("%d of %d kept", res.Tokens, r.ask.PromptTokens)
	}
	d.Counts.note(r, at, out, detail)
	leftover := d.stateAfter(at, res, out)
	if res.ClientGone && !r.answered {
		d.giveUp(r, Answer{Verdict: ClientLeft}, ClientGone)
	}
	if res.NoLease {
		d.lapsed(r) // before the module tries elsewhere: there is no leave anywhere
	}
	told := attemptBooked{r, logic.Event{Kind: logic.Ended, RequestID: r.id, Server: at.server, Attempt: at.n, Outcome: out,
		Took: d.clock().Sub(at.sentAt), Tokens: res.Tokens, NoState: res.NoState}}
	if leftover && !r.answered {
		r.held.releasing = true
		d.releaseThen(r, ReadUncertain, releaseFirst, func(bool) message { return told })
		return
	}
	told.apply(d)
}

// attemptBooked comes when the decision module may hear of an attempt's end: what it may have left is released, and another may be sent.
type attemptBooked struct {
	r  *request
	ev logic.Event
}

func (b attemptBooked) apply(d *Dispatcher) {
	b.r.held.releasing = false
	b.ev.RequestEnded = b.r.answered
	d.route(b.ev)
	d.settle(b.r)
}

// neverRan tells whether an outcome proves that the attempt had no effect.
func neverRan(o logic.Outcome) bool {
	return o == logic.Full || o == logic.ConnectFailed || o == logic.NotSent || o == logic.ReadDone
}

type departure struct{ r *request }

// apply books a client that left before its answer.
func (g departure) apply(d *Dispatcher) {
	if g.r.answered {
		return
	}
	if d.requests[g.r.id] != g.r { // its arrival still waits; another request with this id may be open
		d.answer(g.r, Answer{Verdict: ClientLeft})
		return
	}
	d.giveUp(g.r, Answer{Verdict: ClientLeft}, ClientGone)
}

// settle forgets a request that is answered and has no attempt out.
func (d *Dispatcher) settle(r *request) {
	if d.mayForget(r) {
		delete(d.requests, r.id)
		d.size -= r.size
		r.parcel = nil // its timers still know the request for a while, and must not keep its body
		// Also behind an answer: the read may end on its replica after the fetch that let go of all the rest.
		if r.loose {
			d.releaseLeftover(r)
		}
		d.Phases.end()
	}
}

// release has all let go that is held for a request. Any replica will do: first the one that holds it, if that is known, as it is well
// or nothing is held there any more; then those that are surest to be there, in service and long started.
func (d *Dispatcher) release(id, holder string, cause Cause) {
	d.countRelease(id, holder, cause)
	d.releaser.Release(id, d.releaseOrder(id, holder))
}

func (d *Dispatcher) countRelease(id, holder string, cause Cause) {
	d.Counts.update(func(t *Totals) { t.Releases++ })
	d.Counts.Count(StateReleased, cause, fmt.Sprintf("%s held at %q", id, holder))
}
