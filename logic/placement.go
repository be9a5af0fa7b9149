package logic

import (
	"math"
	"slices"
)

// Placement of reads, following Algorithm 1 of the design.

const (
	balancingThreshold = 2.0 // from Algorithm 1: a match shorter than the longest by this factor counts as none
	extraHomePenalty   = 4.0 // cost of a further home, in read times of the missing prefix, when all readers have queues
	// A reader in another zone must be sooner by this many times the first-token target, multiplied
	// by the price of another zone.
	crossZonePenalty = 5.0
)

type readChoice struct {
	server         *server
	wait, readTime float64
	queuedTokens   float64
	match          match
	newHome        bool
}

// chooseReader returns the reader with the lowest sum of wait time and read time for the unmatched
// part of the prompt.
func (l *Router) chooseReader(r *request) (best readChoice) {
	candidates := l.candidates(r, true)
	matches := l.matches(r)
	homes := l.homes(r, candidates, l.readEligible(r, nil))
	readers := candidates.servers
	if l.hasPartialView() && len(homes) > 0 {
		home := homes[0].server
		previous, lossRatio := l.previousHome(r, candidates)
		move := l.movesToNewServer(r, home, candidates.count, len(homes))
		// Sessions whose previous home is still listed mostly stay there: the fewer readers have gone for
		// each new one, the more of these sessions move.
		if previous != nil && (!move || unit(mix(r.Session+2)) < lossRatio) {
			home, move = previous, false
		}
		inSlowStart := func(s *server) bool { return l.inSlowStart(s) && !(s == home && move) }
		all := len(readers)
		readers = slices.DeleteFunc(readers, inSlowStart)
		if len(readers) < all {
			candidates.count -= (all - len(readers)) * candidates.count / all
			candidates.servers = readers
		}
		if candidates.listed == nil && len(readers) < all || candidates.listed != nil && anyOf(homes, inSlowStart) {
			homes = l.homes(r, candidates, l.readEligible(r, inSlowStart))
		}
		if move || previous != nil {
			homes = append([]ranked{{server: home}}, homes...)
		}
	}
	if candidates.listed != nil {
		readers = l.addKnownReaders(r, readers, homes, matches)
	}
	for i, home := range homes { // other routers with the same list send the same key to these readers
		s := home.server
		limit := r.PrefixTokens
		if i == 0 && r.Session != 0 {
			limit = (r.PrefixTokens + r.PromptTokens) / 2
		}
		if m := matches[s]; m.tokens < limit {
			m.tokens, m.byHash = limit, true
			matches[s] = m
		}
	}
	longest, least, congestion := int64(0), 0.0, math.Inf(1)
	for _, s := range readers {
		longest = max(longest, matches[s].tokens)
		perToken := l.perTokenTime(s)
		congestion = min(congestion, l.backlog(s, perToken)*perToken+l.externalWait(s))
	}
	congestion = min(congestion/l.minOverdue, 1)
	for _, s := range readers {
		perToken := l.perTokenTime(s)
		c := readChoice{server: s, match: matches[s], queuedTokens: l.backlog(s, perToken)}
		c.wait = c.queuedTokens*perToken + l.externalWait(s)
		// Below the threshold Algorithm 1 would transfer the missing prefix. Here it is read again
		// instead, at the same cost, and the reader becomes a further home.
		c.newHome = longest > 0 && float64(longest) >= balancingThreshold*float64(c.match.tokens)
		c.readTime = float64(max(r.PromptTokens-c.match.tokens, 1)) * perToken
		cost := c.readTime
		if s.Zone != l.set.Zone {
			cost += l.set.CrossZonePrice * crossZonePenalty * l.minOverdue / overdueAimShare
		}
		if c.newHome {
			cost += congestion * extraHomePenalty * float64(longest-c.match.tokens) * perToken
		}
		if score := c.wait + cost; best.server == nil || score < least {
			best, least = c, score
		}
	}
	return best
}

// anyOf reports whether the condition holds for any of the ranked servers.
func anyOf(servers []ranked, holds func(*server) bool) bool {
	return slices.ContainsFunc(servers, func(r ranked) bool { return holds(r.server) })
}

// readEligible returns a filter for readers outside the candidate set: whether the request may be
// sent to them, except for the excluded ones.
func (l *Router) readEligible(r *request, excluded func(*server) bool) func(*server) bool {
	return func(s *server) bool {
		return (excluded == nil || !excluded(s)) && l.readiness(r, s) == ready && !slices.Contains(r.avoid, s)
	}
}

// addKnownReaders adds to the readers sampled in a large fleet the request's homes, and the readers
// that hold a part of its prompt.
func (l *Router) addKnownReaders(r *request, readers []*server, homes []ranked, matches map[*server]match) []*server {
	for _, home := range homes {
		if !slices.Contains(readers, home.server) {
			readers = append(readers, home.server)
		}
	}
	eligible := l.readEligible(r, nil)
	for _, key := range r.tableKeys() {
		entries, _ := l.prefixTable.get(key)
		for _, h := range entries {
			if matches[h.server].tokens > 0 && h.server.listed && !slices.Contains(readers, h.server) && eligible(h.server) {
				readers = append(readers, h.server)
			}
		}
	}
	return readers
}
