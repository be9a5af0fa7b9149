package logic

import "math"

// Choice of the writer that takes a state.

const (
	tieSpread  = 0.1  // writers whose loads differ by less are chosen among at random
	nearMargin = 0.25 // a nearby writer may be fuller than the least loaded one by this share of memory
)

// load is the estimated share of a writer's memory in use: the mean over all writers, corrected by
// this router's own tokens there and by the writer's latest report, weighted by its age. The
// correction by own tokens assumes that the other routers hold as many there, so its weight grows
// with the number of this router's open writes at the writer.
func (l *Router) load(s *server) float64 {
	memory := max(s.memoryTokens, 1) * s.Weight
	siblings := float64(l.set.Siblings)
	mean := l.heldTokens * siblings / max(l.writerMemory, 1)
	own := float64(s.openWrites)
	load := mean + (s.heldTokens*siblings/memory-mean)*own/(own+siblings)
	if age := l.now - s.reportAt; s.reportAt > 0 && age < queueDecay && s.report.MemoryHeld >= 0 {
		load += (max(s.report.MemoryHeld+s.tokensSinceReport/memory, s.heldTokens/memory) - load) * decay(age, queueDecay)
	}
	if l.cold(s) && !l.inSlowStart(s) { // a server in slow start is within its budget anyway
		load /= l.warmth(s)
	}
	return load
}

// firstTokenWait is the current estimate of the seconds from a send to the first token at a writer.
func (l *Router) firstTokenWait(s *server) float64 {
	wait := s.firstToken * decay(l.now-s.firstTokenAt, queueDecay)
	for _, r := range s.pending {
		wait = max(wait, (l.now - r.sentAt).Seconds())
	}
	return wait
}

// expectedFirstToken is firstTokenWait, but in a large fleet, where this router has recent values
// for few writers, the mean is used for the others. Otherwise writers with a known wait would
// always rank last.
func (l *Router) expectedFirstToken(s *server) float64 {
	wait := l.firstTokenWait(s)
	if len(l.writers.servers) <= fullScanLimit {
		return wait
	}
	known := 0.0
	if s.firstTokenAt > 0 {
		known = decay(l.now-s.firstTokenAt, queueDecay)
	}
	return wait + l.meanFirstToken*(1-known)
}

// chooseWriter returns a writer near the least load, if possible in the cell of the state's reader,
// or else in its zone. Near-ties are ranked at random by seed, as routers with equally little
// knowledge would otherwise all pick the same writer. If a cell or zone has more than its share of
// the readers, only the part of the states that its writers can take stays there: otherwise they
// would be overloaded while others are idle.
func (l *Router) chooseWriter(r *request) *server {
	writers := l.candidates(r, false).servers
	least, hash := math.Inf(1), l.seed^mix(r.seq)
	loads := make([]float64, len(writers))
	for i, s := range writers {
		loads[i] = l.load(s) + errorPenalty*l.errorRate(s) + tieSpread*unit(hash^s.hash) + l.connectionPenalty(s) + nearMargin*l.expectedFirstToken(s)/l.minOverdue
		least = min(least, loads[i])
	}
	stayInCell := r.stateReader != nil && unit(hash)*r.stateReader.readerRatio < 1
	stayInZone := r.stateReader != nil && unit(hash)*r.stateReader.zoneReaderRatio < 1
	var best *server
	var bestLoad float64
	var bestProximity int
	for i, s := range writers {
		if loads[i] > least+nearMargin {
			continue
		}
		proximity := 0
		if l.inSlowStart(s) && r.stateReader != nil && s.Zone == r.stateReader.Zone { // it has credit, and unused credit is lost
			proximity = 3
		} else if stayInCell && s.Cell == r.stateReader.Cell {
			proximity = 2
		} else if stayInZone && s.Zone == r.stateReader.Zone {
			proximity = 1
		}
		if best == nil || proximity > bestProximity || proximity == bestProximity && loads[i] < bestLoad {
			best, bestLoad, bestProximity = s, loads[i], proximity
		}
	}
	return best
}
