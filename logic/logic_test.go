package logic

import (
	"slices"
	"testing"
	"time"
)

// settings returns settings for a small fleet with three kinds, one class and short times.
func settings() Settings {
	return Settings{
		Siblings: 2, Zone: "z1", Kinds: []Kind{{"r", Reader, 200000}, {"w", Writer, 200000}, {"m", Mixed, 200000}},
		Classes: []Class{{Name: "c", Aim: time.Second, AimPer1K: 40 * time.Millisecond, TokenAim: 50 * time.Millisecond,
			Deadline: 6 * time.Second, LateWorth: 0.1, Worth: 1, Window: 5 * time.Second}},
		CanCancel: true, MaxAttempts: 5, MaxRetryAfter: time.Second, ReleaseWithin: 500 * time.Millisecond,
		ColdFrom: 0.3, RampTime: 10 * time.Second, FallMultiple: 3, FallTime: 2 * time.Second,
	}
}

func entry(id, kind string, cell int64) ServerEntry {
	return ServerEntry{ID: id, Zone: "z1", Kind: kind, Cell: cell, Weight: 1}
}

func newRouter(t *testing.T, set Settings, list ...ServerEntry) *Router {
	t.Helper()
	l, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	l.Handle(0, &Event{Kind: ListComplete, Servers: list}, nil)
	return l
}

func arrival(id string, session, prefix uint64) *Event {
	return &Event{Kind: Arrived, RequestID: id, Request: Request{Class: "c", Session: session, Prefix: prefix,
		PrefixTokens: 1000, PromptTokens: 2000, MaxOutput: 200, Remaining: 6 * time.Second}}
}

func find(acts []Action, k ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == k {
			return &acts[i]
		}
	}
	return nil
}

// ms returns n milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestReadThenWriteInReadersCell(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w2", "w", 2), entry("w1", "w", 1))
	a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send)
	if a == nil || a.Server != "r1" {
		t.Fatalf("first send %+v, want the reader", a)
	}
	a = find(l.Handle(ms(90), &Event{Kind: Ended, RequestID: "q", Server: "r1", Outcome: ReadDone, Took: ms(89)}, nil), Send)
	if a == nil || a.Server != "w1" {
		t.Fatalf("second send %+v, want the writer of the reader's cell", a)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"siblings": func(s *Settings) { s.Siblings = 0 }, "attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"classes": func(s *Settings) { s.Classes = nil }, "kinds": func(s *Settings) { s.Kinds = nil },
		"cold": func(s *Settings) { s.ColdFrom = 2 }, "aim": func(s *Settings) { s.Classes[0].Aim = 0 },
	} {
		s := settings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestShortAttemptsAreNotHalved guards against halving the time of an attempt when the client gives
// up soon: the half would be less than a healthy server needs (i170e8f).
func TestShortAttemptsAreNotHalved(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	ev := arrival("q", 7, 9)
	ev.Request.Remaining = 370 * time.Millisecond
	if a := find(l.Handle(ms(1), ev, nil), Send); a == nil || a.Until != ms(371) {
		t.Errorf("send %+v, want the whole time that is left", a)
	}
	ev = arrival("p", 8, 9)
	if a := find(l.Handle(ms(1), ev, nil), Send); a == nil || a.Until != ms(3001) {
		t.Errorf("send %+v, want half of the time that is left, for a second attempt", a)
	}
}

// TestMixedServerTakesRequestThatReadersRefuse checks that a mixed server that is idle takes a
// request for both read and write if the readers' queue would cause a refusal (i07ef36).
func TestMixedServerTakesRequestThatReadersRefuse(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("m1", "m", 1))
	l.meanPerToken = 0.0001
	l.servers["r1"].unreadTokens = 50000
	if a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send); a == nil || a.Server != "m1" {
		t.Errorf("send %+v, want the mixed server", a)
	}
	l.servers["m1"].unreadTokens = 50000
	if a := find(l.Handle(ms(2), arrival("p", 8, 9), nil), Refuse); a == nil {
		t.Error("not refused, with queues at all servers")
	}
}

