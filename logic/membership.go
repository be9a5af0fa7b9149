package logic

import "time"

// Membership: the list of servers, and the relative weights of their zones and cells.

const (
	maxHomeDiscount = 3.0 // a reader's weight as a home is lowered by at most this factor
)

type server struct {
	ServerEntry
	role         Role
	memoryTokens float64
	listed       bool
	unlistedAt   time.Duration // when it was last listed as not usable, or left out of a complete list
	pending      []*request    // outstanding attempts that have not begun to answer
	// lastResponse is when the server last responded; negative if it never did.
	lastResponse      time.Duration
	lastAnsweredSend  time.Duration // send time of the latest attempt that it has answered
	failures          int
	consecutiveErrors int
	recentAttempts    decayingSum   // attempts that ended with an answer or an error
	recentErrors      decayingSum   // attempts that ended with an error
	failingSince      time.Duration // when failures began
	ejectedUntil      time.Duration
	backpressure      recentTable[tenantClass, backpressure]
	hash              uint64  // of its ID
	coldCredit        float64 // sends to a cold server that this router may make now, earned up to coldCreditAt
	coldCreditAt      time.Duration
	served            decayingSum // reads that ended and streams that began
	perToken          float64     // read seconds per token, learned from reads, last at perTokenAt
	extraWait         float64     // seconds that reads waited beyond the queue known to this router
	perTokenAt        time.Duration
	unreadTokens      int64
	cacheValidSince   time.Duration // prefix table entries older than this are from an earlier process
	heldTokens        float64       // tokens of this router's writes at the server
	openWrites        int
	readerRatio       float64 // readers per writer in its cell or zone, relative to the whole fleet
	// zoneReaderRatio is the same for its zone only.
	zoneReaderRatio   float64
	recentlyAnswered  bool    // among the servers of its pool that answered last
	homeWeight        float64 // weight with which a reader is chosen as a home
	keyWeight         float64 // the same for the prefix hash, with preference for the router's own zone
	firstToken        float64 // seconds to the first token, measured at firstTokenAt
	firstTokenAt      time.Duration
	report            Report
	reportAt          time.Duration
	tokensSinceReport float64 // tokens sent since the report
}

func (l *Router) applyList(ev *Event) {
	l.recordWarmRates()
	if ev.Kind == ListComplete {
		for _, s := range l.order {
			if s.listed {
				s.listed, s.unlistedAt = false, l.now
			}
		}
	}
	for _, e := range ev.Servers {
		s := l.servers[e.ID]
		if s == nil {
			s = &server{lastResponse: -1, coldCreditAt: -1, homeWeight: 1, keyWeight: 1, backpressure: newRecentTable[tenantClass, backpressure](maxTenantClasses)}
			for i := range e.ID {
				s.hash = mix(s.hash ^ uint64(e.ID[i]))
			}
			l.servers[e.ID] = s
			l.order = append(l.order, s)
		} else if e.Started != s.Started { // a new process has neither the cached prefixes nor the failures of the old one
			s.cacheValidSince, s.failures, s.consecutiveErrors, s.ejectedUntil = l.now, 0, 0, 0
			s.backpressure = newRecentTable[tenantClass, backpressure](maxTenantClasses)
			s.perTokenAt, s.firstTokenAt = 0, 0
		}
		role := s.role
		s.ServerEntry, s.listed = e, e.Availability == Ready
		if !s.listed {
			s.unlistedAt = l.now
		}
		if s.Weight <= 0 {
			s.Weight = 1
		}
		if l.setRole(s); s.role != role { // the server is in the wrong pool of the index
			l.indexedAt = 0
		}
	}
	l.indexStale = true
	l.refreshIndex()
}

// weightSums is the total weight of the readers and of the writers of a fleet, zone or cell.
type weightSums [2]float64

// sumsFor returns the sums of a zone or cell, and creates them if needed.
func sumsFor[K comparable](sums map[K]*weightSums, place K) *weightSums {
	if sums[place] == nil {
		sums[place] = &weightSums{}
	}
	return sums[place]
}

// updateHomeWeights compares the ratio of readers to writers in each server's zone and cell with
// that of the fleet. Readers in a zone with few writers get less weight as homes, as their states
// would have to leave the zone.
func (l *Router) updateHomeWeights() {
	l.writerMemory = 0
	for _, s := range l.order {
		s.homeWeight = 1
		if s.listed && s.role != Reader {
			l.writerMemory += max(s.memoryTokens, 1) * s.Weight
		}
	}
	for pass := range 2 {
		all, zones, cells := &weightSums{}, map[string]*weightSums{}, map[int64]*weightSums{}
		for _, s := range l.order {
			for _, p := range []*weightSums{all, sumsFor(zones, s.Zone), sumsFor(cells, s.Cell)} {
				if s.listed {
					p[min(int(s.role), 1)] += s.Weight * s.homeWeight
				}
			}
		}
		ratio := func(p *weightSums) float64 { return p[0] * all[1] / max(all[0]*p[1], 1e-9) }
		for _, s := range l.order {
			s.zoneReaderRatio = ratio(zones[s.Zone])
			s.readerRatio = max(s.zoneReaderRatio, ratio(cells[s.Cell]))
			if s.role == Reader && pass == 0 {
				s.homeWeight = 1 / min(max(s.zoneReaderRatio, 1), maxHomeDiscount)
			}
			s.keyWeight = s.homeWeight
			if l.set.CrossZonePrice > 0 && s.Zone == l.set.Zone {
				s.keyWeight *= zoneAffinity
			}
		}
	}
}
