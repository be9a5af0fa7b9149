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
func (at *attempt) Ended(res Result) { at.d.post(attemptEnd{at, res}) }

type attemptEnd struct {
	at  *attempt
	res Result
}

func (e attemptEnd) apply(d *Dispatcher) { d.finishAttempt(e.at, e.res) }

// ended books an attempt's end.
func (d *Dispatcher) finishAttempt(at *attempt, res Result) {
	r := at.r
	delete(r.inFlight, at.number)
	out := res.Outcome
	if out == logic.ReadDone && at.role != logic.Reader {
		out = logic.ServerError // only a reader can say that nothing but a read was done
	}
	d.checkEnd(at, out)
	r.reachedReplica = r.reachedReplica || out != logic.NotSent && out != logic.ConnectFailed
	if !neverRan(out) {
		if at.cancelled && at.stream == nil {
			out = logic.Cancelled
		}
		if !r.uncertain() {
			r.uncertainSince = at.sentAt
		}
		if at.role == logic.Reader {
			r.orphaned = true
			r.unresolved = r.unresolved || out == logic.Cancelled || out == logic.TimedOut
		} else {
			r.mayHaveRun = true
		}
	}
	if at.stream != nil && out == logic.Delivered {
		d.Counts.countResult(r.spec.Class, Served)
	} else if at.stream != nil {
		d.Counts.countResult(r.spec.Class, Failed)
	}
	if at.endIntent != nil {
		at.endIntent(out)
	}
	d.Counts.countEnded(out)
	detail := res.Detail
	if out == logic.ReadDone {
		detail = fmt.Sprintf("%d of %d kept", res.Tokens, r.spec.PromptTokens)
	}
	d.Counts.recordAttempt(r, at, out, detail)
	orphaned := d.updateHeld(at, res, out)
	if res.ClientGone && !r.answered {
		d.giveUp(r, Answer{Verdict: ClientLeft}, ClientGone)
	}
	if res.NoLease {
		d.giveUpWithoutLease(r) // before the module tries elsewhere: there is no leave anywhere
	}
	settled := attemptSettled{r, logic.Event{Kind: logic.Ended, RequestID: r.id, Server: at.server, Attempt: at.number, Outcome: out,
		Took: d.clock().Sub(at.sentAt), Tokens: res.Tokens, NoState: res.NoState}}
	if orphaned && !r.answered {
		r.held.releasePending = true
		d.releaseThen(r, ReadUncertain, releaseWait, func(bool) message { return settled })
		return
	}
	settled.apply(d)
}

// attemptBooked comes when the decision module may hear of an attempt's end: what it may have left is released, and another may be sent.
type attemptSettled struct {
	r  *request
	ev logic.Event
}

func (b attemptSettled) apply(d *Dispatcher) {
	b.r.held.releasePending = false
	b.ev.RequestEnded = b.r.answered
	d.route(b.ev)
	d.forgetIfDone(b.r)
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
func (d *Dispatcher) forgetIfDone(r *request) {
	if d.mayForget(r) {
		delete(d.requests, r.id)
		d.openBytes -= r.size
		r.payload = nil // its timers still know the request for a while, and must not keep its body
		// Also behind an answer: the read may end on its replica after the fetch that let go of all the rest.
		if r.orphaned {
			d.releaseOrphaned(r)
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