// TestNoRefusalBeforeARateIsLearned checks that nothing is refused before a rate is learned, even
// if every writer answers "full".
func TestNoRefusalBeforeARateIsLearned(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.servers["w1"].backpressure.set(tenantClass{"", l.classes["c"]}, backpressure{fullUntil: ms(5000)})
	if a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send); a == nil {
		t.Error("refused without a learned rate")
	}
	l.meanPerToken = 0.0001
	if a := find(l.Handle(ms(2), arrival("p", 8, 9), nil), Refuse); a == nil {
		t.Error("not refused early, with every writer full")
	}
}

// TestOwnLongReadIsNotRefused checks that a request's own long read never causes its refusal; a
// queue of the same length does.
func TestOwnLongReadIsNotRefused(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.001
	if a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send); a == nil {
		t.Error("refused because of its own read of 2 s")
	}
	if a := find(l.Handle(ms(2), arrival("p", 8, 9), nil), Refuse); a == nil {
		t.Error("not refused with 2 s of reads queued before it")
	}
}

// TestReaderChoice checks which reader is chosen for a request with session 7 and prefix 9.
func TestReaderChoice(t *testing.T) {
	now := ms(10000)
	for name, c := range map[string]struct {
		set  func(l *Router, r1, r2 *server)
		want string
	}{
		"the reader that holds the session": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r2, 1900, true)
		}, "r2"},
		"not the holder if its wait is longer than reading again": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r2, 1900, true)
			r2.unreadTokens = 4000
		}, "r1"},
		"not a reader with recent waits caused by other routers": {func(l *Router, r1, r2 *server) {
			l.learnRead(&request{Request: Request{PromptTokens: 2000}}, r1, time.Second, 0)
			r2.perToken, r2.perTokenAt = r1.perToken, now
		}, "r2"},
		"not a reader with repeated errors": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			for range 3 {
				l.recordOutcome(&request{}, r1, reading, &Event{Outcome: ServerError})
			}
		}, "r2"},
		"not a reader that has just answered full": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			l.recordOutcome(&request{class: l.classes["c"]}, r1, reading, &Event{Outcome: Full})
		}, "r2"},
		"not a reader that has lost another cached prefix since": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			l.recordCached(tableKey{false, 7}, r2, 1900, true)
			l.now += ms(1)
			l.learnRead(&request{Request: Request{PromptTokens: 2000}, confirmedTokens: 1500, sentAt: l.now}, r1, ms(200), 0)
			r1.extraWait, r1.perToken, l.meanPerToken = 0, 0.0001, 0.0001
		}, "r2"},
		"not a reader whose entry has expired": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			l.now += entryTTL + ms(1)
			l.recordCached(tableKey{false, 7}, r2, 1900, true)
		}, "r2"},
		"not a drained reader": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			r1.listed = false
		}, "r2"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newRouter(t, settings(), entry("r1", "r", 1), entry("r2", "r", 1), entry("w1", "w", 1))
			l.now, l.meanPerToken = now, 0.0001
			c.set(l, l.servers["r1"], l.servers["r2"])
			r := &request{Request: arrival("q", 7, 9).Request, class: l.classes["c"]}
			if got := l.chooseReader(r); got.server == nil || got.server.ID != c.want {
				t.Errorf("got %+v, want %s", got.server, c.want)
			}
		})
	}
}

// TestFurtherHomeCostsMoreUnderLoad checks that while all readers have queues, choosing a reader
// that would have to read a known prefix again costs more than that read.
func TestFurtherHomeCostsMoreUnderLoad(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("r2", "r", 1), entry("r3", "r", 1), entry("w1", "w", 1))
	l.now, l.meanPerToken = ms(10000), 0.0001
	r := &request{Request: arrival("q", 7, 9).Request}
	var homes []*server
	for _, h := range l.homes(r, l.candidates(r, true), nil) {
		homes = append(homes, h.server)
	}
	for _, s := range l.order {
		s.unreadTokens = 3000
	}
	for _, s := range homes {
		s.unreadTokens = 5500
	}
	if got := l.chooseReader(r).server; !slices.Contains(homes, got) {
		t.Errorf("got %s, want one of the homes", got.ID)
	}
	for _, s := range l.order {
		s.unreadTokens = max(s.unreadTokens-3000, 0)
	}
	if got := l.chooseReader(r).server; slices.Contains(homes, got) {
		t.Errorf("got the home %s though another is idle", got.ID)
	}
}

