package dispatch

import (
	"io"
	"testing"
	"time"

	"standpulley/logic"
)

// TestStreamEndDoesNotWaitForSlowCore guards against a fault seen in large fleets: the end of a
// stream was passed on to the client only after a lagging core had taken the message about it,
// because the inbox was full.
func TestStreamEndDoesNotWaitForSlowCore(t *testing.T) {
	d, _ := newCore(t, 9)
	k, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ReadDone)
	p.sent[1].observer.Began(&fakeStream{})
	processAll(d)
	answerOf(t, k)
	ended := make(chan error, 1)
	go func() {
		for range 5000 { // no goroutine processes them
			d.UpdateServers(Update{})
		}
		p.sent[1].observer.Ended(Result{Outcome: logic.Delivered})
		ended <- io.EOF
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("reporting the end of a stream blocks until the core processes it")
	}
}

// recordingMessage records its name when it is processed.
type recordingMessage struct {
	name      string
	processed *[]string
}

func (s recordingMessage) apply(*Dispatcher) { *s.processed = append(*s.processed, s.name) }

// TestFollowUpsComeBeforeNewRequests checks that a lagging core first processes messages about
// accepted requests, then due timers, and then one new request.
func TestFollowUpsComeBeforeNewRequests(t *testing.T) {
	d, _ := newCore(t, 9)
	var processed []string
	for _, id := range []string{"a", "b"} {
		d.Submit(Request{ID: id, Received: time.Now(), Payload: &fakePayload{}, Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second}})
	}
	d.after(0, func() { recordingMessage{"timer", &processed}.apply(d) })
	d.post(recordingMessage{"follow-up", &processed})
	d.iterate()
	if len(processed) != 2 || processed[0] != "follow-up" || processed[1] != "timer" {
		t.Errorf("processed %v", processed)
	}
	if len(d.requests) != 1 || d.requests["a"] == nil {
		t.Errorf("%d new requests were admitted in one iteration", len(d.requests))
	}
}

// TestDueTimersDoNotStarveMessages guards against a fault seen in large fleets: timers that were
// always due again kept the core from processing messages for seconds.
func TestDueTimersDoNotStarveMessages(t *testing.T) {
	d, _ := newCore(t, 9)
	var again func()
	again = func() { d.after(0, again) }
	again()
	var processed []string
	d.post(recordingMessage{"follow-up", &processed})
	d.Submit(Request{ID: "a", Received: time.Now(), Payload: &fakePayload{}, Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second}})
	done := make(chan bool)
	go func() { d.iterate(); done <- true }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the iteration does not end")
	}
	if len(processed) != 1 || d.requests["a"] == nil {
		t.Errorf("processed %v, new request admitted %v", processed, d.requests["a"] != nil)
	}
}

// TestMessagesDoNotStarveTimers checks that an endless flow of messages does not keep timers from
// running.
func TestMessagesDoNotStarveTimers(t *testing.T) {
	d, _ := newCore(t, 9)
	var processed []string
	for range 3 * maxPerIteration {
		d.post(recordingMessage{"follow-up", &processed})
	}
	d.after(0, func() { recordingMessage{"timer", &processed}.apply(d) })
	d.iterate()
	if len(processed) != maxPerIteration+1 || processed[maxPerIteration] != "timer" {
		t.Errorf("%d messages and timers were processed in one iteration", len(processed))
	}
}

// TestNewRequestsAreRefusedUnderOverload checks that a core that cannot keep up refuses new
// requests that have waited too long, without sending anything. A core that was blocked for a
// moment catches up instead. A request for the rest of a stream is not refused.
func TestNewRequestsAreRefusedUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting time.Duration // how long all new requests have had to wait
		resumed bool
		refused bool
	}{
		{"blocked once", 0, false, false},
		{"overloaded", refuseSustained, false, true},
		{"resumed request", refuseSustained, true, false},
	} {
		d, _ := newCore(t, 9)
		p := &fakePayload{}
		k := d.Submit(Request{ID: "a", Received: time.Now(), Payload: p, Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second, Resumed: c.resumed}})
		m, _ := d.inbox.nextArrival()
		m.at = m.at.Add(-refuseAfter)
		d.overload.since = time.Now().Add(-c.waiting)
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

// TestClientLeavesBeforeRequestIsAdmitted checks that if a client leaves while its request still
// waits for a lagging core, it gets its answer, nothing is sent for it, and another open request
// with the same id is not affected.
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
		t.Errorf("%d attempts of the first request were cancelled, %d of the second were sent", p.cancelled, len(again.sent))
	}
	endAttempt(d, p, logic.ReadDone)
	p.sent[1].observer.Began(&fakeStream{})
	processAll(d)
	if a := answerOf(t, first); a.Verdict != Served {
		t.Errorf("the first request got %+v", a)
	}
}
