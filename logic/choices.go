package logic

import (
	"slices"
	"time"
)

// Choices: which servers are weighed for a request. In a fleet of the usual size all are. In a large one the work for a request must not
// grow with the fleet, so a draw of the servers is weighed beside those that are likely to suit: with d choices drawn the best of them is
// nearly as good as the best of all (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").

const (
	fullScanLimit        = 256  // servers of a side, up to which all are weighed
	sampleSize           = 48   // servers that are drawn of more
	localSampleSize      = 16   // and so many each of the cell and of the zone of a read state
	maxRecent            = 32   // writers that answered last, which are weighed too: connections to them are open
	newConnectionPenalty = 0.1  // share of its memory that a writer counts as fuller by if it takes a new connection
	sampleStride         = 7919 // a prime above the size of any fleet: steps of it come to each server once, and to all zones in turn
)

// side is what takes one of the two stages of a request: the readers, or all others.
type pool struct {
	servers []*server // that are listed, in order of first listing
	cells   map[int64][]*server
	zones   map[string][]*server
	load    poolLoad
	recent  []*server // that answered last, each once, the latest last
}

// sideOf gives the side of a server.
func (l *Router) poolOf(s *server) *pool { return l.poolFor(s.role == Reader) }

func (l *Router) poolFor(readers bool) *pool {
	if readers {
		return &l.readers
	}
	return &l.writers
}

// refresh puts the lists that were told since into the index, and weighs places anew.
func (l *Router) refreshIndex() {
	if l.indexStale && (l.indexedAt == 0 || l.now-l.indexedAt >= sumIntervalPerServer*time.Duration(len(l.order))) {
		l.rebuildIndex()
		l.updateHomeWeights()
	}
}

// index sorts the listed servers by what they are looked up by.
func (l *Router) rebuildIndex() {
	l.indexStale, l.indexedAt = false, max(l.now, 1)
	for _, readers := range []bool{true, false} {
		pool := l.poolFor(readers)
		*pool = pool.cleared()
	}
	for _, s := range l.order {
		if s.listed {
			pool := l.poolOf(s)
			pool.servers = append(pool.servers, s)
			pool.cells[s.Cell] = append(pool.cells[s.Cell], s)
			pool.zones[s.Zone] = append(pool.zones[s.Zone], s)
		}
	}
}

// cleared gives an empty side that uses the memory again.
func (p *pool) cleared() pool {
	return pool{recent: p.recent, servers: p.servers[:0], cells: map[int64][]*server{}, zones: map[string][]*server{}}
}

// noteRecent notes that a server has answered.
func (p *pool) addRecent(s *server) {
	if s.recentlyAnswered {
		return
	}
	if len(p.recent) == maxRecent {
		p.recent[0].recentlyAnswered = false
		p.recent = append(p.recent[:0], p.recent[1:]...)
	}
	s.recentlyAnswered = true
	p.recent = append(p.recent, s)
}

// connectPrice is what a writer counts as fuller by in a large fleet, most of which no connection leads to, if it has not answered lately.
func (l *Router) connectionPenalty(s *server) float64 {
	if s.recentlyAnswered || len(l.writers.servers) <= fullScanLimit {
		return 0
	}
	return newConnectionPenalty
}

// choices are the servers among which one is chosen for a request.
type candidateSet struct {
	servers []*server // that are weighed
	count   int       // of all that may be sent to, as far as the draw tells
	listed  []*server // where not all are weighed: those that are listed, else nil
}

// readiness tells whether a server may be sent a request.
type readiness uint8

const (
	notReady readiness = iota
	ejected            // it has failed, and its pause is not over
	ready
)

// readiness tells whether a request may be sent to a server now: it is listed, not full, within the cold budget and in no failure's pause.
// After a pause one real request at a time tries a server, as probes may be forbidden.
func (l *Router) readiness(r *request, s *server) readiness {
	switch {
	case !s.listed || !l.repeatAllowed(r, s):
	case l.now < s.backpressureFor(r).fullUntil || l.inSlowStart(s) && !l.withinColdBudget(s) && !(s.role == Reader && l.hasPartialView()):
	case s.failures == 0 || len(s.pending) == 0 && l.withinColdBudget(s) && l.now >= s.ejectedUntil:
		return ready
	case len(s.pending) == 0:
		return ejected
	}
	return notReady
}

// candidates are the readers, or the writers, that may be sent a request now. Where all are in a pause it does not count, so that no
// misjudgement shuts the fleet out.
func (l *Router) candidates(r *request, readers bool) candidateSet {
	l.refreshIndex()
	pool := l.poolFor(readers)
	if len(pool.servers) <= fullScanLimit {
		servers := l.untried(r, l.sampleFrom(r, pool.servers, len(pool.servers)).best())
		return candidateSet{servers: servers, count: len(servers)}
	}
	sampled := l.sampleFrom(r, pool.servers, sampleSize)
	if !readers {
		sampled.merge(l.sampleFrom(r, pool.recent, len(pool.recent)))
	}
	if !readers && r.stateReader != nil {
		sampled.merge(l.sampleFrom(r, pool.cells[r.stateReader.Cell], localSampleSize))
		sampled.merge(l.sampleFrom(r, pool.zones[r.stateReader.Zone], localSampleSize))
	}
	c := candidateSet{servers: l.untried(r, sampled.best()), listed: pool.servers}
	c.count = len(c.servers)
	if readers { // whose number tells how many homes a text has
		c.count = l.loadOf(pool).ready
	}
	return c
}

// draft is what was drawn of some servers.
type sample struct{ ready, ejected []*server }

// best gives the servers that may be sent a request, or where there is none those in a pause.
func (d sample) best() []*server {
	if len(d.ready) == 0 {
		return d.ejected
	}
	return d.ready
}

// join adds what was drawn elsewhere and is not there yet.
func (d *sample) merge(other sample) {
	d.ready = union(d.ready, other.ready)
	d.ejected = union(d.ejected, other.ejected)
}

// draw draws so many servers that may be sent a request, or all that may where there are fewer.
func (l *Router) sampleFrom(r *request, from []*server, limit int) (d sample) {
	start, n := 0, len(from)
	if limit < n {
		start = int(mix(l.seed^r.seq^uint64(r.attempts)<<32) % uint64(n))
	}
	for i := 0; i < n && len(d.ready) < limit; i++ {
		s := from[i]
		if limit < n {
			s = from[(start+i*sampleStride)%n]
		}
		switch l.readiness(r, s) {
		case ready:
			d.ready = append(d.ready, s)
		case ejected:
			d.ejected = append(d.ejected, s)
		}
	}
	return d
}

// joined adds servers that are not among others yet.
func union(all, others []*server) []*server {
	for _, s := range others {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// untried leaves out the servers that the request has tried, unless there is no other.
func (l *Router) untried(r *request, all []*server) []*server {
	if len(r.avoid) == 0 {
		return all
	}
	tried := func(s *server) bool { return slices.Contains(r.avoid, s) }
	if rest := slices.DeleteFunc(slices.Clone(all), tried); len(rest) > 0 {
		return rest
	}
	return all
}