// TestUnseenPrefixesShareAHome checks that a prefix that no router has seen yet starts at the same
// home at all routers, whatever the order of their lists.
func TestUnseenPrefixesShareAHome(t *testing.T) {
	homes := map[string]int{}
	for key := uint64(1); key < 60; key++ {
		a := newRouter(t, settings(), entry("r1", "r", 1), entry("r2", "r", 1), entry("r3", "r", 1))
		b := newRouter(t, settings(), entry("r3", "r", 1), entry("r1", "r", 1), entry("r2", "r", 1))
		r := &request{Request: arrival("q", 7*key, key).Request}
		a.meanPerToken, b.meanPerToken = 0.0001, 0.0001
		x, y := a.chooseReader(r).server.ID, b.chooseReader(r).server.ID
		if x != y {
			t.Fatalf("key %d starts at %s and %s", key, x, y)
		}
		homes[x]++
	}
	if len(homes) != 3 {
		t.Errorf("homes %v, want all readers used", homes)
	}
}

func TestOverQuotaIsRefusedFirst(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{"big", 2}, {"small", 100}}
	l := newRouter(t, set, entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	refused := map[string]int{}
	for i := range 12 {
		for _, tenant := range []string{"big", "small"} {
			l.servers["r1"].unreadTokens = 3500
			ev := arrival(tenant+string(rune('a'+i)), uint64(100+i), 9)
			ev.Request.Tenant = tenant
			if find(l.Handle(ms(1+i), ev, nil), Refuse) != nil {
				refused[tenant]++
			}
		}
	}
	if refused["big"] < 8 || refused["small"] != 0 {
		t.Errorf("refused %v, want most of the tenant over its quota and none of the other", refused)
	}
}

// TestFailedWritersAreRetried guards against ejecting all writers forever after each has failed:
// later requests are admitted and try them again.
func TestFailedWritersAreRetried(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	l.recordFailure(l.servers["w1"])
	for i, at := range []int{1, 30000} {
		if a := find(l.Handle(ms(at), arrival(string(rune('a'+i)), 7, 9), nil), Send); a == nil {
			t.Errorf("at %d ms: refused, so the writer is never tried again", at)
		}
	}
}

// TestRetriesHaveLessTime checks that a client's retry has only the rest of its first-token target
// (ib6e6d7): a queue that admitted the first attempt refuses the retry.
func TestRetriesHaveLessTime(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	l.servers["r1"].unreadTokens = 4000
	if a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send); a == nil {
		t.Fatal("the first attempt was not sent")
	}
	l.Handle(ms(2), &Event{Kind: Departed, RequestID: "q"}, nil)
	if a := find(l.Handle(ms(700), arrival("p", 7, 9), nil), Refuse); a == nil {
		t.Error("the retry was not refused")
	}
	if a := find(l.Handle(ms(701), arrival("n", 8, 9), nil), Send); a == nil {
		t.Error("another request was not sent")
	}
}

// TestOneLostConnectionIsNotAFailure checks that one lost connection does not count as a failed
// server; three in a row do (i9869bd: connections were cut while their servers ran).
func TestOneLostConnectionIsNotAFailure(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	r1 := l.servers["r1"]
	for want, n := range []int{0, 0, 0, 1} {
		if want > 0 {
			l.recordOutcome(&request{}, r1, reading, &Event{Outcome: ConnectionLost})
		}
		if (r1.failures > 0) != (n > 0) {
			t.Errorf("after %d lost connections: %d failures", want, r1.failures)
		}
	}
}

