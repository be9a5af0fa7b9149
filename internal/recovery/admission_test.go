package recovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulate sends requests of tenants at the given rates to a limiter with an admitted rate for some
// time, and returns how many requests of each tenant were admitted.
func simulate(rate float64, demand map[string]float64, class func(string) int, duration time.Duration) map[string]int {
	g, admitted, next := NewAdmissionLimiter(2), map[string]int{}, map[string]time.Duration{}
	const tick = 5 * time.Millisecond
	for now := time.Duration(0); now < duration; now += tick {
		if now%(50*time.Millisecond) == 0 {
			g.SetRate(now, rate)
		}
		for i := range len(demand) {
			name := fmt.Sprint("c", i)
			for next[name] <= now {
				if g.Admit(now, class(name), false, name) {
					admitted[name]++
				}
				next[name] += time.Duration(float64(time.Second) / demand[name])
			}
		}
	}
	return admitted
}

// Guards against a tenant with a hundred times the demand of the others getting more than an even
// share of the admitted rate.
func TestHeavyTenantDoesNotStarveOthers(t *testing.T) {
	demand := map[string]float64{"c0": 400, "c1": 4, "c2": 4, "c3": 4}
	admitted := simulate(16, demand, func(string) int { return 0 }, 10*time.Second)
	for _, name := range []string{"c1", "c2", "c3"} {
		if admitted[name] < 32 { // of 40
			t.Errorf("%s: %d of 40 requests admitted, and %d of the heavy tenant", name, admitted[name], admitted["c0"])
		}
	}
	if admitted["c0"] > 50 || admitted["c0"] < 20 {
		t.Errorf("%d requests of the heavy tenant admitted", admitted["c0"])
	}
}

// A class that precedes another in the operator's order has priority. The later class gets the
// remaining rate.
func TestClassPriority(t *testing.T) {
	admitted := simulate(20, map[string]float64{"c0": 15, "c1": 60}, func(name string) int { return int(name[1] - '0') }, 10*time.Second)
	if admitted["c0"] < 120 || admitted["c1"] > 90 || admitted["c1"] < 20 {
		t.Errorf("requests admitted: %v", admitted)
	}
}

// No more than the allowed rate is admitted, and not much less if demand is sufficient.
func TestAdmittedRateMatchesAllowedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		demand, sum := map[string]float64{}, 0.0
		for i := range rapid.IntRange(1, 6).Draw(t, "tenants") {
			x := rapid.Float64Range(1, 300).Draw(t, "demand")
			demand[fmt.Sprint("c", i)] = x
			sum += x
		}
		const duration = 4 * time.Second
		all := 0
		for _, n := range simulate(rate, demand, func(name string) int { return int(name[1]) % 2 }, duration) {
			all += n
		}
		if most := rate*duration.Seconds() + max(rate*burstTime.Seconds(), minBurst) + rate*debtTime.Seconds(); float64(all) > most {
			t.Fatalf("%d requests admitted, want at most %v", all, most)
		}
		if least := 0.5*min(rate, sum)*duration.Seconds() - 4; float64(all) < least {
			t.Fatalf("%d requests admitted of %v sent and %v allowed", all, sum*duration.Seconds(), rate*duration.Seconds())
		}
	})
}

// The number of tracked tenants is bounded, however many send requests.
func TestTrackedTenantsAreBounded(t *testing.T) {
	g := NewAdmissionLimiter(1)
	g.SetRate(0, 1e6)
	for i := range 10 * maxTenants {
		g.Admit(time.Second, 0, i%2 == 0, fmt.Sprint(i))
	}
	if n := len(g.classes[0]) + len(g.classes[1]); n > maxTenants+2 {
		t.Errorf("%d tenants tracked", n)
	}
	g.SetRate(time.Minute, 1e6)
	if n := len(g.classes[0]) + len(g.classes[1]); n > 0 || g.tracked != 0 {
		t.Errorf("%d tenants tracked and %d counted, although none has sent a request for a long time", n, g.tracked)
	}
}

// First tries have priority over retries.
func TestFirstTriesBeforeRetries(t *testing.T) {
	g, admitted := NewAdmissionLimiter(1), map[bool]int{}
	for now := time.Duration(0); now < 10*time.Second; now += 25 * time.Millisecond { // 40 of each per second
		g.SetRate(now, 40)
		for _, retry := range []bool{true, false} {
			if g.Admit(now, 0, retry, "") {
				admitted[retry]++
			}
		}
	}
	if admitted[false] < 320 || admitted[true] > 80 { // of 400
		t.Errorf("%d first tries and %d retries admitted", admitted[false], admitted[true])
	}
}
