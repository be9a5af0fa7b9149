package dispatch

import (
	"testing"
	"time"

	"standpulley/logic"
)

// TestDeadlineAndAnswerAtSameInstant checks that there is one answer if the deadline and the first
// event of an answer come at the same instant, in either order, and that a stream that comes second
// is closed.
func TestDeadlineAndAnswerAtSameInstant(t *testing.T) {
	for _, deadlineFirst := range []bool{true, false} {
		d, _ := newCore(t, 9)
		now := time.Now()
		d.clock = func() time.Time { return now }
		k, p := submit(d, "a", "unsafe")
		endAttempt(d, p, logic.ReadDone)
		p.sent[1].observer.Written()
		s := &fakeStream{}
		now = now.Add(2*time.Second + deadlineGrace)
		if deadlineFirst {
			d.runTimers()
		}
		p.sent[1].observer.Began(s)
		processAll(d)
		d.runTimers()
		want := Served
		if deadlineFirst {
			want = Failed
		}
		if a := answerOf(t, k); a.Verdict != want || (a.Verdict == Served) != (a.Stream != nil) {
			t.Errorf("deadline first %v: %+v", deadlineFirst, a)
		}
		noFurtherAnswer(t, k)
		if deadlineFirst && !s.waitClosed() {
			t.Error("the late stream stays open")
		}
	}
}

// TestClientLeavesWhileRequestIsParked checks that no attempt starts after a client has left while
// its request was parked because no server could take it, even when servers return.
func TestClientLeavesWhileRequestIsParked(t *testing.T) {
	d, _ := newCore(t, 9)
	now := time.Now()
	d.clock = func() time.Time { return now }
	list := Update{Full: true}
	for _, s := range d.servers {
		list.Servers = append(list.Servers, Server{Addr: s.Addr, ServerEntry: s.ServerEntry})
	}
	Update{Full: true}.apply(d)
	k, p := submit(d, "a", "safe")
	if len(p.sent) != 0 {
		t.Fatalf("%d sends without servers", len(p.sent))
	}
	k.Abandon()
	processAll(d)
	list.apply(d)
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		d.runTimers()
	}
	if len(p.sent) != 0 {
		t.Errorf("%d sends after the client left", len(p.sent))
	}
	if a := answerOf(t, k); a.Verdict != ClientLeft {
		t.Errorf("unexpected verdict %v", a.Verdict)
	}
}

// TestChangedAddressWithdrawsOldEntry checks that an attempt is not sent if a list update has
// replaced the address of its server since it was routed.
func TestChangedAddressWithdrawsOldEntry(t *testing.T) {
	d, _ := newCore(t, 9)
	_, p := submit(d, "a", "safe")
	first := p.sent[0]
	if err := first.target.BeforeSend(); err != nil {
		t.Fatal(err)
	}
	Update{Servers: []Server{{Addr: "elsewhere", ServerEntry: logic.ServerEntry{ID: "r1", Kind: "r", Weight: 1}}}}.apply(d)
	if err := first.target.BeforeSend(); err != ErrWithdrawn {
		t.Errorf("to the old address: %v", err)
	}
	if s := d.servers["r1"]; s.Addr != "elsewhere" || s.withdrawn.Load() {
		t.Errorf("unexpected entry %+v", s)
	}
}

// TestImmediateRetryAfterRefusal checks that a client that repeats a refused request at once, under
// the same id, makes a new request. It is refused again or served, and answered once each time.
// While the first request with an id is open the second one fails, and the first continues.
func TestImmediateRetryAfterRefusal(t *testing.T) {
	d, _ := newCore(t, 1)
	open, p := submit(d, "a", "safe")
	for range 3 {
		k, again := submit(d, "b", "safe")
		if a := answerOf(t, k); a.Verdict != Refused || a.RetryAfter <= 0 || len(again.sent) != 0 {
			t.Errorf("%+v after %d sends", a, len(again.sent))
		}
		noFurtherAnswer(t, k)
	}
	same, again := submit(d, "a", "safe")
	if a := answerOf(t, same); a.Verdict != Failed || len(again.sent) != 0 {
		t.Errorf("second request with an open id: %+v", a)
	}
	noFurtherAnswer(t, open)
	endAttempt(d, p, logic.ReadDone)
	p.sent[1].observer.Began(&fakeStream{})
	endAttempt(d, p, logic.Delivered)
	if a := answerOf(t, open); a.Verdict != Served {
		t.Errorf("open request: %v", a.Verdict)
	}
	k, again := submit(d, "b", "safe")
	if noFurtherAnswer(t, k); len(again.sent) != 1 {
		t.Errorf("after there was room again: %d sends", len(again.sent))
	}
}