// TestOverdueDependsOnMeanReadTime checks that a reader that has not answered is overdue if reads
// are usually short, but not if every read takes long. It guards against mass cancellation of
// reads, which congested large fleets, where a given reader answers a given router only about
// once a minute.
func TestOverdueDependsOnMeanReadTime(t *testing.T) {
	for _, meanRead := range []float64{0.05, 0.6, 0} { // 0: a router that has just started, and no read has ended yet
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		if meanRead > 0 {
			l.meanPerToken, l.meanReadTime = 0.0001, meanRead
		}
		l.Handle(ms(1), arrival("q", 7, 9), nil)
		cancel := find(l.Handle(ms(900), &Event{Kind: TimerFired, Tag: tagTick}, nil), Cancel)
		if (cancel != nil) != (meanRead == 0.05) {
			t.Errorf("mean read time %v s: cancel %v after 0.9 s", meanRead, cancel)
		}
	}
}

// TestServerFullToOneTenant checks that a server that answers "full" to one tenant while it has
// room for others is still used by the others. The refused tenant skips it, for longer the slower
// its refusals are.
func TestServerFullToOneTenant(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{"a", 50}, {"b", 50}}
	l := newRouter(t, set, entry("r1", "r", 1), entry("r2", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	send := func(id, tenant string, at int) string {
		ev := arrival(id, 7, 9)
		ev.Request.Tenant = tenant
		return find(l.Handle(ms(at), ev, nil), Send).Server
	}
	first := send("q", "a", 1)
	retry := find(l.Handle(ms(200), &Event{Kind: Ended, RequestID: "q", Server: first, Outcome: Full, Took: ms(199)}, nil), Send)
	if retry == nil || retry.Server == first {
		t.Fatalf("after a refusal: %+v, want the other reader", retry)
	}
	l.Handle(ms(250), &Event{Kind: Ended, RequestID: "q", Server: retry.Server, Attempt: 1, Outcome: ReadDone, Took: ms(50)}, nil)
	usable := func(tenant string, at int) bool {
		l.now = ms(at)
		r := &request{Request: Request{Tenant: tenant}, class: l.classes["c"]}
		return slices.Contains(l.candidates(r, true).servers, l.servers[first])
	}
	if usable("a", 2000) || !usable("b", 2000) || !usable("a", 12000) {
		t.Errorf("usable to a %v, to b %v, to a later %v; want false, true, true",
			usable("a", 2000), usable("b", 2000), usable("a", 12000))
	}
}

// TestFailedServerIsRetriedByFewRouters checks that of many routers only a few try a failed server
// within a window, as it may have restarted unnoticed and be cold.
func TestFailedServerIsRetriedByFewRouters(t *testing.T) {
	tried := 0
	for i := range 200 {
		set := settings()
		set.Siblings = 200
		l, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		l.Handle(0, &Event{Kind: ListComplete, Servers: []ServerEntry{entry("r1", "r", 1), entry("r2", "r", 1), entry("w1", "w", 1)}}, nil)
		l.now = ms(1000)
		l.recordFailure(l.servers["r1"])
		l.candidates(&request{}, true)
		l.now = ms(12000)
		if slices.Contains(l.candidates(&request{}, true).servers, l.servers["r1"]) {
			tried++
		}
	}
	if tried < 1 || tried > 20 {
		t.Errorf("%d of 200 routers retry the failed server at once, want a few", tried)
	}
}

// TestMarkedRetryHasLessTime checks that a queue that admits other requests refuses one that its
// client marks as a retry, as it was first sent to another router.
func TestMarkedRetryHasLessTime(t *testing.T) {
	for _, retried := range []bool{false, true} {
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		l.meanPerToken = 0.0001
		l.servers["r1"].unreadTokens = 4000
		ev := arrival("q", 7, 9)
		ev.Request.Retried = retried
		if refused := find(l.Handle(ms(1), ev, nil), Refuse) != nil; refused != retried {
			t.Errorf("marked as retry %v: refused %v", retried, refused)
		}
	}
}

// TestOutputHint checks that a writer is expected to hold as many answer tokens as the output hint
// says, or a share of the maximum output if there is no hint.
func TestOutputHint(t *testing.T) {
	for hint, want := range map[time.Duration]float64{0: 2000 + 0.3*200, ms(5000): 2100, ms(90000): 2200} {
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		ev := arrival("q", 7, 9)
		ev.Request.OutputHint = hint
		l.Handle(ms(1), ev, nil)
		l.Handle(ms(50), &Event{Kind: Ended, RequestID: "q", Server: "r1", Outcome: ReadDone, Took: ms(49)}, nil)
		if got := l.servers["w1"].heldTokens; got != want {
			t.Errorf("hint %v: the writer holds %v tokens, want %v", hint, got, want)
		}
	}
}

// TestReportsLoseWeightWithAge checks that a load report loses weight with age, and a writer
// without a report counts as the mean, not as empty.
func TestReportsLoseWeightWithAge(t *testing.T) {
	l := newRouter(t, settings(), entry("w1", "w", 1), entry("w2", "w", 1))
	w1 := l.servers["w1"]
	w1.report, w1.reportAt = Report{MemoryHeld: 0.9}, ms(1000)
	last := 1.0
	for _, age := range []int{0, 1000, 2000, 3500} {
		l.now = ms(1000 + age)
		if got := l.load(w1); got >= last {
			t.Errorf("with a report %d ms old: load %.2f, want less than %.2f", age, got, last)
		} else {
			last = got
		}
	}
	if last != l.load(l.servers["w2"]) {
		t.Errorf("with an expired report: load %.2f, want that of a writer without a report", last)
	}
}

// TestShortStallIsNotOverdue checks that if a server stalls for half a second among short reads,
// its attempt is not cancelled and the server is not ejected.
func TestShortStallIsNotOverdue(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken, l.meanReadTime = 0.00005, 0.16
	l.Handle(ms(1), arrival("q", 7, 9), nil)
	if a := find(l.Handle(ms(600), &Event{Kind: TimerFired, Tag: tagTick}, nil), Cancel); a != nil || l.servers["r1"].failures > 0 {
		t.Errorf("after 0.6 s: cancel %v, %d failures", a, l.servers["r1"].failures)
	}
}

// TestFetchedStateIsReadAgain guards against a retry with a state that no longer exists: a writer
// whose answer was corrupted has already fetched it. The prompt is read again, and the reader does
// not count as failed.
func TestFetchedStateIsReadAgain(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1), entry("w2", "w", 1))
	l.Handle(ms(1), arrival("q", 7, 9), nil)
	w := find(l.Handle(ms(20), &Event{Kind: Ended, RequestID: "q", Server: "r1", Outcome: ReadDone, Took: ms(19)}, nil), Send)
	a := find(l.Handle(ms(40), &Event{Kind: Ended, RequestID: "q", Server: w.Server, Attempt: 1, Outcome: ConnectionLost,
		NoState: true, Took: ms(20)}, nil), Send)
	if a == nil || a.Server != "r1" {
		t.Fatalf("after a corrupted answer: %+v, want the reader", a)
	}
	// If it is unknown whether the state was fetched, another writer is tried, and may find none.
	l.Handle(ms(60), &Event{Kind: Ended, RequestID: "q", Server: "r1", Attempt: 2, Outcome: ReadDone, Took: ms(19)}, nil)
	a = find(l.Handle(ms(80), &Event{Kind: Ended, RequestID: "q", Server: w.Server, Attempt: 3, Outcome: ConnectionLost, Took: ms(20)}, nil), Send)
	if a == nil || a.Server == "r1" {
		t.Fatalf("after a lost connection: %+v, want a writer", a)
	}
	l.Handle(ms(90), &Event{Kind: Ended, RequestID: "q", Server: a.Server, Attempt: 4, Outcome: Full, NoState: true, Took: ms(1)}, nil)
	if l.servers["r1"].failures != 0 {
		t.Error("the reader counts as failed although an earlier attempt may have fetched the state")
	}
}

