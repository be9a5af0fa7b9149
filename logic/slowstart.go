package logic

import (
	"cmp"
	"time"
)

// Slow start: the request budget of servers that may be cold.

const (
	coldSafety       = 0.5 // share of the allowed load that a cold server is sent
	coldOnlySafety   = 0.8 // the same where the cold servers are the only ones of their kind
	coldSessionShare = 0.8 // share of the sessions with their home at a reader in slow start that move there
)

func (l *Router) inSlowStart(s *server) bool {
	return s.Started > 0 && l.now < s.Started+l.set.RampTime
}

// cold reports whether a server may be cold: one in slow start, or one that has failed, as it may
// have restarted unnoticed and be overloaded by the first attempts of hundreds of routers.
func (l *Router) cold(s *server) bool { return l.inSlowStart(s) || s.failures > 0 }

// warmth is the share of its capacity that a cold server has at least. It may warm up late, so the
// ramp is squared.
func (l *Router) warmth(s *server) float64 {
	x := min(float64(l.now-max(s.Started, s.failingSince))/float64(l.set.RampTime), 1)
	return max(l.set.ColdFrom+(1-l.set.ColdFrom)*x*x, 0.05)
}

// hasPartialView reports whether this is one of so many routers that it sees too little of the
// traffic to estimate its share of the fleet.
func (l *Router) hasPartialView() bool { return l.set.Siblings > sharePrior }

// movesToNewServer reports whether a session moves to its home, one of several for its prefix, if
// that is a reader in slow start. The reader gets the share of sessions that its warmth allows, and
// less of a prefix whose demand exceeds the capacity of its other homes. The share is the same at
// all routers, whatever each has seen. A session moves no more than two sends ahead of the reader's
// credit, which is up to date because the reader is a candidate.
func (l *Router) movesToNewServer(r *request, s *server, readers, homes int) bool {
	demand := l.demand(r, readers, demandPrior) / float64(homes)
	share := coldSessionShare * l.set.FallMultiple * l.warmth(s) / max(demand, 1)
	return l.inSlowStart(s) && s.coldCredit >= -1 && unit(mix(r.Session+1)^s.hash) < share
}

// withinColdBudget reports whether a request may be sent to a server under the limit on the total
// load that all routers send to a cold server. This router's share of the server's capacity is
// estimated from the load that a warm server of its kind serves for each arrival here, and is
// earned as credit for sends. The initial credit is a random fraction of one send that depends on
// the seed, so that where the share is far below one send per window, a few of the routers may send
// in each window.
func (l *Router) withinColdBudget(s *server) bool {
	if !l.cold(s) {
		return true
	}
	window, arrivals := l.set.FallTime.Seconds(), l.recentArrivals.add(l.now, 0, rateDecay)
	share, safety := l.arrivalShare(s, arrivals)
	budget := safety * l.set.FallMultiple * l.warmth(s) * s.Weight * share * arrivals * window / rateDecay.Seconds()
	budget = max(budget, 1/float64(l.set.Siblings)) // one send per window by all routers together, where nothing else is known
	if s.coldCreditAt < max(s.Started, s.failingSince) {
		s.coldCredit, s.coldCreditAt = unit(l.seed^s.hash), l.now
	}
	s.coldCredit = min(s.coldCredit+budget*(l.now-s.coldCreditAt).Seconds()/max(window, 0.001), max(budget/2, 1))
	s.coldCreditAt = l.now
	return s.coldCredit >= 1
}

// arrivalShare is the part of this router's arrivals that a warm server of the kind of s with
// weight 1 serves, and the share of the allowed load that may be sent by this estimate. A
// router with few arrivals assumes that they are spread evenly. Summed over all routers that is
// right, whereas each router's own observations would starve new servers after routers restart.
// While no server of the kind is warm, the last known rate of the warm ones is used.
func (l *Router) arrivalShare(s *server, arrivals float64) (share, safety float64) {
	load := l.loadOf(l.poolOf(s))
	served, weight := load.warm[s.Kind].served, load.warm[s.Kind].weight
	safety = coldSafety
	if weight == 0 {
		served, weight = cmp.Or(l.set.WarmRates[s.Kind], l.warmRates[s.Kind])*rateDecay.Seconds(), 1
		if served > 0 {
			safety = coldOnlySafety
		}
	}
	prior := max(sharePrior-arrivals, 0)
	if s.role == Mixed { // the load of mixed servers depends on the others, and shows only over time
		prior = 0
	}
	return (served/weight + prior/max(load.weight, s.Weight)) / max(arrivals+prior, 1e-9), safety
}

// poolLoad is the total weight of a pool's servers, and the load that the warm ones of each kind
// serve.
type poolLoad struct {
	at     time.Duration // when the sums were computed
	summed bool
	weight float64
	// ready counts the servers without failures. Those in slow start count only if they had credit
	// when last checked, or for readers if the router has a partial view.
	ready int
	warm  map[string]warmLoad
}

// warmLoad is what the warm servers of a kind served recently, and their weight.
type warmLoad struct {
	served, weight float64
	count          int
	mixed          bool
}

// sumIntervalPerServer, multiplied by the number of servers, is how long sums over all servers are
// reused. The cost of a decision or a list therefore does not grow with the fleet, and in a fleet
// of a hundred servers no sum is older than a few milliseconds.
const sumIntervalPerServer = 40 * time.Microsecond

// loadOf returns the sums over a pool.
func (l *Router) loadOf(p *pool) *poolLoad {
	if p.load.summed && l.now-p.load.at <= sumIntervalPerServer*time.Duration(len(p.servers)) {
		return &p.load
	}
	p.load = poolLoad{at: l.now, summed: true, warm: map[string]warmLoad{}}
	partial := p == &l.readers && l.hasPartialView()
	for _, s := range p.servers {
		p.load.weight += s.Weight
		if s.failures == 0 && (partial || s.coldCredit >= 1 || !l.inSlowStart(s)) {
			p.load.ready++
		}
		if !l.cold(s) {
			w := p.load.warm[s.Kind]
			w.served += s.served.add(l.now, 0, rateDecay)
			w.weight += s.Weight
			w.count++
			w.mixed = s.role == Mixed
			p.load.warm[s.Kind] = w
		}
	}
	return &p.load
}

// recordWarmRates saves the rates that the warm servers of each kind serve, before a new list
// removes the servers.
func (l *Router) recordWarmRates() {
	for _, readers := range []bool{true, false} {
		for kind, warm := range l.loadOf(l.poolFor(readers)).warm {
			if warm.count < 2 || warm.mixed { // one server's load says too little, and that of mixed servers depends on the others
				continue
			}
			l.warmRates[kind] = warm.served / warm.weight / rateDecay.Seconds()
		}
	}
}
