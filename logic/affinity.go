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
	homesWeighed  = 16  // homes that are weighed in a large fleet
	zoneAffinity  = 4.0 // and so much more readily one in the own zone is a home
)

// ranked is a server with its rank for a key in rendezvous hashing: the lowest wins.
type ranked struct {
	at   *server
	rank float64
}

// demand is the traffic that begins as a request does, as its share of arrivals here tells, in even shares of so many readers.
func (l *Router) demand(r *request, readers int, doubt float64) float64 {
	s := l.popular[cmp.Or(r.Prefix, r.Session)]
	seen := max(s.add(l.now, 0, keyLife)-0.5, 0)
	return seen / (l.arrivals.add(l.now, 0, keyLife) + doubt) * float64(readers)
}

// homeCount is how many homes the key of a request has among so many readers: one, and some more for each reader's worth of its traffic.
func (l *Router) homeCount(r *request, readers int) int {
	more := l.demand(r, readers, shareDoubt)
	if !l.seesLittle() { // else a share seen is chance, and each change of it moves sessions
		more *= homesPerShare
	}
	return min(1+int(more), readers)
}

// homes are the readers that a key's hash picks, the same at every router with the same list. They are ordered by the session's hash, so
// that its later prompts find its earlier ones.
func (l *Router) homes(r *request, from choices, may func(*server) bool) []ranked {
	count := l.homeCount(r, from.count)
	if from.all == nil {
		return l.lowest(from.servers, l.keyRank(r), sessionRank(r), count, count, nil)
	}
	return l.lowest(from.all, l.keyRank(r), sessionRank(r), count, homesWeighed, may)
}

// ranking is an order of servers by a key in weighted rendezvous hashing: the lowest -log(draw)/weight wins.
type ranking struct {
	key    uint64
	weight func(s *server) float64
}

func (k ranking) draw(s *server) float64 { return unit(k.key ^ s.hash) }

// keyRank ranks by what a request begins with. Where the front keeps a session's clients, readers of the own zone come more readily.
func (l *Router) keyRank(r *request) ranking {
	return ranking{cmp.Or(r.Prefix, r.Session), func(s *server) float64 { return s.keyWeight }}
}

// sessionRank ranks by a request's session.
func sessionRank(r *request) ranking {
	return ranking{r.Session, func(s *server) float64 { return s.homeWeight }}
}

// lowest gives the servers of the lowest rank by one ranking, up to a count, in their order by another, of which no more than most. With may
// only those count for which it holds.
func (l *Router) lowest(from []*server, by, then ranking, count, most int, may func(*server) bool) []ranked {
	best := selection{most: min(count, most)}
	if best.most <= 0 {
		return nil
	}
	if count > most { // far more than are weighed: those under the rank that so many have, in the other order
		bound := rankOf(float64(len(from)), float64(count))
		for _, s := range from {
			if draw, weight := by.draw(s), by.weight(s); 1-draw < weight*bound && -math.Log(draw) < weight*bound {
				best.add(s, then.draw(s), then.weight(s), may)
			}
		}
		return best.sorted()
	}
	for _, s := range from { // as -log(x) is 1-x at least, most are passed over without a logarithm
		if draw, weight := by.draw(s), by.weight(s); 1-draw < weight*best.bound() {
			best.add(s, draw, weight, may)
		}
	}
	all := best.sorted()
	for i, one := range all {
		all[i].rank = -math.Log(then.draw(one.at)) / then.weight(one.at)
	}
	slices.SortStableFunc(all, byRank)
	return all
}

// rankOf is the rank under which count of so many servers of weight 1 are expected.
func rankOf(servers, count float64) float64 { return -math.Log(max(1-count/servers, 1e-9)) }

func byRank(a, b ranked) int { return cmp.Compare(a.rank, b.rank) }

// selection keeps the servers of the lowest rank.
type selection struct {
	most int
	all  []ranked // ordered, once there are so many
}

// bound is the rank under which a server is taken in.
func (n *selection) bound() float64 {
	if len(n.all) < n.most {
		return math.Inf(1)
	}
	return n.all[n.most-1].rank
}

// add takes a server in if its rank is among the lowest.
func (n *selection) add(s *server, draw, weight float64, may func(*server) bool) {
	full := len(n.all) == n.most
	rank := -math.Log(draw) / weight
	if rank >= n.bound() || may != nil && !may(s) {
		return
	}
	if full {
		n.all = n.all[:n.most-1]
	}
	if n.all = append(n.all, ranked{s, rank}); len(n.all) < n.most {
		return
	}
	if !full {
		slices.SortStableFunc(n.all, byRank)
		return
	}
	for i := n.most - 1; i > 0 && n.all[i].rank < n.all[i-1].rank; i-- {
		n.all[i], n.all[i-1] = n.all[i-1], n.all[i]
	}
}

func (n *selection) sorted() []ranked {
	slices.SortStableFunc(n.all, byRank)
	return n.all
}

// previousHome gives a session's home among the readers as they were before the changes of late, if it may still be sent
// to, and how many have gone since for each that has come.
func (l *Router) previousHome(r *request, readers choices) (kept *server, gone float64) {
	var before []*server
	still := 0
	for _, s := range l.order {
		if s.role != Reader || s.listed && l.inSlowStart(s) || !s.listed && l.now-s.offAt > l.set.RampTime {
			continue
		}
		before = append(before, s)
		if s.listed {
			still++
		}
	}
	count := l.homeCount(r, len(before))
	homes := l.lowest(before, l.keyRank(r), sessionRank(r), count, max(homesWeighed, min(count, allWeighed)), nil)
	if len(homes) > 0 && l.among(r, readers, homes[0].at) {
		kept = homes[0].at
	}
	return kept, float64(len(before)-still) / max(float64(readers.count-still), 1)
}

// among tells whether a reader is among the choices for a request, weighed so far or not.
func (l *Router) among(r *request, readers choices, s *server) bool {
	if readers.all == nil {
		return slices.Contains(readers.servers, s)
	}
	return s.listed && l.readiness(r, s) == ready && !slices.Contains(r.avoid, s)
}
