package fleetmodel

import (
	"fmt"
	"testing"
)

// TestColdServersUnderASurge checks that all routers together keep within the slow-start budget of
// each cold server, new or restarted, plus a margin for chance, as counted at the server: with 3,
// 20 and 30 routers, some of which receive several times the mean traffic, during a burst, at two
// sites.
func TestColdServersUnderASurge(t *testing.T) {
	for _, c := range []struct {
		day   Day
		seeds uint64
	}{{Surge(3), 4}, {Surge(20), 4}, {Surge(30), 4}, {atSecondSite(Surge(3)), 2}, {atSecondSite(Surge(20)), 2}, {atSecondSite(Surge(30)), 2}} {
		t.Run(fmt.Sprintf("%s/%d", c.day.Name, c.day.Routers), func(t *testing.T) {
			t.Parallel()
			for seed := range c.seeds {
				r := play(t, c.day, seed+1)
				if r.BudgetUseWithMargin >= 1 {
					t.Errorf("seed %d: a cold server was sent %.2f of its budget with the margin for chance (%.2f without):\n%s", seed+1, r.BudgetUseWithMargin, r.BudgetUse, r.String())
				}
				if r.Served < 0.6 {
					t.Errorf("seed %d: served %.3f, want at least 0.6", seed+1, r.Served)
				}
				t.Logf("seed %d: %.2f (%.2f), %.3f served", seed+1, r.BudgetUseWithMargin, r.BudgetUse, r.Served)
			}
		})
	}
}

// TestSlowStartBudgetForAnyNumberOfRouters checks that the budget of a server in slow start is kept
// for any number of routers, from one to hundreds, with uneven traffic among them, replacements in
// waves, zones that restart cold, and servers that return errors, which cause further attempts.
func TestSlowStartBudgetForAnyNumberOfRouters(t *testing.T) {
	days := []Day{Surge(1), Surge(2), atSecondSite(Surge(1)), atSecondSite(Surge(2))}
	for _, routers := range []int{1, 2, 3, 30, 80, 300} {
		d := LargeReplacement(routers)
		d.TrafficSkew = 2
		days = append(days, d)
	}
	for _, day := range days {
		t.Run(fmt.Sprintf("%s/%d", day.Name, day.Routers), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := play(t, day, seed+1)
				if r.BudgetUseWithMargin >= 1 {
					t.Errorf("seed %d: a server in slow start was sent %.2f of its budget with the margin for chance (%.2f without)", seed+1, r.BudgetUseWithMargin, r.BudgetUse)
				}
				if r.BudgetUseWithMargin == 0 {
					t.Errorf("seed %d: no server was in slow start", seed+1)
				}
				t.Logf("seed %d: %.2f (%.2f), %.3f served", seed+1, r.BudgetUseWithMargin, r.BudgetUse, r.Served)
			}
		})
	}
}
