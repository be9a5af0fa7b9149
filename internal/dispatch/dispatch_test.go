package dispatch

import (
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"standpulley/logic"
)

// fakePayload is a payload whose attempts are driven by the test.
type fakePayload struct {
	sent      []*fakeAttempt
	cancelled int
}

type fakeAttempt struct {
	payload  *fakePayload
	observer AttemptObserver
	target   Target
}

func (p *fakePayload) Send(to Target, observer AttemptObserver) Attempt {
	f := &fakeAttempt{p, observer, to}
	p.sent = append(p.sent, f)
	return f
}

func (f *fakeAttempt) Cancel() { f.payload.cancelled++ }

type fakeStream struct{ closeCalled atomic.Bool }

func (c *fakeStream) Next() ([]byte, error) { return nil, io.EOF }
func (c *fakeStream) Close()                { c.closeCalled.Store(true) }

// waitClosed waits for the call of Close, which comes from a separate goroutine.
func (c *fakeStream) waitClosed() bool {
	for i := 0; i < 1000 && !c.closeCalled.Load(); i++ {
		time.Sleep(time.Millisecond)
	}
	return c.closeCalled.Load()
}

// fakeReleaser records the requests that are released and confirms each release at once.
type fakeReleaser []string

func (r *fakeReleaser) Release(id string, addrs []string) { *r = append(*r, id) }

func (r *fakeReleaser) ReleaseAt(id, _ string, then func(bool)) {
	*r = append(*r, id)
	then(true)
}

func (r *fakeReleaser) ReleaseThen(id string, _ []string, _ time.Duration, then func(bool)) {
	*r = append(*r, id)
	then(true)
}

var classes = []logic.Class{
	{Name: "safe", Aim: time.Second, Deadline: 3 * time.Second, Repeat: logic.Safe},
	{Name: "unsafe", Aim: time.Second, Deadline: 3 * time.Second, Repeat: logic.Unsafe},
}

// newCore returns a core whose messages are applied by the test itself, one by one. It runs no
// goroutine.
func newCore(t *testing.T, maxOpen int) (*Dispatcher, *fakeReleaser) {
	t.Helper()
	set := logic.Settings{Siblings: 1, MaxAttempts: 3, CanCancel: true, MaxRetryAfter: time.Second, Classes: classes,
		ReleaseWithin: 500 * time.Millisecond, RampTime: time.Second, FallTime: time.Second, FallMultiple: 2,
		Kinds: []logic.Kind{{Name: "r", Role: logic.Reader}, {Name: "w", Role: logic.Writer}}}
	list := Update{Full: true}
	for _, s := range [][2]string{{"r1", "r"}, {"w1", "w"}, {"w2", "w"}} {
		list.Servers = append(list.Servers, Server{Addr: s[0], ServerEntry: logic.ServerEntry{ID: s[0], Kind: s[1], Weight: 1}})
	}
	rel := &fakeReleaser{}
	d, err := New(set, 1, list, rel, Bounds{maxOpen, 100})
	if err != nil {
		t.Fatal(err)
	}
	return d, rel
}

// processAll applies all queued messages.
func processAll(d *Dispatcher) {
	for {
		m, ok := d.inbox.nextFollowUp()
		if !ok {
			m, ok = d.inbox.nextArrival()
		}
		if !ok {
			return
		}
		d.process(m)
	}
}

func submit(d *Dispatcher, id, class string) (*Ticket, *fakePayload) {
	p := &fakePayload{}
	t := d.Submit(Request{ID: id, Received: time.Now(), Payload: p,
		Spec: logic.Request{Class: class, Remaining: 2 * time.Second, PromptTokens: 10}})
	processAll(d)
	return t, p
}

// endAttempt ends the last attempt of a payload.
func endAttempt(d *Dispatcher, p *fakePayload, o logic.Outcome) {
	p.sent[len(p.sent)-1].observer.Ended(Result{Outcome: o})
	processAll(d)
}

func answerOf(t *testing.T, k *Ticket) Answer {
	t.Helper()
	select {
	case a := <-k.Answer():
		return a
	default:
		t.Fatal("there is no answer yet")
		return Answer{}
	}
}

func noFurtherAnswer(t *testing.T, k *Ticket) {
	t.Helper()
	select {
	case a := <-k.Answer():
		t.Errorf("unexpected answer: %+v", a)
	default:
	}
}

