package logic

import (
	"cmp"
	"math"
	"slices"
)

// Affinity: which readers a session or a shared prefix hashes to.

const (
	homesPerReaderLoad = 4.0 // homes of a key for each reader's worth of its traffic
	sharePrior         = 10  // arrivals assumed beside those seen
	demandPrior        = 2   // and where too many would push a cold server over
	homesCompared      = 16  // homes that are weighed in a large fleet
	zoneAffinity       = 4.0 // and so much more readily one in the own zone is a home
)

// ranked is a server with its rank for a key in rendezvous hashing: the lowest wins.
type ranked struct {
	server *server
	rank   float64
}

// demand is the traffic that begins as a request does, as its share of arrivals here tells, in even shares of so many readers.
func (l *Router) demand(r *request, readers int, doubt float64) float64 {
	s := l.keyArrivals[cmp.Or(r.Prefix, r.Session)]
	seen := max(s.add(l.now, 0, entryTTL)-0.5, 0)
	return seen / (l.arrivals.add(l.now, 0, entryTTL) + doubt) * float64(readers)
}

// homeCount is how many homes the key of a request has among so many readers: one, and some more for each reader's worth of its traffic.
func (l *Router) homeCount(r *request, readers int) int {
	extra := l.demand(r, readers, sharePrior)
	if !l.hasPartialView() { // else a share seen is chance, and each change of it moves sessions
		extra *= homesPerReaderLoad
	}
	return min(1+int(extra), readers)
}

// homes are the readers that a key's hash picks, the same at every router with the same list. They are ordered by the session's hash, so
// that its later prompts find its earlier ones.
func (l *Router) homes(r *request, readers candidateSet, eligible func(*server) bool) []ranked {
	count := l.homeCount(r, readers.count)
	if readers.listed == nil {
		return l.lowestRanked(readers.servers, l.keyRanking(r), sessionRanking(r), count, count, nil)
	}
	return l.lowestRanked(readers.listed, l.keyRanking(r), sessionRanking(r), count, homesCompared, eligible)
}

// ranking is an order of servers by a key in weighted rendezvous hashing: the lowest -log(draw)/weight wins.
type ranking struct {
	key    uint64
	weight func(s *server) float64
}

func (k ranking) uniform(s *server) float64 { return unit(k.key ^ s.hash) }

// keyRank ranks by what a request begins with. Where the front keeps a session's clients, readers of the own zone come more readily.
func (l *Router) keyRanking(r *request) ranking {
	return ranking{cmp.Or(r.Prefix, r.Session), func(s *server) float64 { return s.keyWeight }}
}

// sessionRank ranks by a request's session.
func sessionRanking(r *request) ranking {
	return ranking{r.Session, func(s *server) float64 { return s.homeWeight }}
}

// lowest gives the servers of the lowest rank by one ranking, up to a count, in their order by another, of which no more than most. With may
// only those count for which it holds.
func (l *Router) lowestRanked(from []*server, first, second ranking, count, limit int, eligible func(*server) bool) []ranked {
	best := selection{limit: min(count, limit)}
	if best.limit <= 0 {
		return nil
	}
	if count > limit { // far more than are weighed: those under the rank that so many have, in the other order
		bound := rankBound(float64(len(from)), float64(count))
		for _, s := range from {
			if draw, weight := first.uniform(s), first.weight(s); 1-draw < weight*bound && -math.Log(draw) < weight*bound {
				best.add(s, second.uniform(s), second.weight(s), eligible)
			}
		}
		return best.sorted()
	}
	for _, s := range from { // as -log(x) is 1-x at least, most are passed over without a logarithm
		if draw, weight := first.uniform(s), first.weight(s); 1-draw < weight*best.cutoff() {
			best.add(s, draw, weight, eligible)
		}
	}
	all := best.sorted()
	for i, r := range all {
		all[i].rank = -math.Log(second.uniform(r.server)) / second.weight(r.server)
	}
	slices.SortStableFunc(all, compareRank)
	return all
}

// rankOf is the rank under which count of so many servers of weight 1 are expected.
func rankBound(servers, count float64) float64 { return -math.Log(max(1-count/servers, 1e-9)) }

func compareRank(a, b ranked) int { return cmp.Compare(a.rank, b.rank) }

// selection keeps the servers of the lowest rank.
type selection struct {
	limit   int
	entries []ranked // ordered, once there are so many
}

// bound is the rank under which a server is taken in.
func (n *selection) cutoff() float64 {
	if len(n.entries) < n.limit {
		return math.Inf(1)
	}
	return n.entries[n.limit-1].rank
}

// add takes a server in if its rank is among the lowest.
func (n *selection) add(s *server, draw, weight float64, eligible func(*server) bool) {
	full := len(n.entries) == n.limit
	rank := -math.Log(draw) / weight
	if rank >= n.cutoff() || eligible != nil && !eligible(s) {
		return
	}
	if full {
		n.entries = n.entries[:n.limit-1]
	}
	if n.entries = append(n.entries, ranked{s, rank}); len(n.entries) < n.limit {
		return
	}
	if !full {
		slices.SortStableFunc(n.entries, compareRank)
		return
	}
	for i := n.limit - 1; i > 0 && n.entries[i].rank < n.entries[i-1].rank; i-- {
		n.entries[i], n.entries[i-1] = n.entries[i-1], n.entries[i]
	}
}

func (n *selection) sorted() []ranked {
	slices.SortStableFunc(n.entries, compareRank)
	return n.entries
}

// previousHome gives a session's home among the readers as they were before the changes of late, if it may still be sent
// to, and how many have gone since for each that has come.
func (l *Router) previousHome(r *request, candidates candidateSet) (home *server, lossRatio float64) {
	var before []*server
	remaining := 0
	for _, s := range l.order {
		if s.role != Reader || s.listed && l.inSlowStart(s) || !s.listed && l.now-s.unlistedAt > l.set.RampTime {
			continue
		}
		before = append(before, s)
		if s.listed {
			remaining++
		}
	}
	count := l.homeCount(r, len(before))
	homes := l.lowestRanked(before, l.keyRanking(r), sessionRanking(r), count, max(homesCompared, min(count, fullScanLimit)), nil)
	if len(homes) > 0 && l.isCandidate(r, candidates, homes[0].server) {
		home = homes[0].server
	}
	return home, float64(len(before)-remaining) / max(float64(candidates.count-remaining), 1)
}

// among tells whether a reader is among the choices for a request, weighed so far or not.
func (l *Router) isCandidate(r *request, candidates candidateSet, s *server) bool {
	if candidates.listed == nil {
		return slices.Contains(candidates.servers, s)
	}
	return s.listed && l.readiness(r, s) == ready && !slices.Contains(r.avoid, s)
}
