package fleetmodel

import (
	"fmt"
	"testing"
)

// TestBatchingDays checks days at the site with batching readers, where the cost of a long prompt
// grows faster than its length and few writers serve many readers. Each bound lies between the
// result of an earlier version of the decisions and the current one. The comments give the means
// over the seeds: the earlier one, and the current one where it follows.
func TestBatchingDays(t *testing.T) {
	for _, c := range []struct {
		day    Day
		served float64
	}{
		{WritersReplaced(4), 0.70},  // 0.620, 0.773
		{WritersReplaced(30), 0.62}, // 0.545, 0.695
		{Batching(300, 0), 0.88},    // 0.847 without probes
		{Batching(300, 0.15), 0.88}, // 0.855
		// 0.676 without probes, and with new servers taking less of a prefix with several homes.
		{BatchingReplacement(300), 0.72},
	} {
		t.Run(fmt.Sprintf("%s/%d", c.day.Name, c.day.Routers), func(t *testing.T) {
			t.Parallel()
			seeds := uint64(4)
			if c.day.Routers > 100 {
				seeds = 2
			}
			var served float64
			var text string
			for seed := range seeds {
				r := play(t, c.day, seed+1)
				served += r.Served / float64(seeds)
				text += r.String()
				if r.BudgetUseWithMargin >= 1 {
					t.Errorf("seed %d: a server in slow start was sent %.2f of its budget", seed+1, r.BudgetUseWithMargin)
				}
			}
			if served < c.served {
				t.Errorf("served %.3f, want at least %.2f:\n%s", served, c.served, text)
			}
			t.Logf("served %.3f", served)
		})
	}
}
