package recovery

import (
	"math"
	"time"

	"standpulley/logic"
)

// WarmRates is what the fleet is known to bear: requests a second of this dispatcher that a warm server of weight 1 served, by its kind.
// It is learned while all servers are warm, and stands for them while none is.
type WarmRates map[string]float64

// fadeHalf is the time after which what was served once counts half: a quiet night tells of no smaller fleet than a payday did.
const fadeHalf = 24 * time.Hour

// MeasureWarmRates gives what each kind surely bears where n requests were served in a time by the weights that are in service, by kind: so many as
// come by chance, two deviations, are taken off, as the most of many counts would be more than what is borne. A request passes one reader
// and one other, so those of a role share the whole by their weight.
func MeasureWarmRates(n int, over time.Duration, weights map[string]float64, kinds []logic.Kind) WarmRates {
	sums, k := sumsOf(weights, kinds), WarmRates{}
	rate := (float64(n) - 2*math.Sqrt(float64(n))) / over.Seconds()
	for _, kind := range kinds {
		if sum := sums[kind.Role == logic.Reader]; sum > 0 && rate > 0 {
			k[kind.Name] = rate / sum
		}
	}
	return k
}

// sumsOf adds up what kinds have, those of readers and those of others.
func sumsOf(each map[string]float64, kinds []logic.Kind) map[bool]float64 {
	sums := map[bool]float64{}
	for _, kind := range kinds {
		sums[kind.Role == logic.Reader] += each[kind.Name]
	}
	return sums
}

// Merge joins what was just borne with what was known a while before: the more of both, as what is served is no more than what there is to
// serve, and what is known fades.
func (k WarmRates) Merge(borne WarmRates, since time.Duration) WarmRates {
	fade := math.Exp2(-float64(since) / float64(fadeHalf))
	next := WarmRates{}
	for name, x := range k {
		next[name] = x * fade
	}
	for name, x := range borne {
		next[name] = max(next[name], x)
	}
	return next
}

// Capacity gives the requests a second that the weights in service bear once they are warm: what the role bears that bears less. It is 0
// where a role is not known.
func (k WarmRates) Capacity(weights map[string]float64, kinds []logic.Kind) float64 {
	each := map[string]float64{}
	for name, x := range k {
		each[name] = x * weights[name]
	}
	bears := sumsOf(each, kinds)
	least := math.Inf(1)
	for _, kind := range kinds {
		least = min(least, bears[kind.Role == logic.Reader])
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// Changed tells whether what is known differs by more than a tenth, so that it is worth telling.
func (k WarmRates) Changed(before WarmRates) bool {
	if len(k) != len(before) {
		return true
	}
	for name, x := range k {
		if math.Abs(x-before[name]) > 0.1*before[name] {
			return true
		}
	}
	return false
}

// Valid tells whether all of it can be rates; what comes from a disk or from others may be anything.
func (k WarmRates) Valid() bool {
	for _, x := range k {
		if !(x >= 0) || math.IsInf(x, 1) {
			return false
		}
	}
	return true
}
