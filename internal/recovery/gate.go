package recovery

import (
	"math"
	"time"
)

const (
	heldPart     = 0.1                    // of what comes is not let in, and a crowd is held back
	askedLeast   = 0.01                   // a second, and a customer is forgotten
	askedOver    = time.Second            // what each asks for is counted over about this
	customersMax = 1024                   // that are told apart; all others share one place
	gateBurst    = 100 * time.Millisecond // of its rate that may be saved up
	askerBurst   = 3                      // requests of a customer that may be saved up, at least
	gateDebt     = 250 * time.Millisecond // of the rate of all that those within their shares may take ahead
	askedRoom    = 1.1                    // shares are a little more than what is asked, which is known by chance
)

// AdmissionLimiter lets in what a ramp allows: what comes first before what comes again, as that is late already; classes in the operator's order;
// and within a class each customer up to its fair share, so that one that comes a hundred times as often as others takes nothing from
// them. It is not safe for use by several goroutines.
type AdmissionLimiter struct {
	classes []map[string]*asker // first those of first tries, then those of others
	rate    float64
	tokens  float64 // of all together
	asked   float64 // a second, of late, by all ...
	refused float64 // ... and not let in
	at      time.Duration
	some    int // customers
}

// asker is a customer in a class.
type asker struct {
	asked  float64 // a second, of late
	given  float64 // a second
	tokens float64
	at     time.Duration
}

// NewAdmissionLimiter makes a gate for so many classes, which lets nothing in before Allow.
func NewAdmissionLimiter(classes int) *AdmissionLimiter {
	g := &AdmissionLimiter{classes: make([]map[string]*asker, 2*max(classes, 1))}
	for i := range g.classes {
		g.classes[i] = map[string]*asker{}
	}
	return g
}

// SetRate sets how many requests a second are let in from now on, and counts the shares anew.
func (g *AdmissionLimiter) SetRate(now time.Duration, rate float64) {
	g.fill(now)
	g.rate = rate
	asked := make([]map[string]float64, len(g.classes))
	for i, class := range g.classes {
		asked[i] = map[string]float64{}
		for name, a := range class {
			a.fill(now)
			if a.asked < askedLeast { // it has not come for long
				delete(class, name)
				g.some--
				continue
			}
			asked[i][name] = askedRoom * a.asked
		}
	}
	for i, class := range Shares(rate, asked) {
		for name, given := range class {
			g.classes[i][name].given = given
		}
	}
}

// Rate is what Allow has set.
func (g *AdmissionLimiter) Rate() float64 { return g.rate }

// Throttling tells whether more come than are let in: more than one of ten was not, of late.
func (g *AdmissionLimiter) Throttling(now time.Duration) bool {
	g.fill(now)
	return g.refused > heldPart*g.asked
}

// RefusedRate is how many were not let in a second, of late.
func (g *AdmissionLimiter) RefusedRate(now time.Duration) float64 {
	g.fill(now)
	return g.refused
}

// Admit lets a request of a customer in a class in, or not; again is that its client has tried before. A class out of range counts as the
// last one.
func (g *AdmissionLimiter) Admit(now time.Duration, class int, again bool, customer string) bool {
	g.fill(now)
	place, all := min(max(class, 0), len(g.classes)/2-1), len(g.classes)/2
	if again {
		place += all
	}
	of := g.classes[place]
	a := of[customer]
	if a == nil && g.some >= customersMax {
		customer = ""
		a = of[customer]
	}
	if a == nil {
		a = &asker{tokens: 1, at: now}
		of[customer] = a
		g.some++
	}
	a.fill(now)
	a.asked += 1 / askedOver.Seconds()
	g.asked += 1 / askedOver.Seconds()
	if g.tokens < 1-gateDebt.Seconds()*g.rate || a.tokens < 1 {
		g.refused += 1 / askedOver.Seconds()
		return false
	}
	g.tokens--
	a.tokens--
	return true
}

func (g *AdmissionLimiter) fill(now time.Duration) {
	fade := math.Exp(-float64(now-g.at) / float64(askedOver))
	g.asked, g.refused = g.asked*fade, g.refused*fade
	g.tokens = min(g.tokens+(now-g.at).Seconds()*g.rate, max(g.rate*gateBurst.Seconds(), askerBurst))
	g.at = now
}

func (a *asker) fill(now time.Duration) {
	spent := now - a.at
	a.at = now
	a.asked *= math.Exp(-float64(spent) / float64(askedOver))
	a.tokens = min(a.tokens+spent.Seconds()*a.given, max(a.given*gateBurst.Seconds(), askerBurst))
}
