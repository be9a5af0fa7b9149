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
		holders := d.holdersOf(actions)
		for _, a := range actions {
			d.carryOut(a, holders)
		}
		d.actions = actions
	}
	clear(d.events)
	d.events = d.events[:0]
}

// holdersOf gives the addresses at which something may be held for the requests that are to be released. A request may be forgotten by
// then, as its final answer comes first.
func (d *Dispatcher) holdersOf(actions []logic.Action) map[string]string {
	var holders map[string]string
	for _, a := range actions {
		if r := d.requests[a.RequestID]; a.Kind == logic.Release && r != nil && r.held.addr != "" {
			if holders == nil {
				holders = map[string]string{}
			}
			holders[a.RequestID] = r.held.addr
		}
	}
	return holders
}

// refusedAfter is the advice to a refused client where the module gives none: without any it would come at once.
const refusedAfter = 100 * time.Millisecond

func (d *Dispatcher) carryOut(a logic.Action, holders map[string]string) {
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
		d.release(a.RequestID, holders[a.RequestID], RequestEnded)
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
		if at := r.out[a.Attempt]; at != nil {
			at.cancel(Overdue)
		}
	case logic.Refuse:
		d.answer(r, Answer{Verdict: Refused, After: a.After, Reason: "no replica can serve it in time"})
		d.settle(r)
	case logic.Fail:
		d.answer(r, Answer{Verdict: Failed, Reason: "it may have run, and no answer came"})
		d.settle(r)
	}
}

// answer gives the one final answer; a second one is dropped. A refusal says that trying again is harmless, so
// where that is not proven the answer is a failure, whatever the module decided.
func (d *Dispatcher) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	a.MayRun = r.mayRun()
	if a.Mark == "" {
		a.Mark = d.mark()
	}
	if a.Verdict == Refused && !r.refusable() {
		a.Verdict = Failed
	}
	if a.Verdict == Refused { // a refusal always says when to come back
		a.After = max(a.After, refusedAfter)
	}
	r.answered, r.verdict, r.answeredAt = true, a.Verdict, d.now()
	d.checkAnswer(r)
	d.Counts.answered(r, a)
	r.ticket.answer <- a // there is room for the one answer
}
