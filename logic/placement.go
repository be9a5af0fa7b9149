package logic

import (
	"math"
	"slices"
)

// Placement of reads: Algorithm 1 of the design.

const (
	balancingThreshold = 2.0 // Algorithm 1: a match this much shorter is none
	extraHomePenalty   = 4.0 // read times added for a further home while all queue
	crossZonePenalty   = 5.0 // shares of the aim that a reader elsewhere must be sooner by, for its price
)

type readChoice struct {
	server         *server
	wait, readTime float64
	queuedTokens   float64 // tokens
	match          match
	newHome        bool
}

// chooseReader gives the reader with the lowest wait plus unmatched read time.
func (l *Router) chooseReader(r *request) (best readChoice) {
	candidates := l.candidates(r, true)
	matches := l.matches(r)
	homes := l.homes(r, candidates, l.readEligible(r, nil))
	readers := candidates.servers
	if l.hasPartialView() && len(homes) > 0 {
		home := homes[0].server
		previous, lossRatio := l.previousHome(r, candidates)
		move := l.movesToNewServer(r, home, candidates.count, len(homes))
		if previous != nil && (!move || unit(mix(r.Session+2)) < lossRatio) { // few leave a reader that is still there
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
	for i, home := range homes { // others that know the list send the same key here
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
	longest, least, leastWait := int64(0), 0.0, math.Inf(1)
	for _, s := range readers {
		longest = max(longest, matches[s].tokens)
		perToken := l.perTokenTime(s)
		leastWait = min(leastWait, l.backlog(s, perToken)*perToken+l.externalWait(s))
	}
	leastWait = min(leastWait/l.minOverdue, 1)
	for _, s := range readers {
		perToken := l.perTokenTime(s)
		c := readChoice{server: s, match: matches[s], queuedTokens: l.backlog(s, perToken)}
		c.wait = c.queuedTokens*perToken + l.externalWait(s)
		// Below the threshold the document would move the missing prefix; it is read anew instead, at the
		// same charge, and the reader becomes a further home.
		c.newHome = longest > 0 && float64(longest) >= balancingThreshold*float64(c.match.tokens)
		c.readTime = float64(max(r.PromptTokens-c.match.tokens, 1)) * perToken
		charge := c.readTime
		if s.Zone != l.set.Zone {
			charge += l.set.CrossZonePrice * crossZonePenalty * l.minOverdue / overdueAimShare
		}
		if c.newHome {
			charge += leastWait * extraHomePenalty * float64(longest-c.match.tokens) * perToken
		}
		if score := c.wait + charge; best.server == nil || score < least {
			best, least = c, score
		}
	}
	return best
}

// anyOf tells whether something holds for any of some ranked servers.
func anyOf(servers []ranked, holds func(*server) bool) bool {
	return slices.ContainsFunc(servers, func(r ranked) bool { return holds(r.server) })
}

// mayRead tells of readers that are not weighed yet whether a request may be sent to them, but for those that are left out.
func (l *Router) readEligible(r *request, excluded func(*server) bool) func(*server) bool {
	return func(s *server) bool {
		return (excluded == nil || !excluded(s)) && l.readiness(r, s) == ready && !slices.Contains(r.avoid, s)
	}
}

// withKnown adds to the readers that were drawn in a large fleet the request's homes, and those that hold a part of its prompt.
func (l *Router) addKnownReaders(r *request, readers []*server, homes []ranked, matches map[*server]match) []*server {
	for _, home := range homes {
		if !slices.Contains(readers, home.server) {
			readers = append(readers, home.server)
		}
	}
	eligible := l.readEligible(r, nil)
	for _, key := range r.tableKeys() {
		for _, h := range l.prefixTable[key] {
			if matches[h.server].tokens > 0 && h.server.listed && !slices.Contains(readers, h.server) && eligible(h.server) {
				readers = append(readers, h.server)
			}
		}
	}
	return readers
}
