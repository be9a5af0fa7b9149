package logic

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// simulator plays random valid events against a Router and checks the rules on every action.
type simulator struct {
	t         *testing.T
	rnd       *rand.Rand
	set       Settings
	l         *Router
	now       time.Duration
	queue     callQueue
	calls     int
	requests  map[string]*simRequest
	stoppedAt map[string]time.Duration // servers that were listed as draining or gone
	list      []ServerEntry
	sends     map[string][]time.Duration
	trace     []string
}

type simRequest struct {
	id              string
	class           Class
	deadline        time.Duration
	server          string // server of the outstanding attempt
	role            Role
	attempts        int
	answered        bool
	departed        bool
	streaming       bool
	stateHeld       bool
	stateHeldSince  time.Duration
	mayHaveRunAt    *ServerEntry
	mayHaveRunSince time.Duration
	sentAt          time.Duration
}

type scheduledCall struct {
	at  time.Duration
	n   int
	run func()
}

type callQueue []scheduledCall

func (e callQueue) Len() int { return len(e) }
func (e callQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e callQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *callQueue) Push(x any)   { *e = append(*e, x.(scheduledCall)) }
func (e *callQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *simulator) after(d time.Duration, run func()) {
	w.calls++
	heap.Push(&w.queue, scheduledCall{w.now + max(d, time.Millisecond), w.calls, run})
}

func (w *simulator) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
}

func (w *simulator) handle(ev *Event) {
	for _, a := range w.l.Handle(w.now, ev, nil) {
		w.trace = append(w.trace, fmt.Sprint(w.now, a))
		w.carryOut(a)
	}
}

func (w *simulator) entry(id string) *ServerEntry {
	for i := range w.list {
		if w.list[i].ID == id {
			return &w.list[i]
		}
	}
	return nil
}

func (w *simulator) role(id string) Role {
	for _, k := range w.set.Kinds {
		if k.Name == w.entry(id).Kind {
			return k.Role
		}
	}
	return Reader
}

func (w *simulator) carryOut(a Action) {
	if a.Kind == Wake {
		w.after(a.After, func() { w.handle(&Event{Kind: TimerFired, Tag: a.Tag}) })
		return
	}
	if a.Kind == Watch {
		return
	}
	if a.Kind == Probe {
		w.probe(a.Server)
		return
	}
	p := w.requests[a.RequestID]
	if p == nil {
		w.fail("%v names an unknown request", a)
		return
	}
	switch a.Kind {
	case Send:
		w.send(p, a)
	case Refuse, Fail:
		if p.answered || p.departed {
			w.fail("second final answer %v for %s", a.Kind, p.id)
		}
		if w.now > p.deadline {
			w.fail("%s answered after its deadline", p.id)
		}
		mayHaveRun := p.mayHaveRunAt != nil || p.server != "" && p.role != Reader
		if a.Kind == Refuse && mayHaveRun && (p.class.Repeat == Unsafe || p.class.Repeat == Keyed && p.class.Scope != AllServers) {
			w.fail("%s refused though it may have run", p.id)
		}
		p.answered = true
	case Release:
		p.stateHeld = false
	case Cancel:
		if !w.set.CanCancel || a.Attempt != p.attempts-1 {
			w.fail("cancel of attempt %d of %s", a.Attempt, p.id)
		}
		if server, attempt := p.server, p.attempts; server != "" && !p.streaming {
			w.after(ms(2), func() { w.endAttempt(p, server, attempt, Event{Outcome: Cancelled}) })
		}
	}
}

// probe answers after a while, or never.
func (w *simulator) probe(server string) {
	e := w.entry(server)
	if at, ok := w.stoppedAt[server]; ok {
		w.fail("probe of %s, listed as stopped at %v", server, at)
	}
	if !w.set.CanProbe || e.Started > 0 && w.now < e.Started+w.set.RampTime {
		w.fail("probe of %s, which started at %v", server, e.Started)
	}
	outcome := []Outcome{Delivered, Delivered, Full, ConnectFailed}[w.rnd.Intn(4)]
	if w.rnd.Float64() < 0.9 {
		w.after(ms(1+w.rnd.Intn(300)), func() { w.handle(&Event{Kind: Probed, Server: server, Outcome: outcome}) })
	}
}

