package logic

import (
	"slices"
	"time"
)

// Choices: which servers are weighed for a request. In a fleet of the usual size all are. In a large one the work for a request must not
// grow with the fleet, so a draw of the servers is weighed beside those that are likely to suit: with d choices drawn the best of them is
// nearly as good as the best of all (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").

const (
	allWeighed    = 256  // servers of a side, up to which all are weighed
	drawn         = 48   // servers that are drawn of more
	drawnNear     = 16   // and so many each of the cell and of the zone of a read state
	recentMost    = 32   // writers that answered last, which are weighed too: connections to them are open
	newConnection = 0.1  // share of its memory that a writer counts as fuller by if it takes a new connection
	drawStride    = 7919 // a prime above the size of any fleet: steps of it come to each server once, and to all zones in turn
)

// side is what takes one of the two stages of a request: the readers, or all others.
type side struct {
	servers []*server // that are listed, in order of first listing
	cells   map[int64][]*server
	zones   map[string][]*server
	load    sideLoad
	recent  []*server // that answered last, each once, the latest last
}

// sideOf gives the side of a server.
func (l *Router) sideOf(s *server) *side { return l.side(s.role == Reader) }

func (l *Router) side(readers bool) *side {
	if readers {
		return &l.readers
	}
	return &l.writers
}

// refresh puts the lists that were told since into the index, and weighs places anew.
func (l *Router) refresh() {
	if l.unindexed && (l.indexedAt == 0 || l.now-l.indexedAt >= sumEvery*time.Duration(len(l.order))) {
		l.index()
		l.weighPlaces()
	}
}

// index sorts the listed servers by what they are looked up by.
func (l *Router) index() {
	l.unindexed, l.indexedAt = false, max(l.now, 1)
	for _, readers := range []bool{true, false} {
		side := l.side(readers)
		*side = side.cleared()
	}
	for _, s := range l.order {
		if s.listed {
			side := l.sideOf(s)
			side.servers = append(side.servers, s)
			side.cells[s.Cell] = append(side.cells[s.Cell], s)
			side.zones[s.Zone] = append(side.zones[s.Zone], s)
		}
	}
}

// cleared gives an empty side that uses the memory again.
func (d *side) cleared() side {
	return side{recent: d.recent, servers: d.servers[:0], cells: map[int64][]*server{}, zones: map[string][]*server{}}
}

// noteRecent notes that a server has answered.
func (d *side) noteRecent(s *server) {
	if s.recent {
		return
	}
	if len(d.recent) == recentMost {
		d.recent[0].recent = false
		d.recent = append(d.recent[:0], d.recent[1:]...)
	}
	s.recent = true
	d.recent = append(d.recent, s)
}

// connectPrice is what a writer counts as fuller by in a large fleet, most of which no connection leads to, if it has not answered lately.
func (l *Router) connectPrice(s *server) float64 {
	if s.recent || len(l.writers.servers) <= allWeighed {
		return 0
	}
	return newConnection
}

// choices are the servers among which one is chosen for a request.
type choices struct {
	servers []*server // that are weighed
	count   int       // of all that may be sent to, as far as the draw tells
	all     []*server // where not all are weighed: those that are listed, else nil
}

// readiness tells whether a server may be sent a request.
type readiness uint8

const (
	unready readiness = iota
	paused            // it has failed, and its pause is not over
	ready
)

// readiness tells whether a request may be sent to a server now: it is listed, not full, within the cold budget and in no failure's pause.
// After a pause one real request at a time tries a server, as probes may be forbidden.
func (l *Router) readiness(r *request, s *server) readiness {
	switch {
	case !s.listed || !l.allowed(r, s):
	case l.now < s.lane(r).fullTill || l.inSlowStart(s) && !l.coldAllows(s) && !(s.role == Reader && l.seesLittle()):
	case s.fails == 0 || len(s.waiting) == 0 && l.coldAllows(s) && l.now >= s.backAt:
		return ready
	case len(s.waiting) == 0:
		return paused
	}
	return unready
}

// candidates are the readers, or the writers, that may be sent a request now. Where all are in a pause it does not count, so that no
// misjudgement shuts the fleet out.
func (l *Router) candidates(r *request, readers bool) choices {
	l.refresh()
	side := l.side(readers)
	if len(side.servers) <= allWeighed {
		servers := l.untried(r, l.draw(r, side.servers, len(side.servers)).best())
		return choices{servers: servers, count: len(servers)}
	}
	some := l.draw(r, side.servers, drawn)
	if !readers {
		some.join(l.draw(r, side.recent, len(side.recent)))
	}
	if !readers && r.state != nil {
		some.join(l.draw(r, side.cells[r.state.Cell], drawnNear))
		some.join(l.draw(r, side.zones[r.state.Zone], drawnNear))
	}
	c := choices{servers: l.untried(r, some.best()), all: side.servers}
	c.count = len(c.servers)
	if readers { // whose number tells how many homes a text has
		c.count = l.loadOf(side).ready
	}
	return c
}

// draft is what was drawn of some servers.
type draft struct{ ready, paused []*server }

// best gives the servers that may be sent a request, or where there is none those in a pause.
func (d draft) best() []*server {
	if len(d.ready) == 0 {
		return d.paused
	}
	return d.ready
}

// join adds what was drawn elsewhere and is not there yet.
func (d *draft) join(more draft) {
	d.ready = joined(d.ready, more.ready)
	d.paused = joined(d.paused, more.paused)
}

// draw draws so many servers that may be sent a request, or all that may where there are fewer.
func (l *Router) draw(r *request, from []*server, most int) (d draft) {
	start, n := 0, len(from)
	if most < n {
		start = int(mix(l.seed^r.seq^uint64(r.attempts)<<32) % uint64(n))
	}
	for i := 0; i < n && len(d.ready) < most; i++ {
		s := from[i]
		if most < n {
			s = from[(start+i*drawStride)%n]
		}
		switch l.readiness(r, s) {
		case ready:
			d.ready = append(d.ready, s)
		case paused:
			d.paused = append(d.paused, s)
		}
	}
	return d
}

// joined adds servers that are not among others yet.
func joined(all, more []*server) []*server {
	for _, s := range more {
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
