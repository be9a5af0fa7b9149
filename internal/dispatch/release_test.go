package dispatch

import (
	"reflect"
	"testing"
	"time"

	"standpulley/logic"
)

// clocked is a core whose clock the test moves; pass lets time go by, and what is due is done.
func clocked(t *testing.T) (d *Dispatcher, rel *released, pass func(time.Duration)) {
	t.Helper()
	d, rel = core(t, 9)
	now := time.Now()
	d.clock = func() time.Time { return now }
	return d, rel, func(by time.Duration) {
		now = now.Add(by)
		d.ring()
	}
}

// Guards: a zone that is cut off, whose replicas let calls run into their time, costs a release one try, so that what is held is let
// go in time.
func TestReleaseTriesOneOfEachZone(t *testing.T) {
	d, _ := core(t, 9)
	d.set.Zone = "own"
	server := func(id, zone string) *Server {
		return &Server{Addr: id, ServerEntry: logic.ServerEntry{ID: id, Zone: zone}}
	}
	all := []*Server{server("a1", "away"), server("a2", "away"), server("a3", "away"), server("b1", "far"), server("o1", "own"), server("o2", "own")}
	if got := d.oneOfEachZone(all); !reflect.DeepEqual(got, []string{"o1", "a1", "b1", "o2", "a2", "a3"}) {
		t.Errorf("tried %v", got)
	}
}

// Guards: what a read has left is let go in time while the attempt to fetch it can't connect, and not once its bytes have left.
func TestHeldStateIsLetGoWhileNothingConnects(t *testing.T) {
	for _, written := range []bool{false, true} {
		d, rel, pass := clocked(t)
		_, p := take(d, "a", "unsafe")
		end(d, p, logic.ReadDone)
		if len(p.sent) != 2 {
			t.Fatalf("%d sends", len(p.sent))
		}
		if written {
			p.sent[1].tell.Written()
		}
		pass(300 * time.Millisecond) // of the 500 that a state may be held
		if released := len(*rel) > 0; released == written {
			t.Errorf("written %v, released %v", written, *rel)
		}
	}
}

// Guards: a writer that a cut-off link leaves silent may never have come for the state. Once the attempt there is over, the state is let
// go in time although further attempts that can't connect are out meanwhile.
func TestHeldStateIsLetGoAfterASilentWriter(t *testing.T) {
	d, rel, pass := clocked(t)
	_, p := take(d, "a", "safe")
	end(d, p, logic.ReadDone)
	p.sent[1].tell.Written()
	pass(300 * time.Millisecond)
	if len(*rel) > 0 {
		t.Fatalf("released %v while the writer may come for it", *rel)
	}
	end(d, p, logic.TimedOut)
	if len(p.sent) != 3 {
		t.Fatalf("%d sends", len(p.sent))
	}
	pass(300 * time.Millisecond) // the attempt is connecting all the while
	if len(*rel) == 0 {
		t.Error("nothing was released")
	}
}

// Guards: what a read may have left, whose connection broke just as it ended, was let go only with the request. While further attempts
// can't connect, nobody comes for it.
func TestWhatABrokenReadLeftIsLetGoInTime(t *testing.T) {
	d, rel, pass := clocked(t)
	k, p := take(d, "a", "safe")
	end(d, p, logic.ConnectionLost)
	if len(p.sent) != 2 {
		t.Fatalf("%d sends", len(p.sent))
	}
	pass(300 * time.Millisecond) // of the 500 that a state may be held; the second read is connecting all the while
	if len(*rel) == 0 {
		t.Error("nothing was released")
	}
	none(t, k)
}

// Guards: what a read left, whose connection had broken, was let go only where its request was not served. It may end on its replica after
// another read was fetched and answered, which lets go of what is there by then.
func TestWhatABrokenReadLeavesBehindAnAnswerIsLetGo(t *testing.T) {
	for _, broken := range []bool{true, false} {
		d, rel, pass := clocked(t)
		k, p := take(d, "a", "safe")
		if broken {
			end(d, p, logic.ConnectionLost)
		}
		end(d, p, logic.ReadDone)
		p.sent[len(p.sent)-1].tell.Began(&closer{})
		drive(d)
		if a := answerOf(t, k); a.Verdict != Served {
			t.Fatalf("%v", a.Verdict)
		}
		end(d, p, logic.Delivered)
		pass(looseAgain)
		if n := len(*rel); broken != (n > 0) {
			t.Errorf("broken %v: released %d times", broken, n)
		}
	}
}

// A read that is out at its replica keeps what an earlier one left from being pinned, and is not disturbed.
func TestReadThatIsOutIsNotReleased(t *testing.T) {
	d, rel, pass := clocked(t)
	_, p := take(d, "a", "safe")
	end(d, p, logic.ConnectionLost)
	p.sent[1].tell.Written()
	pass(300 * time.Millisecond)
	if len(*rel) > 0 {
		t.Errorf("released %v", *rel)
	}
}

// Guards: the program ended while what was held had still to be let go: at the end of an attempt whose client had its answer already, and
// once more a moment after that.
func TestNothingIsIdleWhileSomethingIsHeld(t *testing.T) {
	d, rel, pass := clocked(t)
	idle := func() bool { d.Phases.mu.Lock(); defer d.Phases.mu.Unlock(); return d.Phases.open == 0 }
	k, p := take(d, "a", "safe")
	k.Leave()
	drive(d)
	if a := answerOf(t, k); a.Verdict != Left {
		t.Fatalf("%v", a.Verdict)
	}
	k.Finish()
	if idle() {
		t.Error("idle while a read is out")
	}
	end(d, p, logic.Cancelled)
	first := len(*rel)
	if first == 0 || idle() {
		t.Errorf("released %d times, idle %v", first, idle())
	}
	pass(looseAgain)
	if len(*rel) == first || !idle() {
		t.Errorf("released %d times, idle %v", len(*rel), idle())
	}
}

// A release asks the reader that holds the state before all others, also when it is no longer listed.
func TestReleaseAsksTheHolderFirst(t *testing.T) {
	d, _ := core(t, 9)
	asked := &askedAt{}
	d.releaser = asked
	_, p := take(d, "a", "unsafe")
	end(d, p, logic.ReadDone)
	end(d, p, logic.ConnectionLost)
	if got := asked.addrs; len(got) != 3 || got[0] != "r1" {
		t.Errorf("asked %v", got)
	}
	Update{Full: true, Servers: []Server{{Addr: "w1", ServerEntry: logic.ServerEntry{ID: "w1", Kind: "w", Weight: 1}}}}.apply(d)
	d.release("b", "r1", RequestEnded)
	if got := asked.addrs; !reflect.DeepEqual(got, []string{"r1", "w1"}) {
		t.Errorf("asked %v", got)
	}
}

type askedAt struct{ addrs []string }

func (a *askedAt) Release(_ string, addrs []string) { a.addrs = addrs }