func (w *simulator) send(p *simRequest, a Action) {
	e := w.entry(a.Server)
	switch {
	case p.answered || p.departed:
		w.fail("send for %s, which has ended", p.id)
	case p.server != "":
		w.fail("two attempts of %s are outstanding", p.id)
	case p.attempts >= w.set.MaxAttempts:
		w.fail("%s has more attempts than allowed", p.id)
	}
	if at, ok := w.stoppedAt[a.Server]; ok {
		w.fail("send to %s, listed as stopped at %v", a.Server, at)
	}
	if p.mayHaveRunAt != nil && p.class.Repeat == Unsafe {
		w.fail("%s, which may run only once, was sent again", p.id)
	}
	if p.mayHaveRunAt != nil && p.class.Repeat == Keyed && (w.now-p.mayHaveRunSince >= p.class.Window ||
		p.class.Scope == SameZone && e.Zone != p.mayHaveRunAt.Zone || p.class.Scope == SameCell && e.Cell != p.mayHaveRunAt.Cell) {
		w.fail("keyed %s was sent again outside its scope or window", p.id)
	}
	w.sends[a.Server] = append(w.sends[a.Server], w.now)
	w.checkCold(e)
	p.server, p.role, p.attempts, p.sentAt = a.Server, w.role(a.Server), p.attempts+1, w.now
	server, attempt, until := p.server, p.attempts, min(a.Until, p.deadline)
	w.after(until-w.now, func() { w.endAttempt(p, server, attempt, Event{Outcome: TimedOut}) })
	took := ms(5 + w.rnd.Intn(400))
	failure := []Outcome{Full, ConnectFailed, ConnectionLost, ServerError, TimedOut}[w.rnd.Intn(5)]
	switch {
	case w.rnd.Float64() < 0.25:
		if failure != TimedOut { // otherwise the server does not answer
			w.after(took, func() { w.endAttempt(p, server, attempt, Event{Outcome: failure}) })
		}
	case p.role == Reader:
		w.after(took, func() { w.endAttempt(p, server, attempt, Event{Outcome: ReadDone, Tokens: int64(w.rnd.Intn(2000))}) })
	case p.role == Writer && !p.stateHeld && !w.set.ReadInPlace:
		w.after(took, func() { w.endAttempt(p, server, attempt, Event{Outcome: Full, NoState: true}) })
	default:
		w.after(took, func() {
			if p.server != server || p.attempts != attempt || p.answered || p.departed {
				return
			}
			p.streaming, p.stateHeld = true, false
			w.handle(&Event{Kind: StreamStarted, RequestID: p.id, Server: server, Attempt: attempt - 1, Took: took})
			w.after(ms(1000+w.rnd.Intn(4000)), func() { w.endAttempt(p, server, attempt, Event{Outcome: Delivered}) })
		})
	}
}

// checkCold compares the sends to a cold server with the most that any warm one of its kind was
// ever sent in a window, which is taken as this router's share of the limit.
func (w *simulator) checkCold(e *ServerEntry) {
	if e.Started == 0 || w.now >= e.Started+w.set.RampTime {
		return
	}
	maxWarmSends := 1.0
	for _, o := range w.list {
		if o.Kind != e.Kind || o.ID == e.ID {
			continue
		}
		for i, at := range w.sends[o.ID] {
			n := 0
			for _, t := range w.sends[o.ID][:i+1] {
				if t > at-w.set.FallTime {
					n++
				}
			}
			maxWarmSends = max(maxWarmSends, float64(n))
		}
	}
	n := 0
	for _, t := range w.sends[e.ID] {
		if t > w.now-w.set.FallTime && t >= e.Started {
			n++
		}
	}
	x := float64(w.now-e.Started) / float64(w.set.RampTime)
	if limit := max(1, w.set.FallMultiple*(w.set.ColdFrom+(1-w.set.ColdFrom)*x)*maxWarmSends); float64(n) > limit {
		w.fail("cold server %s was sent %d in a window, limit %.1f", e.ID, n, limit)
	}
}

