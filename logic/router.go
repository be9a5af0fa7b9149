// Package logic decides where a request router sends each prompt: which reader reads it, which
// writer answers it, when to try again and when to refuse. It does no I/O, keeps no goroutines and
// reads no clock: the host feeds events with the time and carries out the actions it gets back.
//
// A Router is driven through Handle. Each file holds one concern; tuned values stand beside the code
// that uses them. Each is a ratio or a span that holds for any fleet: everything else is derived from
// the settings or learned.
package logic

import (
	"maps"
	"slices"
	"time"
)

const (
	entryTTL     = 30 * time.Second      // a table entry unheard of for this long is forgotten
	tickInterval = 40 * time.Millisecond // how often waiting attempts are looked at
)

const (
	tagTick uint64 = iota
	tagWatch
	tagRequests // and up: a request's deadline
)

// Router decides for one router process. It is not safe for concurrent use.
type Router struct {
	set            Settings
	seed           uint64
	classes        map[string]*classState
	tenants        map[string]*tenantState
	servers        map[string]*server
	order          []*server // in order of first listing
	readers        pool
	writers        pool // and servers that do both
	indexStale     bool // lists were told that readers and writers do not show
	indexedAt      time.Duration
	prefixTable    map[tableKey][]cacheEntry
	requests       map[string]*request
	bySeq          map[uint64]*request
	open           []*request // in order of arrival
	seq            uint64
	now            time.Duration
	out            []Action
	ticking        bool
	watching       bool
	lastSweep      time.Duration
	meanPerToken   float64
	retryBudget    float64
	keyArrivals    map[uint64]decayingSum // arrivals by shared beginning, or by session
	arrivals       decayingSum
	recentArrivals decayingSum                // the same with the memory of rates
	firstSeen      map[retryKey]time.Duration // when a request was first seen
	warmRates      map[string]float64         // requests a second that a warm server of a kind, of weight 1, bore for this router when one was last there
	minOverdue     float64                    // seconds
	heldTokens     float64                    // tokens of all our writes, and the memory of all listed writers
	writerMemory   float64
	meanReadTime   float64 // seconds that reads lately took
	readDeviation  float64 // of that, on average
	meanFirstToken float64 // seconds from a send to a writer to the first token lately
	meanExtraWait  float64 // seconds that they waited beyond what was known here, last at extraAt
	extraWaitAt    time.Duration
}

// New makes a Router, or says which setting is wrong.
func New(set Settings, seed uint64) (*Router, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	l := emptyRouter(seed)
	l.applySettings(set)
	l.meanReadTime = l.minOverdue / overdueAimShare / overdueFactor // until reads tell, none is overdue before the shortest aim
	return l, nil
}

func emptyRouter(seed uint64) *Router {
	return &Router{
		seed: seed, seq: tagRequests, retryBudget: 1,
		servers:     map[string]*server{},
		prefixTable: map[tableKey][]cacheEntry{}, requests: map[string]*request{}, bySeq: map[uint64]*request{},
		firstSeen: map[retryKey]time.Duration{}, keyArrivals: map[uint64]decayingSum{}, warmRates: map[string]float64{},
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
		l.applyList(ev)
	case ListFailed:
		if l.set.ListOnRequest {
			l.out = append(l.out, Action{Kind: Wake, After: minBackoff, Tag: tagWatch})
		}
	case Arrived:
		l.handleArrived(ev)
	case StreamStarted:
		l.handleStreamStarted(ev)
	case Ended:
		l.handleEnded(ev)
	case Departed:
		l.handleDeparted(ev.RequestID)
	case Probed:
		l.handleProbed(ev)
	case StateReleased:
		if r := l.requests[ev.RequestID]; r != nil {
			r.stateReader = nil
		}
	case TimerFired:
		l.timer(ev.Tag)
	}
	if !l.ticking && len(l.requests) > 0 {
		l.ticking = true
		l.out = append(l.out, Action{Kind: Wake, After: tickInterval, Tag: tagTick})
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
		if r := l.bySeq[tag&^probeTag]; r != nil && tag&probeTag != 0 {
			l.probeTimer(r)
		} else if r != nil && !r.ended && r.phase != streaming {
			l.giveUp(r, 0)
		}
	}
}

// tick looks for attempts that are overdue and for parked requests whose time has come.
func (l *Router) tick() {
	closed := func(r *request) bool { return l.requests[r.id] != r || r.phase == streaming }
	l.open = slices.DeleteFunc(l.open, closed)
	for i := 0; i < len(l.open); i++ {
		switch r := l.open[i]; {
		case r.ended:
		case r.phase == probing: // its timer looks after it
		case r.phase == parked:
			l.unpark(r)
		default:
			l.checkOverdue(r)
		}
	}
	if l.now-l.lastSweep > entryTTL/4 {
		l.lastSweep = l.now
		maps.DeleteFunc(l.keyArrivals, func(_ uint64, d decayingSum) bool { return l.now-d.at > entryTTL })
		maps.DeleteFunc(l.firstSeen, func(_ retryKey, at time.Duration) bool { return l.now-at > entryTTL })
		l.order = slices.DeleteFunc(l.order, func(s *server) bool {
			expired := !s.listed && len(s.pending) == 0 && s.openWrites == 0 && l.now-s.unlistedAt > entryTTL
			if expired { // replaced by others, with other ids
				delete(l.servers, s.ID)
			}
			return expired
		})
		for k, hs := range l.prefixTable { // only drops, so the order does not matter
			if l.prefixTable[k] = slices.DeleteFunc(hs, func(h cacheEntry) bool { return !l.live(h) }); len(l.prefixTable[k]) == 0 {
				delete(l.prefixTable, k)
			}
		}
	}
}
