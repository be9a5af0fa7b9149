package program

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"standpulley/internal/agreement"
	"standpulley/internal/config"
	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/membership"
	"standpulley/logic"
)

// lists is what a dispatcher goes by where dispatchers agree on lists of replicas: the agreed one, made stricter at once by
// what its own register says while it reads that.
type lists struct {
	a      *agreed
	set    config.Lists
	orders chan bool // to the program's goroutine: read the register, or stop

	mu      sync.Mutex
	agreed  membership.List
	own     map[string]membership.Entry // nil where the register is not read, or has said nothing
	version int64                       // the register's
	living  int
	counted bool
	told    map[string]membership.Entry // what the core has
	reads   bool
	wants   bool                 // a start is drawn and under way
	differs map[string]time.Time // since when an entry of the own register differs from the agreed one
	failing time.Time            // since when the register does not answer; zero where it does
	within  time.Duration        // the promise's time
	ramp    time.Duration        // a replica is cold for this long after its start
	doubt   time.Time            // no replica counts as started before, as what is listed may be from before a loss of power; zero: none
}

const deafAfter = 2 * time.Second // of calls that fail: another reader takes over

func newLists(a *agreed, cfg config.Config) *lists {
	l := &lists{a: a, set: *cfg.Agree.Lists, orders: make(chan bool, 1), ramp: cfg.Settings.RampTime, within: cfg.Agree.Timing().Within, reads: true}
	if cfg.Recovery != nil && !RecoveryHooks.TrustInitialList {
		l.doubt = time.Now()
	}
	return l
}

// trust ends the doubt: the register was read since, or others have served all the while.
func (l *lists) trust() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.doubt.IsZero() {
		l.doubt = time.Time{}
		l.push()
	}
}

// hear takes what the own register says: the core hears at once of what is stricter, the leader of all of it.
func (l *lists) hear(u dispatch.Update) {
	l.mu.Lock()
	l.hurry(u)
	if u.Full || l.own == nil {
		l.own = map[string]membership.Entry{}
	}
	for _, s := range u.Servers {
		if e := entryOf(s); e.State == membership.Terminated {
			delete(l.own, e.ID)
		} else {
			l.own[e.ID] = e
		}
	}
	l.version = u.Version
	l.failing = time.Time{}
	l.push()
	all := maps.Clone(l.own)
	l.mu.Unlock()
	l.a.node.ReportRegistry(u.Version, all)
}

// hurry tells the core of drains before all else, as a list may be long. It needs mu.
func (l *lists) hurry(u dispatch.Update) {
	var some []membership.Entry
	for _, s := range u.Servers {
		had, ok := l.own[s.ID]
		told, has := l.told[s.ID]
		if ok && has && had.State == membership.InService && s.Availability == logic.Draining && told.State == membership.InService && ListHooks.OverrideMerge == nil {
			told.State = membership.Terminating
			l.told[s.ID] = told
			some = append(some, told)
		}
	}
	if core := l.a.p.live.Load(); core != nil && len(some) > 0 {
		core.core.UpdateServers(updateOf(some))
	}
}

// heard notes whether the register answers.
func (l *lists) heard(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answered:
		l.failing = time.Time{}
	case l.failing.IsZero():
		l.failing = time.Now()
	}
}

// Deaf tells that the register is read and has not answered for a while.
func (l *lists) Deaf() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads && !l.failing.IsZero() && time.Since(l.failing) > deafAfter
}

// push hands the core what differs from what it has. It needs mu.
func (l *lists) push() {
	core := l.a.p.live.Load()
	if core == nil {
		return
	}
	if !l.reads && (l.agreed.RegistryVersion >= l.version || ListHooks.ForgetOnStop) {
		l.own = nil // the agreed list knows all that this register told; until then what it made stricter stays so
	}
	join := membership.Effective
	if ListHooks.OverrideMerge != nil {
		join = ListHooks.OverrideMerge
	}
	next := join(l.agreed, membership.OwnList{Version: l.version, Entries: l.own}, l.set.NamedBy == config.ByAgreed)
	if !l.counted { // its share of cold replicas is none yet
		for id, e := range next {
			if e.StartedMS > 0 && time.Since(time.UnixMilli(e.StartedMS)) < l.ramp {
				e.State = membership.Terminating
				next[id] = e
			}
		}
	}
	if since := l.doubt.UnixMilli(); !l.doubt.IsZero() {
		for id, e := range next {
			e.StartedMS = max(e.StartedMS, since)
			next[id] = e
		}
	}
	l.compare()
	diff := membership.Diff(l.told, next)
	l.told = next
	if len(diff) > 0 {
		core.core.UpdateServers(updateOf(diff))
	}
}