func TestServedOnce(t *testing.T) {
	d, _ := newCore(t, 9)
	k, p := submit(d, "a", "unsafe")
	endAttempt(d, p, logic.ReadDone)
	s := &fakeStream{}
	p.sent[1].observer.Began(s)
	processAll(d)
	if a := answerOf(t, k); a.Verdict != Served || a.Stream != s {
		t.Errorf("got %+v", a)
	}
	d.deadlinePassed(k.request) // the timer of the deadline has no effect after the answer
	endAttempt(d, p, logic.ConnectionLost)
	if noFurtherAnswer(t, k); len(p.sent) != 2 || s.closeCalled.Load() || len(d.requests) != 0 {
		t.Errorf("%d sends, stream closed %v, %d requests open", len(p.sent), s.closeCalled.Load(), len(d.requests))
	}
	// Timers refer to the request until its deadline: many bodies would fill the memory.
	if k.request.payload != nil {
		t.Error("the payload is kept after the end of the request")
	}
}

// TestLateStreamIsClosed checks that a stream that begins after the final answer, or after its
// attempt was given up, is closed and reaches nobody.
func TestLateStreamIsClosed(t *testing.T) {
	d, _ := newCore(t, 9)
	k, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ReadDone)
	d.deadlinePassed(k.request)
	if a := answerOf(t, k); a.Verdict != Failed || p.cancelled != 1 {
		t.Errorf("got %+v, %d attempts cancelled", a, p.cancelled)
	}
	s := &fakeStream{}
	p.sent[1].observer.Began(s)
	endAttempt(d, p, logic.Cancelled)
	if noFurtherAnswer(t, k); !s.waitClosed() || len(d.requests) != 0 {
		t.Errorf("stream closed %v, %d requests open", s.waitClosed(), len(d.requests))
	}
}

// TestRepeatRule checks that whatever the decision module decides, a request that must not run
// twice is neither sent again nor refused once it may have run.
func TestRepeatRule(t *testing.T) {
	for _, o := range []logic.Outcome{logic.ConnectionLost, logic.TimedOut, logic.ServerError, logic.Cancelled} {
		d, _ := newCore(t, 9)
		k, p := submit(d, "a", "unsafe")
		endAttempt(d, p, logic.ReadDone)
		again := logic.Action{Kind: logic.Send, RequestID: "a", Server: "w2"}
		d.execute(again, nil) // while the first attempt is in flight
		if len(p.sent) != 2 {
			t.Errorf("%v: a second copy was sent", o)
		}
		r := k.request
		p.sent[1].observer.Ended(Result{Outcome: o})
		processAll(d)
		d.execute(again, nil)
		if a := answerOf(t, k); a.Verdict != Failed || !a.MayRun || len(p.sent) != 2 || !r.answered {
			t.Errorf("%v: %+v after %d sends", o, a, len(p.sent))
		}
	}
	d, _ := newCore(t, 9)
	k, p := submit(d, "b", "unsafe")
	endAttempt(d, p, logic.ReadDone)
	d.execute(logic.Action{Kind: logic.Refuse, RequestID: "b"}, nil)
	if a := answerOf(t, k); a.Verdict != Failed {
		t.Errorf("refused while an attempt is in flight: %+v", a)
	}
}

// TestRetryAfterProofThatAttemptNeverRan checks that a request that must not run twice is sent
// again after an outcome that proves that it never ran. A broken read is not a run, so such a
// request may be refused.
func TestRetryAfterProofThatAttemptNeverRan(t *testing.T) {
	for _, o := range []logic.Outcome{logic.Full, logic.ConnectFailed, logic.NotSent} {
		d, _ := newCore(t, 9)
		k, p := submit(d, "a", "unsafe")
		endAttempt(d, p, logic.ReadDone)
		endAttempt(d, p, o)
		if noFurtherAnswer(t, k); len(p.sent) != 3 || p.sent[2].target.Server == p.sent[1].target.Server {
			t.Errorf("%v: %d sends", o, len(p.sent))
		}
	}
	d, rel := newCore(t, 9)
	k, p := submit(d, "a", "unsafe")
	for range 3 {
		endAttempt(d, p, logic.ConnectionLost)
	}
	if a := answerOf(t, k); a.Verdict != Refused || a.MayRun || a.RetryAfter <= 0 || len(*rel) == 0 {
		t.Errorf("after broken reads: %+v, released %v", a, *rel)
	}
}

// TestClientDisconnectDuringRead checks that if a client leaves while a read is in flight, the read
// is given up and the state that it left is released.
func TestClientDisconnectDuringRead(t *testing.T) {
	d, rel := newCore(t, 9)
	k, p := submit(d, "a", "unsafe")
	k.Abandon()
	processAll(d)
	if a := answerOf(t, k); a.Verdict != ClientLeft || a.MayRun || p.cancelled != 1 {
		t.Errorf("got %+v, %d attempts cancelled", a, p.cancelled)
	}
	endAttempt(d, p, logic.Cancelled)
	if len(*rel) == 0 || len(d.requests) != 0 {
		t.Errorf("released %v, %d requests open", *rel, len(d.requests))
	}
}

