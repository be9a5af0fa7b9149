package logic

import (
	"slices"
	"testing"
	"time"
)

// settings is a small fleet: two kinds, one class, short figures.
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

// ms is a clock value.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestReadThenWriteInTheReadersCell(t *testing.T) {
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

func TestSettingsAreChecked(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"siblings": func(s *Settings) { s.Siblings = 0 }, "attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"classes": func(s *Settings) { s.Classes = nil }, "kinds": func(s *Settings) { s.Kinds = nil },
		"cold": func(s *Settings) { s.ColdFrom = 2 }, "aim": func(s *Settings) { s.Classes[0].Aim = 0 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// A client that leaves soon must not have its attempts halved below what a healthy server needs (i170e8f).
func TestShortTriesAreNotCutFurther(t *testing.T) {
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

// Where the readers' queue would refuse a request while a mixed server is idle, it takes the request whole (i07ef36).
func TestMixedTakesWholeWhatReadersCannot(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("m1", "m", 1))
	l.meanPerToken = 0.0001
	l.servers["r1"].unreadTokens = 50000
	if a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send); a == nil || a.Server != "m1" {
		t.Errorf("send %+v, want the mixed server", a)
	}
	l.servers["m1"].unreadTokens = 50000
	if a := find(l.Handle(ms(2), arrival("p", 8, 9), nil), Refuse); a == nil {
		t.Error("with queues everywhere the request should be refused")
	}
}

// Nothing is refused before a rate is learned, even while every writer says full.
func TestNoRefusalBeforeARateIsLearned(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.servers["w1"].backpressure[tenantClass{"", l.classes["c"]}] = backpressure{fullUntil: ms(5000)}
	if a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send); a == nil {
		t.Error("refused without a learned rate")
	}
	l.meanPerToken = 0.0001
	if a := find(l.Handle(ms(2), arrival("p", 8, 9), nil), Refuse); a == nil {
		t.Error("with every writer full the request should be refused early")
	}
}

// A request's own long read never refuses it; the same length of waiting does.
func TestOwnLongReadIsNotRefused(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.001
	if a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send); a == nil {
		t.Error("refused for its own read of 2 s")
	}
	if a := find(l.Handle(ms(2), arrival("p", 8, 9), nil), Refuse); a == nil {
		t.Error("not refused though 2 s of reading wait before it")
	}
}

