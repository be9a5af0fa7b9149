package fleetmodel

import (
	"fmt"
	"testing"
)

// What all routers together send a cold server, one that is new or has come back, stays under what the settings allow it and chance may add,
// counted at the server: with three routers, twenty and thirty, some of which get several times the mean, under a burst, at two sites.
func TestColdServersUnderAThrong(t *testing.T) {
	for _, c := range []struct {
		day   Day
		seeds uint64
	}{{Throng(3), 4}, {Throng(20), 4}, {Throng(30), 4}, {second(Throng(3)), 2}, {second(Throng(20)), 2}, {second(Throng(30)), 2}} {
		t.Run(fmt.Sprintf("%s/%d", c.day.Name, c.day.Routers), func(t *testing.T) {
			t.Parallel()
			for seed := range c.seeds {
				r := play(t, c.day, seed+1)
				if r.Fall >= 1 {
					t.Errorf("seed %d: a cold server was sent %.2f of what it bears, with chance (%.2f without):\n%s", seed+1, r.Fall, r.Pressure, r.String())
				}
				if r.Served < 0.6 {
					t.Errorf("seed %d: %.3f served", seed+1, r.Served)
				}
				t.Logf("seed %d: %.2f (%.2f), %.3f served", seed+1, r.Fall, r.Pressure, r.Served)
			}
		})
	}
}

// The budget of a server in slow start binds on every day, however few or many routers there are: from one to hundreds, with uneven traffic
// among them, replacements in waves, zones that return cold, and servers that err, so that there are further attempts.
func TestSlowStartBudgetForAnyNumberOfRouters(t *testing.T) {
	days := []Day{Throng(1), Throng(2), second(Throng(1)), second(Throng(2))}
	for _, routers := range []int{1, 2, 3, 30, 80, 300} {
		d := JoinVast(routers)
		d.Uneven = 2
		days = append(days, d)
	}
	for _, day := range days {
		t.Run(fmt.Sprintf("%s/%d", day.Name, day.Routers), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := play(t, day, seed+1)
				if r.Fall >= 1 {
					t.Errorf("seed %d: a server in slow start was sent %.2f of its budget (%.2f without chance)", seed+1, r.Fall, r.Pressure)
				}
				if r.Fall == 0 {
					t.Errorf("seed %d: no server was in slow start", seed+1)
				}
				t.Logf("seed %d: %.2f (%.2f), %.3f served", seed+1, r.Fall, r.Pressure, r.Served)
			}
		})
	}
}