// TestAdmission checks that the table of open requests is bounded, and no two open requests have
// the same id.
func TestAdmission(t *testing.T) {
	d, _ := newCore(t, 1)
	submit(d, "a", "safe")
	if k, _ := submit(d, "a", "safe"); answerOf(t, k).Verdict != Failed {
		t.Error("an id that is open was admitted again")
	}
	if k, p := submit(d, "b", "safe"); answerOf(t, k).Verdict != Refused || len(p.sent) != 0 {
		t.Error("a request was admitted beyond the bound of the table")
	}
	if k, _ := submit(d, "c", "other"); answerOf(t, k).Verdict != Failed {
		t.Error("a request of an unknown class was admitted")
	}
}

// TestResumedRequestIsNeverRefused checks that a request for the rest of a stream is never refused.
// An attempt of it has run, here or at another dispatcher, so a refusal would wrongly promise that
// retrying is harmless.
func TestResumedRequestIsNeverRefused(t *testing.T) {
	d, _ := newCore(t, 1)
	p := &fakePayload{}
	k := d.Submit(Request{ID: "a", Received: time.Now(), Payload: p,
		Spec: logic.Request{Class: "unsafe", Remaining: 2 * time.Second, PromptTokens: 10, Resumed: true}})
	processAll(d)
	if len(p.sent) != 1 {
		t.Fatalf("unexpected number of sends: %d", len(p.sent))
	}
	other := d.Submit(Request{ID: "b", Received: time.Now(), Payload: &fakePayload{}, Spec: logic.Request{Class: "unsafe", Remaining: time.Second, Resumed: true}})
	processAll(d)                                        // the table has no room for it
	d.route(logic.Event{Kind: logic.TimerFired, Tag: 3}) // the deadline of the first request
	for name, k := range map[string]*Ticket{"at its deadline": k, "table full": other} {
		if a := answerOf(t, k); a.Verdict != Failed {
			t.Errorf("%s: %v", name, a.Verdict)
		}
	}
}

// TestNoRefusalWhileAttemptIsInFlight checks that a request that must not run twice is not refused
// while an attempt is in flight, even at a reader. A refusal would break the rule on repeats.
func TestNoRefusalWhileAttemptIsInFlight(t *testing.T) {
	for class, want := range map[string]Verdict{"safe": Refused, "unsafe": Failed} {
		d, _ := newCore(t, 9)
		k, p := submit(d, "a", class)
		if len(p.sent) != 1 || p.sent[0].target.Server != "r1" {
			t.Fatalf("%s: sent %+v", class, p.sent)
		}
		d.route(logic.Event{Kind: logic.TimerFired, Tag: 3}) // the deadline
		if a := answerOf(t, k); a.Verdict != want || a.MayRun {
			t.Errorf("%s: %+v, want %v", class, a, want)
		}
	}
}

// TestNoNewAttemptToDrainingReplica checks that a draining replica gets no new attempt, whatever
// the decision module decides.
func TestNoNewAttemptToDrainingReplica(t *testing.T) {
	d, _ := newCore(t, 9)
	_, p := submit(d, "a", "safe")
	Update{Servers: []Server{{Addr: "w1", ServerEntry: logic.ServerEntry{ID: "w1", Kind: "w", Availability: logic.Draining}}}}.apply(d)
	d.execute(logic.Action{Kind: logic.Send, RequestID: "a", Server: "w1"}, nil)
	for _, f := range p.sent {
		if f.target.Server == "w1" {
			t.Error("an attempt was sent to a draining replica")
		}
	}
}

func TestCountsKeepLatestEntries(t *testing.T) {
	c := &Counts{}
	for i := range maxRecent + 3 {
		c.add(LogEntry{ID: string(rune('a' + i%26))})
	}
	_, entries := c.Snapshot()
	last := maxRecent + 2
	if len(entries) != maxRecent || entries[len(entries)-1].ID != string(rune('a'+last%26)) || entries[0].ID != string(rune('a'+3)) {
		t.Errorf("%d entries, %v to %v", len(entries), entries[0], entries[len(entries)-1])
	}
}

