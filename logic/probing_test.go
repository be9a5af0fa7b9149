package logic

import (
	"testing"
	"time"
)

// probingRouter is a router of a large tier with probes allowed, three readers and a writer.
func probingRouter(t *testing.T, change func(*Settings)) *Router {
	t.Helper()
	set := settings()
	set.Siblings, set.CanProbe, set.ProbePrice = 300, true, 0.003
	if change != nil {
		change(&set)
	}
	return newRouter(t, set, entry("r1", "r", 1), entry("r2", "r", 1), entry("r3", "r", 1), entry("w1", "w", 1))
}

// probesOf returns the servers that are probed, in order.
func probesOf(acts []Action) (servers []string) {
	for _, a := range acts {
		if a.Kind == Probe {
			servers = append(servers, a.Server)
		}
	}
	return servers
}

// timersOf returns the tags of the timers for probes.
func timersOf(acts []Action) (tags []uint64) {
	for _, a := range acts {
		if a.Kind == Wake && a.Tag&probeTag != 0 {
			tags = append(tags, a.Tag)
		}
	}
	return tags
}

// TestReadGoesToReaderThatAnswersProbe guards against a read that goes to its first choice although
// requests of other routers are queued there, which a router with a partial view can't know. Each
// case lists the answers to the probes of the first and the second choice, and where the read must
// go.
func TestReadGoesToReaderThatAnswersProbe(t *testing.T) {
	const none = 0
	type probeAnswer struct {
		choice int // 1, 2, or none: the latest timer fires
		out    Outcome
	}
	for name, c := range map[string]struct {
		answers []probeAnswer
		want    int
	}{
		"first is idle": {[]probeAnswer{{1, Delivered}}, 1},
		"both are idle, first answers a little later": {[]probeAnswer{{2, Delivered}, {1, Delivered}}, 1},
		"only second answers":                         {[]probeAnswer{{2, Delivered}, {none, 0}}, 2},
		"neither answers":                             {[]probeAnswer{{none, 0}}, 1},
		"first is full, second is idle":               {[]probeAnswer{{1, Full}, {2, Delivered}}, 2},
		"second is idle, then first fails":            {[]probeAnswer{{2, Delivered}, {1, ConnectFailed}}, 2},
		"both are full":                               {[]probeAnswer{{1, Full}, {2, Full}, {none, 0}}, 1},
	} {
		l := probingRouter(t, nil)
		acts := l.Handle(ms(1), arrival("q", 7, 9), nil)
		probed, timers := probesOf(acts), timersOf(acts)
		if len(probed) != 2 || probed[0] == probed[1] || len(timers) != 1 || find(acts, Send) != nil {
			t.Fatalf("%s: probes of %v, %d timers, send %+v", name, probed, len(timers), find(acts, Send))
		}
		var sent *Action
		for i, step := range c.answers {
			if sent != nil {
				t.Fatalf("%s: sent before step %d", name, i)
			}
			if step.choice == none {
				acts = l.Handle(ms(10+i), &Event{Kind: TimerFired, Tag: timers[len(timers)-1]}, nil)
			} else {
				acts = l.Handle(ms(10+i), &Event{Kind: Probed, Server: probed[step.choice-1], Outcome: step.out}, nil)
				timers = append(timers, timersOf(acts)...)
			}
			sent = find(acts, Send)
		}
		if sent == nil || sent.Server != probed[c.want-1] {
			t.Errorf("%s: sent %+v, want %s", name, sent, probed[c.want-1])
		}
		for _, tag := range timers { // a late timer changes nothing
			if second := find(l.Handle(ms(100), &Event{Kind: TimerFired, Tag: tag}, nil), Send); second != nil {
				t.Errorf("%s: sent again: %+v", name, second)
			}
		}
	}
}

// TestNoProbesWhereNotAllowed guards against probes that are forbidden by the settings, cost too
// much, come from a router that knows enough, are for the rest of a broken stream, or go to servers
// in slow start, where they would use up the slow-start budget.
func TestNoProbesWhereNotAllowed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"forbidden":     func(s *Settings) { s.CanProbe = false },
		"too expensive": func(s *Settings) { s.ProbePrice = 0.5 },
		"few routers":   func(s *Settings) { s.Siblings = 4 },
	} {
		acts := probingRouter(t, change).Handle(ms(1), arrival("q", 7, 9), nil)
		if len(probesOf(acts)) > 0 || find(acts, Send) == nil {
			t.Errorf("%s: probes of %v, send %+v", name, probesOf(acts), find(acts, Send))
		}
	}
	ev := arrival("q", 7, 9)
	ev.Request.Resumed = true
	if acts := probingRouter(t, nil).Handle(ms(1), ev, nil); len(probesOf(acts)) > 0 || find(acts, Send) == nil {
		t.Error("the rest of a broken stream waits for probes")
	}
	l := probingRouter(t, nil)
	for _, id := range []string{"r1", "r2", "r3"} {
		fresh := entry(id, "r", 1)
		fresh.Started = ms(1)
		l.Handle(ms(1), &Event{Kind: ListChanged, Servers: []ServerEntry{fresh}}, nil)
	}
	for i := range 20 {
		if acts := l.Handle(ms(2+i), arrival(string(rune('a'+i)), uint64(i+1), 9), nil); len(probesOf(acts)) > 0 {
			t.Errorf("servers in slow start are probed: %v", probesOf(acts))
		}
	}
}

// TestRequestEndsWhileReadersAreProbed guards against a send for a request whose client leaves or
// whose deadline passes while readers are probed, and against a send to a reader that begins to
// drain meanwhile.
func TestRequestEndsWhileReadersAreProbed(t *testing.T) {
	l := probingRouter(t, nil)
	probed := probesOf(l.Handle(ms(1), arrival("left", 7, 9), nil))
	l.Handle(ms(2), &Event{Kind: Departed, RequestID: "left"}, nil)
	if a := find(l.Handle(ms(3), &Event{Kind: Probed, Server: probed[0], Outcome: Delivered}, nil), Send); a != nil {
		t.Errorf("sent after the client has left: %+v", a)
	}
	if len(l.requests) != 0 {
		t.Errorf("%d requests are still stored", len(l.requests))
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
		t.Fatal("no timer was set for the deadline")
	}
	if acts := l.Handle(ms(30), &Event{Kind: TimerFired, Tag: deadline.Tag}, nil); find(acts, Refuse) == nil || find(acts, Send) != nil {
		t.Errorf("at the deadline: got %+v, want a refusal", acts)
	}

	probed = probesOf(l.Handle(ms(40), arrival("gone", 8, 9), nil))
	gone := entry(probed[0], "r", 1)
	gone.Availability = Draining
	l.Handle(ms(41), &Event{Kind: ListChanged, Servers: []ServerEntry{gone}}, nil)
	a := find(l.Handle(ms(42), &Event{Kind: Probed, Server: probed[0], Outcome: Delivered}, nil), Send)
	if a == nil || a.Server == probed[0] {
		t.Errorf("sent %+v while %s drains", a, probed[0])
	}
}
