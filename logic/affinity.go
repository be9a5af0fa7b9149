package logic

import (
	"cmp"
	"math"
	"slices"
)

// Affinity: which readers a session or a shared prefix hashes to.

const (
	homesPerReaderLoad = 4.0 // further homes of a key for each reader that its traffic would fill
	sharePrior         = 10  // arrivals assumed in addition to those seen, for estimates of a share
	demandPrior        = 2   // the same where too low an estimate would overload a cold server
	homesCompared      = 16  // homes that are compared for a request in a large fleet
	zoneAffinity       = 4.0 // factor on the weight of homes in the router's own zone
)

// ranked is a server with its rank for a key in rendezvous hashing; the lowest rank wins.
type ranked struct {
	server *server
	rank   float64
}

// demand is the estimated traffic of a request's prefix or session, in units of one reader's even
// share of all traffic. It is taken from the prefix's share of the arrivals at this router.
func (l *Router) demand(r *request, readers int, prior float64) float64 {
	s, _ := l.keyArrivals.get(cmp.Or(r.Prefix, r.Session))
	seen := max(s.add(l.now, 0, entryTTL)-0.5, 0)
	return seen / (l.arrivals.add(l.now, 0, entryTTL) + prior) * float64(readers)
}

// homeCount is the number of homes of a request's key among so many readers: one, and further ones
// for each reader's share of traffic that the key draws.
func (l *Router) homeCount(r *request, readers int) int {
	extra := l.demand(r, readers, sharePrior)
	if !l.hasPartialView() { // with a partial view the share is mostly chance, and its changes would move sessions
		extra *= homesPerReaderLoad
	}
	return min(1+int(extra), readers)
}

// homes returns the readers that a key's hash selects, which are the same at every router with the
// same list. They are ordered by the session's hash, so that later prompts of a session reach the
// reader of its earlier ones.
func (l *Router) homes(r *request, readers candidateSet, eligible func(*server) bool) []ranked {
	count := l.homeCount(r, readers.count)
	if readers.listed == nil {
		return l.lowestRanked(readers.servers, l.keyRanking(r), sessionRanking(r), count, count, nil)
	}
	return l.lowestRanked(readers.listed, l.keyRanking(r), sessionRanking(r), count, homesCompared, eligible)
}

// ranking orders servers for a key by weighted rendezvous hashing: the lowest -log(uniform)/weight
// wins.
type ranking struct {
	key    uint64
	weight func(s *server) float64
}

func (k ranking) uniform(s *server) float64 { return unit(k.key ^ s.hash) }

// keyRanking ranks by a request's prefix, or by its session where there is none. With a price on
// other zones, readers in the router's own zone, where a session's clients come in, get more
// weight.
func (l *Router) keyRanking(r *request) ranking {
	return ranking{cmp.Or(r.Prefix, r.Session), func(s *server) float64 { return s.keyWeight }}
}

// sessionRanking ranks by a request's session.
func sessionRanking(r *request) ranking {
	return ranking{r.Session, func(s *server) float64 { return s.homeWeight }}
}

// lowestRanked returns the count servers with the lowest rank by the first ranking, but no more
// than limit of them, ordered by the second ranking. If eligible is set, only servers for which it
// holds are returned.
func (l *Router) lowestRanked(from []*server, first, second ranking, count, limit int, eligible func(*server) bool) []ranked {
	best := selection{limit: min(count, limit)}
	if best.limit <= 0 {
		return nil
	}
	// There are far more homes than are compared: select the servers below the rank that so many
	// are expected to have, and keep the lowest of them by the second ranking.
	if count > limit {
		bound := rankBound(float64(len(from)), float64(count))
		for _, s := range from {
			if draw, weight := first.uniform(s), first.weight(s); 1-draw < weight*bound && -math.Log(draw) < weight*bound {
				best.add(s, second.uniform(s), second.weight(s), eligible)
			}
		}
		return best.sorted()
	}
	for _, s := range from { // as -log(x) is at least 1-x, most servers are skipped without computing a logarithm
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

// rankBound is the rank below which count of so many servers of weight 1 are expected.
func rankBound(servers, count float64) float64 { return -math.Log(max(1-count/servers, 1e-9)) }

func compareRank(a, b ranked) int { return cmp.Compare(a.rank, b.rank) }

// selection keeps the servers with the lowest ranks.
type selection struct {
	limit   int
	entries []ranked // sorted once limit is reached
}

// cutoff is the rank below which a server is added.
func (n *selection) cutoff() float64 {
	if len(n.entries) < n.limit {
		return math.Inf(1)
	}
	return n.entries[n.limit-1].rank
}

// add adds a server if its rank is among the lowest.
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

// previousHome returns a session's home among the readers as they were before the latest list
// changes, if requests may still be sent to it, and the number of readers that have gone since for
// each new one.
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

// isCandidate reports whether a reader is a candidate for a request, whether or not it was sampled.
func (l *Router) isCandidate(r *request, candidates candidateSet, s *server) bool {
	if candidates.listed == nil {
		return slices.Contains(candidates.servers, s)
	}
	return s.listed && l.readiness(r, s) == ready && !slices.Contains(r.avoid, s)
}