// TestAnswerPending checks that AnswerPending, which is called shortly before SIGKILL, answers all
// unanswered requests and cuts no live stream.
func TestAnswerPending(t *testing.T) {
	d, _ := newCore(t, 9)
	k, p := submit(d, "streams", "safe")
	endAttempt(d, p, logic.ReadDone)
	s := &fakeStream{}
	p.sent[1].observer.Began(s)
	processAll(d)
	waiting, _ := submit(d, "waiting", "safe")
	running, p := submit(d, "running", "unsafe")
	endAttempt(d, p, logic.ReadDone)
	d.AnswerPending()
	processAll(d)
	if a := answerOf(t, waiting); a.Verdict != Refused || a.RetryAfter == 0 {
		t.Errorf("request that never ran: %+v", a)
	}
	if a := answerOf(t, running); a.Verdict != Failed {
		t.Errorf("request that may run: %+v", a)
	}
	if a := answerOf(t, k); a.Verdict != Served || s.closeCalled.Load() {
		t.Errorf("streaming request: %+v, stream closed %v", a, s.closeCalled.Load())
	}
}

// TestCloseResumable checks that streams whose clients ask another dispatcher for the rest are
// closed before SIGKILL comes, one by one, the youngest first. SIGKILL would cut them at a time
// when their clients may find no other dispatcher. All other streams continue.
func TestCloseResumable(t *testing.T) {
	d, _ := newCore(t, 9)
	now := time.Now()
	d.clock = func() time.Time { return now }
	var streams []*fakeStream
	for i, resumable := range []bool{true, true, false, true} {
		p, s := &fakePayload{}, &fakeStream{}
		d.Submit(Request{ID: fmt.Sprint(i), Received: now, Payload: p, Resumable: resumable,
			Spec: logic.Request{Class: "unsafe", Remaining: 2 * time.Second, PromptTokens: 10}})
		processAll(d)
		endAttempt(d, p, logic.ReadDone)
		if i < 3 { // the stream of the last one has not begun
			p.sent[1].observer.Began(s)
			processAll(d)
		}
		streams = append(streams, s)
		now = now.Add(100 * time.Millisecond)
	}
	d.CloseResumable(time.Second)
	processAll(d)
	now = now.Add(500 * time.Millisecond)
	d.runTimers()
	if !streams[1].waitClosed() || streams[0].closeCalled.Load() {
		t.Error("the younger stream is not closed first")
	}
	now = now.Add(600 * time.Millisecond)
	d.runTimers()
	if !streams[0].waitClosed() || streams[2].closeCalled.Load() || streams[3].closeCalled.Load() {
		t.Errorf("closed: %v %v %v", streams[0].waitClosed(), streams[2].closeCalled.Load(), streams[3].closeCalled.Load())
	}
}

// TestHeapDoesNotGrow guards against memory that requests and replaced replicas leave behind and
// that adds up over a day.
func TestHeapDoesNotGrow(t *testing.T) {
	d, _ := newCore(t, 9)
	now := time.Now()
	d.clock = func() time.Time { return now }
	round := func(n int) uint64 {
		list := Update{Full: true}
		for _, s := range [][2]string{{"r", "r"}, {"w", "w"}} {
			id := fmt.Sprint(s[0], n)
			list.Servers = append(list.Servers, Server{Addr: id, ServerEntry: logic.ServerEntry{ID: id, Kind: s[1], Weight: 1}})
		}
		list.apply(d)
		for i := range 500 {
			p := &fakePayload{}
			k := d.Submit(Request{ID: fmt.Sprint(n, "-", i), Received: now, Payload: p, Spec: logic.Request{Class: "safe",
				Remaining: 2 * time.Second, PromptTokens: 10, Session: uint64(n*1000 + i + 1), Prefix: uint64(n*1000 + i + 1), PrefixTokens: 5}})
			processAll(d)
			endAttempt(d, p, logic.ReadDone)
			p.sent[1].observer.Began(&fakeStream{})
			processAll(d)
			endAttempt(d, p, logic.Delivered)
			if a := answerOf(t, k); a.Verdict != Served {
				t.Fatalf("round %d, request %d: %+v", n, i, a)
			}
			now = now.Add(100 * time.Millisecond)
			d.runTimers()
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var heap []uint64
	for n := range 8 {
		heap = append(heap, round(n))
	}
	if grown := int64(heap[7]) - int64(heap[3]); grown > 100<<10 {
		t.Errorf("heap grew by %d bytes in four further rounds: %v", grown, heap)
	}
	if len(d.requests) != 0 || d.payloads.used.Load() != 0 || len(d.timers) > 100 {
		t.Errorf("%d requests of %d bytes and %d timers are kept", len(d.requests), d.payloads.used.Load(), len(d.timers))
	}
}
