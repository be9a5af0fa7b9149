// The decisions of standpulley. The interface (settings, events, actions) is in api.go.
package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Tuned values. Each is a ratio or a time that holds for any fleet; all other figures are derived
// from the settings or learned.
const (
	balancingThreshold = 2.0                    // Algorithm 1: a match this much shorter is none
	homePrice          = 4.0                    // read times added for a further home while all queue
	homesPerShare      = 4.0                    // homes of a key for each reader's worth of its traffic
	shareDoubt         = 10                     // arrivals assumed beside those seen
	crowdDoubt         = 2                      // and where too many would push a cold server over
	pullMost           = 3.0                    // a reader is a home no more seldom than by this
	aimShare           = 0.7                    // waiting may use this share of the aim: estimates err
	zonePrice          = 5.0                    // shares of the aim that a reader elsewhere must be sooner by, for its price
	zonePull           = 4.0                    // and so much more readily one in the own zone is a home
	inPlaceLoad        = 0.5                    // a server this full takes no request whole
	inPlaceSlower      = 2.0                    // and reads at about this multiple of a reader's rate
	keyLife            = 30 * time.Second       // a table entry unheard of for this long is forgotten
	rateMemory         = 6 * time.Second        // read rates follow a change within about this
	rateDown           = 0.3                    // share of a shorter read that the rate takes over
	rateUp             = 0.02                   // and of a longer one
	usualShare         = 0.2                    // share of a read's time that the usual one takes over
	queueMemory        = 3 * time.Second        // a queue, a slow start or a report is believed this long
	tickEvery          = 40 * time.Millisecond  // how often waiting attempts are looked at
	overdueFactor      = 4.0                    // an attempt is overdue after this multiple of the expected
	overdueAim         = 0.25                   // and never before this share of the shortest aim
	backoffFirst       = 1 * time.Second        // a failed server is left alone this long, then twice it ...
	backoffMost        = 8 * time.Second        // ... up to this
	errorsInRow        = 3                      // errors in a row that count as a failed server
	errorDoubt         = 10.0                   // attempts without an error assumed beside those seen
	errorPrice         = 4.0                    // a writer that always errs counts as so much fuller
	fullCost           = 20                     // and this many times as long as it took to say so
	fullPause          = 150 * time.Millisecond // a server that said full is passed over this long
	retryShare         = 0.2                    // further attempts by choice, as a share of arrivals ...
	retryBurst         = 10.0                   // ... and what may be saved up
	coldSafety         = 0.5                    // part of the allowed work that a cold server is sent
	coldPart           = 0.8                    // and part that joins a young reader of what is at home there
	tieSpread          = 0.1                    // loads that differ by less are drawn among
	nearMargin         = 0.25                   // a near writer may be this share of memory above the least
	outputGuess        = 0.3                    // answers are about this share of their ceiling
	shareBurst         = 2.0                    // seconds of its share that a tenant may send at once
	overShareWait      = 0.2                    // over-share requests may wait this part of what others may
	overShareLoad      = 0.6                    // and none is taken while the least writer is this full
)

const (
	tagTick uint64 = iota
	tagWatch
	tagRequests // and up: a request's deadline
)

// New makes a Router, or says which setting is wrong.
func New(set Settings, seed uint64) (*Router, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	l := emptyRouter(seed)
	l.tune(set)
	l.usual = l.overdue / overdueAim / overdueFactor // until reads tell, none is overdue before the shortest aim
	return l, nil
}

// Retune puts other settings in force, or says which is wrong. What was learned stays, and so do the classes of
// the requests that are open.
func (l *Router) Retune(set Settings) error {
	if err := set.check(); err != nil {
		return err
	}
	l.tune(set)
	for _, s := range l.order {
		l.place(s)
	}
	l.weighPlaces()
	return nil
}

func (l *Router) tune(set Settings) {
	l.set = set
	shortest, classes, tenants := time.Duration(math.MaxInt64), map[string]*classState{}, map[string]*tenantState{}
	for _, c := range set.Classes {
		shortest = min(shortest, c.Aim)
		if classes[c.Name] = l.classes[c.Name]; classes[c.Name] == nil || classes[c.Name].Class != c {
			classes[c.Name] = &classState{Class: c}
		}
	}
	l.overdue = overdueAim * shortest.Seconds()
	for _, t := range set.Tenants {
		rate := t.QuotaRPS / float64(set.Siblings)
		if tenants[t.Name] = l.tenants[t.Name]; tenants[t.Name] == nil {
			tenants[t.Name] = &tenantState{credit: rate * shareBurst}
		}
		tenants[t.Name].rate = rate
	}
	l.classes, l.tenants = classes, tenants
}

