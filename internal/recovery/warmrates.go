package recovery

import (
	"math"
	"time"

	"standpulley/logic"
)

// WarmRates is, by kind, the requests per second of this dispatcher that a warm server with weight
// 1 is known to have served. It is learned while all servers are warm, and used to estimate their
// capacity while none is.
type WarmRates map[string]float64

// halfLife is the time after which a measured rate counts half. It is long because low load at
// night doesn't mean a smaller fleet than at peak load.
const halfLife = 24 * time.Hour

// MeasureWarmRates returns a safe estimate for each kind, given that n requests were served within
// a period by the weights in service, by kind. Two standard deviations of n are subtracted, as
// otherwise the highest of many random counts would exceed the capacity. Each request passes one
// reader and one other server, so the servers of a role share the whole rate by their weights.
func MeasureWarmRates(n int, over time.Duration, weights map[string]float64, kinds []logic.Kind) WarmRates {
	sums, k := sumByRole(weights, kinds), WarmRates{}
	rate := (float64(n) - 2*math.Sqrt(float64(n))) / over.Seconds()
	for _, kind := range kinds {
		if sum := sums[kind.Role == logic.Reader]; sum > 0 && rate > 0 {
			k[kind.Name] = rate / sum
		}
	}
	return k
}

// sumByRole adds up the values of the kinds that are readers, under true, and those of all others,
// under false.
func sumByRole(values map[string]float64, kinds []logic.Kind) map[bool]float64 {
	sums := map[bool]float64{}
	for _, kind := range kinds {
		sums[kind.Role == logic.Reader] += values[kind.Name]
	}
	return sums
}

// Merge combines rates that were just measured with the known ones, which were updated some time
// ago (since) and decay. The higher rate of each kind wins, because the served rate is limited by
// demand and may be far below the capacity.
func (k WarmRates) Merge(measured WarmRates, since time.Duration) WarmRates {
	decay := math.Exp2(-float64(since) / float64(halfLife))
	next := WarmRates{}
	for name, x := range k {
		next[name] = x * decay
	}
	for name, x := range measured {
		next[name] = max(next[name], x)
	}
	return next
}

// Capacity returns the requests per second that the weights in service can serve once they are
// warm, which is the capacity of the weaker role. It is 0 if nothing is known of a role.
func (k WarmRates) Capacity(weights map[string]float64, kinds []logic.Kind) float64 {
	each := map[string]float64{}
	for name, x := range k {
		each[name] = x * weights[name]
	}
	capacities := sumByRole(each, kinds)
	lowest := math.Inf(1)
	for _, kind := range kinds {
		lowest = min(lowest, capacities[kind.Role == logic.Reader])
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

// Changed reports whether a rate differs from before by more than a tenth, so that it is worth
// publishing.
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

// Valid reports whether all values can be rates. Values that come from disk or from other
// dispatchers may be anything.
func (k WarmRates) Valid() bool {
	for _, x := range k {
		if !(x >= 0) || math.IsInf(x, 1) {
			return false
		}
	}
	return true
}
