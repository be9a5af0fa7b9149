package recovery

import (
	"math"
	"time"
)

// Ramp bounds the admitted rate while replicas warm up. All times are relative to the moment at
// which the dispatcher began to admit requests.
type Ramp struct {
	ColdShare  float64       // guaranteed capacity of cold replicas, as a share of their warm capacity
	WarmUpTime time.Duration // of a replica
	// Capacity is the requests per second of this dispatcher that the warm fleet is known to serve;
	// 0 if nothing is known.
	Capacity float64
}

// rampMargin is how much more is admitted than cold replicas are guaranteed to serve. The known
// capacity is lower than the real one, because the random variation of counts is subtracted from
// it, and most replicas warm up sooner than the settings allow for. The router's budget for cold
// servers still enforces the limits of each replica.
const rampMargin = 2

// Rate returns how many requests per second may be admitted, given the rate that replicas have
// proven by serving it. It is the guaranteed capacity of replicas of this age times rampMargin, of
// which only half is used until it is proven. Once the replicas are warm it doubles each second, so
// that a surge of clients is admitted without a step; from there on the router bounds the load. If
// no capacity is known, it is twice the proven rate.
func (r Ramp) Rate(since time.Duration, proven float64) float64 {
	if r.Capacity == 0 {
		return max(2*proven, 1)
	}
	x := min(float64(since)/float64(max(r.WarmUpTime, 1)), 1)
	guaranteed := rampMargin * r.Capacity * (r.ColdShare + (1-r.ColdShare)*x*x)
	if since >= r.WarmUpTime {
		return guaranteed * math.Exp2(min((since-r.WarmUpTime).Seconds(), 30))
	}
	return min(guaranteed, max(2*proven, guaranteed/2, minProvenRate))
}

const minProvenRate = 3 // requests per second; a lower served rate proves nothing

// RetryAfter returns when a refused client should retry. The delay is random (drawn is from 0 to 1)
// over roughly the time in which all waiting clients can be admitted, so that they don't return as
// one surge. The argument waiting is the number of requests refused per second, rate the number
// admitted per second.
func RetryAfter(waiting, rate, drawn float64) time.Duration {
	spread := retrySpread * waiting / max(rate, 0.01)
	return minRetryAfter + time.Duration(drawn*min(max(spread, 1), 60)*float64(time.Second))
}

const (
	minRetryAfter = time.Second / 2
	retrySpread   = 2 // the clients refused within a second are only a part of those that wait
)

// Shares splits an admitted rate among classes in the operator's order, each up to its demand, and
// within a class evenly among tenants, each up to its demand (max-min fairness). The demand is a
// rate for each tenant of each class.
func Shares(rate float64, demand []map[string]float64) []map[string]float64 {
	shares := make([]map[string]float64, len(demand))
	for i, tenants := range demand {
		shares[i] = maxMinFair(rate, tenants)
		for _, g := range shares[i] {
			rate -= g
		}
		rate = max(rate, 0)
	}
	return shares
}

// maxMinFair gives each tenant its demand or, if that exceeds the even share, the same rate as all
// other tenants with a higher demand.
func maxMinFair(rate float64, demand map[string]float64) map[string]float64 {
	shares := make(map[string]float64, len(demand))
	left, open := rate, len(demand)
	for open > 0 {
		each, done := left/float64(open), 0
		for name, want := range demand {
			if _, ok := shares[name]; !ok && want <= each {
				shares[name] = want
				left -= want
				done++
			}
		}
		if done == 0 {
			for name := range demand {
				if _, ok := shares[name]; !ok {
					shares[name] = math.Max(each, 0)
				}
			}
			return shares
		}
		open -= done
	}
	return shares
}
