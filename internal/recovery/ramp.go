package recovery

import (
	"math"
	"time"
)

// Ramp bounds what is let in while replicas warm up. All times are since the dispatcher began to admit.
type Ramp struct {
	ColdShare  float64       // of what warm replicas bear, that cold ones surely do
	WarmUpTime time.Duration // that they take
	Capacity   float64       // requests a second of this dispatcher that the warm fleet bears, by what was known before; 0: not known
}

// rampRoom is how much more is let in than what cold replicas surely bear: what is known is less than what was borne, by chance, and most are
// warm sooner than the settings allow for. The cold budget of the decisions keeps the rule.
const rampRoom = 2

// Rate gives how many requests a second may be let in: what replicas surely bear by their age, half of it until they prove it by serving.
// Once they are warm that doubles each second, so that a crowd is taken in without a step; the decisions bound the rest. Where nothing is
// known it is twice what they prove.
func (r Ramp) Rate(since time.Duration, proven float64) float64 {
	if r.Capacity == 0 {
		return max(2*proven, 1)
	}
	x := min(float64(since)/float64(max(r.WarmUpTime, 1)), 1)
	sure := rampRoom * r.Capacity * (r.ColdShare + (1-r.ColdShare)*x*x)
	if since >= r.WarmUpTime {
		return sure * math.Exp2(min((since-r.WarmUpTime).Seconds(), 30))
	}
	return min(sure, max(2*proven, sure/2, tellsFrom))
}

const tellsFrom = 3 // requests a second: fewer that were served prove nothing

// RetryAfter gives when a client that is refused should come back: drawn (from 0 to 1) over about the time in which those who wait can be let
// in, so that they do not come back as one crowd. Waiting is how many were refused a second, rate how many may come.
func RetryAfter(waiting, rate, drawn float64) time.Duration {
	spread := returnSpread * waiting / max(rate, 0.01)
	return returnLeast + time.Duration(drawn*min(max(spread, 1), 60)*float64(time.Second))
}

const (
	returnLeast  = time.Second / 2
	returnSpread = 2 // as those who are refused are only a part of those who wait
)

// Shares splits what may be let in among classes in the operator's order, each up to what it asks, and within a class evenly among
// customers up to what each asks (max-min fair). Asked is a rate for each customer of each class.
func Shares(rate float64, asked []map[string]float64) []map[string]float64 {
	given := make([]map[string]float64, len(asked))
	for i, customers := range asked {
		given[i] = fair(rate, customers)
		for _, g := range given[i] {
			rate -= g
		}
		rate = max(rate, 0)
	}
	return given
}

// fair gives each customer what it asks, or the same as all others that ask for more.
func fair(rate float64, asked map[string]float64) map[string]float64 {
	given := make(map[string]float64, len(asked))
	left, open := rate, len(asked)
	for open > 0 {
		each, done := left/float64(open), 0
		for name, want := range asked {
			if _, ok := given[name]; !ok && want <= each {
				given[name] = want
				left -= want
				done++
			}
		}
		if done == 0 {
			for name := range asked {
				if _, ok := given[name]; !ok {
					given[name] = math.Max(each, 0)
				}
			}
			return given
		}
		open -= done
	}
	return given
}
