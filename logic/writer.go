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
	memory := max(s.memoryTokens, 1) * s.Weight
	siblings := float64(l.set.Siblings)
	mean := l.heldTokens * siblings / max(l.writerMemory, 1)
	own := float64(s.openWrites)
	load := mean + (s.heldTokens*siblings/memory-mean)*own/(own+siblings)
	if age := l.now - s.reportAt; s.reportAt > 0 && age < queueDecay && s.report.MemoryHeld >= 0 {
		load += (max(s.report.MemoryHeld+s.tokensSinceReport/memory, s.heldTokens/memory) - load) * decay(age, queueDecay)
	}
	if l.cold(s) && !l.inSlowStart(s) { // a young one is sent no more than its part anyway
		load /= l.warmth(s)
	}
	return load
}

// startWait is the seconds from a send to the first token that a writer shows now.
func (l *Router) firstTokenWait(s *server) float64 {
	wait := s.firstToken * decay(l.now-s.firstTokenAt, queueDecay)
	for _, r := range s.pending {
		wait = max(wait, (l.now - r.sentAt).Seconds())
	}
	return wait
}

// expectedStart is startWait, and in a large fleet, of which few have been heard of lately, the usual one where nothing is known: else those
// that are known would always come last.
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

// chooseWriter gives a writer near the least load, in the state's cell if it can, else its zone. Near-ties
// are ranked by seed, or all routers that know as little would pick the same. Where a cell or zone has more
// than its share of the reading, only its writers' part of the states stays: else they jam and others idle.
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
		if l.inSlowStart(s) && r.stateReader != nil && s.Zone == r.stateReader.Zone { // it has credit, and credit unused is lost
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