// compare notes since when the own register and the agreed list differ on a replica. It needs mu.
func (l *lists) compare() {
	now := map[string]time.Time{}
	for _, some := range []map[string]membership.Entry{l.agreed.Entries, l.own} {
		for id := range some {
			if l.own == nil || membership.DescribeDifference(at(l.agreed.Entries, id), at(l.own, id)) == "" {
				continue
			}
			now[id] = time.Now()
			if since, ok := l.differs[id]; ok {
				now[id] = since
			}
		}
	}
	l.differs = now
}

func at(list map[string]membership.Entry, id string) *membership.Entry {
	if e, ok := list[id]; ok {
		return &e
	}
	return nil
}

// beside is how the own register stands beside the agreed list, for operators.
func (l *lists) beside() map[string]agreement.RegistryDifference {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]agreement.RegistryDifference{}
	for id, since := range l.differs {
		all[id] = agreement.RegistryDifference{Registry: membership.DescribeDifference(at(l.agreed.Entries, id), at(l.own, id)), ForMS: time.Since(since).Milliseconds()}
	}
	return all
}

// take acts on an agreed list from now on. It returns when the core goes by nothing older.
func (l *lists) take(list membership.List, living int, counted bool) (moved bool) {
	if ListHooks.ApplyDelay > 0 && list.Number > 1 {
		time.AfterFunc(ListHooks.ApplyDelay, func() { l.act(list, living, counted) })
		return false
	}
	return l.act(list, living, counted)
}

func (l *lists) act(list membership.List, living int, counted bool) (moved bool) {
	if ListHooks.MutateEntry != nil {
		list = list.Clone()
		for id, e := range list.Entries {
			ListHooks.MutateEntry(&e)
			list.Entries[id] = e
		}
	}
	l.mu.Lock()
	moved = living != l.living
	if !ListHooks.IgnoreAgreed || l.agreed.Number == 0 {
		l.agreed = list
	}
	l.living, l.counted = living, counted
	l.push()
	l.mu.Unlock()
	if s := l.a.p.live.Load(); s != nil {
		s.core.List() // an answer comes after all that was told before
	}
	return moved
}

// reading tells whether the register is read here.
func (l *lists) reading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// anew hands all of it to a core that has nothing yet.
func (l *lists) anew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = nil
	l.push()
}

// count is the number of dispatchers that live.
func (l *lists) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.living
}

// read starts or stops reading the register for all.
func (l *lists) read(yes bool) {
	if l.set.NamedBy == config.ByOwn {
		return // it is always read
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if yes == l.reads || l.wants {
		return
	}
	if yes {
		l.start()
		return
	}
	l.reads, l.failing = false, time.Time{}
	l.order(false)
	l.push()
}

// alone begins to read after a drawn time: nobody does it for this dispatcher, and all others may be beginning too.
func (l *lists) alone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reads && !l.wants {
		l.wants = true
		time.AfterFunc(rand.N(4*l.within), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.wants = false
			l.start()
		})
	}
}

func (l *lists) start() {
	l.reads = true
	l.order(true)
}

// order tells the program's goroutine; a later order takes the place of one that waits.
func (l *lists) order(read bool) {
	select {
	case <-l.orders:
	default:
	}
	l.orders <- read
}

var states = map[logic.Availability]string{logic.Ready: membership.InService, logic.Draining: membership.Terminating, logic.Gone: membership.Terminated}

func entryOf(s dispatch.Server) membership.Entry {
	e := membership.Entry{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: states[s.Availability], Weight: s.Weight}
	if !s.LastBoot.IsZero() {
		e.StartedMS = s.LastBoot.UnixMilli()
	}
	return e
}

// updateOf puts entries into the core's form, as discovery does.
func updateOf(entries []membership.Entry) dispatch.Update {
	return discovery.List{Servers: entries}.Update()
}
