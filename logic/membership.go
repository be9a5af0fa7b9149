package logic

import "time"

// Membership: the list of servers and what their zones and cells weigh.

const (
	maxHomeDiscount = 3.0 // a reader is a home no more seldom than by this
)

type server struct {
	ServerEntry
	role              Role
	memoryTokens      float64
	listed            bool
	unlistedAt        time.Duration // when it was last named as not to be used
	pending           []*request    // attempts out that have not begun to answer
	lastResponse      time.Duration
	lastAnsweredSend  time.Duration // the latest send that it has answered
	failures          int
	consecutiveErrors int
	recentAttempts    decayingSum   // attempts that ended with an answer or an error
	recentErrors      decayingSum   // and those with an error
	failingSince      time.Duration // when fails began
	ejectedUntil      time.Duration
	backpressure      map[tenantClass]backpressure
	hash              uint64  // of its ID
	coldCredit        float64 // sends that the cold rule leaves this router, earned up to coldCreditAt
	coldCreditAt      time.Duration
	served            decayingSum // reads ended and streams begun
	perToken          float64     // seconds a token, learned from reads, last at rateAt
	extraWait         float64     // seconds that reads waited beyond that
	perTokenAt        time.Duration
	unreadTokens      int64
	cacheValidSince   time.Duration // table entries older than this are of an earlier process
	heldTokens        float64       // tokens of our own writes there
	openWrites        int
	readerRatio       float64 // readers for each writer in its cell or zone, beside the whole fleet's
	zoneReaderRatio   float64
	recentlyAnswered  bool    // among those of its side that answered last
	homeWeight        float64 // how readily a reader is a home
	keyWeight         float64 // the same for what a request begins with, by zone
	firstToken        float64 // seconds to the first token, and when it was seen
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
			s = &server{lastResponse: -1, coldCreditAt: -1, homeWeight: 1, keyWeight: 1, backpressure: map[tenantClass]backpressure{}}
			for i := range e.ID {
				s.hash = mix(s.hash ^ uint64(e.ID[i]))
			}
			l.servers[e.ID] = s
			l.order = append(l.order, s)
		} else if e.Started != s.Started { // a new process: it knows nothing of the old one's texts and faults
			s.cacheValidSince, s.failures, s.consecutiveErrors, s.ejectedUntil = l.now, 0, 0, 0
			clear(s.backpressure)
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
		if l.setRole(s); s.role != role { // what the index says of it is wrong
			l.indexedAt = 0
		}
	}
	l.indexStale = true
	l.refreshIndex()
}

// placeSum is what all readers and all writers of a place weigh: the fleet, a zone or a cell.
type weightSums [2]float64

// at gives a place's sum, a new one where there is none yet.
func sumsFor[K comparable](sums map[K]*weightSums, place K) *weightSums {
	if sums[place] == nil {
		sums[place] = &weightSums{}
	}
	return sums[place]
}

// weighPlaces compares a server's zone and cell with the fleet: the share of reading over that of writers.
// Where a zone has few writers its readers are homes more seldom, as its states would have to leave it.
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