func (w *simulator) endAttempt(p *simRequest, server string, attempt int, ev Event) {
	if p.server != server || p.attempts != attempt || p.streaming && ev.Outcome != Delivered && ev.Outcome != ConnectionLost {
		return
	}
	abandoned := ev.Outcome == TimedOut || ev.Outcome == Cancelled
	mayHaveRun := p.role != Reader && (abandoned || ev.Outcome == ServerError || ev.Outcome == ConnectionLost) ||
		abandoned && !w.set.CancelStopsWork // a read may go on, as the server may not notice the end of its connection
	if mayHaveRun && p.mayHaveRunAt == nil {
		p.mayHaveRunAt, p.mayHaveRunSince = w.entry(server), p.sentAt
	}
	p.server = ""
	ev.Kind, ev.RequestID, ev.Server, ev.Attempt, ev.Took = Ended, p.id, server, attempt-1, ms(20)
	ev.RequestEnded = p.answered || p.departed || ev.Outcome == Delivered || p.streaming
	if ev.Outcome == ReadDone {
		p.stateHeld = true
	}
	if ev.Outcome == Delivered || p.streaming {
		p.answered, p.stateHeld = true, false
	}
	if w.rnd.Intn(2) == 0 {
		ev.Report = &Report{MemoryHeld: w.rnd.Float64(), TokensWaiting: w.rnd.Float64() * 20000}
		if w.rnd.Intn(4) == 0 {
			ev.Report.MemoryHeld = math.NaN()
		}
	}
	p.stateHeldSince = w.now
	since := w.now
	w.after(w.set.ReleaseWithin+ms(1), func() {
		if p.stateHeld && p.server == "" && p.stateHeldSince == since {
			w.fail("state of %s is still held", p.id)
		}
	})
	w.handle(&ev)
}

func (w *simulator) arriveRequest(i int) {
	class := w.set.Classes[w.rnd.Intn(len(w.set.Classes))]
	p := &simRequest{id: fmt.Sprintf("q%d", i), class: class}
	left := ms(200 + w.rnd.Intn(5000))
	p.deadline = w.now + left
	w.requests[p.id] = p
	tenant := ""
	if len(w.set.Tenants) > 0 {
		tenant = w.set.Tenants[0].Name
	}
	w.after(left+ms(1), func() {
		if !p.answered && !p.departed && !p.streaming {
			w.fail("%s has no answer at its deadline", p.id)
		}
	})
	if w.rnd.Intn(12) == 0 {
		w.after(ms(w.rnd.Intn(1000)), func() {
			if !p.answered && !p.streaming {
				p.departed = true
				w.handle(&Event{Kind: Departed, RequestID: p.id})
				since := w.now
				w.after(w.set.ReleaseWithin, func() {
					if p.stateHeld && p.server == "" && p.stateHeldSince <= since {
						w.fail("state of %s is still held after its client left", p.id)
					}
				})
			}
		})
	}
	w.handle(&Event{Kind: Arrived, RequestID: p.id, Request: Request{Class: class.Name, Tenant: tenant,
		Session: uint64(w.rnd.Intn(30)), Prefix: uint64(w.rnd.Intn(5)), PrefixTokens: 1000,
		PromptTokens: int64(1000 + w.rnd.Intn(4000)), MaxOutput: 300, Remaining: left}})
}

func (w *simulator) changeList() {
	i := w.rnd.Intn(len(w.list))
	e := &w.list[i]
	switch w.rnd.Intn(4) {
	case 0:
		e.Availability = Draining
	case 1:
		e.Availability = Gone
	default:
		if e.Availability != Ready {
			e.Started = w.now
		}
		e.Availability = Ready
	}
	if e.Availability == Ready {
		delete(w.stoppedAt, e.ID)
	} else {
		w.stoppedAt[e.ID] = w.now
	}
	kind, list := ListChanged, []ServerEntry{*e}
	if w.rnd.Intn(4) == 0 { // a complete list without the servers that stopped
		kind, list = ListComplete, nil
		for _, x := range w.list {
			if x.Availability == Ready {
				list = append(list, x)
			}
		}
	}
	w.handle(&Event{Kind: kind, Servers: list})
}

