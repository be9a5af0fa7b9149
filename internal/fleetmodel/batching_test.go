package fleetmodel

import (
	"fmt"
	"testing"
)

// Days of servers that batch, whose long prompts cost more than their length, and of which few writers serve many readers. Each bound lies
// between the decisions before and those of now (means of the seeds, in the comment).
func TestBatchingDays(t *testing.T) {
	for _, c := range []struct {
		day    Day
		served float64
	}{
		{WritersReplaced(4), 0.70},       // 0.620, 0.773
		{WritersReplaced(30), 0.62},      // 0.545, 0.695
		{Batching(300, 0), 0.88},         // 0.847 without probes
		{Batching(300, 0.15), 0.88},      // 0.855
		{BatchingReplacement(300), 0.72}, // 0.676 without probes, and with newcomers that take less of a text with several homes
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
				t.Errorf("%.3f served, want %.2f:\n%s", served, c.served, text)
			}
			t.Logf("%.3f served", served)
		})
	}
}
