package recovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// play has customers ask at their rates for a while at a gate that lets in rate a second, and counts who came in.
func play(rate float64, asks map[string]float64, class func(string) int, long time.Duration) map[string]int {
	g, in, next := NewAdmissionLimiter(2), map[string]int{}, map[string]time.Duration{}
	const tick = 5 * time.Millisecond
	for now := time.Duration(0); now < long; now += tick {
		if now%(50*time.Millisecond) == 0 {
			g.SetRate(now, rate)
		}
		for i := range len(asks) {
			name := fmt.Sprint("c", i)
			for next[name] <= now {
				if g.Admit(now, class(name), false, name) {
					in[name]++
				}
				next[name] += time.Duration(float64(time.Second) / asks[name])
			}
		}
	}
	return in
}

// One customer that comes a hundred times as often as the others takes no more than an even share from them, whatever is let in.
func TestOneCustomerTakesNothingFromOthers(t *testing.T) {
	asks := map[string]float64{"c0": 400, "c1": 4, "c2": 4, "c3": 4}
	in := play(16, asks, func(string) int { return 0 }, 10*time.Second)
	for _, name := range []string{"c1", "c2", "c3"} {
		if in[name] < 32 { // of 40
			t.Errorf("%s came in %d times of 40, the loud one %d times", name, in[name], in["c0"])
		}
	}
	if in["c0"] > 50 || in["c0"] < 20 {
		t.Errorf("the loud one came in %d times", in["c0"])
	}
}

// A class that comes first in the operator's order is served before the next, which gets what is left.
func TestClassesInOrder(t *testing.T) {
	in := play(20, map[string]float64{"c0": 15, "c1": 60}, func(name string) int { return int(name[1] - '0') }, 10*time.Second)
	if in["c0"] < 120 || in["c1"] > 90 || in["c1"] < 20 {
		t.Errorf("%v", in)
	}
}

// Never more comes in than is allowed, and little less where more is asked.
func TestGateKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		asks, sum := map[string]float64{}, 0.0
		for i := range rapid.IntRange(1, 6).Draw(t, "customers") {
			x := rapid.Float64Range(1, 300).Draw(t, "asks")
			asks[fmt.Sprint("c", i)] = x
			sum += x
		}
		const long = 4 * time.Second
		all := 0
		for _, n := range play(rate, asks, func(name string) int { return int(name[1]) % 2 }, long) {
			all += n
		}
		if most := rate*long.Seconds() + max(rate*gateBurst.Seconds(), askerBurst) + rate*gateDebt.Seconds(); float64(all) > most {
			t.Fatalf("%d came in, allowed are %v", all, most)
		}
		if least := 0.5*min(rate, sum)*long.Seconds() - 4; float64(all) < least {
			t.Fatalf("%d came in of %v asked, %v allowed", all, sum*long.Seconds(), rate*long.Seconds())
		}
	})
}

// However many customers come, few are told apart.
func TestGateIsBounded(t *testing.T) {
	g := NewAdmissionLimiter(1)
	g.SetRate(0, 1e6)
	for i := range 10 * customersMax {
		g.Admit(time.Second, 0, i%2 == 0, fmt.Sprint(i))
	}
	if n := len(g.classes[0]) + len(g.classes[1]); n > customersMax+2 {
		t.Errorf("%d customers", n)
	}
	g.SetRate(time.Minute, 1e6)
	if n := len(g.classes[0]) + len(g.classes[1]); n > 0 || g.some != 0 {
		t.Errorf("%d customers, %d counted, of whom none has come for long", n, g.some)
	}
}

// What comes first is let in before what comes again.
func TestFirstTriesBeforeOthers(t *testing.T) {
	g, in := NewAdmissionLimiter(1), map[bool]int{}
	for now := time.Duration(0); now < 10*time.Second; now += 25 * time.Millisecond { // 40 a second of each
		g.SetRate(now, 40)
		for _, again := range []bool{true, false} {
			if g.Admit(now, 0, again, "") {
				in[again]++
			}
		}
	}
	if in[false] < 320 || in[true] > 80 { // of 400
		t.Errorf("%d first tries and %d others", in[false], in[true])
	}
}
