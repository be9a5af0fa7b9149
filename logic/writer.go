package logic

import "math"

// Choice of the writer for a read state.

const (
	tieSpread  = 0.1  // loads that differ by less are ranked among
	nearMargin = 0.25 // a near writer may be this share of memory above the least
)

// load is a writer's share of memory in use, as far as can be seen from here: what it reported, by age, over
// what writers hold on average. Our own count stands for all routers' only as far as many writes are ours.
func (l *Router) load(s *server) float64 {
	memory := max(s.memory, 1) * s.Weight
	siblings := float64(l.set.Siblings)
	mean := l.held * siblings / max(l.memory, 1)
	own := float64(s.writes)
	load := mean + (s.held*siblings/memory-mean)*own/(own+siblings)
	if age := l.now - s.reportAt; s.reportAt > 0 && age < queueMemory && s.report.MemoryHeld >= 0 {
		load += (max(s.report.MemoryHeld+s.sentTok/memory, s.held/memory) - load) * fade(age, queueMemory)
	}
	if l.cold(s) && !l.inSlowStart(s) { // a young one is sent no more than its part anyway
		load /= l.warmth(s)
	}
	return load
}

// startWait is the seconds from a send to the first token that a writer shows now.
func (l *Router) startWait(s *server) float64 {
	wait := s.start * fade(l.now-s.startAt, queueMemory)
	for _, r := range s.waiting {
		wait = max(wait, (l.now - r.sentAt).Seconds())
	}
	return wait
}

// expectedStart is startWait, and in a large fleet, of which few have been heard of lately, the usual one where nothing is known: else those
// that are known would always come last.
func (l *Router) expectedStart(s *server) float64 {
	wait := l.startWait(s)
	if len(l.writers.servers) <= allWeighed {
		return wait
	}
	known := 0.0
	if s.startAt > 0 {
		known = fade(l.now-s.startAt, queueMemory)
	}
	return wait + l.usualStart*(1-known)
}

// chooseWriter gives a writer near the least load, in the state's cell if it can, else its zone. Near-ties
// are ranked by seed, or all routers that know as little would pick the same. Where a cell or zone has more
// than its share of the reading, only its writers' part of the states stays: else they jam and others idle.
func (l *Router) chooseWriter(r *request) *server {
	writers := l.candidates(r, false).servers
	least, draw := math.Inf(1), l.seed^mix(r.seq)
	loads := make([]float64, len(writers))
	for i, s := range writers {
		loads[i] = l.load(s) + errorPrice*l.errorRate(s) + tieSpread*unit(draw^s.hash) + l.connectPrice(s) + nearMargin*l.expectedStart(s)/l.overdue
		least = min(least, loads[i])
	}
	stay := r.state != nil && unit(draw)*r.state.crowd < 1
	stayInZone := r.state != nil && unit(draw)*r.state.zoneCrowd < 1
	var best *server
	var bestLoad float64
	var bestNear int
	for i, s := range writers {
		if loads[i] > least+nearMargin {
			continue
		}
		near := 0
		if l.inSlowStart(s) && r.state != nil && s.Zone == r.state.Zone { // it has credit, and credit unused is lost
			near = 3
		} else if stay && s.Cell == r.state.Cell {
			near = 2
		} else if stayInZone && s.Zone == r.state.Zone {
			near = 1
		}
		if best == nil || near > bestNear || near == bestNear && loads[i] < bestLoad {
			best, bestLoad, bestNear = s, loads[i], near
		}
	}
	return best
}
