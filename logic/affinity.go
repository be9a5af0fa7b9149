package logic

import (
	"cmp"
	"math"
	"slices"
)

// Affinity: which readers a session or a shared prefix hashes to.

const (
	homesPerShare = 4.0 // homes of a key for each reader's worth of its traffic
	shareDoubt    = 10  // arrivals assumed beside those seen
	demandDoubt   = 2   // and where too many would push a cold server over
	zoneAffinity  = 4.0 // and so much more readily one in the own zone is a home
)

// ranked is a server with its rank for a key in rendezvous hashing: the lowest wins.
type ranked struct {
	at   *server
	rank float64
}

// crowd is the traffic that begins as a request does, as its share of arrivals here tells, in even shares of readers.
func (l *Router) demand(r *request, readers []*server, doubt float64) float64 {
	s := l.popular[cmp.Or(r.Prefix, r.Session)]
	seen := max(s.add(l.now, 0, keyLife)-0.5, 0)
	return seen / (l.arrivals.add(l.now, 0, keyLife) + doubt) * float64(len(readers))
}

// homes are the readers that a key's hash picks, the same at every router with the same list: one, and some
// more for each reader's worth of traffic that begins with the key, as its share of arrivals here tells.
// They are ordered by the session's hash, so that its later prompts find its earlier ones.
func (l *Router) homes(r *request, from []*server) []ranked {
	key := cmp.Or(r.Prefix, r.Session)
	more := l.demand(r, from, shareDoubt)
	if !l.seesLittle() { // else a share seen is chance, and each change of it moves sessions
		more *= homesPerShare
	}
	all := make([]ranked, 0, len(from))
	for _, s := range from {
		rank := s.rank(key)
		if l.set.CrossZone > 0 && s.Zone == l.set.Zone { // where the front keeps a session's clients
			rank /= zoneAffinity
		}
		all = append(all, ranked{s, rank})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	all = all[:min(1+int(more), len(all))]
	for i := range all {
		all[i].rank = all[i].at.rank(r.Session)
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	return all
}

// previousHome gives a session's home among the readers as they were before the changes of late, if it may still be sent
// to, and how many have gone since for each that has come.
func (l *Router) previousHome(r *request, readers []*server) (kept *server, gone float64) {
	before := slices.DeleteFunc(slices.Clone(l.order), func(s *server) bool {
		return s.role != Reader || s.listed && l.inSlowStart(s) || !s.listed && l.now-s.offAt > l.set.RampTime
	})
	still := slices.DeleteFunc(slices.Clone(before), func(s *server) bool { return !s.listed })
	if homes := l.homes(r, before); len(homes) > 0 && slices.Contains(readers, homes[0].at) {
		kept = homes[0].at
	}
	return kept, float64(len(before)-len(still)) / max(float64(len(readers)-len(still)), 1)
}

// rank is a server's rank for a key in weighted rendezvous hashing; the lowest wins, the more often the higher the server's weight.
func (s *server) rank(key uint64) float64 { return -math.Log(unit(key^s.hash)) / s.homeWeight }
