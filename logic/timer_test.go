package logic

import (
	"reflect"
	"testing"
	"time"
)

// TestLateTimerOfAnEndedRequestChangesNothing guards against a host that can't unset timers: those of
// a request that has ended fire all the same, also while a later request has its id.
func TestLateTimerOfAnEndedRequestChangesNothing(t *testing.T) {
	ended := func(server string, attempt int, outcome Outcome) Event {
		return Event{Kind: Ended, RequestID: "q", Server: server, Attempt: attempt, Outcome: outcome, RequestEnded: outcome == Delivered}
	}
	for name, events := range map[string][]Event{
		"served":     {ended("r1", 0, ReadDone), ended("w1", 1, Delivered)},
		"failed":     {ended("r1", 0, ReadDone), ended("w1", 1, ConnectionLost)},
		"departed":   {{Kind: Departed, RequestID: "q"}, ended("r1", 0, Cancelled)},
		"asked anew": {ended("r1", 0, ReadDone), ended("w1", 1, Delivered), *arrival("q", 2, 2)},
	} {
		set := settings()
		set.Classes[0].Repeat = Unsafe
		plain := newRouter(t, set, entry("r1", "r", 1), entry("w1", "w", 1))
		late := newRouter(t, set, entry("r1", "r", 1), entry("w1", "w", 1))
		var timers []Action
		for _, a := range late.Handle(0, arrival("q", 1, 1), nil) {
			if a.Kind == Wake && a.RequestID == "q" {
				timers = append(timers, a)
			}
		}
		plain.Handle(0, arrival("q", 1, 1), nil)
		for i := range events {
			plain.Handle(ms(10*i), &events[i], nil)
			late.Handle(ms(10*i), &events[i], nil)
		}
		if len(timers) == 0 {
			t.Errorf("%s: the request has no timer", name)
		}
		var now time.Duration
		for _, a := range timers {
			now = max(now, a.After)
		}
		for _, a := range timers {
			if acts := late.Handle(now, &Event{Kind: TimerFired, Tag: a.Tag}, nil); len(acts) > 0 {
				t.Errorf("%s: a late timer led to %v", name, acts)
			}
			if acts := late.Handle(now, &Event{Kind: TimerFired, Tag: a.Tag | probeTag}, nil); len(acts) > 0 {
				t.Errorf("%s: a late timer of probes led to %v", name, acts)
			}
		}
		plain.now = now
		if !reflect.DeepEqual(plain, late) {
			t.Errorf("%s: a late timer changed the router", name)
		}
	}
}