// Where a request with session 7 and beginning 9 is read.
func TestReaderChoice(t *testing.T) {
	now := ms(10000)
	for name, c := range map[string]struct {
		set  func(l *Router, r1, r2 *server)
		want string
	}{
		"the reader that holds the session": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r2, 1900, true)
		}, "r2"},
		"not where its wait is longer than reading anew": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r2, 1900, true)
			r2.unreadTokens = 4000
		}, "r1"},
		"not a reader whose reads lately waited unseen": {func(l *Router, r1, r2 *server) {
			l.learnRead(&request{Request: Request{PromptTokens: 2000}}, r1, time.Second, 0)
			r2.perToken, r2.perTokenAt = r1.perToken, now
		}, "r2"},
		"not one that errs again and again": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			for range 3 {
				l.recordOutcome(&request{}, r1, reading, &Event{Outcome: ServerError})
			}
		}, "r2"},
		"not one that just said full": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			l.recordOutcome(&request{class: l.classes["c"]}, r1, reading, &Event{Outcome: Full})
		}, "r2"},
		"not one caught short of another text since": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			l.recordCached(tableKey{false, 7}, r2, 1900, true)
			l.now += ms(1)
			l.learnRead(&request{Request: Request{PromptTokens: 2000}, confirmedTokens: 1500, sentAt: l.now}, r1, ms(200), 0)
			r1.extraWait, r1.perToken, l.meanPerToken = 0, 0.0001, 0.0001
		}, "r2"},
		"not one long unheard of": {func(l *Router, r1, r2 *server) {
			l.recordCached(tableKey{false, 7}, r1, 1900, true)
			l.now += entryTTL + ms(1)
			l.recordCached(tableKey{false, 7}, r2, 1900, true)
		}, "r2"},
		"not a drained one": {func(l *Router, r1, r2 *server) {
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

// Where all readers queue, a reader that would have to read a known beginning anew costs more than its read.
func TestFurtherHomeCostsMoreInACrowd(t *testing.T) {
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

// An unseen beginning starts at one home for all routers, whatever the order of their lists.
func TestUnseenBeginningsShareAHome(t *testing.T) {
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

func TestOverShareIsDroppedFirst(t *testing.T) {
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
		t.Errorf("refused %v, want most of the tenant over its share and none of the other", refused)
	}
}

// Failures seen at every writer must not shut the fleet out for good: later requests are let in to try them again.
func TestAllWritersFailedAreTriedAgain(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	l.recordFailure(l.servers["w1"])
	for i, at := range []int{1, 30000} {
		if a := find(l.Handle(ms(at), arrival(string(rune('a'+i)), 7, 9), nil), Send); a == nil {
			t.Errorf("at %d ms: refused, so the writer is never tried again", at)
		}
	}
}

// A client's further try has only what is left of its aim (ib6e6d7): the same queue refuses it that let the first in.
func TestFurtherTriesHaveLessOfTheAim(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	l.servers["r1"].unreadTokens = 4000
	if a := find(l.Handle(ms(1), arrival("q", 7, 9), nil), Send); a == nil {
		t.Fatal("the first try should be sent")
	}
	l.Handle(ms(2), &Event{Kind: Departed, RequestID: "q"}, nil)
	if a := find(l.Handle(ms(700), arrival("p", 7, 9), nil), Refuse); a == nil {
		t.Error("the second try should be refused")
	}
	if a := find(l.Handle(ms(701), arrival("n", 8, 9), nil), Send); a == nil {
		t.Error("another request should be sent")
	}
}

// A lost connection is one of three strikes, not a dead server (i9869bd: connections were cut while servers ran).
func TestOneLostConnectionIsNoDeadServer(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	r1 := l.servers["r1"]
	for want, n := range []int{0, 0, 0, 1} {
		if want > 0 {
			l.recordOutcome(&request{}, r1, reading, &Event{Outcome: ConnectionLost})
		}
		if (r1.failures > 0) != (n > 0) {
			t.Errorf("after %d losses: %d failures", want, r1.failures)
		}
	}
}

// Where every read takes long, a silent reader is not overdue; where reads are short, it is (herds of cancelled
// reads jammed the grown fleets, whose routers hear of a reader every minute or so).
func TestOverdueMindsTheUsualRead(t *testing.T) {
	for _, usual := range []float64{0.05, 0.6, 0} { // 0: a router that has just started, and no read has ended yet
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		if usual > 0 {
			l.meanPerToken, l.meanReadTime = 0.0001, usual
		}
		l.Handle(ms(1), arrival("q", 7, 9), nil)
		cancel := find(l.Handle(ms(900), &Event{Kind: TimerFired, Tag: tagTick}, nil), Cancel)
		if (cancel != nil) != (usual == 0.05) {
			t.Errorf("reads usually take %v s: cancel %v after 0.9 s", usual, cancel)
		}
	}
}

// A server that says full to one tenant though it has room for others is kept by the others and passed over by that
// tenant, the longer the slower its refusals.
func TestFullToOneTenant(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{"a", 50}, {"b", 50}}
	l := newRouter(t, set, entry("r1", "r", 1), entry("r2", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	ask := func(id, tenant string, at int) string {
		ev := arrival(id, 7, 9)
		ev.Request.Tenant = tenant
		return find(l.Handle(ms(at), ev, nil), Send).Server
	}
	first := ask("q", "a", 1)
	again := find(l.Handle(ms(200), &Event{Kind: Ended, RequestID: "q", Server: first, Outcome: Full, Took: ms(199)}, nil), Send)
	if again == nil || again.Server == first {
		t.Fatalf("after a refusal: %+v, want the other reader", again)
	}
	l.Handle(ms(250), &Event{Kind: Ended, RequestID: "q", Server: again.Server, Attempt: 1, Outcome: ReadDone, Took: ms(50)}, nil)
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

// A server that failed may come back cold and unseen: of many routers only a few try it in a window.
func TestFailedServerIsTriedInTurns(t *testing.T) {
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
		t.Errorf("%d of 200 routers try the failed server again at once, want a few", tried)
	}
}

// A repeat that the client marks was tried before at another router: the queue that lets others in refuses it.
func TestMarkedRepeatHasLessOfTheAim(t *testing.T) {
	for _, again := range []bool{false, true} {
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		l.meanPerToken = 0.0001
		l.servers["r1"].unreadTokens = 4000
		ev := arrival("q", 7, 9)
		ev.Request.Retried = again
		if refused := find(l.Handle(ms(1), ev, nil), Refuse) != nil; refused != again {
			t.Errorf("marked %v: refused %v", again, refused)
		}
	}
}

// A hint of the answer's length is what a writer is expected to hold, and a share of the ceiling where there is none.
func TestHintOfTheAnswer(t *testing.T) {
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

// A report is believed less with every moment, and what is not reported counts as the mean, not as empty.
func TestReportsAreWeighedByAge(t *testing.T) {
	l := newRouter(t, settings(), entry("w1", "w", 1), entry("w2", "w", 1))
	w1 := l.servers["w1"]
	w1.report, w1.reportAt = Report{MemoryHeld: 0.9}, ms(1000)
	last := 1.0
	for _, age := range []int{0, 1000, 2000, 3500} {
		l.now = ms(1000 + age)
		if got := l.load(w1); got >= last {
			t.Errorf("a report %d ms old: load %.2f, before %.2f", age, got, last)
		} else {
			last = got
		}
	}
	if last != l.load(l.servers["w2"]) {
		t.Errorf("a report too old: load %.2f, want that of a writer never heard of", last)
	}
}

// A server that stands still for half a second among short reads is neither cancelled nor shut out.
func TestStallIsNotSilence(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken, l.meanReadTime = 0.00005, 0.16
	l.Handle(ms(1), arrival("q", 7, 9), nil)
	if a := find(l.Handle(ms(600), &Event{Kind: TimerFired, Tag: tagTick}, nil), Cancel); a != nil || l.servers["r1"].failures > 0 {
		t.Errorf("after 0.6 s: cancel %v, %d failures", a, l.servers["r1"].failures)
	}
}

// Guards: what a spoilt answer's writer has taken is gone: the prompt is read anew, and its reader is not to blame.
func TestStateThatWasTakenIsReadAnew(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1), entry("w2", "w", 1))
	l.Handle(ms(1), arrival("q", 7, 9), nil)
	w := find(l.Handle(ms(20), &Event{Kind: Ended, RequestID: "q", Server: "r1", Outcome: ReadDone, Took: ms(19)}, nil), Send)
	a := find(l.Handle(ms(40), &Event{Kind: Ended, RequestID: "q", Server: w.Server, Attempt: 1, Outcome: ConnectionLost,
		NoState: true, Took: ms(20)}, nil), Send)
	if a == nil || a.Server != "r1" {
		t.Fatalf("after a spoilt answer: %+v, want the reader", a)
	}
	// Where it is not known whether the state was taken, another writer is asked, and may find nothing.
	l.Handle(ms(60), &Event{Kind: Ended, RequestID: "q", Server: "r1", Attempt: 2, Outcome: ReadDone, Took: ms(19)}, nil)
	a = find(l.Handle(ms(80), &Event{Kind: Ended, RequestID: "q", Server: w.Server, Attempt: 3, Outcome: ConnectionLost, Took: ms(20)}, nil), Send)
	if a == nil || a.Server == "r1" {
		t.Fatalf("after a lost connection: %+v, want a writer", a)
	}
	l.Handle(ms(90), &Event{Kind: Ended, RequestID: "q", Server: a.Server, Attempt: 4, Outcome: Full, NoState: true, Took: ms(1)}, nil)
	if l.servers["r1"].failures != 0 {
		t.Error("the reader counts as failed, though an earlier attempt may have taken the state")
	}
}

// Guards: a writer that errs now and then, and never often enough in a row to count as failed, loses what may run
// once only.
func TestWritersThatErrAreLeft(t *testing.T) {
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
		t.Errorf("%d of 60 went to the writer that errs", sent["w1"])
	}
}

// Guards: replicas are replaced by new ones with new ids all day; what was known of the old ones must not pile up.
func TestGoneServersAreForgotten(t *testing.T) {
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
	known := int(2 * entryTTL / time.Second) // two servers a second, with as much again for the sweep
	if len(l.servers) > 2*known || len(l.order) != len(l.servers) {
		t.Errorf("%d servers are known, %d in order", len(l.servers), len(l.order))
	}
	for name, n := range map[string]int{"table": len(l.prefixTable), "popular": len(l.keyArrivals), "tries": len(l.firstSeen),
		"requests": len(l.requests), "bySeq": len(l.bySeq), "open": len(l.open)} {
		if n > 2*known {
			t.Errorf("%s: %d entries", name, n)
		}
	}
}

// Guards: an attempt in another zone has its price, and most homes of a key are where its clients come in. Elsewhere
// is chosen when it is sooner by enough.
func TestReadersOfTheOwnZoneAreHomes(t *testing.T) {
	far := func(id string) ServerEntry { e := entry(id, "r", 2); e.Zone = "z2"; return e }
	chosen := func(price float64) (own int) {
		set := settings()
		set.CrossZonePrice = price
		l := newRouter(t, set, entry("r1", "r", 1), far("r2"), entry("w1", "w", 1))
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
		t.Errorf("%d of 200 in the own zone without a price, %d with it", free, priced)
	}
}

// Guards: what was served so far is lost if the rest of it is refused early.
func TestRestOfAStreamIsNotRefusedEarly(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		l.meanPerToken = 1e-3 // seconds a token: a queue of two requests is too long already
		l.Handle(ms(1), arrival("first", 1, 1), nil)
		l.Handle(ms(2), arrival("second", 2, 2), nil)
		ev := arrival("third", 3, 3)
		ev.Request.Resumed = resumed
		if refused := find(l.Handle(ms(3), ev, nil), Refuse) != nil; refused == resumed {
			t.Errorf("resumed %v: refused %v", resumed, refused)
		}
	}
}

// Guards: on a connection that fell silent a read waited for half of its time, as its reader went on answering others.
// What was sent there later has been answered: only the connection is at fault, and the reader stays in use.
func TestPassedAttemptsAreOverdue(t *testing.T) {
	for _, passed := range []bool{false, true} {
		l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
		l.Handle(ms(1), arrival("stuck", 1, 0), nil)
		if passed {
			l.Handle(ms(10), arrival("later", 2, 0), nil)
			l.Handle(ms(50), &Event{Kind: Ended, RequestID: "later", Server: "r1", Outcome: ReadDone, Took: ms(40)}, nil)
		} else { // it has answered what came before
			l.servers["r1"].lastResponse = ms(50)
		}
		a := find(l.Handle(ms(900), &Event{Kind: TimerFired, Tag: tagTick}, nil), Cancel)
		if (a != nil && a.RequestID == "stuck") != passed || l.servers["r1"].failures > 0 {
			t.Errorf("passed %v: %+v, %d failures", passed, a, l.servers["r1"].failures)
		}
	}
}

// Guards: settings that come later take effect without a new start: what was learned stays, open requests keep their
// class, and a faulty setting changes nothing.
func TestRetune(t *testing.T) {
	l := newRouter(t, settings(), entry("r1", "r", 1), entry("w1", "w", 1))
	l.meanPerToken = 0.0001
	l.Handle(ms(1), arrival("old", 1, 0), nil)
	class := l.requests["old"].class
	bad, set := settings(), settings()
	bad.MaxAttempts = 0
	if err := l.UpdateSettings(bad); err == nil || l.set.MaxAttempts == 0 {
		t.Errorf("a faulty setting: %v", err)
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
		t.Errorf("%+v, rate %v", l.requests["new"].class, l.meanPerToken)
	}
	if l.servers["r1"].role != Reader || len(l.servers["r1"].pending) != 2 {
		t.Errorf("role %v, %d reads out", l.servers["r1"].role, len(l.servers["r1"].pending))
	}
}
