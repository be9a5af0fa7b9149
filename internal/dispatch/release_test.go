package dispatch

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"standpulley/logic"
)

// newClockedCore returns a core whose clock the test moves. The function advance moves the clock
// and runs the timers that are due.
func newClockedCore(t *testing.T) (d *Dispatcher, rel *fakeReleaser, advance func(time.Duration)) {
	t.Helper()
	d, rel = newCore(t, 9)
	now := time.Now()
	d.clock = func() time.Time { return now }
	return d, rel, func(by time.Duration) {
		now = now.Add(by)
		d.runTimers()
	}
}

// TestReleaseOrderAlternatesZones checks that a zone that is cut off, whose replicas let every call
// time out, costs a release only one try, so that held state is released in time.
func TestReleaseOrderAlternatesZones(t *testing.T) {
	d, _ := newCore(t, 9)
	d.settings.Zone = "own"
	d.servers, d.releaseRanking = map[string]*Server{}, nil
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

// TestReleaseOrderIsCachedInLargeFleet guards against a fault seen in large fleets: each release
// sorted all replicas again, which took the core some milliseconds. The ranking is kept until a
// list or the settings change. A release tries a bounded number of replicas, and part of them
// differ from release to release.
func TestReleaseOrderIsCachedInLargeFleet(t *testing.T) {
	d, _ := newCore(t, 9)
	list := Update{Full: true}
	for i := range 3200 {
		id := fmt.Sprintf("r%04d", i)
		list.Servers = append(list.Servers, Server{Addr: id, ServerEntry: logic.ServerEntry{ID: id, Kind: "r", Zone: string(rune('a' + i%3)), Weight: 1}})
	}
	list.apply(d)
	first, second := d.releaseOrder("1", "r0100"), d.releaseOrder("2", "r0100")
	made := &d.releaseRanking[0]
	if len(first) != 1+releaseFixed+releaseSampled || first[0] != "r0100" {
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
	if d.releaseOrder("3", ""); &d.releaseRanking[0] != made {
		t.Error("the ranking was rebuilt for a release")
	}
	Update{Servers: []Server{{Addr: "r0000", ServerEntry: logic.ServerEntry{ID: "r0000", Kind: "r", Availability: logic.Gone}}}}.apply(d)
	if got := d.releaseOrder("4", ""); got[0] == "r0000" {
		t.Error("a replica that is gone is tried first")
	}
}

// TestHeldStateIsReleasedUntilFetchIsProven checks that the state that a read has left is released
// in time while the attempt to fetch it cannot connect, and also after its bytes were sent: an open
// connection may be dead without notice, and then the bytes reach nobody. Once the writer has
// answered, the state was fetched.
func TestHeldStateIsReleasedUntilFetchIsProven(t *testing.T) {
	for name, c := range map[string]struct {
		fetch    func(d *Dispatcher, p *fakePayload)
		released bool
	}{
		"connecting": {func(*Dispatcher, *fakePayload) {}, true},
		"written":    {func(_ *Dispatcher, p *fakePayload) { p.sent[1].observer.Written() }, true},
		"began":      {func(d *Dispatcher, p *fakePayload) { p.sent[1].observer.Began(&fakeStream{}); processAll(d) }, false},
		"fetched, then lost": {func(d *Dispatcher, p *fakePayload) {
			p.sent[1].observer.Ended(Result{Outcome: logic.ConnectionLost, NoState: true})
			processAll(d)
		}, false},
	} {
		d, rel, advance := newClockedCore(t)
		_, p := submit(d, "a", "safe")
		endAttempt(d, p, logic.ReadDone)
		if len(p.sent) != 2 {
			t.Fatalf("unexpected number of sends: %d", len(p.sent))
		}
		c.fetch(d, p)
		advance(300 * time.Millisecond) // of the 500 ms for which state may be held
		if released := len(*rel) > 0; released != c.released {
			t.Errorf("%s: released %v", name, *rel)
		}
	}
}

// TestHeldStateIsReleasedAgainWhileFetchIsInFlight covers a writer that disappears while an attempt
// waits there, which leaves the state behind without an error. The release is repeated for as long
// as the attempt is in flight, and made at once if the attempt ends without proof of a fetch. After
// that the prompt is read again.
func TestHeldStateIsReleasedAgainWhileFetchIsInFlight(t *testing.T) {
	d, rel, advance := newClockedCore(t)
	_, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ReadDone)
	p.sent[1].observer.Written()
	advance(250 * time.Millisecond)
	if len(*rel) != 1 {
		t.Fatalf("released %v", *rel)
	}
	advance(500 * time.Millisecond)
	if len(*rel) != 2 {
		t.Errorf("released %v while the fetch is in flight", *rel)
	}
	endAttempt(d, p, logic.TimedOut)
	if len(*rel) != 3 {
		t.Errorf("released %v after the fetch has ended", *rel)
	}
	if len(p.sent) != 3 || p.sent[2].target.Server != "r1" {
		t.Errorf("%d sends, the last to %+v; want another read", len(p.sent), p.sent[len(p.sent)-1].target)
	}
}

// TestFastFailingRetriesDoNotDelayRelease guards against a fault in which a series of retries that
// each failed at once restarted the release timer each time, so that state was held for the sum of
// their times.
func TestFastFailingRetriesDoNotDelayRelease(t *testing.T) {
	d, rel, advance := newClockedCore(t)
	_, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ReadDone)
	advance(200 * time.Millisecond)
	p.sent[1].observer.Written()
	endAttempt(d, p, logic.ConnectionLost)
	if len(p.sent) != 3 {
		t.Fatalf("unexpected number of sends: %d", len(p.sent))
	}
	p.sent[2].observer.Written()
	advance(60 * time.Millisecond)
	if len(*rel) == 0 {
		t.Error("nothing was released 260 ms after the read")
	}
}

