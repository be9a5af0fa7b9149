package dispatch

import (
	"fmt"

	"standpulley/logic"
)

// Written is called by the transport when the last byte of the attempt has been written.
func (at *attempt) Written() {
	c := at.dispatcher.Counts
	c.mu.Lock()
	c.written++
	c.mu.Unlock()
}

// Ended is called by the transport when the attempt has ended.
func (at *attempt) Ended(res Result) { at.dispatcher.post(attemptEnd{at, res}) }

type attemptEnd struct {
	attempt *attempt
	result  Result
}

func (e attemptEnd) apply(d *Dispatcher) { d.finishAttempt(e.attempt, e.result) }

// finishAttempt records the end of an attempt and passes it to the decision module, after releasing
// state that the attempt may have left behind.
func (d *Dispatcher) finishAttempt(at *attempt, res Result) {
	r := at.request
	delete(r.inFlight, at.number)
	out := res.Outcome
	if out == logic.ReadDone && at.role != logic.Reader {
		out = logic.ServerError // only a reader can report that nothing but a read was done
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
	if res.Broken != "" {
		d.Counts.Count(StreamBroken, res.Broken, fmt.Sprintf("%s attempt %d at %s", r.id, at.number, at.server))
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
		// This comes before the decision module tries another replica, as nothing can be sent
		// without a lease.
		d.giveUpWithoutLease(r)
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

// attemptSettled is posted when the state that an attempt may have left behind is released. The
// decision module is then told about the end of the attempt and may send another one.
type attemptSettled struct {
	request *request
	event   logic.Event
}

func (b attemptSettled) apply(d *Dispatcher) {
	b.request.held.releasePending = false
	b.event.RequestEnded = b.request.answered
	d.route(b.event)
	d.forgetIfDone(b.request)
}

// neverRan reports whether an outcome proves that the attempt had no effect.
func neverRan(o logic.Outcome) bool {
	return o == logic.Full || o == logic.ConnectFailed || o == logic.NotSent || o == logic.ReadDone
}

type departure struct{ request *request }

// apply answers a request whose client left before the answer.
func (g departure) apply(d *Dispatcher) {
	if g.request.answered {
		return
	}
	// The arrival is still queued, and another request with the same id may be open.
	if d.requests[g.request.id] != g.request {
		d.answer(g.request, Answer{Verdict: ClientLeft})
		return
	}
	d.giveUp(g.request, Answer{Verdict: ClientLeft}, ClientGone)
}

// forgetIfDone removes a request from the table once it is answered and has no attempt in flight.
func (d *Dispatcher) forgetIfDone(r *request) {
	if d.mayForget(r) {
		delete(d.requests, r.id)
		d.dropPayload(r)
		d.stopTimers(r)
		d.releaseClaim(r)
		// This is needed after an answer too: the read may end at its replica after the fetch that
		// released everything else.
		if r.orphaned {
			d.releaseOrphaned(r)
		}
		d.Phases.end()
	}
}

// release makes a replica release everything that is held for a request. Any replica can do that.
// The holder, if known, is tried first, because it is healthy or no longer holds anything. Then
// come the replicas that are most likely to be up: those in service that started long ago.
func (d *Dispatcher) release(id, holder string, cause Cause) {
	d.countRelease(id, holder, cause)
	d.releaser.Release(id, d.releaseOrder(id, holder))
}

func (d *Dispatcher) countRelease(id, holder string, cause Cause) {
	d.Counts.update(func(t *Totals) { t.Releases++ })
	d.Counts.Count(StateReleased, cause, fmt.Sprintf("%s held at %q", id, holder))
}
