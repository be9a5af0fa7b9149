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

// parcel is one whose attempts do what the story says, when it says so.
type parcel struct {
	sent      []*fake
	cancelled int
}

type fake struct {
	p    *parcel
	tell AttemptObserver
	to   Target
}

func (p *parcel) Send(to Target, tell AttemptObserver) Attempt {
	f := &fake{p, tell, to}
	p.sent = append(p.sent, f)
	return f
}

func (f *fake) Cancel() { f.p.cancelled++ }

type closer struct{ ended atomic.Bool }

func (c *closer) Next() ([]byte, error) { return nil, io.EOF }
func (c *closer) Close()                { c.ended.Store(true) }

// closed waits a moment for the end, which comes from a goroutine of its own.
func (c *closer) closed() bool {
	for i := 0; i < 1000 && !c.ended.Load(); i++ {
		time.Sleep(time.Millisecond)
	}
	return c.ended.Load()
}

type released []string

func (r *released) Release(id string, addrs []string) { *r = append(*r, id) }

func (r *released) ReleaseAt(id, _ string, then func(bool)) {
	*r = append(*r, id)
	then(true)
}

func (r *released) ReleaseThen(id string, _ []string, _ time.Duration, then func(bool)) {
	*r = append(*r, id)
	then(true)
}

var classes = []logic.Class{
	{Name: "safe", Aim: time.Second, Deadline: 3 * time.Second, Repeat: logic.Safe},
	{Name: "unsafe", Aim: time.Second, Deadline: 3 * time.Second, Repeat: logic.Unsafe},
}

// core is one whose messages are applied by the test itself, one by one: there is no time and no goroutine in it.
func core(t *testing.T, maxOpen int) (*Dispatcher, *released) {
	t.Helper()
	set := logic.Settings{Siblings: 1, MaxAttempts: 3, CanCancel: true, MaxRetryAfter: time.Second, Classes: classes,
		ReleaseWithin: 500 * time.Millisecond, RampTime: time.Second, FallTime: time.Second, FallMultiple: 2,
		Kinds: []logic.Kind{{Name: "r", Role: logic.Reader}, {Name: "w", Role: logic.Writer}}}
	list := Update{Full: true}
	for _, s := range [][2]string{{"r1", "r"}, {"w1", "w"}, {"w2", "w"}} {
		list.Servers = append(list.Servers, Server{Addr: s[0], ServerEntry: logic.ServerEntry{ID: s[0], Kind: s[1], Weight: 1}})
	}
	rel := &released{}
	d, err := New(set, 1, list, rel, Bounds{maxOpen, 100})
	if err != nil {
		t.Fatal(err)
	}
	return d, rel
}

// drive applies what was posted.
func drive(d *Dispatcher) {
	for {
		m, ok := d.inbox.nextOwed()
		if !ok {
			m, ok = d.inbox.nextArrival()
		}
		if !ok {
			return
		}
		d.take(m)
	}
}

func take(d *Dispatcher, id, class string) (*Ticket, *parcel) {
	p := &parcel{}
	t := d.Submit(Request{ID: id, Received: time.Now(), Payload: p,
		Spec: logic.Request{Class: class, Remaining: 2 * time.Second, PromptTokens: 10}})
	drive(d)
	return t, p
}