// place finds a server's role and memory by its kind.
func (l *Router) place(s *server) {
	for _, k := range l.set.Kinds {
		if k.Name == s.Kind {
			s.role, s.memory = k.Role, float64(k.MemoryTokens)
		}
	}
}

// Handle takes one event at clock now and appends the actions that answer it.
func (l *Router) Handle(now time.Duration, ev *Event, out []Action) []Action {
	l.now, l.out = now, out
	if l.set.ListOnRequest && !l.watching {
		l.watching = true
		l.out = append(l.out, Action{Kind: Watch})
	}
	switch ev.Kind {
	case ListChanged, ListComplete:
		l.learnList(ev)
	case ListFailed:
		if l.set.ListOnRequest {
			l.out = append(l.out, Action{Kind: Wake, After: backoffFirst, Tag: tagWatch})
		}
	case Arrived:
		l.arrive(ev)
	case StreamStarted:
		l.started(ev)
	case Ended:
		l.attemptEnded(ev)
	case Departed:
		l.departed(ev.RequestID)
	case TimerFired:
		l.timer(ev.Tag)
	}
	if !l.ticking && len(l.requests) > 0 {
		l.ticking = true
		l.out = append(l.out, Action{Kind: Wake, After: tickEvery, Tag: tagTick})
	}
	out, l.out = l.out, nil
	return out
}

func (l *Router) timer(tag uint64) {
	switch tag {
	case tagTick:
		l.ticking = false
		l.tick()
	case tagWatch:
		l.out = append(l.out, Action{Kind: Watch})
	default:
		if r := l.bySeq[tag]; r != nil && !r.ended && r.phase != streaming {
			l.giveUp(r, 0)
		}
	}
}

// tick looks for attempts that are overdue and for parked requests whose time has come.
func (l *Router) tick() {
	gone := func(r *request) bool { return l.requests[r.id] != r || r.phase == streaming }
	l.open = slices.DeleteFunc(l.open, gone)
	for i := 0; i < len(l.open); i++ {
		switch r := l.open[i]; {
		case r.ended:
		case r.phase == parked:
			l.unpark(r)
		default:
			l.checkOverdue(r)
		}
	}
	if l.now-l.swept > keyLife/4 {
		l.swept = l.now
		maps.DeleteFunc(l.popular, func(_ uint64, d decayed) bool { return l.now-d.at > keyLife })
		maps.DeleteFunc(l.tries, func(_ tryKey, at time.Duration) bool { return l.now-at > keyLife })
		l.order = slices.DeleteFunc(l.order, func(s *server) bool {
			old := !s.listed && len(s.waiting) == 0 && s.writes == 0 && l.now-s.offAt > keyLife
			if old { // replaced by others, with other ids
				delete(l.servers, s.ID)
			}
			return old
		})
		for k, hs := range l.table { // only drops, so the order does not matter
			if l.table[k] = slices.DeleteFunc(hs, func(h holding) bool { return !l.live(h) }); len(l.table[k]) == 0 {
				delete(l.table, k)
			}
		}
	}
}

// ---- servers and health ----

func (l *Router) learnList(ev *Event) {
	if ev.Kind == ListComplete {
		for _, s := range l.order {
			if s.listed {
				s.listed, s.offAt = false, l.now
			}
		}
	}
	for _, e := range ev.Servers {
		s := l.servers[e.ID]
		if s == nil {
			s = &server{heard: -1, turnsAt: -1, lanes: map[laneKey]lane{}}
			for i := range e.ID {
				s.hash = mix(s.hash ^ uint64(e.ID[i]))
			}
			l.servers[e.ID] = s
			l.order = append(l.order, s)
		} else if e.Started != s.Started { // a new process: it knows nothing of the old one's texts and faults
			s.since, s.fails, s.errors, s.backAt = l.now, 0, 0, 0
			clear(s.lanes)
			s.rateAt, s.startAt = 0, 0
		}
		s.ServerEntry, s.listed = e, e.Availability == Ready
		if !s.listed {
			s.offAt = l.now
		}
		if s.Weight <= 0 {
			s.Weight = 1
		}
		l.place(s)
	}
	l.weighPlaces()
}

// weighPlaces compares a server's zone and cell with the fleet: the share of reading over that of writers.
// Where a zone has few writers its readers are homes more seldom, as its states would have to leave it.
func (l *Router) weighPlaces() {
	l.memory = 0
	for _, s := range l.order {
		s.pull = 1
		if s.listed && s.role != Reader {
			l.memory += max(s.memory, 1) * s.Weight
		}
	}
	for pass := range 2 {
		all, zones, cells := &placeSum{}, map[string]*placeSum{}, map[int64]*placeSum{}
		for _, s := range l.order {
			for _, p := range []*placeSum{all, at(zones, s.Zone), at(cells, s.Cell)} {
				if s.listed {
					p[min(int(s.role), 1)] += s.Weight * s.pull
				}
			}
		}
		crowding := func(p *placeSum) float64 { return p[0] * all[1] / max(all[0]*p[1], 1e-9) }
		for _, s := range l.order {
			s.zoneCrowd = crowding(zones[s.Zone])
			s.crowd = max(s.zoneCrowd, crowding(cells[s.Cell]))
			if s.role == Reader && pass == 0 {
				s.pull = 1 / min(max(s.zoneCrowd, 1), pullMost)
			}
		}
	}
}