func runSimulation(t *testing.T, set Settings, seed int64) []string {
	w := &simulator{t: t, rnd: rand.New(rand.NewSource(seed)), set: set, requests: map[string]*simRequest{},
		stoppedAt: map[string]time.Duration{}, sends: map[string][]time.Duration{}, now: time.Second}
	var err error
	if w.l, err = New(set, uint64(seed)); err != nil {
		t.Fatal(err)
	}
	for i, kind := range []string{"r", "r", "r", "w", "w", "m"} {
		w.list = append(w.list, ServerEntry{ID: fmt.Sprintf("%s%d", kind, i), Zone: fmt.Sprintf("z%d", i%2), Kind: kind,
			Cell: int64(i % 3), Weight: 1})
	}
	w.handle(&Event{Kind: ListComplete, Servers: w.list})
	for i := range 400 {
		w.after(ms(w.rnd.Intn(20000)), func() { w.arriveRequest(i) })
	}
	for range 30 {
		w.after(ms(w.rnd.Intn(20000)), w.changeList)
	}
	w.after(ms(9000), func() { w.handle(&Event{Kind: ListFailed}) })
	for len(w.queue) > 0 && !t.Failed() {
		x := heap.Pop(&w.queue).(scheduledCall)
		w.now = x.at
		x.run()
	}
	if len(w.l.requests) != 0 || len(w.l.bySeq) != 0 {
		t.Errorf("%d requests are still stored after all have ended", len(w.l.requests))
	}
	for _, s := range w.l.order {
		if s.unreadTokens != 0 || len(s.pending) != 0 {
			t.Errorf("%s ends with %d unread tokens, %d pending attempts", s.ID, s.unreadTokens, len(s.pending))
		}
	}
	return w.trace
}

// TestRulesHold plays random valid events under many variants of the settings, twice each: the same
// events must give the same actions.
func TestRulesHold(t *testing.T) {
	variants := map[string]func(*Settings){
		"plain":             func(*Settings) {},
		"unsafe":            func(s *Settings) { s.Classes[0].Repeat = Unsafe },
		"keyed all":         func(s *Settings) { s.Classes[0].Repeat = Keyed },
		"keyed zone":        func(s *Settings) { s.Classes[0].Repeat, s.Classes[0].Scope = Keyed, SameZone },
		"keyed cell":        func(s *Settings) { s.Classes[0].Repeat, s.Classes[0].Scope = Keyed, SameCell },
		"short window":      func(s *Settings) { s.Classes[0].Repeat, s.Classes[0].Window = Keyed, time.Second },
		"in place":          func(s *Settings) { s.ReadInPlace = true },
		"no mixed":          func(s *Settings) { s.Kinds[2].Role = Writer },
		"only writers":      func(s *Settings) { s.Kinds[0].Role, s.ReadInPlace = Writer, true },
		"only readers":      func(s *Settings) { s.Kinds[1].Role, s.Kinds[2].Role = Reader, Reader },
		"no cancel":         func(s *Settings) { s.CanCancel = false },
		"cancel stops work": func(s *Settings) { s.CancelStopsWork, s.Classes[0].Repeat = true, Unsafe },
		"one attempt":       func(s *Settings) { s.MaxAttempts = 1 },
		"one router":        func(s *Settings) { s.Siblings = 1 },
		"tenants":           func(s *Settings) { s.Tenants = []Tenant{{"t", 5}} },
		"list on request":   func(s *Settings) { s.ListOnRequest = true },
		"probes":            func(s *Settings) { s.CanProbe, s.Siblings = true, 12 },
		"probes, unsafe":    func(s *Settings) { s.CanProbe, s.Siblings, s.Classes[0].Repeat = true, 12, Unsafe },
		"probes, keyed": func(s *Settings) {
			s.CanProbe, s.Siblings, s.Classes[0].Repeat, s.Classes[0].Scope = true, 12, Keyed, SameCell
		},
		"unknown memory": func(s *Settings) { s.Kinds[1].MemoryTokens = 0 },
	}
	for name, vary := range variants {
		t.Run(name, func(t *testing.T) {
			set := settings()
			vary(&set)
			for seed := range int64(6) {
				a := runSimulation(t, set, seed)
				probed := slices.ContainsFunc(a, func(line string) bool { return strings.Contains(line, Probe.String()) })
				if probed != set.CanProbe {
					t.Errorf("seed %d: probes %v, allowed %v", seed, probed, set.CanProbe)
				}
				if b := runSimulation(t, set, seed); !reflect.DeepEqual(a, b) {
					t.Fatal("the same events gave different actions")
				}
			}
		})
	}
}