// TestWritersWithErrorsAreAvoided guards against a writer that fails now and then, but never often
// enough in a row to be ejected: requests that may run only once would be lost there.
func TestWritersWithErrorsAreAvoided(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1), entry("w2", "w", 1))
	at, sent := 0, map[string]int{}
	for i := range 60 {
		id := string(rune('A' + i))
		l.Handle(ms(at), arrival(id, uint64(i), 9), nil)
		w := find(l.Handle(ms(at+20), &Event{Kind: Ended, RequestID: id, Server: "r1", Outcome: ReadDone, Took: ms(20)}, nil), Send).Server
		sent[w]++
		if w == "w1" && sent[w]%3 == 0 {
			w = find(l.Handle(ms(at+25), &Event{Kind: Ended, RequestID: id, Server: w, Attempt: 1, Outcome: ServerError, Took: ms(5)}, nil), Send).Server
		}
		l.Handle(ms(at+45), &Event{Kind: StreamStarted, RequestID: id, Server: w, Took: ms(20)}, nil)
		l.Handle(ms(at+60), &Event{Kind: Ended, RequestID: id, Server: w, Outcome: Delivered, RequestEnded: true}, nil)
		at += 100
	}
	if sent["w1"] > 20 {
		t.Errorf("%d of 60 requests went to the failing writer", sent["w1"])
	}
}

