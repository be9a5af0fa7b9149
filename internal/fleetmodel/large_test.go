package fleetmodel

import (
	"fmt"
	"testing"
	"time"
)

// TestLargeFleetDays checks the days of the large fleet at three sizes, as the mean of four seeds,
// or of two at 300 routers. An earlier version of the decisions let established sessions move to
// new servers. At 80 routers each bound on the end of the day, and at 300 routers that of
// join-vast, lies between the results of that version and the current ones. At 3 routers both
// versions decide alike, and the bounds guard the current results. At 300 routers herd-vast and
// zone-vast have bounds too; that of herd-vast is lower than before.
func TestLargeFleetDays(t *testing.T) {
	for _, c := range []struct {
		day          Day
		served, tail float64
	}{
		{LargeRestart(3), 0.97, 0.97}, {LargeZoneOutage(3), 0.96, 0.97}, {LargeReplacement(3), 0.93, 0.97},
		{LargeRestart(80), 0.92, 0.95}, {LargeZoneOutage(80), 0.90, 0.88}, {LargeReplacement(80), 0.86, 0.80},
		{LargeRestart(300), 0.85, 0.78}, {LargeZoneOutage(300), 0.88, 0.84}, {LargeReplacement(300), 0.70, 0.55},
	} {
		t.Run(fmt.Sprintf("%s/%d", c.day.Name, c.day.Routers), func(t *testing.T) {
			t.Parallel()
			var served, tail, budgetUse float64
			var text string
			seeds := []uint64{3, 4, 1, 2}
			if c.day.Routers > 100 {
				seeds = seeds[:2]
			}
			for _, seed := range seeds {
				r := play(t, c.day, seed)
				n := float64(len(seeds))
				served, tail = served+r.Served/n, tail+r.InTime(c.day.Length-10*time.Second, c.day.Length)/n
				budgetUse = max(budgetUse, r.BudgetUse)
				text += r.String()
			}
			if served < c.served || tail < c.tail || budgetUse > 1 {
				t.Errorf("served %.3f, in time at the end %.3f, slow-start budget used %.2f; want at least %.2f and %.2f, and at most 1:\n%s",
					served, tail, budgetUse, c.served, c.tail, text)
			}
			t.Logf("served %.3f, in time at the end %.3f, slow-start budget used %.2f", served, tail, budgetUse)
		})
	}
}
