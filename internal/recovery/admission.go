package recovery

import (
	"math"
	"time"
)

const (
	throttlingShare = 0.1         // throttling is reported if more than this share of requests is refused
	minDemand       = 0.01        // requests per second; a tenant with less is forgotten
	demandWindow    = time.Second // time constant of the averages of demand and refusals
	maxTenants      = 1024        // tracked individually; all others of a class share one entry
	// A token bucket holds what its rate yields in burstTime, but at least minBurst requests.
	burstTime = 100 * time.Millisecond
	minBurst  = 3
	// Tenants within their shares may overdraw the common bucket by what its rate yields in this
	// time.
	debtTime     = 250 * time.Millisecond
	demandMargin = 1.1 // shares exceed the measured demand slightly, as that fluctuates randomly
)

// AdmissionLimiter admits requests at the rate that a Ramp allows. First tries have priority over
// retries, because a request that is retried is late already. Next comes the operator's order of
// classes. Within a class each tenant gets up to its fair share, so that a tenant with a hundred
// times the demand of the others takes nothing from them. An AdmissionLimiter is not safe for
// concurrent use.
type AdmissionLimiter struct {
	classes   []map[string]*tenant // by class for first tries, then by class for retries; keyed by tenant
	rate      float64
	tokens    float64 // of all tenants together
	demand    float64 // recent requests per second of all tenants ...
	refused   float64 // ... and how many of them were refused
	updatedAt time.Duration
	tracked   int // tenants in all classes
}

// tenant is the state of one tenant in one class.
type tenant struct {
	demand    float64 // recent requests per second
	share     float64 // requests per second that are admitted
	tokens    float64
	updatedAt time.Duration
}

// NewAdmissionLimiter returns a limiter for the given number of classes. It admits nothing before
// the first call of SetRate.
func NewAdmissionLimiter(classes int) *AdmissionLimiter {
	g := &AdmissionLimiter{classes: make([]map[string]*tenant, 2*max(classes, 1))}
	for i := range g.classes {
		g.classes[i] = map[string]*tenant{}
	}
	return g
}

// SetRate sets how many requests per second are admitted from now on, and recomputes the shares of
// the tenants.
func (g *AdmissionLimiter) SetRate(now time.Duration, rate float64) {
	g.advance(now)
	g.rate = rate
	demand := make([]map[string]float64, len(g.classes))
	for i, class := range g.classes {
		demand[i] = map[string]float64{}
		for name, a := range class {
			a.advance(now)
			if a.demand < minDemand { // no request for a long time
				delete(class, name)
				g.tracked--
				continue
			}
			demand[i][name] = demandMargin * a.demand
		}
	}
	for i, class := range Shares(rate, demand) {
		for name, share := range class {
			g.classes[i][name].share = share
		}
	}
}

// Rate returns the rate that SetRate has set.
func (g *AdmissionLimiter) Rate() float64 { return g.rate }

// Throttling reports whether demand exceeds the rate: recently more than one of ten requests was
// refused.
func (g *AdmissionLimiter) Throttling(now time.Duration) bool {
	g.advance(now)
	return g.refused > throttlingShare*g.demand
}

// RefusedRate returns how many requests per second were refused recently.
func (g *AdmissionLimiter) RefusedRate(now time.Duration) float64 {
	g.advance(now)
	return g.refused
}

// Admit decides whether a tenant's request of a class is admitted. The argument retry is true if
// the client has tried before. A class out of range counts as the nearest valid one.
func (g *AdmissionLimiter) Admit(now time.Duration, class int, retry bool, name string) bool {
	g.advance(now)
	index, all := min(max(class, 0), len(g.classes)/2-1), len(g.classes)/2
	if retry {
		index += all
	}
	tenants := g.classes[index]
	a := tenants[name]
	if a == nil && g.tracked >= maxTenants {
		name = ""
		a = tenants[name]
	}
	if a == nil {
		a = &tenant{tokens: 1, updatedAt: now}
		tenants[name] = a
		g.tracked++
	}
	a.advance(now)
	a.demand += 1 / demandWindow.Seconds()
	g.demand += 1 / demandWindow.Seconds()
	if g.tokens < 1-debtTime.Seconds()*g.rate || a.tokens < 1 {
		g.refused += 1 / demandWindow.Seconds()
		return false
	}
	g.tokens--
	a.tokens--
	return true
}

// advance decays the averages and refills the bucket up to now.
func (g *AdmissionLimiter) advance(now time.Duration) {
	decay := math.Exp(-float64(now-g.updatedAt) / float64(demandWindow))
	g.demand, g.refused = g.demand*decay, g.refused*decay
	g.tokens = min(g.tokens+(now-g.updatedAt).Seconds()*g.rate, max(g.rate*burstTime.Seconds(), minBurst))
	g.updatedAt = now
}

// advance decays the average and refills the bucket up to now.
func (a *tenant) advance(now time.Duration) {
	elapsed := now - a.updatedAt
	a.updatedAt = now
	a.demand *= math.Exp(-float64(elapsed) / float64(demandWindow))
	a.tokens = min(a.tokens+elapsed.Seconds()*a.share, max(a.share*burstTime.Seconds(), minBurst))
}
