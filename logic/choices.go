package logic

import (
	"slices"
	"time"
)

// Candidates: which servers are compared for a request. In a fleet of usual size all are. In a
// large one the work for a request must not grow with the fleet, so a sample of the servers is
// compared together with those that are likely to suit: the best of d sampled choices is nearly as
// good as the best of all (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").

const (
	fullScanLimit        = 256 // largest pool in which all servers are compared
	sampleSize           = 48  // servers sampled from a larger pool
	localSampleSize      = 16  // servers sampled from the cell and from the zone of a state, each
	maxRecent            = 32  // writers that answered last, which are compared too because connections to them are open
	newConnectionPenalty = 0.1 // added to a writer's load, as a share of its memory, if it needs a new connection
	// A prime larger than any fleet: steps of this size reach each server once, and alternate
	// between zones.
	sampleStride = 7919
)

// pool is the servers of one of the two stages of a request: the readers, or all others.
type pool struct {
	servers []*server // listed servers, in order of first listing
	cells   map[int64][]*server
	zones   map[string][]*server
	load    poolLoad
	recent  []*server // servers that answered last, each once, the latest last
}

// poolOf returns the pool of a server.
func (l *Router) poolOf(s *server) *pool { return l.poolFor(s.role == Reader) }

func (l *Router) poolFor(readers bool) *pool {
	if readers {
		return &l.readers
	}
	return &l.writers
}

// refreshIndex applies lists that have arrived since the last rebuild to the index, and recomputes
// the home weights.
func (l *Router) refreshIndex() {
	if l.indexStale && (l.indexedAt == 0 || l.now-l.indexedAt >= sumIntervalPerServer*time.Duration(len(l.order))) {
		l.rebuildIndex()
		l.updateHomeWeights()
	}
}

// rebuildIndex sorts the listed servers into the pools, by cell and by zone.
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

// cleared returns an empty pool that reuses the memory of p.
func (p *pool) cleared() pool {
	return pool{recent: p.recent, servers: p.servers[:0], cells: map[int64][]*server{}, zones: map[string][]*server{}}
}

// addRecent records that a server has answered.
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

// connectionPenalty is added to the load of a writer that has not answered recently. It applies in
// large fleets, where this router has no open connection to most writers.
func (l *Router) connectionPenalty(s *server) float64 {
	if s.recentlyAnswered || len(l.writers.servers) <= fullScanLimit {
		return 0
	}
	return newConnectionPenalty
}

// candidateSet is the servers among which one is chosen for a request.
type candidateSet struct {
	servers []*server // servers that are compared
	count   int       // estimated number of servers that requests may be sent to
	listed  []*server // all listed servers if only a sample is compared, else nil
}

// readiness says whether a server may be sent a request.
type readiness uint8

const (
	notReady readiness = iota
	ejected            // failed, and its ejection time is not over
	ready
)

// readiness reports whether a request may be sent to a server now: the server is listed, has not
// answered "full" recently, is within the budget for cold servers and is not ejected. After the
// ejection time one real request at a time tries the server, as probes may be forbidden. At a router
// with a partial view, readers in slow start are exempt from the budget here: chooseReader limits
// what they are sent.
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

// candidates returns the readers, or the writers, that may be sent a request now. If all of them
// are ejected, ejection is ignored, so that a misjudgement cannot take the whole fleet out of
// service.
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
	if readers { // the number of ready readers sets how many homes a prefix has
		c.count = l.loadOf(pool).ready
	}
	return c
}

// sample is the servers of a part of a pool that may be sent a request, and the ejected ones.
type sample struct{ ready, ejected []*server }

// best returns the servers that may be sent a request, or the ejected ones if there are none.
func (d sample) best() []*server {
	if len(d.ready) == 0 {
		return d.ejected
	}
	return d.ready
}

// merge adds the servers of another sample that are not included yet.
func (d *sample) merge(other sample) {
	d.ready = union(d.ready, other.ready)
	d.ejected = union(d.ejected, other.ejected)
}

// sampleFrom samples up to limit servers that may be sent a request, or all of them if there are
// fewer.
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

// union appends to all the servers of others that it does not contain yet.
func union(all, others []*server) []*server {
	for _, s := range others {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// untried removes the servers that the request has tried, unless no other is left.
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