// TestGoneServersAreRemoved guards against unbounded growth: replicas are constantly replaced by
// new ones with new ids, and what is stored about the old ones must be removed.
func TestGoneServersAreRemoved(t *testing.T) {
	l := newRouter(t, settings(), entry("r0", "r", 1), entry("w0", "w", 1))
	var at time.Duration
	for i := range 400 {
		at = time.Duration(i) * time.Second
		r, w := "r"+string(rune(1000+i)), "w"+string(rune(1000+i))
		list := []ServerEntry{entry(r, "r", 1), entry(w, "w", 1)}
		for _, s := range l.order {
			if s.listed {
				gone := s.ServerEntry
				gone.Availability = Gone
				list = append(list, gone)
			}
		}
		l.Handle(at, &Event{Kind: ListChanged, Servers: list}, nil)
		id := string(rune(1000 + i))
		l.Handle(at, arrival(id, uint64(i+1), uint64(i+1)), nil)
		l.Handle(at+ms(20), &Event{Kind: Ended, RequestID: id, Server: r, Outcome: ReadDone, Took: ms(20)}, nil)
		l.Handle(at+ms(40), &Event{Kind: StreamStarted, RequestID: id, Server: w, Attempt: 1, Took: ms(20)}, nil)
		l.Handle(at+ms(60), &Event{Kind: Ended, RequestID: id, Server: w, Attempt: 1, Outcome: Delivered, RequestEnded: true}, nil)
		l.Handle(at+ms(80), &Event{Kind: TimerFired, Tag: tagTick}, nil)
	}
	maxKnown := int(2 * entryTTL / time.Second) // two servers a second, doubled for the time until the next sweep
	if len(l.servers) > 2*maxKnown || len(l.order) != len(l.servers) {
		t.Errorf("%d servers stored, %d in order", len(l.servers), len(l.order))
	}
	for name, n := range map[string]int{"prefixTable": l.prefixTable.len(), "keyArrivals": l.keyArrivals.len(), "firstSeen": l.firstSeen.len(),
		"requests": len(l.requests), "bySeq": len(l.bySeq), "open": len(l.open)} {
		if n > 2*maxKnown {
			t.Errorf("%s: %d entries", name, n)
		}
	}
}

