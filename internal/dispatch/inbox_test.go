package dispatch

import (
	"io"
	"testing"
	"time"

	"standpulley/logic"
)

// Guards against the incident in large fleets: the end of a stream was passed on to the client only when a core that was behind had taken
// the message of it, as its inbox was full.
func TestStreamEndDoesNotWaitForSlowCore(t *testing.T) {
	d, _ := newCore(t, 9)
	k, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ReadDone)
	p.sent[1].observer.Began(&fakeStream{})
	processAll(d)
	answerOf(t, k)
	ended := make(chan error, 1)
	go func() {
		for range 5000 { // nobody takes them
			d.UpdateServers(Update{})
		}
		p.sent[1].observer.Ended(Result{Outcome: logic.Delivered})
		ended <- io.EOF
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the end of a stream waits for the core")
	}
}

// step notes its name when it is taken.
type recordingMessage struct {
	name      string
	processed *[]string
}

func (s recordingMessage) apply(*Dispatcher) { *s.processed = append(*s.processed, s.name) }

// A core that has fallen behind first hears of requests that were taken, then does what is due, and then takes one new request.
func TestFollowUpsComeBeforeNewRequests(t *testing.T) {
	d, _ := newCore(t, 9)
	var taken []string
	for _, id := range []string{"a", "b"} {
		d.Submit(Request{ID: id, Received: time.Now(), Payload: &fakePayload{}, Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second}})
	}
	d.after(0, func() { recordingMessage{"timer", &taken}.apply(d) })
	d.post(recordingMessage{"owed", &taken})
	d.iterate()
	if len(taken) != 2 || taken[0] != "owed" || taken[1] != "timer" {
		t.Errorf("taken %v", taken)
	}
	if len(d.requests) != 1 || d.requests["a"] == nil {
		t.Errorf("%d new requests were taken in a turn", len(d.requests))
	}
}

// Guards against the incident in large fleets: timers that were always due again kept the core from taking any message for seconds.
func TestDueTimersDoNotStarveMessages(t *testing.T) {
	d, _ := newCore(t, 9)
	var again func()
	again = func() { d.after(0, again) }
	again()
	var taken []string
	d.post(recordingMessage{"owed", &taken})
	d.Submit(Request{ID: "a", Received: time.Now(), Payload: &fakePayload{}, Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second}})
	done := make(chan bool)
	go func() { d.iterate(); done <- true }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the timers do not end")
	}
	if len(taken) != 1 || d.requests["a"] == nil {
		t.Errorf("taken %v, new request %v", taken, d.requests["a"] != nil)
	}
}

// Messages that never stop leave their turn to timers.
func TestMessagesDoNotStarveTimers(t *testing.T) {
	d, _ := newCore(t, 9)
	var taken []string
	for range 3 * maxPerIteration {
		d.post(recordingMessage{"owed", &taken})
	}
	d.after(0, func() { recordingMessage{"timer", &taken}.apply(d) })
	d.iterate()
	if len(taken) != maxPerIteration+1 || taken[maxPerIteration] != "timer" {
		t.Errorf("%d were taken in a turn", len(taken))
	}
}

// A core that can't keep up refuses new requests that have waited too long, unsent; one that was held up for a moment catches up, and the
// rest of a stream, which is no new request, is decided.
func TestNewRequestsAreRefusedUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name    string
		behind  time.Duration // for how long all new requests have waited
		resumed bool
		refused bool
	}{
		{"held up once", 0, false, false},
		{"can't keep up", refuseSustained, false, true},
		{"the rest of a stream", refuseSustained, true, false},
	} {
		d, _ := newCore(t, 9)
		p := &fakePayload{}
		k := d.Submit(Request{ID: "a", Received: time.Now(), Payload: p, Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second, Resumed: c.resumed}})
		m, _ := d.inbox.nextArrival()
		m.at = m.at.Add(-refuseAfter)
		d.overload.since = time.Now().Add(-c.behind)
		d.process(m)
		if !c.refused {
			noFurtherAnswer(t, k)
			if len(p.sent) != 1 {
				t.Errorf("%s: %d attempts", c.name, len(p.sent))
			}
			continue
		}
		if a := answerOf(t, k); a.Verdict != Refused || a.RetryAfter == 0 || len(p.sent) != 0 {
			t.Errorf("%s: %+v, %d attempts", c.name, a, len(p.sent))
		}
	}
}

// A client that leaves while its request still waits for a core that is behind is answered, nothing of it is sent, and another open request
// with the same id goes on.
func TestClientLeavesBeforeRequestIsAdmitted(t *testing.T) {
	d, _ := newCore(t, 9)
	first, p := submit(d, "a", "safe")
	again := &fakePayload{}
	second := d.Submit(Request{ID: "a", Received: time.Now(), Payload: again, Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second}})
	second.Abandon()
	d.iterate()
	if a := answerOf(t, second); a.Verdict != ClientLeft {
		t.Errorf("got %+v", a)
	}
	if noFurtherAnswer(t, first); p.cancelled != 0 || len(again.sent) != 0 {
		t.Errorf("%d attempts of the first were cancelled, %d of the second sent", p.cancelled, len(again.sent))
	}
	endAttempt(d, p, logic.ReadDone)
	p.sent[1].observer.Began(&fakeStream{})
	processAll(d)
	if a := answerOf(t, first); a.Verdict != Served {
		t.Errorf("the first got %+v", a)
	}
}
