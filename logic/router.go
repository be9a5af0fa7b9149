// Package logic decides where a request router sends each prompt: which reader prefills it, which
// writer decodes the answer, when to retry and when to refuse. It does no I/O, runs no goroutines
// and reads no clock: the host feeds it events with the current time and carries out the actions
// that it returns.
//
// A Router is driven through Handle. Each file covers one concern, and tuned constants stand beside
// the code that uses them. Each constant is a ratio or a duration that suits any fleet; everything
// else is derived from the settings or learned.
package logic

import (
	"slices"
	"time"
)

const (
	maxKeys      = 1 << 13               // sessions and prefixes that are remembered
	entryTTL     = 30 * time.Second      // prefix table entries, popularity counts and first attempts expire after this
	tickInterval = 40 * time.Millisecond // how often outstanding attempts and parked requests are checked
)

const (
	tagTick uint64 = iota
	tagWatch
	tagRequests // and above: the deadline timer of the request with this number
)

// Router decides for one router process. It is not safe for concurrent use.
type Router struct {
	set           Settings
	seed          uint64
	classes       map[string]*classState
	tenants       map[string]*tenantState
	servers       map[string]*server
	order         []*server // in order of first listing
	readers       pool
	writers       pool // writers, and servers that do both
	indexStale    bool // a list has arrived that the reader and writer pools do not reflect yet
	indexedAt     time.Duration
	prefixTable   recentTable[tableKey, []cacheEntry]
	requests      map[string]*request
	bySeq         map[uint64]*request
	open          []*request // in order of arrival
	seq           uint64
	now           time.Duration
	out           []Action
	tickScheduled bool
	watchSent     bool
	lastSweep     time.Duration
	// meanPerToken is the learned read time per prompt token in seconds, over all readers.
	meanPerToken   float64
	retryBudget    float64
	keyArrivals    recentTable[uint64, decayingSum] // arrivals by prefix, or by session where a request has no prefix
	arrivals       decayingSum
	recentArrivals decayingSum                          // arrivals, with the decay time of read rates
	firstSeen      recentTable[retryKey, time.Duration] // when a request was first seen
	// warmRates is the requests per second that a warm server of a kind, with weight 1, served for
	// this router when one was last listed.
	warmRates  map[string]float64
	minOverdue float64 // no attempt is overdue before this, in seconds
	heldTokens float64 // tokens held by all writes of this router
	// writerMemory is the memory of all listed servers that write, in tokens.
	writerMemory   float64
	meanReadTime   float64 // seconds that recent reads took
	readDeviation  float64 // mean absolute deviation of recent read times
	meanFirstToken float64 // seconds from a send to a writer to the first token, recently
	// meanExtraWait is the seconds that recent reads waited beyond the queue known to this router,
	// as of extraWaitAt.
	meanExtraWait float64
	extraWaitAt   time.Duration
}

// New returns a Router, or an error that names the invalid setting.
func New(set Settings, seed uint64) (*Router, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	l := emptyRouter(seed)
	l.applySettings(set)
	// Until the first reads have ended, no attempt is overdue before the shortest first-token
	// target.
	l.meanReadTime = l.minOverdue / overdueAimShare / overdueFactor
	return l, nil
}

func emptyRouter(seed uint64) *Router {
	return &Router{
		seed: seed, seq: tagRequests, retryBudget: 1,
		servers:     map[string]*server{},
		prefixTable: newRecentTable[tableKey, []cacheEntry](maxKeys), requests: map[string]*request{}, bySeq: map[uint64]*request{},
		firstSeen: newRecentTable[retryKey, time.Duration](maxKeys), keyArrivals: newRecentTable[uint64, decayingSum](maxKeys),
		warmRates: map[string]float64{},
	}
}

// Handle processes one event at time now and appends the resulting actions to out.
func (l *Router) Handle(now time.Duration, ev *Event, out []Action) []Action {
	l.now, l.out = now, out
	if l.set.ListOnRequest && !l.watchSent {
		l.watchSent = true
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
	if !l.tickScheduled && len(l.requests) > 0 {
		l.tickScheduled = true
		l.out = append(l.out, Action{Kind: Wake, After: tickInterval, Tag: tagTick})
	}
	out, l.out = l.out, nil
	return out
}

func (l *Router) timer(tag uint64) {
	switch tag {
	case tagTick:
		l.tickScheduled = false
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

// tick checks for overdue attempts and for parked requests that can proceed, and expires old
// entries.
func (l *Router) tick() {
	closed := func(r *request) bool { return l.requests[r.id] != r || r.phase == streaming }
	l.open = slices.DeleteFunc(l.open, closed)
	for i := 0; i < len(l.open); i++ {
		switch r := l.open[i]; {
		case r.ended:
		case r.phase == probing: // handled by its own timer
		case r.phase == parked:
			l.unpark(r)
		default:
			l.checkOverdue(r)
		}
	}
	if l.now-l.lastSweep > entryTTL/4 {
		l.lastSweep = l.now
		l.keyArrivals.deleteFunc(func(_ uint64, d decayingSum) bool { return l.now-d.at > entryTTL })
		l.firstSeen.deleteFunc(func(_ retryKey, at time.Duration) bool { return l.now-at > entryTTL })
		l.order = slices.DeleteFunc(l.order, func(s *server) bool {
			expired := !s.listed && len(s.pending) == 0 && s.openWrites == 0 && l.now-s.unlistedAt > entryTTL
			if expired { // replaced by servers with other ids
				delete(l.servers, s.ID)
			}
			return expired
		})
		l.prefixTable.deleteFunc(func(_ tableKey, entries []cacheEntry) bool { return !slices.ContainsFunc(entries, l.live) })
	}
}