// end lets the last attempt of a parcel end.
func end(d *Dispatcher, p *parcel, o logic.Outcome) {
	p.sent[len(p.sent)-1].tell.Ended(Result{Outcome: o})
	drive(d)
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

func none(t *testing.T, k *Ticket) {
	t.Helper()
	select {
	case a := <-k.Answer():
		t.Errorf("a further answer: %+v", a)
	default:
	}
}

func TestServedOnce(t *testing.T) {
	d, _ := core(t, 9)
	k, p := take(d, "a", "unsafe")
	end(d, p, logic.ReadDone)
	s := &closer{}
	p.sent[1].tell.Began(s)
	drive(d)
	if a := answerOf(t, k); a.Verdict != Served || a.Stream != s {
		t.Errorf("got %+v", a)
	}
	d.overtime(k.r) // its deadline runs no longer
	end(d, p, logic.ConnectionLost)
	if none(t, k); len(p.sent) != 2 || s.ended.Load() || len(d.requests) != 0 {
		t.Errorf("%d sends, closed %v, %d kept", len(p.sent), s.ended.Load(), len(d.requests))
	}
	if k.r.parcel != nil { // timers know a request until its deadline: a flood of bodies would fill the memory
		t.Error("the body is kept after the end")
	}
}

// Guards: a stream that begins after the final answer, or after its attempt was given up, reaches nobody.
func TestStreamThatBeginsTooLate(t *testing.T) {
	d, _ := core(t, 9)
	k, p := take(d, "a", "safe")
	end(d, p, logic.ReadDone)
	d.overtime(k.r)
	if a := answerOf(t, k); a.Verdict != Failed || p.cancelled != 1 {
		t.Errorf("got %+v, %d cancelled", a, p.cancelled)
	}
	s := &closer{}
	p.sent[1].tell.Began(s)
	end(d, p, logic.Cancelled)
	if none(t, k); !s.closed() || len(d.requests) != 0 {
		t.Errorf("closed %v, %d kept", s.closed(), len(d.requests))
	}
}

// Guards: whatever the module decides, an instruction is neither sent again nor refused once it may have run.
func TestRepeatRule(t *testing.T) {
	for _, o := range []logic.Outcome{logic.ConnectionLost, logic.TimedOut, logic.ServerError, logic.Cancelled} {
		d, _ := core(t, 9)
		k, p := take(d, "a", "unsafe")
		end(d, p, logic.ReadDone)
		again := logic.Action{Kind: logic.Send, RequestID: "a", Server: "w2"}
		d.carryOut(again, nil) // while the first is out
		if len(p.sent) != 2 {
			t.Errorf("%v: a second copy went out", o)
		}
		r := k.r
		p.sent[1].tell.Ended(Result{Outcome: o})
		drive(d)
		d.carryOut(again, nil)
		if a := answerOf(t, k); a.Verdict != Failed || !a.MayRun || len(p.sent) != 2 || !r.answered {
			t.Errorf("%v: %+v after %d sends", o, a, len(p.sent))
		}
	}
	d, _ := core(t, 9)
	k, p := take(d, "b", "unsafe")
	end(d, p, logic.ReadDone)
	d.carryOut(logic.Action{Kind: logic.Refuse, RequestID: "b"}, nil)
	if a := answerOf(t, k); a.Verdict != Failed {
		t.Errorf("refused while an attempt is out: %+v", a)
	}
}

// Guards: what proves that it never ran lets an instruction go on, and a reader's end is no effect.
func TestProofsOfNeverRan(t *testing.T) {
	for _, o := range []logic.Outcome{logic.Full, logic.ConnectFailed, logic.NotSent} {
		d, _ := core(t, 9)
		k, p := take(d, "a", "unsafe")
		end(d, p, logic.ReadDone)
		end(d, p, o)
		if none(t, k); len(p.sent) != 3 || p.sent[2].to.Server == p.sent[1].to.Server {
			t.Errorf("%v: %d sends", o, len(p.sent))
		}
	}
	d, rel := core(t, 9)
	k, p := take(d, "a", "unsafe")
	for range 3 {
		end(d, p, logic.ConnectionLost)
	}
	if a := answerOf(t, k); a.Verdict != Refused || a.MayRun || a.RetryAfter <= 0 || len(*rel) == 0 {
		t.Errorf("broken reads: %+v, released %v", a, *rel)
	}
}

// Guards: a client that leaves while a read is out: the read is given up, and what it left is let go.
func TestDeparture(t *testing.T) {
	d, rel := core(t, 9)
	k, p := take(d, "a", "unsafe")
	k.Abandon()
	drive(d)
	if a := answerOf(t, k); a.Verdict != ClientLeft || a.MayRun || p.cancelled != 1 {
		t.Errorf("got %+v, %d cancelled", a, p.cancelled)
	}
	end(d, p, logic.Cancelled)
	if len(*rel) == 0 || len(d.requests) != 0 {
		t.Errorf("released %v, %d kept", *rel, len(d.requests))
	}
}

// Guards: the table is bounded, and an id stands for one request at a time.
func TestAdmission(t *testing.T) {
	d, _ := core(t, 1)
	take(d, "a", "safe")
	if k, _ := take(d, "a", "safe"); answerOf(t, k).Verdict != Failed {
		t.Error("an id was taken twice")
	}
	if k, p := take(d, "b", "safe"); answerOf(t, k).Verdict != Refused || len(p.sent) != 0 {
		t.Error("more than the table holds")
	}
	if k, _ := take(d, "c", "other"); answerOf(t, k).Verdict != Failed {
		t.Error("an unknown class was taken")
	}
}

// Guards: a client that asks for the rest of a stream had an attempt that ran, here or elsewhere. To refuse would be
// to say that trying again is harmless.
func TestTheRestIsNeverRefused(t *testing.T) {
	d, _ := core(t, 1)
	p := &parcel{}
	k := d.Submit(Request{ID: "a", Received: time.Now(), Payload: p,
		Spec: logic.Request{Class: "unsafe", Remaining: 2 * time.Second, PromptTokens: 10, Resumed: true}})
	drive(d)
	if len(p.sent) != 1 {
		t.Fatalf("%d sends", len(p.sent))
	}
	other := d.Submit(Request{ID: "b", Received: time.Now(), Payload: &parcel{}, Spec: logic.Request{Class: "unsafe", Remaining: time.Second, Resumed: true}})
	drive(d)                                             // there is no room for it
	d.route(logic.Event{Kind: logic.TimerFired, Tag: 3}) // the first request's deadline
	for name, k := range map[string]*Ticket{"at its deadline": k, "without room": other} {
		if a := answerOf(t, k); a.Verdict != Failed {
			t.Errorf("%s: %v", name, a.Verdict)
		}
	}
}

// Guards: to refuse what must not run twice while an attempt is out breaks the rule on repeats, also while that is at
// a reader.
func TestNoRefusalWhileAnAttemptIsOut(t *testing.T) {
	for class, want := range map[string]Verdict{"safe": Refused, "unsafe": Failed} {
		d, _ := core(t, 9)
		k, p := take(d, "a", class)
		if len(p.sent) != 1 || p.sent[0].to.Server != "r1" {
			t.Fatalf("%s: sent %+v", class, p.sent)
		}
		d.route(logic.Event{Kind: logic.TimerFired, Tag: 3}) // its deadline
		if a := answerOf(t, k); a.Verdict != want || a.MayRun {
			t.Errorf("%s: %+v, want %v", class, a, want)
		}
	}
}

// Guards: a replica that was told to drain gets nothing new, whatever the module decides.
func TestNothingNewToADrainingReplica(t *testing.T) {
	d, _ := core(t, 9)
	_, p := take(d, "a", "safe")
	Update{Servers: []Server{{Addr: "w1", ServerEntry: logic.ServerEntry{ID: "w1", Kind: "w", Availability: logic.Draining}}}}.apply(d)
	d.carryOut(logic.Action{Kind: logic.Send, RequestID: "a", Server: "w1"}, nil)
	for _, f := range p.sent {
		if f.to.Server == "w1" {
			t.Error("it was sent")
		}
	}
}

func TestBookKeepsTheLastLines(t *testing.T) {
	c := &Counts{}
	for i := range recentLines + 3 {
		c.add(LogEntry{ID: string(rune('a' + i%26))})
	}
	_, lines := c.Snapshot()
	last := recentLines + 2
	if len(lines) != recentLines || lines[len(lines)-1].ID != string(rune('a'+last%26)) || lines[0].ID != string(rune('a'+3)) {
		t.Errorf("%d lines, %v to %v", len(lines), lines[0], lines[len(lines)-1])
	}
}

// Guards: SIGKILL would find what is unanswered. It gets its answer before; a live stream is not cut.
func TestVacate(t *testing.T) {
	d, _ := core(t, 9)
	k, p := take(d, "streams", "safe")
	end(d, p, logic.ReadDone)
	s := &closer{}
	p.sent[1].tell.Began(s)
	drive(d)
	waiting, _ := take(d, "waiting", "safe")
	running, p := take(d, "running", "unsafe")
	end(d, p, logic.ReadDone)
	d.AnswerPending()
	drive(d)
	if a := answerOf(t, waiting); a.Verdict != Refused || a.RetryAfter == 0 {
		t.Errorf("what never ran: %+v", a)
	}
	if a := answerOf(t, running); a.Verdict != Failed {
		t.Errorf("what may run: %+v", a)
	}
	if a := answerOf(t, k); a.Verdict != Served || s.ended.Load() {
		t.Errorf("the stream: %+v, closed %v", a, s.ended.Load())
	}
}

// Guards: SIGKILL would cut streams when nobody is left for their clients to come to. Those whose clients ask for the
// rest are moved before, one by one, the youngest first; the others go on.
func TestMove(t *testing.T) {
	d, _ := core(t, 9)
	now := time.Now()
	d.clock = func() time.Time { return now }
	var streams []*closer
	for i, movable := range []bool{true, true, false, true} {
		p, s := &parcel{}, &closer{}
		d.Submit(Request{ID: fmt.Sprint(i), Received: now, Payload: p, Resumable: movable,
			Spec: logic.Request{Class: "unsafe", Remaining: 2 * time.Second, PromptTokens: 10}})
		drive(d)
		end(d, p, logic.ReadDone)
		if i < 3 { // the last one has not begun
			p.sent[1].tell.Began(s)
			drive(d)
		}
		streams = append(streams, s)
		now = now.Add(100 * time.Millisecond)
	}
	d.CloseResumable(time.Second)
	drive(d)
	now = now.Add(500 * time.Millisecond)
	d.ring()
	if !streams[1].closed() || streams[0].ended.Load() {
		t.Error("the younger one is not moved first")
	}
	now = now.Add(600 * time.Millisecond)
	d.ring()
	if !streams[0].closed() || streams[2].ended.Load() || streams[3].ended.Load() {
		t.Errorf("closed: %v %v %v", streams[0].closed(), streams[2].ended.Load(), streams[3].ended.Load())
	}
}

// Guards: what a day of requests and replaced replicas leaves behind must not pile up.
func TestLiveHeapLevelsOff(t *testing.T) {
	d, _ := core(t, 9)
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
			p := &parcel{}
			k := d.Submit(Request{ID: fmt.Sprint(n, "-", i), Received: now, Payload: p, Spec: logic.Request{Class: "safe",
				Remaining: 2 * time.Second, PromptTokens: 10, Session: uint64(n*1000 + i + 1), Prefix: uint64(n*1000 + i + 1), PrefixTokens: 5}})
			drive(d)
			end(d, p, logic.ReadDone)
			p.sent[1].tell.Began(&closer{})
			drive(d)
			end(d, p, logic.Delivered)
			if a := answerOf(t, k); a.Verdict != Served {
				t.Fatalf("round %d, request %d: %+v", n, i, a)
			}
			now = now.Add(100 * time.Millisecond)
			d.ring()
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
		t.Errorf("%d bytes more after four further rounds: %v", grown, heap)
	}
	if len(d.requests) != 0 || d.size != 0 || len(d.alarms) > 100 {
		t.Errorf("%d requests of %d bytes, %d alarms are kept", len(d.requests), d.size, len(d.alarms))
	}
}