// TestReadersInOwnZoneArePreferredHomes checks that with a price on other zones, most homes of a
// key are in the zone where its clients come in. A reader elsewhere is chosen only if it is sooner
// by enough.
func TestReadersInOwnZoneArePreferredHomes(t *testing.T) {
	inOtherZone := func(id string) ServerEntry { e := entry(id, "r", 2); e.Zone = "z2"; return e }
	chosen := func(price float64) (own int) {
		set := settings()
		set.CrossZonePrice = price
		l := newRouter(t, set, entry("r1", "r", 1), inOtherZone("r2"), entry("w1", "w", 1))
		l.meanPerToken, l.extraWaitAt = 50e-6, 0
		for i := range 200 {
			r := &request{Request: arrival("q", uint64(i+1), uint64(i+1)).Request}
			if l.chooseReader(r).server.ID == "r1" {
				own++
			}
		}
		return own
	}
	if free, priced := chosen(0), chosen(0.028); free > 150 || priced < 180 {
		t.Errorf("%d of 200 reads in the own zone without a price, %d with it", free, priced)
	}
}

// TestResumedStreamIsNotRefusedEarly guards against refusing the rest of a broken stream early, as
// everything that was served of it would be lost.
func TestResumedStreamIsNotRefusedEarly(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		l.meanPerToken = 1e-3 // seconds per token: a queue of two requests is already too long
		l.Handle(ms(1), arrival("first", 1, 1), nil)
		l.Handle(ms(2), arrival("second", 2, 2), nil)
		ev := arrival("third", 3, 3)
		ev.Request.Resumed = resumed
		if refused := find(l.Handle(ms(3), ev, nil), Refuse) != nil; refused == resumed {
			t.Errorf("resumed %v: refused %v", resumed, refused)
		}
	}
}

// TestOvertakenAttemptsAreOverdue guards against a read that waited for half of its time on a
// stalled connection while its reader went on answering others. If later sends have been answered,
// only the connection is at fault: the read is cancelled and the reader stays in use.
func TestOvertakenAttemptsAreOverdue(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		l.Handle(ms(1), arrival("stuck", 1, 0), nil)
		if overtaken {
			l.Handle(ms(10), arrival("later", 2, 0), nil)
			l.Handle(ms(50), &Event{Kind: Ended, RequestID: "later", Server: "r1", Outcome: ReadDone, Took: ms(40)}, nil)
		} else { // it has answered an earlier send
			l.servers["r1"].lastResponse = ms(50)
		}
		a := find(l.Handle(ms(900), &Event{Kind: TimerFired, Tag: tagTick}, nil), Cancel)
		if (a != nil && a.RequestID == "stuck") != overtaken || l.servers["r1"].failures > 0 {
			t.Errorf("overtaken %v: %+v, %d failures", overtaken, a, l.servers["r1"].failures)
		}
	}
}

// TestUpdateSettings checks that new settings take effect without a restart: learned estimates are
// kept, open requests keep their class, and an invalid setting changes nothing.
func TestUpdateSettings(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	l.Handle(ms(1), arrival("old", 1, 0), nil)
	class := l.requests["old"].class
	invalid, set := settings(), settings()
	invalid.MaxAttempts = 0
	if err := l.UpdateSettings(invalid); err == nil || l.set.MaxAttempts == 0 {
		t.Errorf("invalid setting: %v", err)
	}
	set.MaxAttempts = 2
	set.Classes = append([]Class{{Name: "new", Aim: time.Second, Deadline: 2 * time.Second, Repeat: Unsafe}}, set.Classes...)
	for i := range set.Classes[1:] {
		set.Classes[1+i].Aim *= 2
	}
	if err := l.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	ev := arrival("new", 2, 0)
	ev.Request.Class = "new"
	if l.Handle(ms(2), ev, nil); l.requests["new"].class.Repeat != Unsafe || l.meanPerToken == 0 || l.requests["old"].class != class {
		t.Errorf("class %+v, seconds per token %v", l.requests["new"].class, l.meanPerToken)
	}
	if l.servers["r1"].role != Reader || len(l.servers["r1"].pending) != 2 {
		t.Errorf("role %v, %d reads outstanding", l.servers["r1"].role, len(l.servers["r1"].pending))
	}
}
