package dispatch

import (
	"time"

	"standpulley/logic"
)

// route lets the module decide on an event and carries out what it says. Actions that have their outcome at once
// make further events; they follow in their order.
func (d *Dispatcher) route(ev logic.Event) {
	d.events = append(d.events, ev)
	if len(d.events) > 1 {
		return // the loop below, further up the stack, takes it
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

// holdings are what may be held for the requests that are to be released. A request may be forgotten by the time of its release, as its final
// answer comes first.
type holders map[string]holder

// holding is what is known of one request. The zero value is that of one that is unknown.
type holder struct {
	addr        string // of the replica that holds something; empty: not known
	nothingHeld bool   // no attempt has come to a replica, so nothing is held anywhere
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

// refusedAfter is the advice to a refused client where the module gives none: without any it would come at once.
const minRetryAfter = 100 * time.Millisecond

func (d *Dispatcher) execute(a logic.Action, known holders) {
	switch a.Kind {
	case logic.Wake:
		d.after(a.After, func() { d.route(logic.Event{Kind: logic.TimerFired, Tag: a.Tag}) })
		return
	case logic.Watch: // discovery is watched all the time
		return
	case logic.Probe:
		d.probe(a.Server)
		return
	case logic.Release:
		if h := known[a.RequestID]; !h.nothingHeld { // a call would take a connection that others need
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

// answer gives the one final answer; a second one is dropped. A refusal says that trying again is harmless, so
// where that is not proven the answer is a failure, whatever the module decided.
func (d *Dispatcher) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	a.MayRun = r.mayRun()
	if a.SettingsVersion == "" {
		a.SettingsVersion = d.settingsVersion()
	}
	if a.Verdict == Refused && !r.mayRefuse() {
		a.Verdict = Failed
	}
	if a.Verdict == Refused { // a refusal always says when to come back
		a.RetryAfter = max(a.RetryAfter, minRetryAfter)
	}
	r.answered, r.verdict, r.answeredAt = true, a.Verdict, d.now()
	d.checkAnswer(r)
	d.Counts.recordAnswer(r, a)
	r.ticket.answer <- a // there is room for the one answer
}
