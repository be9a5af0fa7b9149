package dispatch

import (
	"fmt"
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
	d.servers, d.surest = map[string]*Server{}, nil
	for _, id := range []string{"a1 away", "a2 away", "a3 away", "b1 far", "o1 own", "o2 own"} {
		d.servers[id] = &Server{Addr: id[:2], ServerEntry: logic.ServerEntry{ID: id, Zone: id[3:]}}
	}
	if got := d.releaseOrder("a", ""); !reflect.DeepEqual(got, []string{"o1", "a1", "b1", "o2", "a2", "a3"}) {
		t.Errorf("tried %v", got)
	}
	if got := d.releaseOrder("a", "b1"); !reflect.DeepEqual(got, []string{"b1", "o1", "a1", "o2", "a2", "a3"}) {
		t.Errorf("tried %v, held at b1", got)
	}
}

// Guards against the incident in large fleets: each release sorted all replicas anew, some milliseconds of the core's time. The order stands
// until a list or the settings change, and a release has a bounded number of replicas to try, in part others than the next release.
func TestReleaseOrderInALargeFleetIsMadeOnce(t *testing.T) {
	d, _ := core(t, 9)
	list := Update{Full: true}
	for i := range 3200 {
		id := fmt.Sprintf("r%04d", i)
		list.Servers = append(list.Servers, Server{Addr: id, ServerEntry: logic.ServerEntry{ID: id, Kind: "r", Zone: string(rune('a' + i%3)), Weight: 1}})
	}
	list.apply(d)
	first, second := d.releaseOrder("1", "r0100"), d.releaseOrder("2", "r0100")
	made := &d.surest[0]
	if len(first) != 1+releaseFixed+releaseDrawn || first[0] != "r0100" {
		t.Errorf("%d replicas are tried, first %s", len(first), first[0])
	}
	if !reflect.DeepEqual(first[:1+releaseFixed], second[:1+releaseFixed]) || reflect.DeepEqual(first, second) {
		t.Errorf("tried %v and %v", first, second)
	}
	seen := map[string]bool{}
	for _, addr := range first {
		if seen[addr] {
			t.Errorf("%s is tried twice", addr)
		}
		seen[addr] = true
	}
	if d.releaseOrder("3", ""); &d.surest[0] != made {
		t.Error("the order is made anew for a release")
	}
	Update{Servers: []Server{{Addr: "r0000", ServerEntry: logic.ServerEntry{ID: "r0000", Kind: "r", Availability: logic.Gone}}}}.apply(d)
	if got := d.releaseOrder("4", ""); got[0] == "r0000" {
		t.Error("a replica that is gone is tried first")
	}
}

// Guards: what a read has left is let go in time while the attempt to fetch it can't connect, and also where its bytes have left: an open
// connection may have fallen silent, and then they come to nobody. Once the writer has answered, the state was taken.
func TestHeldStateIsLetGoWhileNoAnswerProvesTheFetch(t *testing.T) {
	for name, c := range map[string]struct {
		fetch    func(d *Dispatcher, p *parcel)
		released bool
	}{
		"connecting": {func(*Dispatcher, *parcel) {}, true},
		"written":    {func(_ *Dispatcher, p *parcel) { p.sent[1].tell.Written() }, true},
		"began":      {func(d *Dispatcher, p *parcel) { p.sent[1].tell.Began(&closer{}); drive(d) }, false},
		"taken, then": {func(d *Dispatcher, p *parcel) {
			p.sent[1].tell.Ended(Result{Outcome: logic.ConnectionLost, NoState: true})
			drive(d)
		}, false},
	} {
		d, rel, pass := clocked(t)
		_, p := take(d, "a", "safe")
		end(d, p, logic.ReadDone)
		if len(p.sent) != 2 {
			t.Fatalf("%d sends", len(p.sent))
		}
		c.fetch(d, p)
		pass(300 * time.Millisecond) // of the 500 that a state may be held
		if released := len(*rel) > 0; released != c.released {
			t.Errorf("%s: released %v", name, *rel)
		}
	}
}

