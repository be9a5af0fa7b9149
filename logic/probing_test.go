package logic

import (
	"testing"
	"time"
)

// probingFleet is a router of a large tier, which may probe, with three readers and a writer.
func probingFleet(t *testing.T, change func(*Settings)) *Router {
	t.Helper()
	set := settings()
	set.Siblings, set.CanProbe, set.ProbePrice = 300, true, 0.003
	if change != nil {
		change(&set)
	}
	return newRouter(t, set, entry("r1", "r", 1), entry("r2", "r", 1), entry("r3", "r", 1), entry("w1", "w", 1))
}

// probesOf gives the servers that are probed, in their order.
func probesOf(acts []Action) (servers []string) {
	for _, a := range acts {
		if a.Kind == Probe {
			servers = append(servers, a.Server)
		}
	}
	return servers
}

// timersOf gives the tags of the timers for probes.
func timersOf(acts []Action) (tags []uint64) {
	for _, a := range acts {
		if a.Kind == Wake && a.Tag&probeTag != 0 {
			tags = append(tags, a.Tag)
		}
	}
	return tags
}

// Guards: a read went to the reader of its choice though it stood behind others there, which a router that sees little could not know. Each
// story is what the probes of the first and the second choice tell, and where the read goes.
func TestReadGoesToTheReaderThatAnswersItsProbe(t *testing.T) {
	const none = 0
	type told struct {
		choice int // 1, 2, or none: the timer that was set last is over
		out    Outcome
	}
	for name, c := range map[string]struct {
		story []told
		want  int
	}{
		"the first is idle":                   {[]told{{1, Delivered}}, 1},
		"both are, the first a little later":  {[]told{{2, Delivered}, {1, Delivered}}, 1},
		"the second is":                       {[]told{{2, Delivered}, {none, 0}}, 2},
		"neither is":                          {[]told{{none, 0}}, 1},
		"the first says it is not well":       {[]told{{1, Full}, {2, Delivered}}, 2},
		"the second is, then the first fails": {[]told{{2, Delivered}, {1, ConnectFailed}}, 2},
		"both say they are not":               {[]told{{1, Full}, {2, Full}, {none, 0}}, 1},
	} {
		l := probingFleet(t, nil)
		acts := l.Handle(ms(1), arrival("q", 7, 9), nil)
		asked, timers := probesOf(acts), timersOf(acts)
		if len(asked) != 2 || asked[0] == asked[1] || len(timers) != 1 || find(acts, Send) != nil {
			t.Fatalf("%s: probes of %v, %d timers, send %+v", name, asked, len(timers), find(acts, Send))
		}
		var sent *Action
		for i, step := range c.story {
			if sent != nil {
				t.Fatalf("%s: sent before step %d", name, i)
			}
			if step.choice == none {
				acts = l.Handle(ms(10+i), &Event{Kind: TimerFired, Tag: timers[len(timers)-1]}, nil)
			} else {
				acts = l.Handle(ms(10+i), &Event{Kind: Probed, Server: asked[step.choice-1], Outcome: step.out}, nil)
				timers = append(timers, timersOf(acts)...)
			}
			sent = find(acts, Send)
		}
		if sent == nil || sent.Server != asked[c.want-1] {
			t.Errorf("%s: sent %+v, want %s", name, sent, asked[c.want-1])
		}
		for _, tag := range timers { // a timer that comes late changes nothing
			if again := find(l.Handle(ms(100), &Event{Kind: TimerFired, Tag: tag}, nil), Send); again != nil {
				t.Errorf("%s: sent again: %+v", name, again)
			}
		}
	}
}

// Guards: nothing is probed where settings forbid it, where it costs too much, where routers see enough, for the rest of a stream, and no
// server in slow start, whose budget a probe would take from.
func TestWhereNothingIsProbed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"forbidden":   func(s *Settings) { s.CanProbe = false },
		"too dear":    func(s *Settings) { s.ProbePrice = 0.5 },
		"few routers": func(s *Settings) { s.Siblings = 4 },
	} {
		acts := probingFleet(t, change).Handle(ms(1), arrival("q", 7, 9), nil)
		if len(probesOf(acts)) > 0 || find(acts, Send) == nil {
			t.Errorf("%s: probes of %v, send %+v", name, probesOf(acts), find(acts, Send))
		}
	}
	ev := arrival("q", 7, 9)
	ev.Request.Resumed = true
	if acts := probingFleet(t, nil).Handle(ms(1), ev, nil); len(probesOf(acts)) > 0 || find(acts, Send) == nil {
		t.Error("the rest of a stream waits for probes")
	}
	l := probingFleet(t, nil)
	for _, id := range []string{"r1", "r2", "r3"} {
		young := entry(id, "r", 1)
		young.Started = ms(1)
		l.Handle(ms(1), &Event{Kind: ListChanged, Servers: []ServerEntry{young}}, nil)
	}
	for i := range 20 {
		if acts := l.Handle(ms(2+i), arrival(string(rune('a'+i)), uint64(i+1), 9), nil); len(probesOf(acts)) > 0 {
			t.Errorf("servers in slow start are probed: %v", probesOf(acts))
		}
	}
}

// Guards: a request whose client leaves, or whose time is over, while readers are probed is sent nowhere; a reader that is withdrawn
// meanwhile is not sent to.
func TestEndsWhileReadersAreProbed(t *testing.T) {
	l := probingFleet(t, nil)
	asked := probesOf(l.Handle(ms(1), arrival("left", 7, 9), nil))
	l.Handle(ms(2), &Event{Kind: Departed, RequestID: "left"}, nil)
	if a := find(l.Handle(ms(3), &Event{Kind: Probed, Server: asked[0], Outcome: Delivered}, nil), Send); a != nil {
		t.Errorf("sent for a client that has left: %+v", a)
	}
	if len(l.requests) != 0 {
		t.Errorf("%d requests are kept", len(l.requests))
	}

	ev := arrival("late", 7, 9)
	ev.Request.Remaining = 20 * time.Millisecond
	acts := l.Handle(ms(10), ev, nil)
	var deadline *Action
	for i := range acts {
		if acts[i].Kind == Wake && acts[i].After == ev.Request.Remaining {
			deadline = &acts[i]
		}
	}
	if deadline == nil {
		t.Fatal("there is no timer at the deadline")
	}
	if acts := l.Handle(ms(30), &Event{Kind: TimerFired, Tag: deadline.Tag}, nil); find(acts, Refuse) == nil || find(acts, Send) != nil {
		t.Errorf("at its deadline: %+v", acts)
	}

	asked = probesOf(l.Handle(ms(40), arrival("gone", 8, 9), nil))
	gone := entry(asked[0], "r", 1)
	gone.Availability = Draining
	l.Handle(ms(41), &Event{Kind: ListChanged, Servers: []ServerEntry{gone}}, nil)
	a := find(l.Handle(ms(42), &Event{Kind: Probed, Server: asked[0], Outcome: Delivered}, nil), Send)
	if a == nil || a.Server == asked[0] {
		t.Errorf("sent %+v, and %s drains", a, asked[0])
	}
}