// candidates are the readers, or the writers, that may be sent a request now: listed, not full, within the
// cold budget, in no failure's pause. After a pause one real request at a time tries a server, as probes may
// be forbidden. Where all are in a pause it does not count, so that no misjudgement shuts the fleet out.
func (l *Router) candidates(r *request, readers bool) []*server {
	var well, paused []*server
	for _, s := range l.order {
		switch {
		case (s.role == Reader) != readers || !s.listed || !l.allowed(r, s):
		case l.now < s.lane(r).fullTill || l.young(s) && !l.coldAllows(s) && !(readers && l.sparse()):
		case s.fails == 0 || len(s.waiting) == 0 && l.coldAllows(s) && l.now >= s.backAt:
			well = append(well, s)
		case len(s.waiting) == 0:
			paused = append(paused, s)
		}
	}
	if len(well) == 0 {
		well = paused
	}
	tried := func(s *server) bool { return slices.Contains(r.avoid, s) }
	if rest := slices.DeleteFunc(slices.Clone(well), tried); len(rest) > 0 {
		return rest
	}
	return well
}

func (l *Router) failed(s *server) {
	if s.fails == 0 && !l.young(s) {
		s.failedAt = l.now
	}
	if s.fails == 0 || l.now >= s.backAt {
		s.fails++
	}
	s.backAt = l.now + min(backoffFirst<<min(s.fails-1, 10), backoffMost)
}

// refused notes a 'full', which may be meant for one tenant or class only: the like of the request passes the
// server over, the longer the more time the answer took and the more often it came.
func (l *Router) refused(r *request, s *server, took time.Duration) {
	v := s.lane(r)
	v.pause = min(max(2*v.pause, fullPause, fullCost*took), backoffMost)
	v.fullTill = l.now + v.pause
	s.lanes[laneOf(r)] = v
}

// accepted notes that a read ended or a stream began: the server is well and takes the like of the request.
func (l *Router) accepted(r *request, s *server) {
	s.heard, s.fails, s.errors, s.passed = l.now, 0, 0, max(s.passed, r.sentAt)
	s.rate.add(l.now, 1, rateMemory)
	delete(s.lanes, laneOf(r))
}

// ---- reader choice (Algorithm 1) ----

// live tells whether an entry is neither old nor of an earlier process.
func (l *Router) live(h holding) bool { return l.now-h.seen <= keyLife && h.seen >= h.at.since }

// record notes what a reader holds; sure is false for what it was only just sent to read.
func (l *Router) record(k tableKey, s *server, tokens int64, sure bool) {
	if k.key == 0 || tokens <= 0 {
		return
	}
	hs := slices.DeleteFunc(l.table[k], func(h holding) bool { return h.at == s || !l.live(h) })
	l.table[k] = append(hs, holding{s, tokens, l.now, sure})
}

// matches gives the table's length for each reader that holds any of the prompt.
func (l *Router) matches(r *request) map[*server]match {
	session, prefix := keysOf(r)
	m := map[*server]match{}
	note := func(k tableKey, most int64) {
		for _, h := range l.table[k] {
			x := match{tokens: min(h.tokens, most)}
			if h.sure {
				x.claim = x.tokens
			}
			if l.live(h) && x.tokens > m[h.at].tokens {
				m[h.at] = x
			}
		}
	}
	note(session, r.PromptTokens)
	note(prefix, r.PrefixTokens)
	return m
}

// crowd is the traffic that begins as a request does, as its share of arrivals here tells, in even shares of readers.
func (l *Router) crowd(r *request, readers []*server, doubt float64) float64 {
	s := l.popular[cmp.Or(r.Prefix, r.Session)]
	seen := max(s.add(l.now, 0, keyLife)-0.5, 0)
	return seen / (l.arrivals.add(l.now, 0, keyLife) + doubt) * float64(len(readers))
}

