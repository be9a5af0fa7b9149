package logic

import (
	"cmp"
	"time"
)

// Slow start: the budget of servers that may be cold.

const (
	coldSafety       = 0.5 // part of the allowed work that a cold server is sent
	coldOnlySafety   = 0.8 // and where no warm one of its kind could serve instead
	coldSessionShare = 0.8 // and part of the sessions at home at a reader in slow start that move there
)

func (l *Router) inSlowStart(s *server) bool {
	return s.Started > 0 && l.now < s.Started+l.set.RampTime
}

// cold tells whether a server may be cold: a young one, and one that failed, as it may come back unseen and
// be pushed over by the first attempts of hundreds of routers.
func (l *Router) cold(s *server) bool { return l.inSlowStart(s) || s.failures > 0 }

// warmth is the part of its capacity that a cold server surely has: it may rise late, so the square is taken.
func (l *Router) warmth(s *server) float64 {
	x := min(float64(l.now-max(s.Started, s.failingSince))/float64(l.set.RampTime), 1)
	return max(l.set.ColdFrom+(1-l.set.ColdFrom)*x*x, 0.05)
}

// seesLittle tells whether this router, one of many, sees too little of the fleet to know its part of it.
func (l *Router) hasPartialView() bool { return l.set.Siblings > sharePrior }

// movesToNewcomer tells whether a session moves to its home where that is a reader in slow start, one of so many homes of its text. It gets the
// part of them that its warmth bears, the same at all routers whatever they have seen, less of texts that crowd beyond what their other
// homes take, and none more than two sends ahead of its credit, which is counted up to now, as it is a candidate.
func (l *Router) movesToNewServer(r *request, s *server, readers, homes int) bool {
	demand := l.demand(r, readers, demandPrior) / float64(homes)
	share := coldSessionShare * l.set.FallMultiple * l.warmth(s) / max(demand, 1)
	return l.inSlowStart(s) && s.coldCredit >= -1 && unit(mix(r.Session+1)^s.hash) < share
}

// coldAllows keeps what all routers together send a cold server under the rule. What a warm server of its kind serves
// for each arrival here stands for our part of a capacity and earns credit for sends. Credit begins at a seeded part of one, so where
// a part is far below one send a window, a few routers may send in each window.
func (l *Router) withinColdBudget(s *server) bool {
	if !l.cold(s) {
		return true
	}
	window, arrivals := l.set.FallTime.Seconds(), l.recentArrivals.add(l.now, 0, rateDecay)
	share, safety := l.arrivalShare(s, arrivals)
	budget := safety * l.set.FallMultiple * l.warmth(s) * s.Weight * share * arrivals * window / rateDecay.Seconds()
	budget = max(budget, 1/float64(l.set.Siblings)) // one send a window by all, where nothing tells more
	if s.coldCreditAt < max(s.Started, s.failingSince) {
		s.coldCredit, s.coldCreditAt = unit(l.seed^s.hash), l.now
	}
	s.coldCredit = min(s.coldCredit+budget*(l.now-s.coldCreditAt).Seconds()/max(window, 0.001), max(budget/2, 1))
	s.coldCreditAt = l.now
	return s.coldCredit >= 1
}

// shareOf is the part of each arrival here that a warm server of the kind of s, and of weight 1, takes, and how much of the allowed work
// may go by it. A router that has seen few arrivals presumes that they are shared evenly: over all routers that is right, while what each
// has seen served itself starves newcomers where routers restart. While none of the kind is warm, it goes by what the last warm ones bore.
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
	if s.role == Mixed { // what a kind gets beside others shows in time only
		prior = 0
	}
	return (served/weight + prior/max(load.weight, s.Weight)) / max(arrivals+prior, 1e-9), safety
}

// sideLoad is what the servers of a side weigh, and what the warm ones of each kind bear.
type poolLoad struct {
	at     time.Duration // when it was summed up
	summed bool
	weight float64
	ready  int // servers in no failure's pause, of those in slow start the ones that had credit when they were last looked at
	warm   map[string]warmLoad
}

// warmLoad is what the warm servers of a kind served lately, and weigh.
type warmLoad struct {
	served, weight float64
	count          int
	mixed          bool
}

// sumEvery is how long what was made of all servers is good for, for each of them. So neither a decision nor a list costs more in a larger
// fleet, and in one of a hundred servers nothing is older than some milliseconds.
const sumIntervalPerServer = 40 * time.Microsecond

// loadOf gives the sums over a side.
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

// rememberBorne notes what the warm servers of each kind bear, before a list takes them away.
func (l *Router) recordWarmRates() {
	for _, readers := range []bool{true, false} {
		for kind, warm := range l.loadOf(l.poolFor(readers)).warm {
			if warm.count < 2 || warm.mixed { // the load of a single one tells too little, and what a mixed one gets depends on the others
				continue
			}
			l.warmRates[kind] = warm.served / warm.weight / rateDecay.Seconds()
		}
	}
}