// TestStateIsKeptAfterWriterRejectsFetch checks that the time for which state may be held restarts
// when a writer rejects the fetch, as this answer proves that the fetch arrived there.
func TestStateIsKeptAfterWriterRejectsFetch(t *testing.T) {
	d, rel, advance := newClockedCore(t)
	_, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ReadDone)
	advance(200 * time.Millisecond)
	endAttempt(d, p, logic.Full)
	if len(p.sent) != 3 || p.sent[2].target.Server == "r1" {
		t.Fatalf("%d sends, the last to %+v", len(p.sent), p.sent[len(p.sent)-1].target)
	}
	advance(200 * time.Millisecond)
	if len(*rel) > 0 {
		t.Errorf("released %v", *rel)
	}
	advance(60 * time.Millisecond)
	if len(*rel) == 0 {
		t.Error("nothing was released")
	}
}

// TestStateOfBrokenReadIsReleasedInTime guards against a fault in which, after the connection of a
// read had broken just as the read ended, the state that the read may have left was released only at
// the end of the request. Nobody fetches that state while further attempts cannot connect.
func TestStateOfBrokenReadIsReleasedInTime(t *testing.T) {
	d, rel, advance := newClockedCore(t)
	k, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ConnectionLost)
	if len(p.sent) != 2 {
		t.Fatalf("unexpected number of sends: %d", len(p.sent))
	}
	// State may be held for 500 ms. The second read is still connecting.
	advance(300 * time.Millisecond)
	if len(*rel) == 0 {
		t.Error("nothing was released")
	}
	noFurtherAnswer(t, k)
}

// TestStateOfBrokenReadIsReleasedAfterAnswer guards against a fault in which the state of a read
// whose connection had broken was released only if the request was not served. The read may end at
// its replica after another read of the request was fetched and answered, and that fetch releases
// only what is there by then.
func TestStateOfBrokenReadIsReleasedAfterAnswer(t *testing.T) {
	for _, broken := range []bool{true, false} {
		d, rel, advance := newClockedCore(t)
		k, p := submit(d, "a", "safe")
		if broken {
			endAttempt(d, p, logic.ConnectionLost)
		}
		endAttempt(d, p, logic.ReadDone)
		p.sent[len(p.sent)-1].observer.Began(&fakeStream{})
		processAll(d)
		if a := answerOf(t, k); a.Verdict != Served {
			t.Fatalf("unexpected verdict %v", a.Verdict)
		}
		endAttempt(d, p, logic.Delivered)
		advance(releaseRepeatDelay)
		if n := len(*rel); broken != (n > 0) {
			t.Errorf("broken %v: released %d times", broken, n)
		}
	}
}

// manualReleaser is a releaser whose confirmations are given by the test.
type manualReleaser struct {
	ids     []string
	confirm []func(bool)
}

func (w *manualReleaser) Release(id string, _ []string) { w.ids = append(w.ids, id) }

func (w *manualReleaser) ReleaseAt(id, _ string, then func(bool)) {
	w.ids, w.confirm = append(w.ids, id), append(w.confirm, then)
}

