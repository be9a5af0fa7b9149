package dispatch

import (
	"time"

	"standpulley/logic"
)

// route passes an event to the decision module and executes the resulting actions. Actions that end
// at once add further events, which are handled in order.
func (d *Dispatcher) route(ev logic.Event) {
	d.events = append(d.events, ev)
	if len(d.events) > 1 {
		return // the loop below, in a caller of this function, handles it
	}
	for i := 0; i < len(d.events); i++ {
		actions := d.router.Handle(d.now(), &d.events[i], d.actions[:0])
		known := d.holdersOf(actions)
		for _, a := range actions {
			d.execute(a, known)
		}
		d.actions = actions
	}
	clear(d.events)
	d.events = d.events[:0]
}

// holders gives the holder of the state for each request to be released. It is built before the
// actions are executed, because the final answer comes before the release and may remove the
// request from the table.
type holders map[string]holder

// holder tells which replica holds state for a request. The zero value stands for an unknown
// request.
type holder struct {
	addr        string // address of the replica that holds state; empty: not known
	nothingHeld bool   // no attempt has reached a replica, so no replica holds anything
}

func (d *Dispatcher) holdersOf(actions []logic.Action) holders {
	var all holders
	for _, a := range actions {
		if r := d.requests[a.RequestID]; a.Kind == logic.Release && r != nil {
			if all == nil {
				all = holders{}
			}
			all[a.RequestID] = holder{r.held.addr, !r.mayHold()}
		}
	}
	return all
}

// minRetryAfter is the retry advice if the decision module gives none or a shorter one: without it
// clients would retry at once.
const minRetryAfter = 100 * time.Millisecond

func (d *Dispatcher) execute(a logic.Action, known holders) {
	switch a.Kind {
	case logic.Wake:
		d.wake(a)
		return
	case logic.Watch: // the core receives list changes all the time
		return
	case logic.Probe:
		d.probe(a.Server)
		return
	case logic.Release:
		// A needless call would take a connection that other requests need.
		if h := known[a.RequestID]; !h.nothingHeld {
			d.release(a.RequestID, h.addr, RequestEnded)
		}
		return
	}
	r := d.requests[a.RequestID]
	if r == nil {
		return
	}
	switch a.Kind {
	case logic.Send:
		d.send(r, a)
	case logic.Cancel:
		if at := r.inFlight[a.Attempt]; at != nil {
			at.cancel(Overdue)
		}
	case logic.Refuse:
		d.answer(r, Answer{Verdict: Refused, RetryAfter: a.After, Reason: "no replica can serve it in time"})
		d.forgetIfDone(r)
	case logic.Fail:
		d.answer(r, Answer{Verdict: Failed, Reason: "it may have run, and no answer came"})
		d.forgetIfDone(r)
	}
}

// wake sets a timer of the decision module. One for a request ends with the request.
func (d *Dispatcher) wake(a logic.Action) {
	fire := func() { d.route(logic.Event{Kind: logic.TimerFired, Tag: a.Tag}) }
	if a.RequestID == "" {
		d.after(a.After, fire)
	} else if r := d.requests[a.RequestID]; r != nil {
		d.afterFor(r, a.After, fire)
	}
}

// answer delivers the final answer; later answers are dropped. A refusal promises that retrying is
// harmless, so without proof of that the request fails instead, whatever the decision module
// decided.
func (d *Dispatcher) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	a.MayRun = a.MayRun || r.mayRun()
	if a.SettingsVersion == "" {
		a.SettingsVersion = d.settingsVersion()
	}
	if a.Verdict == Refused && !r.mayRefuse() {
		a.Verdict = Failed
	}
	if a.Verdict == Refused { // a refusal always carries retry advice
		a.RetryAfter = max(a.RetryAfter, minRetryAfter)
	}
	r.answered, r.verdict, r.answeredAt = true, a.Verdict, d.now()
	d.checkAnswer(r)
	d.Counts.recordAnswer(r, a)
	r.ticket.answer <- a // does not block: the channel has a buffer for the one answer
}