// Guards: a writer that vanishes while an attempt waits there leaves the state behind, and no error shows. What is held is let go time and
// again for as long as the attempt is out, and at once when it ends without proof; the request is read anew after that.
func TestHeldStateIsLetGoAgainWhileAFetchIsOut(t *testing.T) {
	d, rel, pass := clocked(t)
	_, p := take(d, "a", "safe")
	end(d, p, logic.ReadDone)
	p.sent[1].tell.Written()
	pass(250 * time.Millisecond)
	if len(*rel) != 1 {
		t.Fatalf("released %v", *rel)
	}
	pass(500 * time.Millisecond)
	if len(*rel) != 2 {
		t.Errorf("released %v while the fetch is out", *rel)
	}
	end(d, p, logic.TimedOut)
	if len(*rel) != 3 {
		t.Errorf("released %v as the fetch has ended", *rel)
	}
	if len(p.sent) != 3 || p.sent[2].to.Server != "r1" {
		t.Errorf("%d sends, the last %+v: it is to be read anew", len(p.sent), p.sent[len(p.sent)-1].to)
	}
}

// Guards: retries that fail at once, in a row, began the time anew each, so that a state was held for the sum of them.
func TestRetriesThatFailAtOnceDoNotProlongWhatIsHeld(t *testing.T) {
	d, rel, pass := clocked(t)
	_, p := take(d, "a", "safe")
	end(d, p, logic.ReadDone)
	pass(200 * time.Millisecond)
	p.sent[1].tell.Written()
	end(d, p, logic.ConnectionLost)
	if len(p.sent) != 3 {
		t.Fatalf("%d sends", len(p.sent))
	}
	p.sent[2].tell.Written()
	pass(60 * time.Millisecond)
	if len(*rel) == 0 {
		t.Error("nothing was released 260 ms after the read")
	}
}

// A writer that turns the fetch away has heard of it: the time that a state may be held counts from its answer.
func TestStateIsKeptForAnotherWriterAfterOneTurnedTheFetchAway(t *testing.T) {
	d, rel, pass := clocked(t)
	_, p := take(d, "a", "safe")
	end(d, p, logic.ReadDone)
	pass(200 * time.Millisecond)
	end(d, p, logic.Full)
	if len(p.sent) != 3 || p.sent[2].to.Server == "r1" {
		t.Fatalf("%d sends, the last %+v", len(p.sent), p.sent[len(p.sent)-1].to)
	}
	pass(200 * time.Millisecond)
	if len(*rel) > 0 {
		t.Errorf("released %v", *rel)
	}
	pass(60 * time.Millisecond)
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

// withheld is a releaser whose confirmations the test gives.
type withheld struct {
	ids  []string
	then []func(bool)
}

func (w *withheld) Release(id string, _ []string) { w.ids = append(w.ids, id) }

func (w *withheld) ReleaseAt(id, _ string, then func(bool)) {
	w.ids, w.then = append(w.ids, id), append(w.then, then)
}

func (w *withheld) ReleaseThen(id string, _ []string, _ time.Duration, then func(bool)) {
	w.ids, w.then = append(w.ids, id), append(w.then, then)
}

// Guards: a second read whose bytes had left counted as one that had arrived, and kept what the first had left from being let go. So a
// request is read anew only when that is confirmed. What a read in progress will leave would be let go with the rest: while one is out
// nothing is released.
func TestRequestIsReadAnewOnceWhatABrokenReadLeftIsReleased(t *testing.T) {
	for _, o := range []logic.Outcome{logic.ConnectionLost, logic.TimedOut, logic.Cancelled} {
		d, _, pass := clocked(t)
		rel := &withheld{}
		d.releaser = rel
		_, p := take(d, "a", "safe")
		end(d, p, o)
		if len(p.sent) != 1 || len(rel.then) != 1 {
			t.Fatalf("%v: %d sends, %d releases", o, len(p.sent), len(rel.then))
		}
		rel.then[0](true)
		drive(d)
		if len(p.sent) != 2 || p.sent[1].to.Server != "r1" {
			t.Fatalf("%v: %d sends after the release", o, len(p.sent))
		}
		p.sent[1].tell.Written()
		if pass(time.Second); len(rel.ids) != 1 {
			t.Errorf("%v: released %v while a read is out", o, rel.ids)
		}
	}
}

// Guards: a fetch that ends without proof, after its state was let go, may have kept it from that until then. The request is read anew
// once that is released too; a client that leaves meanwhile gets its answer at once, and the program is not idle before the end.
func TestRequestIsReadAnewOnceWhatAFetchKeptIsReleased(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		d, _, pass := clocked(t)
		rel := &withheld{}
		d.releaser = rel
		k, p := take(d, "a", "safe")
		end(d, p, logic.ReadDone)
		pass(250 * time.Millisecond)
		rel.then[0](true)
		drive(d)
		end(d, p, logic.TimedOut)
		if len(p.sent) != 2 || len(rel.then) != 2 {
			t.Fatalf("%d sends, %d releases", len(p.sent), len(rel.then))
		}
		if leaves {
			k.Abandon()
			drive(d)
			if a := answerOf(t, k); a.Verdict != ClientLeft || len(d.requests) != 1 {
				t.Errorf("%v, %d requests are known", a.Verdict, len(d.requests))
			}
		}
		rel.then[1](true)
		drive(d)
		if leaves && (len(p.sent) != 2 || len(d.requests) != 0) || !leaves && (len(p.sent) != 3 || p.sent[2].to.Server != "r1") {
			t.Errorf("client has left %v: %d sends, %d requests are known", leaves, len(p.sent), len(d.requests))
		}
	}
}