func (w *manualReleaser) ReleaseThen(id string, _ []string, _ time.Duration, then func(bool)) {
	w.ids, w.confirm = append(w.ids, id), append(w.confirm, then)
}

// TestRereadWaitsForReleaseAfterBrokenRead guards against a fault in which a second read whose
// bytes were sent counted as arrived, and kept the state of the first read from being released. So
// the prompt is read again only after that release is confirmed. While a read is in flight nothing
// is released, because its own state would be released too.
func TestRereadWaitsForReleaseAfterBrokenRead(t *testing.T) {
	for _, o := range []logic.Outcome{logic.ConnectionLost, logic.TimedOut, logic.Cancelled} {
		d, _, advance := newClockedCore(t)
		rel := &manualReleaser{}
		d.releaser = rel
		_, p := submit(d, "a", "safe")
		endAttempt(d, p, o)
		if len(p.sent) != 1 || len(rel.confirm) != 1 {
			t.Fatalf("%v: %d sends, %d releases", o, len(p.sent), len(rel.confirm))
		}
		rel.confirm[0](true)
		processAll(d)
		if len(p.sent) != 2 || p.sent[1].target.Server != "r1" {
			t.Fatalf("%v: %d sends after the release", o, len(p.sent))
		}
		p.sent[1].observer.Written()
		if advance(time.Second); len(rel.ids) != 1 {
			t.Errorf("%v: released %v while a read is in flight", o, rel.ids)
		}
	}
}

// TestRereadWaitsForReleaseAfterFailedFetch checks that the prompt is read again only once its
// state is released, if a fetch ends without proof after the release call: the fetch may have kept
// the state from being released until then. A client that leaves meanwhile gets its answer at once,
// and the program is not idle until the release is confirmed.
func TestRereadWaitsForReleaseAfterFailedFetch(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		d, _, advance := newClockedCore(t)
		rel := &manualReleaser{}
		d.releaser = rel
		k, p := submit(d, "a", "safe")
		endAttempt(d, p, logic.ReadDone)
		advance(250 * time.Millisecond)
		rel.confirm[0](true)
		processAll(d)
		endAttempt(d, p, logic.TimedOut)
		if len(p.sent) != 2 || len(rel.confirm) != 2 {
			t.Fatalf("%d sends, %d releases", len(p.sent), len(rel.confirm))
		}
		if leaves {
			k.Abandon()
			processAll(d)
			if a := answerOf(t, k); a.Verdict != ClientLeft || len(d.requests) != 1 {
				t.Errorf("%v, %d requests open", a.Verdict, len(d.requests))
			}
		}
		rel.confirm[1](true)
		processAll(d)
		if leaves && (len(p.sent) != 2 || len(d.requests) != 0) || !leaves && (len(p.sent) != 3 || p.sent[2].target.Server != "r1") {
			t.Errorf("client has left %v: %d sends, %d requests open", leaves, len(p.sent), len(d.requests))
		}
	}
}

// TestStateOfAbandonedReadIsReleased guards against a fault in which the state of a read that was
// given up was never released: the read may continue if its replica hangs or does not notice, and
// end seconds later. The replica is now polled until it answers, even after the request was
// answered, and once it has answered it is asked once more.
func TestStateOfAbandonedReadIsReleased(t *testing.T) {
	for _, served := range []bool{false, true} {
		d, _, advance := newClockedCore(t)
		rel := &manualReleaser{}
		d.releaser = rel
		k, p := submit(d, "a", "safe")
		if !served {
			k.Abandon()
			processAll(d)
		}
		endAttempt(d, p, logic.Cancelled)
		if served {
			rel.confirm[0](true)
			processAll(d)
			endAttempt(d, p, logic.ReadDone)
			p.sent[2].observer.Began(&fakeStream{})
			processAll(d)
		}
		rel.confirm = nil
		advance(releaseRepeatDelay)
		for range 3 { // the replica hangs
			if len(rel.confirm) != 1 {
				t.Fatalf("served %v: %d calls pending", served, len(rel.confirm))
			}
			then := rel.confirm[0]
			rel.confirm = nil
			then(false)
			processAll(d)
			advance(d.settings.ReleaseWithin / 2)
		}
		before := len(rel.ids)
		rel.confirm[0](true)
		processAll(d)
		if advance(releaseRepeatDelay); len(rel.ids) != before+1 {
			t.Errorf("served %v: %d calls after the replica has answered", served, len(rel.ids)-before)
		}
		if advance(10 * time.Second); len(rel.ids) != before+1 {
			t.Errorf("served %v: the calls continue", served)
		}
	}
}

