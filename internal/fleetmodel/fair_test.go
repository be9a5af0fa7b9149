package fleetmodel

import (
	"fmt"
	"testing"
)

// busy is a quiet day's fleet with more traffic than it was made for.
func overloaded(name string, load float64) Day {
	d := Day{Name: name, Routers: 20, Readers: 6, Writers: 9, Zones: 3, CellSize: 5, Rate: 24 * load, Length: 25e9, ListLag: 1500e6, TrafficSkew: 1}
	return d
}

// second plays a day at the second site.
func atSecondSite(d Day) Day {
	d.Name, d.Site = "second "+d.Name, SecondSite
	return d
}

// The largest requests of a class get at least two thirds of the share that its requests get on a quiet day, half on others, and no
// sessions are refused throughout beyond what chance gives: at two sites of other classes, effects and deadlines.
func TestRefusalsAreFair(t *testing.T) {
	for _, c := range []struct {
		day  Day
		part float64 // of the class's share that the longest get at least
	}{
		{overloaded("quiet", 1), 2. / 3}, {overloaded("full", 3), 1. / 2}, {overloaded("too much", 5), 1. / 2}, {Surge(20), 1. / 2}, {LargeReplacement(80), 1. / 2},
		{atSecondSite(overloaded("quiet", 1)), 2. / 3}, {atSecondSite(overloaded("too much", 5)), 1. / 2}, {atSecondSite(Surge(20)), 1. / 2},
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
							t.Errorf("seed %d, class %d: %.3f of the longest %.2f are answered, %.3f of all", seed+1, class, longest, fraction, all)
						}
						summary += fmt.Sprintf("  %.3f of %.3f", longest, all)
					}
					unanswered, chance := r.UnansweredSessions(class)
					if unanswered > chance+0.12 {
						t.Errorf("seed %d, class %d: %.3f of the sessions get no answer, %.3f by chance", seed+1, class, unanswered, chance)
					}
					summary += fmt.Sprintf("  shunned %.3f (%.3f)", unanswered, chance)
				}
				t.Logf("seed %d:%s", seed+1, summary)
			}
		})
	}
}