// Guards: a read that was given up may go on where its replica hangs or hears nothing of that, and end seconds later. Nobody let go of what
// it left then. Its replica is asked until it answers, behind an answer too; one that has answered is asked once more.
func TestWhatAReadLeavesLateIsLetGo(t *testing.T) {
	for _, served := range []bool{false, true} {
		d, _, pass := clocked(t)
		rel := &withheld{}
		d.releaser = rel
		k, p := take(d, "a", "safe")
		if !served {
			k.Abandon()
			drive(d)
		}
		end(d, p, logic.Cancelled)
		if served {
			rel.then[0](true)
			drive(d)
			end(d, p, logic.ReadDone)
			p.sent[2].tell.Began(&closer{})
			drive(d)
		}
		rel.then = nil
		pass(looseAgain)
		for range 3 { // it hangs
			if len(rel.then) != 1 {
				t.Fatalf("served %v: %d calls wait", served, len(rel.then))
			}
			then := rel.then[0]
			rel.then = nil
			then(false)
			drive(d)
			pass(d.set.ReleaseWithin / 2)
		}
		before := len(rel.ids)
		rel.then[0](true)
		drive(d)
		if pass(looseAgain); len(rel.ids) != before+1 {
			t.Errorf("served %v: %d calls after it has answered", served, len(rel.ids)-before)
		}
		if pass(10 * time.Second); len(rel.ids) != before+1 {
			t.Errorf("served %v: it goes on", served)
		}
	}
}

// Guards: the replica that holds a state was not asked first where the request was refused right before: it was forgotten by then.
func TestReleaseOfARefusedRequestAsksTheHolderFirst(t *testing.T) {
	d, _ := core(t, 9)
	asked := &askedAt{}
	d.releaser = asked
	_, p := take(d, "a", "unsafe")
	end(d, p, logic.ReadDone)
	end(d, p, logic.Full)
	end(d, p, logic.Full)
	if len(p.sent) != 3 || len(d.requests) != 0 || len(asked.addrs) == 0 || asked.addrs[0] != "r1" {
		t.Errorf("%d sends, %d requests are known, asked %v", len(p.sent), len(d.requests), asked.addrs)
	}
}

// Guards: the program ended while what was held had still to be let go: at the end of an attempt whose client had its answer already, and
// once more a moment after that.
func TestNothingIsIdleWhileSomethingIsHeld(t *testing.T) {
	d, rel, pass := clocked(t)
	idle := func() bool { d.Phases.mu.Lock(); defer d.Phases.mu.Unlock(); return d.Phases.open == 0 }
	k, p := take(d, "a", "safe")
	k.Abandon()
	drive(d)
	if a := answerOf(t, k); a.Verdict != ClientLeft {
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

func (a *askedAt) ReleaseAt(_, addr string, then func(bool)) {
	a.addrs = []string{addr}
	then(true)
}

func (a *askedAt) ReleaseThen(_ string, addrs []string, _ time.Duration, then func(bool)) {
	a.addrs = addrs
	then(true)
}

// Guards: a request of which nothing came to any replica, as every connection was in use, had its release called for all the same. Those calls
// took the connections that releases of what was held waited for.
func TestNothingIsReleasedForARequestThatReachedNoReplica(t *testing.T) {
	for _, c := range []struct {
		outcome logic.Outcome
		release bool
	}{{logic.NotSent, false}, {logic.ConnectFailed, false}, {logic.ServerError, true}, {logic.TimedOut, true}} {
		d, rel := core(t, 9)
		k, p := take(d, "a", "safe")
		for len(d.requests) > 0 && len(p.sent) < 9 {
			before := len(p.sent)
			end(d, p, c.outcome)
			if len(p.sent) == before { // it waits for another replica
				d.giveUp(k.r, Answer{Verdict: Refused}, DeadlineExceeded)
			}
		}
		answerOf(t, k)
		if released := len(*rel) > 0; released != c.release {
			t.Errorf("%v: released %v", c.outcome, *rel)
		}
	}
}