// TestReleaseOfRefusedRequestAsksHolderFirst guards against a fault in which the holder of the
// state was not asked first if the request was refused right before, because the request had
// already been removed from the table.
func TestReleaseOfRefusedRequestAsksHolderFirst(t *testing.T) {
	d, _ := newCore(t, 9)
	asked := &recordingReleaser{}
	d.releaser = asked
	_, p := submit(d, "a", "unsafe")
	endAttempt(d, p, logic.ReadDone)
	endAttempt(d, p, logic.Full)
	endAttempt(d, p, logic.Full)
	if len(p.sent) != 3 || len(d.requests) != 0 || len(asked.addrs) == 0 || asked.addrs[0] != "r1" {
		t.Errorf("%d sends, %d requests open, asked %v", len(p.sent), len(d.requests), asked.addrs)
	}
}

// TestNotIdleWhileStateIsHeld guards against a fault in which the program exited while held state
// still had to be released: at the end of an attempt whose client already had its answer, and once
// more a moment later.
func TestNotIdleWhileStateIsHeld(t *testing.T) {
	d, rel, advance := newClockedCore(t)
	idle := func() bool { d.Phases.mu.Lock(); defer d.Phases.mu.Unlock(); return d.Phases.open == 0 }
	k, p := submit(d, "a", "safe")
	k.Abandon()
	processAll(d)
	if a := answerOf(t, k); a.Verdict != ClientLeft {
		t.Fatalf("unexpected verdict %v", a.Verdict)
	}
	k.Finish()
	if idle() {
		t.Error("idle while a read is in flight")
	}
	endAttempt(d, p, logic.Cancelled)
	first := len(*rel)
	if first == 0 || idle() {
		t.Errorf("released %d times, idle %v", first, idle())
	}
	advance(releaseRepeatDelay)
	if len(*rel) == first || !idle() {
		t.Errorf("released %d times, idle %v", len(*rel), idle())
	}
}

// TestReleaseAsksHolderFirst checks that a release asks the reader that holds the state first, even
// if the reader is no longer listed.
func TestReleaseAsksHolderFirst(t *testing.T) {
	d, _ := newCore(t, 9)
	asked := &recordingReleaser{}
	d.releaser = asked
	_, p := submit(d, "a", "unsafe")
	endAttempt(d, p, logic.ReadDone)
	endAttempt(d, p, logic.ConnectionLost)
	if got := asked.addrs; len(got) != 3 || got[0] != "r1" {
		t.Errorf("asked %v", got)
	}
	Update{Full: true, Servers: []Server{{Addr: "w1", ServerEntry: logic.ServerEntry{ID: "w1", Kind: "w", Weight: 1}}}}.apply(d)
	d.release("b", "r1", RequestEnded)
	if got := asked.addrs; !reflect.DeepEqual(got, []string{"r1", "w1"}) {
		t.Errorf("asked %v", got)
	}
}

// recordingReleaser records the addresses of the last release and confirms it at once.
type recordingReleaser struct{ addrs []string }

func (a *recordingReleaser) Release(_ string, addrs []string) { a.addrs = addrs }

func (a *recordingReleaser) ReleaseAt(_, addr string, then func(bool)) {
	a.addrs = []string{addr}
	then(true)
}

func (a *recordingReleaser) ReleaseThen(_ string, addrs []string, _ time.Duration, then func(bool)) {
	a.addrs = addrs
	then(true)
}

// TestNoReleaseForRequestThatReachedNoReplica guards against a fault in which a release was called
// even for a request that had reached no replica because every connection was in use. Those calls
// took the connections that the releases of held state were waiting for.
func TestNoReleaseForRequestThatReachedNoReplica(t *testing.T) {
	for _, c := range []struct {
		outcome logic.Outcome
		release bool
	}{{logic.NotSent, false}, {logic.ConnectFailed, false}, {logic.ServerError, true}, {logic.TimedOut, true}} {
		d, rel := newCore(t, 9)
		k, p := submit(d, "a", "safe")
		for len(d.requests) > 0 && len(p.sent) < 9 {
			before := len(p.sent)
			endAttempt(d, p, c.outcome)
			if len(p.sent) == before { // the request waits for another replica
				d.giveUp(k.request, Answer{Verdict: Refused}, DeadlineExceeded)
			}
		}
		answerOf(t, k)
		if released := len(*rel) > 0; released != c.release {
			t.Errorf("%v: released %v", c.outcome, *rel)
		}
	}
}
