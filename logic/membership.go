package logic

import "time"

// Membership: the list of servers and what their zones and cells weigh.

const (
	homeWeightMost = 3.0 // a reader is a home no more seldom than by this
)

type server struct {
	ServerEntry
	role         Role
	memory       float64
	listed       bool
	offAt        time.Duration // when it was last named as not to be used
	waiting      []*request    // attempts out that have not begun to answer
	heard        time.Duration
	passed       time.Duration // the latest send that it has answered
	fails        int
	errors       int
	tried        decayed       // attempts that ended with an answer or an error
	erred        decayed       // and those with an error
	failedAt     time.Duration // when fails began
	backAt       time.Duration
	lanes        map[laneKey]lane
	hash         uint64  // of its ID
	coldCredit   float64 // sends that the cold rule leaves this router, earned up to coldCreditAt
	coldCreditAt time.Duration
	rate         decayed // reads ended and streams begun
	perToken     float64 // seconds a token, learned from reads, last at rateAt
	extra        float64 // seconds that reads waited beyond that
	rateAt       time.Duration
	unread       int64
	since        time.Duration // table entries older than this are of an earlier process
	held         float64       // tokens of our own writes there
	writes       int
	crowd        float64 // readers for each writer in its cell or zone, beside the whole fleet's
	zoneCrowd    float64
	recent       bool    // among those of its side that answered last
	homeWeight   float64 // how readily a reader is a home
	keyWeight    float64 // the same for what a request begins with, by zone
	start        float64 // seconds to the first token, and when it was seen
	startAt      time.Duration
	report       Report
	reportAt     time.Duration
	sentTok      float64 // tokens sent since the report
}

func (l *Router) learnList(ev *Event) {
	l.rememberBorne()
	if ev.Kind == ListComplete {
		for _, s := range l.order {
			if s.listed {
				s.listed, s.offAt = false, l.now
			}
		}
	}
	for _, e := range ev.Servers {
		s := l.servers[e.ID]
		if s == nil {
			s = &server{heard: -1, coldCreditAt: -1, homeWeight: 1, keyWeight: 1, lanes: map[laneKey]lane{}}
			for i := range e.ID {
				s.hash = mix(s.hash ^ uint64(e.ID[i]))
			}
			l.servers[e.ID] = s
			l.order = append(l.order, s)
		} else if e.Started != s.Started { // a new process: it knows nothing of the old one's texts and faults
			s.since, s.fails, s.errors, s.backAt = l.now, 0, 0, 0
			clear(s.lanes)
			s.rateAt, s.startAt = 0, 0
		}
		role := s.role
		s.ServerEntry, s.listed = e, e.Availability == Ready
		if !s.listed {
			s.offAt = l.now
		}
		if s.Weight <= 0 {
			s.Weight = 1
		}
		if l.place(s); s.role != role { // what the index says of it is wrong
			l.indexedAt = 0
		}
	}
	l.unindexed = true
	l.refresh()
}

// placeSum is what all readers and all writers of a place weigh: the fleet, a zone or a cell.
type placeSum [2]float64

// at gives a place's sum, a new one where there is none yet.
func at[K comparable](sums map[K]*placeSum, place K) *placeSum {
	if sums[place] == nil {
		sums[place] = &placeSum{}
	}
	return sums[place]
}

// weighPlaces compares a server's zone and cell with the fleet: the share of reading over that of writers.
// Where a zone has few writers its readers are homes more seldom, as its states would have to leave it.
func (l *Router) weighPlaces() {
	l.memory = 0
	for _, s := range l.order {
		s.homeWeight = 1
		if s.listed && s.role != Reader {
			l.memory += max(s.memory, 1) * s.Weight
		}
	}
	for pass := range 2 {
		all, zones, cells := &placeSum{}, map[string]*placeSum{}, map[int64]*placeSum{}
		for _, s := range l.order {
			for _, p := range []*placeSum{all, at(zones, s.Zone), at(cells, s.Cell)} {
				if s.listed {
					p[min(int(s.role), 1)] += s.Weight * s.homeWeight
				}
			}
		}
		crowding := func(p *placeSum) float64 { return p[0] * all[1] / max(all[0]*p[1], 1e-9) }
		for _, s := range l.order {
			s.zoneCrowd = crowding(zones[s.Zone])
			s.crowd = max(s.zoneCrowd, crowding(cells[s.Cell]))
			if s.role == Reader && pass == 0 {
				s.homeWeight = 1 / min(max(s.zoneCrowd, 1), homeWeightMost)
			}
			s.keyWeight = s.homeWeight
			if l.set.CrossZonePrice > 0 && s.Zone == l.set.Zone {
				s.keyWeight *= zoneAffinity
			}
		}
	}
}
