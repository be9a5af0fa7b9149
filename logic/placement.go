package logic

import (
	"math"
	"slices"
)

// Placement of reads: Algorithm 1 of the design.

const (
	balancingThreshold = 2.0 // Algorithm 1: a match this much shorter is none
	homePrice          = 4.0 // read times added for a further home while all queue
	zonePrice          = 5.0 // shares of the aim that a reader elsewhere must be sooner by, for its price
)

type readChoice struct {
	at         *server
	wait, read float64
	ahead      float64 // tokens
	match      match
	rehome     bool
}

// chooseReader gives the reader with the lowest wait plus unmatched read time.
func (l *Router) chooseReader(r *request) (best readChoice) {
	choices := l.candidates(r, true)
	held := l.matches(r)
	homes := l.homes(r, choices, l.mayRead(r, nil))
	readers := choices.servers
	if l.seesLittle() && len(homes) > 0 {
		home := homes[0].at
		kept, gone := l.previousHome(r, choices)
		moves := l.movesToNewcomer(r, home, choices.count, len(homes))
		if kept != nil && (!moves || unit(mix(r.Session+2)) < gone) { // few leave a reader that is still there
			home, moves = kept, false
		}
		newcomer := func(s *server) bool { return l.inSlowStart(s) && !(s == home && moves) }
		all := len(readers)
		readers = slices.DeleteFunc(readers, newcomer)
		if len(readers) < all {
			choices.count -= (all - len(readers)) * choices.count / all
			choices.servers = readers
		}
		if choices.all == nil && len(readers) < all || choices.all != nil && anyOf(homes, newcomer) {
			homes = l.homes(r, choices, l.mayRead(r, newcomer))
		}
		if moves || kept != nil {
			homes = append([]ranked{{at: home}}, homes...)
		}
	}
	if choices.all != nil {
		readers = l.withKnown(r, readers, homes, held)
	}
	for i, home := range homes { // others that know the list send the same key here
		s := home.at
		most := r.PrefixTokens
		if i == 0 && r.Session != 0 {
			most = (r.PrefixTokens + r.PromptTokens) / 2
		}
		if m := held[s]; m.tokens < most {
			m.tokens, m.presumed = most, true
			held[s] = m
		}
	}
	longest, least, crowd := int64(0), 0.0, math.Inf(1)
	for _, s := range readers {
		longest = max(longest, held[s].tokens)
		rate := l.rateOf(s)
		crowd = min(crowd, l.backlog(s, rate)*rate+l.unseenWait(s))
	}
	crowd = min(crowd/l.overdue, 1)
	for _, s := range readers {
		rate := l.rateOf(s)
		c := readChoice{at: s, match: held[s], ahead: l.backlog(s, rate)}
		c.wait = c.ahead*rate + l.unseenWait(s)
		// Below the threshold the document would move the missing prefix; it is read anew instead, at the
		// same charge, and the reader becomes a further home.
		c.rehome = longest > 0 && float64(longest) >= balancingThreshold*float64(c.match.tokens)
		c.read = float64(max(r.PromptTokens-c.match.tokens, 1)) * rate
		charge := c.read
		if s.Zone != l.set.Zone {
			charge += l.set.CrossZonePrice * zonePrice * l.overdue / overdueAim
		}
		if c.rehome {
			charge += crowd * homePrice * float64(longest-c.match.tokens) * rate
		}
		if score := c.wait + charge; best.at == nil || score < least {
			best, least = c, score
		}
	}
	return best
}

// anyOf tells whether something holds for any of some ranked servers.
func anyOf(all []ranked, holds func(*server) bool) bool {
	return slices.ContainsFunc(all, func(one ranked) bool { return holds(one.at) })
}

// mayRead tells of readers that are not weighed yet whether a request may be sent to them, but for those that are left out.
func (l *Router) mayRead(r *request, leftOut func(*server) bool) func(*server) bool {
	return func(s *server) bool {
		return (leftOut == nil || !leftOut(s)) && l.readiness(r, s) == ready && !slices.Contains(r.avoid, s)
	}
}

// withKnown adds to the readers that were drawn in a large fleet the request's homes, and those that hold a part of its prompt.
func (l *Router) withKnown(r *request, readers []*server, homes []ranked, held map[*server]match) []*server {
	for _, home := range homes {
		if !slices.Contains(readers, home.at) {
			readers = append(readers, home.at)
		}
	}
	may := l.mayRead(r, nil)
	for _, key := range r.tableKeys() {
		for _, h := range l.table[key] {
			if held[h.at].tokens > 0 && h.at.listed && !slices.Contains(readers, h.at) && may(h.at) {
				readers = append(readers, h.at)
			}
		}
	}
	return readers
}