// homes are the readers that a key's hash picks, the same at every router with the same list: one, and some
// more for each reader's worth of traffic that begins with the key, as its share of arrivals here tells.
// They are ordered by the session's hash, so that its later prompts find its earlier ones.
func (l *Router) homes(r *request, from []*server) []drawn {
	key := cmp.Or(r.Prefix, r.Session)
	more := l.crowd(r, from, shareDoubt)
	if !l.sparse() { // else a share seen is chance, and each change of it moves sessions
		more *= homesPerShare
	}
	all := make([]drawn, 0, len(from))
	for _, s := range from {
		lot := s.draw(key)
		if l.set.CrossZone > 0 && s.Zone == l.set.Zone { // where the front keeps a session's clients
			lot /= zonePull
		}
		all = append(all, drawn{s, lot})
	}
	slices.SortFunc(all, func(a, b drawn) int { return cmp.Compare(a.lot, b.lot) })
	all = all[:min(1+int(more), len(all))]
	for i := range all {
		all[i].lot = all[i].at.draw(r.Session)
	}
	slices.SortFunc(all, func(a, b drawn) int { return cmp.Compare(a.lot, b.lot) })
	return all
}

// settled gives a session's home among the readers as they were before the changes of late, if it may still be sent
// to, and how many have gone since for each that has come.
func (l *Router) settled(r *request, readers []*server) (kept *server, gone float64) {
	before := slices.DeleteFunc(slices.Clone(l.order), func(s *server) bool {
		return s.role != Reader || s.listed && l.young(s) || !s.listed && l.now-s.offAt > l.set.RampTime
	})
	still := slices.DeleteFunc(slices.Clone(before), func(s *server) bool { return !s.listed })
	if homes := l.homes(r, before); len(homes) > 0 && slices.Contains(readers, homes[0].at) {
		kept = homes[0].at
	}
	return kept, float64(len(before)-len(still)) / max(float64(len(readers)-len(still)), 1)
}

// draw is a server's lot for a key; the lowest wins, the more often the more readily the server is a home.
func (s *server) draw(key uint64) float64 { return -math.Log(unit(key^s.hash)) / s.pull }

// rateOf is the learned seconds a token; a reader that was not heard lately counts as average.
func (l *Router) rateOf(s *server) float64 {
	rate := max(l.average, 1e-9) // before a rate is learned, tokens are compared
	if s.rateAt > 0 {
		rate += (s.perToken - rate) * fade(l.now-s.rateAt, rateMemory)
	}
	if l.cold(s) {
		rate = max(rate, l.average/l.warmth(s))
	}
	return rate
}

// hidden is the seconds that reads lately waited beyond our own tokens: what other routers have sent there. A
// reader not heard of lately counts as the mean of those heard.
func (l *Router) hidden(s *server) float64 {
	mean := l.extra * fade(l.now-l.extraAt, queueMemory)
	return mean + (s.extra-mean)*fade(l.now-s.rateAt, queueMemory)
}

// backlog is the tokens unread at a reader: our own, or what it reported less what it has read since.
func (l *Router) backlog(s *server, rate float64) float64 {
	own := float64(s.unread)
	if s.reportAt == 0 || l.now-s.reportAt > queueMemory || !(s.report.TokensWaiting > 0) {
		return own
	}
	return max(own, s.report.TokensWaiting+s.sentTok-(l.now-s.reportAt).Seconds()/rate)
}

