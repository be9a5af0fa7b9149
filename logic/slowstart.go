package logic

// Slow start: the budget of servers that may be cold.

const (
	coldSafety = 0.5 // part of the allowed work that a cold server is sent
	coldPart   = 0.8 // and part that joins a young reader of what is at home there
)

func (l *Router) young(s *server) bool { return s.Started > 0 && l.now < s.Started+l.set.RampTime }

// cold tells whether a server may be cold: a young one, and one that failed, as it may come back unseen and
// be pushed over by the first attempts of hundreds of routers.
func (l *Router) cold(s *server) bool { return l.young(s) || s.fails > 0 }

// warmth is the part of its capacity that a cold server surely has: it may rise late, so the square is taken.
func (l *Router) warmth(s *server) float64 {
	x := min(float64(l.now-max(s.Started, s.failedAt))/float64(l.set.RampTime), 1)
	return max(l.set.ColdFrom+(1-l.set.ColdFrom)*x*x, 0.05)
}

// sparse tells whether this router, one of many, sees too little of the fleet to know its part of it.
func (l *Router) sparse() bool { return l.set.Siblings > shareDoubt }

// joins tells whether a session is among those that a young reader takes whose home it is. It gets the part of them
// that its warmth bears, the same at all routers whatever they have seen, less of texts that crowd, and none more than
// two turns ahead. Its turns are counted up to now, as it is a candidate.
func (l *Router) joins(r *request, s *server, readers []*server) bool {
	part := coldPart * l.set.FallMultiple * l.warmth(s) / max(l.crowd(r, readers, crowdDoubt), 1)
	return l.young(s) && s.turns >= -1 && unit(mix(r.Session+1)^s.hash) < part
}

// coldAllows keeps what all routers together send a cold server under the rule. What a warm server of its kind serves
// for each arrival here stands for our part of a capacity and earns turns. A router that has seen few arrivals presumes
// that they are shared evenly: over all routers that is right, while what each has seen served itself starves
// newcomers where routers restart. Turns begin at a seeded part of one, so where a part is far below one send a
// window, a few routers have their turn in each window.
func (l *Router) coldAllows(s *server) bool {
	if !l.cold(s) {
		return true
	}
	var served, weight, role float64
	for _, o := range l.order {
		if o.listed && (o.role == Reader) == (s.role == Reader) {
			role += o.Weight
			if !l.cold(o) && o.Kind == s.Kind {
				served += o.rate.add(l.now, 0, rateMemory)
				weight += o.Weight
			}
		}
	}
	if weight == 0 { // none is warm: what one bore before, if that is known
		served, weight = l.set.Bears[s.Kind]*rateMemory.Seconds(), 1
	}
	window, came := l.set.FallTime.Seconds(), l.came.add(l.now, 0, rateMemory)
	doubt := max(shareDoubt-came, 0)
	if s.role == Mixed { // what a kind gets beside others shows in time only
		doubt = 0
	}
	share := (served/weight + doubt/max(role, s.Weight)) / max(came+doubt, 1e-9) // of each arrival
	part := coldSafety * l.set.FallMultiple * l.warmth(s) * s.Weight * share * came * window / rateMemory.Seconds()
	part = max(part, 1/float64(l.set.Siblings)) // one send a window by all, where nothing tells more
	if s.turnsAt < max(s.Started, s.failedAt) {
		s.turns, s.turnsAt = unit(l.seed^s.hash), l.now
	}
	s.turns = min(s.turns+part*(l.now-s.turnsAt).Seconds()/max(window, 0.001), max(part/2, 1))
	s.turnsAt = l.now
	return s.turns >= 1
}
