package dispatch

import (
	"fmt"
	"testing"
	"time"

	"standpulley/logic"
)

// TestTimersEndWithTheirRequest guards against memory that grows without end under one connection at
// full speed: the timers of a request were kept for as long as its client announced to wait.
func TestTimersEndWithTheirRequest(t *testing.T) {
	d, _ := newCore(t, 9)
	const requests = 1000
	for i := range requests {
		p := &fakePayload{}
		k := d.Submit(Request{ID: fmt.Sprint(i), Received: time.Now(), Payload: p, Spec: logic.Request{Class: "safe", Remaining: time.Hour, PromptTokens: 10}})
		processAll(d)
		if i%2 == 0 {
			endAttempt(d, p, logic.ReadDone)
			p.sent[1].observer.Began(&fakeStream{})
			processAll(d)
			endAttempt(d, p, logic.Delivered)
		} else {
			k.Abandon()
			processAll(d)
			endAttempt(d, p, logic.NotSent)
		}
		answerOf(t, k)
	}
	const few = 10 // timers of the module itself
	if len(d.requests) != 0 || len(d.timers) > few {
		t.Errorf("%d requests and %d timers are kept after %d requests", len(d.requests), len(d.timers), requests)
	}
}

func TestStoppedTimersDoNotRun(t *testing.T) {
	d, _ := newCore(t, 9)
	now := time.Now()
	d.clock = func() time.Time { return now }
	d.timers = nil
	var ran []int
	r, other := &request{}, &request{}
	for i := range 20 {
		owner := r
		if i%3 == 0 {
			owner = other
		}
		d.afterFor(owner, time.Duration(20-i)*time.Second, func() { ran = append(ran, i) })
	}
	d.stopTimers(r)
	now = now.Add(time.Minute)
	for d.runTimers() {
	}
	if fmt.Sprint(ran) != "[18 15 12 9 6 3 0]" || len(d.timers) != 0 {
		t.Errorf("ran %v, %d left", ran, len(d.timers))
	}
	d.stopTimers(other) // they have run
}
