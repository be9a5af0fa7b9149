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
	keyLife   = 30 * time.Second      // a table entry unheard of for this long is forgotten
	tickEvery = 40 * time.Millisecond // how often waiting attempts are looked at
)

const (
	tagTick uint64 = iota
	tagWatch
	tagRequests // and up: a request's deadline
)

// Router decides for one router process. It is not safe for concurrent use.
type Router struct {
	set           Settings
	seed          uint64
	classes       map[string]*classState
	tenants       map[string]*tenantState
	servers       map[string]*server
	order         []*server // in order of first listing
	readers       side
	writers       side // and servers that do both
	unindexed     bool // lists were told that readers and writers do not show
	indexedAt     time.Duration
	table         map[tableKey][]holding
	requests      map[string]*request
	bySeq         map[uint64]*request
	open          []*request // in order of arrival
	seq           uint64
	now           time.Duration
	out           []Action
	ticking       bool
	watching      bool
	swept         time.Duration
	average       float64
	retryBudget   float64
	popular       map[uint64]decayed // arrivals by shared beginning, or by session
	arrivals      decayed
	came          decayed                  // the same with the memory of rates
	firstSeen     map[tryKey]time.Duration // when a request was first seen
	borne         map[string]float64       // requests a second that a warm server of a kind, of weight 1, bore for this router when one was last there
	overdue       float64                  // seconds
	held          float64                  // tokens of all our writes, and the memory of all listed writers
	memory        float64
	usualRead     float64 // seconds that reads lately took
	readDeviation float64 // of that, on average
	usualStart    float64 // seconds from a send to a writer to the first token lately
	extra         float64 // seconds that they waited beyond what was known here, last at extraAt
	extraAt       time.Duration
}

// New makes a Router, or says which setting is wrong.
func New(set Settings, seed uint64) (*Router, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	l := emptyRouter(seed)
	l.tune(set)
	l.usualRead = l.overdue / overdueAim / overdueFactor // until reads tell, none is overdue before the shortest aim
	return l, nil
}

func emptyRouter(seed uint64) *Router {
	return &Router{
		seed: seed, seq: tagRequests, retryBudget: 1,
		servers: map[string]*server{},
		table:   map[tableKey][]holding{}, requests: map[string]*request{}, bySeq: map[uint64]*request{},
		firstSeen: map[tryKey]time.Duration{}, popular: map[uint64]decayed{}, borne: map[string]float64{},
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
	case Probed:
		l.probeAnswered(ev)
	case StateReleased:
		if r := l.requests[ev.RequestID]; r != nil {
			r.state = nil
		}
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
		if r := l.bySeq[tag&^probeTag]; r != nil && tag&probeTag != 0 {
			l.probeTimer(r)
		} else if r != nil && !r.ended && r.phase != streaming {
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
		case r.phase == probing: // its timer looks after it
		case r.phase == parked:
			l.unpark(r)
		default:
			l.checkOverdue(r)
		}
	}
	if l.now-l.swept > keyLife/4 {
		l.swept = l.now
		maps.DeleteFunc(l.popular, func(_ uint64, d decayed) bool { return l.now-d.at > keyLife })
		maps.DeleteFunc(l.firstSeen, func(_ tryKey, at time.Duration) bool { return l.now-at > keyLife })
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