// chooseReader gives the reader with the lowest wait plus unmatched read time.
func (l *Router) chooseReader(r *request) (best readChoice) {
	readers := l.candidates(r, true)
	held, homes := l.matches(r), l.homes(r, readers)
	if l.sparse() && len(homes) > 0 {
		home := homes[0].at
		kept, gone := l.settled(r, readers)
		joins := l.joins(r, home, readers)
		if kept != nil && (!joins || unit(mix(r.Session+2)) < gone) { // few leave a reader that is still there
			home, joins = kept, false
		}
		all := len(readers)
		readers = slices.DeleteFunc(readers, func(s *server) bool { return l.young(s) && !(s == home && joins) })
		if len(readers) < all {
			homes = l.homes(r, readers)
		}
		if joins || kept != nil {
			homes = append([]drawn{{at: home}}, homes...)
		}
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
		crowd = min(crowd, l.backlog(s, rate)*rate+l.hidden(s))
	}
	crowd = min(crowd/l.overdue, 1)
	for _, s := range readers {
		rate := l.rateOf(s)
		c := readChoice{at: s, match: held[s], ahead: l.backlog(s, rate)}
		c.wait = c.ahead*rate + l.hidden(s)
		// Below the threshold the document would move the missing prefix; it is read anew instead, at the
		// same charge, and the reader becomes a further home.
		c.rehome = longest > 0 && float64(longest) >= balancingThreshold*float64(c.match.tokens)
		c.read = float64(max(r.PromptTokens-c.match.tokens, 1)) * rate
		charge := c.read
		if s.Zone != l.set.Zone {
			charge += l.set.CrossZone * zonePrice * l.overdue / overdueAim
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

// learnRead takes what a finished read tells: the rate, and what the reader had and has now.
func (l *Router) learnRead(r *request, s *server, took time.Duration, kept int64) {
	tokens := r.ahead + float64(max(r.PromptTokens-kept, 1))
	// The rate follows fast downwards and slowly upwards: what a read took beyond it was the queue of others.
	x := took.Seconds() / tokens
	// A read of a few tokens tells of fixed costs rather than of the rate, so it counts little.
	weight := min(2*tokens/(tokens+float64(r.PromptTokens)), 1)
	s.perToken, l.average = follow(l.rateOf(s), x, weight), follow(l.average, x, weight)
	s.extra = l.hidden(s)
	extra := max(took.Seconds()-tokens*s.perToken, 0)
	s.extra += 0.5 * (extra - s.extra)
	l.extra += usualShare * (extra - l.extra)
	s.rateAt, l.extraAt = l.now, l.now
	l.usual += usualShare * (took.Seconds() - l.usual)
	if kept < r.claim/2 { // caught short: a flush, an eviction, an unseen restart; what was noted before is void
		s.since = max(s.since, r.sentAt)
	}
	session, prefix := keysOf(r)
	l.record(session, s, r.PromptTokens, true)
	l.record(prefix, s, r.PrefixTokens, true)
}

func follow(rate, x, weight float64) float64 {
	if rate == 0 {
		return x
	} else if x < rate {
		return rate + weight*rateDown*(x-rate)
	}
	return rate + weight*rateUp*(x-rate)
}

// ---- writer choice ----

// load is a writer's share of memory in use, as far as can be seen from here: what it reported, by age, over
// what writers hold on average. Our own count stands for all routers' only as far as many writes are ours.
func (l *Router) load(s *server) float64 {
	memory := max(s.memory, 1) * s.Weight
	siblings := float64(l.set.Siblings)
	mean := l.held * siblings / max(l.memory, 1)
	own := float64(s.writes)
	load := mean + (s.held*siblings/memory-mean)*own/(own+siblings)
	if age := l.now - s.reportAt; s.reportAt > 0 && age < queueMemory && s.report.MemoryHeld >= 0 {
		load += (max(s.report.MemoryHeld+s.sentTok/memory, s.held/memory) - load) * fade(age, queueMemory)
	}
	if l.cold(s) && !l.young(s) { // a young one is sent no more than its part anyway
		load /= l.warmth(s)
	}
	return load
}

// startWait is the seconds from a send to the first token that a writer shows now.
func (l *Router) startWait(s *server) float64 {
	wait := s.start * fade(l.now-s.startAt, queueMemory)
	for _, r := range s.waiting {
		wait = max(wait, (l.now - r.sentAt).Seconds())
	}
	return wait
}

// chooseWriter gives a writer near the least load, in the state's cell if it can, else its zone. Near-ties
// are drawn by seed, or all routers that know as little would pick the same. Where a cell or zone has more
// than its share of the reading, only its writers' part of the states stays: else they jam and others idle.
func (l *Router) chooseWriter(r *request) *server {
	writers := l.candidates(r, false)
	least, draw := math.Inf(1), l.seed^mix(r.seq)
	loads := make([]float64, len(writers))
	for i, s := range writers {
		loads[i] = l.load(s) + errorPrice*l.erring(s) + tieSpread*unit(draw^s.hash) + nearMargin*l.startWait(s)/l.overdue
		least = min(least, loads[i])
	}
	stay := r.state != nil && unit(draw)*r.state.crowd < 1
	stayInZone := r.state != nil && unit(draw)*r.state.zoneCrowd < 1
	var best *server
	var bestLoad float64
	var bestNear int
	for i, s := range writers {
		if loads[i] > least+nearMargin {
			continue
		}
		near := 0
		if l.young(s) && r.state != nil && s.Zone == r.state.Zone { // it has a turn, and turns unused are lost
			near = 3
		} else if stay && s.Cell == r.state.Cell {
			near = 2
		} else if stayInZone && s.Zone == r.state.Zone {
			near = 1
		}
		if best == nil || near > bestNear || near == bestNear && loads[i] < bestLoad {
			best, bestLoad, bestNear = s, loads[i], near
		}
	}
	return best
}

// ---- admission ----

func (l *Router) arrive(ev *Event) {
	class := cmp.Or(l.classes[ev.Request.Class], l.classes[l.set.Classes[0].Name])
	l.seq++
	r := &request{Request: ev.Request, id: ev.RequestID, seq: l.seq, class: class}
	r.deadline = l.now + r.Remaining
	l.requests[r.id], l.bySeq[r.seq] = r, r
	try := tryKey{r.Session, r.PromptTokens} // a client's further try has used up some of the aim
	if at, ok := l.tries[try]; !ok || l.now-at > class.Deadline {
		l.tries[try] = l.now
		if r.Again { // its first try was elsewhere
			l.tries[try] -= class.Aim / 2
		}
	}
	r.first = l.tries[try]
	l.open = append(l.open, r)
	l.out = append(l.out, Action{Kind: Wake, After: r.Remaining, Tag: r.seq})
	l.retries = min(l.retries+retryShare, 1+retryShare*l.arrivals.add(l.now, 0, keyLife), retryBurst)
	s := l.popular[cmp.Or(r.Prefix, r.Session)]
	s.add(l.now, 1, keyLife)
	l.popular[cmp.Or(r.Prefix, r.Session)] = s
	l.arrivals.add(l.now, 1, keyLife)
	l.came.add(l.now, 1, rateMemory)
	over := l.overShare(r)
	c := l.chooseReader(r)
	pause, no := l.refuses(r, c, over)
	if !no {
		l.start(r, c)
	} else if s := l.inPlace(r); s != nil && !over {
		l.sendWhole(r, s)
	} else {
		l.finish(r, Refuse, pause)
	}
}

// overShare books an arrival on its tenant and tells whether it exceeds this router's part of the share.
func (l *Router) overShare(r *request) bool {
	t := l.tenants[r.Tenant]
	if t == nil || t.rate <= 0 {
		return false
	}
	if t.at > 0 {
		t.credit = min(t.credit+(l.now-t.at).Seconds()*t.rate, t.rate*shareBurst+1)
	}
	t.at = l.now
	if t.credit < 1 {
		return true
	}
	t.credit--
	return false
}

// refuses tells whether waiting, at the reader or at the writers, would push the request past its aim.
func (l *Router) refuses(r *request, c readChoice, over bool) (time.Duration, bool) {
	if l.average == 0 || c.at == nil || r.Resumed {
		return 0, false // nothing is refused before a rate is learned, nor the rest of what was served so far
	}
	aim := aimShare * l.aimOf(r)
	wait, least := math.Inf(1), math.Inf(1)
	for _, s := range l.candidates(r, false) {
		wait, least = min(wait, l.startWait(s)), min(least, l.load(s))
	}
	wait += c.wait
	room := max(aim-c.read, aim/2) // its own long read never refuses it
	if over {
		room *= overShareWait
	}
	if wait <= room && !(over && least > overShareLoad) {
		return 0, false
	}
	pause := min(max(wait-room, overdueAim*aim), l.set.MaxRetryAfter.Seconds())
	return time.Duration(pause * float64(time.Second)), true
}

// inPlace finds a server to read and answer a request whole where the readers' queue would refuse it: a
// mixed one, else a writer that reads in place, with room and no longer a queue of them than the aim allows.
func (l *Router) inPlace(r *request) *server {
	var best *server
	aim := aimShare * l.aimOf(r)
	least := aim
	for _, s := range l.candidates(r, false) {
		if s.role == Writer && !l.set.ReadInPlace || l.load(s) > inPlaceLoad {
			continue
		}
		wait := float64(s.unread+r.PromptTokens)*inPlaceSlower*l.average + l.startWait(s)
		better := best == nil || best.role == s.role && wait < least || s.role == Mixed && best.role != Mixed
		if wait < aim && better {
			best, least = s, wait
		}
	}
	return best
}

func (l *Router) sendWhole(r *request, s *server) {
	r.unread = r.PromptTokens
	s.unread += r.unread
	l.send(r, s, writing, float64(s.unread)*inPlaceSlower*l.average+l.startWait(s))
}

// aimOf is the seconds in which the first token is wanted, or in which the client leaves, if that is sooner.
func (l *Router) aimOf(r *request) float64 {
	aim := r.class.Aim.Seconds() + r.class.AimPer1K.Seconds()*float64(r.PromptTokens)/1000
	left := min(aim-(l.now-r.first).Seconds(), r.Remaining.Seconds())
	return max(left, aim*overShareWait) // late answers are worth as little as those over a share
}

// ---- attempts and time-outs ----

// allowed tells whether a send to s keeps the request's effect single.
func (l *Router) allowed(r *request, s *server) bool {
	if r.ranAt == nil || r.class.Repeat == Safe {
		return true
	}
	if r.class.Repeat == Unsafe || l.now-r.ranSince >= r.class.Window {
		return false
	}
	switch r.class.Scope {
	case SameZone:
		return s.Zone == r.ranAt.Zone
	case SameCell:
		return s.Cell == r.ranAt.Cell
	}
	return true
}

// start sends a request to its reader. Where no reader can be had, one that reads in place takes it whole.
func (l *Router) start(r *request, c readChoice) {
	if c.at == nil {
		if s := l.chooseWriter(r); s != nil && (s.role == Mixed || l.set.ReadInPlace) {
			l.sendWhole(r, s)
			return
		}
		l.park(r)
		return
	}
	r.claim, r.ahead = c.match.claim, c.ahead
	r.unread = max(r.PromptTokens-c.match.tokens, 1)
	c.at.unread += r.unread
	if _, prefix := keysOf(r); c.rehome || c.match.presumed {
		l.record(prefix, c.at, r.PrefixTokens, false)
	}
	c.at.sentTok += float64(r.unread)
	l.send(r, c.at, reading, c.wait+c.read)
}

// send makes an attempt. While a further one is possible it gets half of the time that is left.
func (l *Router) send(r *request, s *server, p phase, expected float64) {
	until := r.deadline
	half := (r.deadline - l.now) / 2
	if r.attempts+1 < l.set.MaxAttempts && (r.class.Repeat == Safe || p == reading && (r.class.Repeat == Keyed || l.set.CancelEnds)) &&
		half.Seconds() > l.patience(expected) {
		until = l.now + half
	}
	r.at, r.sentAt, r.phase, r.expected, r.cancelled = s, l.now, p, expected, false
	r.attempts++
	s.waiting = append(s.waiting, r)
	s.turns--
	if p == writing {
		answer := outputGuess * float64(r.MaxOutput)
		if hint := r.OutputHint.Seconds() / r.class.TokenAim.Seconds(); hint > 0 {
			answer = min(hint, float64(r.MaxOutput))
		}
		r.held = float64(r.PromptTokens) + answer
		s.held, l.held = s.held+r.held, l.held+r.held
		s.writes++
		s.sentTok += r.held
	}
	l.out = append(l.out, Action{Kind: Send, RequestID: r.id, Server: s.ID, Until: until})
}

// patience is how long an attempt may take before it is overdue. An attempt cut shorter would time out while
// its server is well, and a fleet of impatient clients would become a storm of attempts.
// Where a server is heard of seldom, the usual time of all reads lately tells more than its own silence.
func (l *Router) patience(expected float64) float64 {
	return max(l.overdue, overdueFactor*max(expected, l.usual))
}

// unbook takes the attempt that is out off its server's counts.
func (l *Router) unbook(r *request) {
	s := r.at
	s.waiting = without(s.waiting, r)
	s.unread -= r.unread
	s.held, l.held = s.held-r.held, l.held-r.held
	if r.held > 0 {
		s.writes--
	}
	r.at, r.unread, r.held = nil, 0, 0
}

func (l *Router) started(ev *Event) {
	r := l.requests[ev.RequestID]
	if r == nil || r.at == nil || r.phase == streaming {
		return
	}
	s, took := r.at, ev.Took.Seconds()
	s.waiting = without(s.waiting, r)
	l.accepted(r, s)
	if s.startAt > 0 {
		took = s.start + 0.3*(took-s.start)
	}
	s.start, s.startAt = took, l.now
	s.unread -= r.unread
	r.phase, r.state, r.sentAt, r.unread = streaming, nil, l.now, 0
}

func (l *Router) attemptEnded(ev *Event) {
	r := l.requests[ev.RequestID]
	if r == nil || r.at == nil {
		return
	}
	s, was := r.at, r.phase
	l.unbook(r)
	if ev.Report != nil {
		s.report, s.reportAt, s.sentTok = *ev.Report, l.now, 0
	}
	l.judge(r, s, was, ev)
	gaveUp := ev.Outcome == TimedOut || ev.Outcome == Cancelled
	if r.ranAt == nil && (was == writing && (gaveUp || ev.Outcome == ServerError || ev.Outcome == ConnectionLost) ||
		gaveUp && !l.set.CancelEnds && r.class.Repeat != Safe) { // its read may go on
		r.ranAt, r.ranSince = s, r.sentAt
	}
	r.phase = parked
	if r.ended || ev.Over {
		l.drop(r, !(was == streaming))
		return
	}
	switch {
	case ev.Outcome == ReadDone:
		r.state, r.avoid = s, r.avoid[:0]
		l.again(r)
	case r.ranAt != nil && r.class.Repeat == Unsafe:
		l.giveUp(r, 0)
	default:
		r.avoid = append(r.avoid, s)
		if ev.NoState || was == reading {
			r.state = nil
		}
		l.again(r)
	}
}

// again goes on with a request that has no attempt out, or keeps it while no server can be had.
func (l *Router) again(r *request) {
	if r.attempts >= l.set.MaxAttempts || l.now >= r.deadline {
		l.giveUp(r, 0)
	} else if r.state == nil {
		l.start(r, l.chooseReader(r))
	} else if s := l.chooseWriter(r); s != nil {
		l.send(r, s, writing, l.startWait(s))
	} else {
		l.park(r)
	}
}

// erring is the share of attempts that lately ended with an error at a server. Some err now and then for long, and
// what may run once only is lost there.
func (l *Router) erring(s *server) float64 {
	return s.erred.add(l.now, 0, keyLife) / (s.tried.add(l.now, 0, keyLife) + errorDoubt)
}

// judge draws from an outcome what it tells of the server.
func (l *Router) judge(r *request, s *server, was phase, ev *Event) {
	switch ev.Outcome {
	case ServerError, ConnectionLost:
		s.erred.add(l.now, 1, keyLife)
		fallthrough
	case ReadDone, Delivered:
		s.tried.add(l.now, 1, keyLife)
	}
	switch ev.Outcome {
	case ReadDone:
		l.accepted(r, s)
		l.learnRead(r, s, ev.Took, ev.Tokens)
	case Delivered:
		s.heard, s.fails, s.errors = l.now, 0, 0
	case Full:
		s.heard = l.now
		if !ev.NoState {
			l.refused(r, s, ev.Took)
		} else if r.ranAt == nil && r.state != nil && r.state.heard < r.sentAt {
			l.failed(r.state) // no attempt can have taken it: its reader is dead or cut off
		}
	case ServerError, ConnectionLost: // one lost connection is no dead server: more would be lost
		s.heard = l.now
		if s.errors++; s.errors >= errorsInRow {
			l.failed(s)
		}
	case ConnectFailed, TimedOut:
		if ev.Outcome == ConnectFailed || s.heard < r.sentAt {
			l.failed(s)
		}
	}
}

// checkOverdue gives up on an attempt that takes far longer than foreseen at a server that has said nothing
// since: silence, whatever its cause. Where the server has answered what was sent to it later, which waits behind it,
// only the attempt's connection is silent. Retries are bounded, so a slowness of all does not become a storm.
func (l *Router) checkOverdue(r *request) {
	age := (l.now - r.sentAt).Seconds()
	s := r.at
	passed := s.passed > r.sentAt
	if r.cancelled || age < l.patience(r.expected) || s.heard >= r.sentAt && !passed {
		return
	}
	if !passed && l.now >= s.backAt {
		l.failed(s)
	}
	if !l.set.CanCancel || l.retries < 1 || r.attempts >= l.set.MaxAttempts ||
		r.class.Repeat != Safe && (r.phase == writing || r.class.Repeat == Unsafe && !l.set.CancelEnds) {
		return
	}
	l.retries--
	l.cancel(r)
}

func (l *Router) cancel(r *request) {
	if r.at != nil && r.phase != streaming && l.set.CanCancel && !r.cancelled {
		r.cancelled = true
		l.out = append(l.out, Action{Kind: Cancel, RequestID: r.id, Attempt: r.attempts - 1})
	}
}

// ---- cold budget ----

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

// ---- release ----

// park keeps a request that no server can take now, and its state no longer than the rule allows.
func (l *Router) park(r *request) {
	r.phase = parked
	if r.parkUntil <= l.now {
		r.parkUntil = l.now + l.set.ReleaseWithin*3/5
	}
}

func (l *Router) unpark(r *request) {
	if l.now >= r.parkUntil {
		l.giveUp(r, fullPause)
		return
	}
	l.again(r)
}

// giveUp ends a request unserved: refused where that is no lie, else failed.
func (l *Router) giveUp(r *request, pause time.Duration) {
	out := r.at != nil // and proves nothing yet, not even at a reader
	l.cancel(r)
	kind := Refuse
	if r.class.Repeat != Safe && (out || r.ranAt != nil || r.Resumed) &&
		!(r.class.Repeat == Keyed && r.class.Scope == AllServers) {
		kind = Fail
	}
	l.finish(r, kind, pause)
}

func (l *Router) finish(r *request, kind ActionKind, pause time.Duration) {
	l.out = append(l.out, Action{Kind: kind, RequestID: r.id, After: min(pause, l.set.MaxRetryAfter)})
	l.end(r)
}

func (l *Router) departed(id string) {
	r := l.requests[id]
	if r == nil || r.ended {
		return
	}
	l.cancel(r)
	l.end(r)
}

// end closes a request. What an attempt still holds is let go when its outcome comes.
func (l *Router) end(r *request) {
	r.ended = true
	if r.at == nil {
		l.drop(r, r.attempts > 0)
	}
}

func (l *Router) drop(r *request, release bool) {
	if release {
		l.out = append(l.out, Action{Kind: Release, RequestID: r.id})
	}
	delete(l.requests, r.id)
	delete(l.bySeq, r.seq)
}
