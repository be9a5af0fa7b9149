package recovery

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"standpulley/logic"
)

var kinds = []logic.Kind{{Name: "reader", Role: logic.Reader}, {Name: "small", Role: logic.Writer}, {Name: "large", Role: logic.Writer}}

// The capacity of the weights that served a rate is that rate, and the capacity of lower weights is
// lower.
func TestCapacityMatchesServedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.1, 50)
		w := map[string]float64{"reader": weight.Draw(t, "readers"), "small": weight.Draw(t, "small"), "large": weight.Draw(t, "large")}
		n, over := rapid.IntRange(5, 10000).Draw(t, "served"), 10*time.Second
		rate := (float64(n) - 2*math.Sqrt(float64(n))) / 10
		k := MeasureWarmRates(n, over, w, kinds)
		if c := k.Capacity(w, kinds); math.Abs(c-rate) > 1e-6*rate {
			t.Fatalf("capacity %v, want %v", c, rate)
		}
		name := rapid.SampledFrom([]string{"reader", "small", "large"}).Draw(t, "reduced kind")
		w[name] /= 2
		if c := k.Capacity(w, kinds); c >= rate {
			t.Fatalf("capacity %v with reduced weights, want less than %v", c, rate)
		}
		if c := k.Capacity(map[string]float64{"small": 1}, kinds); c != 0 {
			t.Fatalf("capacity %v without a reader, want 0", c)
		}
		// Known rates decay, and merging measured ones never raises them above both inputs.
		later := k.Merge(MeasureWarmRates(n/2, over, w, kinds), time.Duration(rapid.IntRange(0, 1000).Draw(t, "hours"))*time.Hour)
		for kind, x := range later {
			if x > max(k[kind], rate/2/min(w["reader"], w["small"]+w["large"]))+1e-9 {
				t.Fatalf("%s: merged rate %v", kind, x)
			}
		}
	})
}

func TestWarmRatesAreValidated(t *testing.T) {
	if k := MeasureWarmRates(4, time.Minute, map[string]float64{"reader": 1, "small": 1}, kinds); len(k) > 0 {
		t.Errorf("low load yields rates: %v", k)
	}
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1)} {
		if (WarmRates{"reader": bad}).Valid() {
			t.Errorf("%v is accepted as a rate", bad)
		}
	}
	dayOld := WarmRates{"reader": 8}.Merge(nil, 24*time.Hour)
	if dayOld["reader"] != 4 || !dayOld.Changed(WarmRates{"reader": 8}) || dayOld.Changed(WarmRates{"reader": 4.1}) || !dayOld.Changed(nil) {
		t.Errorf("after a day: %v", dayOld)
	}
}
