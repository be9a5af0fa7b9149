package fleetmodel

import (
	"fmt"
	"testing"
)

// loadedDay returns a day with the given multiple of the traffic that its fleet is sized for.
func loadedDay(name string, load float64) Day {
	d := Day{Name: name, Routers: 20, Readers: 6, Writers: 9, Zones: 3, CellSize: 5, Rate: 24 * load, Length: 25e9, ListLag: 1500e6, TrafficSkew: 1}
	return d
}

// atSecondSite returns the day at the second site.
func atSecondSite(d Day) Day {
	d.Name, d.Site = "second "+d.Name, SecondSite
	return d
}

// TestRefusalsAreFair checks that the requests with the longest prompts of a class are answered at
// least two thirds as often as all requests of the class on a quiet day, and half as often on other
// days. The share of sessions without any answer exceeds the one expected by chance by at most
// 0.12. The test runs at two sites whose classes, repeat rules and deadlines differ.
func TestRefusalsAreFair(t *testing.T) {
	for _, c := range []struct {
		day  Day
		part float64 // minimum share of answers for the longest prompts, relative to the class's share
	}{
		{loadedDay("quiet", 1), 2. / 3}, {loadedDay("full", 3), 1. / 2}, {loadedDay("too much", 5), 1. / 2}, {Surge(20), 1. / 2}, {LargeReplacement(80), 1. / 2},
		{atSecondSite(loadedDay("quiet", 1)), 2. / 3}, {atSecondSite(loadedDay("too much", 5)), 1. / 2}, {atSecondSite(Surge(20)), 1. / 2},
	} {
		t.Run(c.day.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := play(t, c.day, seed+1)
				summary := ""
				for class := range r.settings.Classes {
					for _, fraction := range []float64{0.1, 0.25} {
						longest, all := r.Answered(class, fraction)
						if longest < c.part*all {
							t.Errorf("seed %d, class %d: %.3f of the requests with the longest prompts (share %.2f of the class) are answered, %.3f of all", seed+1, class, longest, fraction, all)
						}
						summary += fmt.Sprintf("  %.3f of %.3f", longest, all)
					}
					unanswered, chance := r.UnansweredSessions(class)
					if unanswered > chance+0.12 {
						t.Errorf("seed %d, class %d: %.3f of the sessions get no answer, %.3f expected by chance", seed+1, class, unanswered, chance)
					}
					summary += fmt.Sprintf("  sessions without an answer %.3f (%.3f)", unanswered, chance)
				}
				t.Logf("seed %d:%s", seed+1, summary)
			}
		})
	}
}
