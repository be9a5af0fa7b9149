package program

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"standpulley/internal/cluster"
	"standpulley/internal/config"
	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/membership"
	"standpulley/logic"
)

// listMerger computes the replica list for the core where dispatchers agree on lists: the agreed
// list, made stricter at once by this dispatcher's own discovery service while that is watched.
type listMerger struct {
	adapter     *agreementAdapter
	cfg         config.Lists
	watchOrders chan bool // tells the main goroutine to start or stop the discovery watch

	mu              sync.Mutex
	agreed          membership.List
	own             map[string]membership.Entry // entries from own discovery; nil if it is not watched or has sent nothing
	ownVersion      int64                       // version of the own list
	liveDispatchers int
	hasShare        bool
	inCore          map[string]membership.Entry // entries that the core has
	isReader        bool                        // this dispatcher reads discovery on behalf of all
	pushed          bool                        // discovery pushes lists to an agent beside each dispatcher
	startPending    bool                        // a delayed start of reading is scheduled
	differsSince    map[string]time.Time        // since when an own entry has differed from the agreed one
	failingSince    time.Time                   // since when discovery has not answered; zero if it answers
	// agree.within: no dispatcher acts on a replaced version for longer than this.
	within time.Duration
	ramp   time.Duration // slow-start time: a replica is cold for this long after its start
	// Replicas count as started no earlier than this, because a list from before a power loss may
	// hold outdated start times. Zero: listed start times are trusted.
	suspectSince time.Time
}

// discoveryTimeout is how long calls to discovery must fail before another dispatcher takes over
// reading.
const discoveryTimeout = 2 * time.Second

func newListMerger(a *agreementAdapter, cfg config.Config) *listMerger {
	l := &listMerger{adapter: a, cfg: *cfg.Agree.Lists, watchOrders: make(chan bool, 1), ramp: cfg.Settings.RampTime, within: cfg.Agree.Timing().Within, isReader: true, pushed: !cfg.Settings.ListOnRequest}
	if cfg.Recovery != nil && !RecoveryHooks.TrustInitialList {
		l.suspectSince = time.Now()
	}
	return l
}

// clearSuspect trusts listed start times again, because discovery was read since the start or other
// dispatchers have served all the while.
func (l *listMerger) clearSuspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.suspectSince.IsZero() {
		l.suspectSince = time.Time{}
		l.pushToCore()
	}
}

// updateOwn takes an update from own discovery. The core gets stricter states at once; the leader
// of the cluster gets all entries.
func (l *listMerger) updateOwn(u dispatch.Update) {
	l.mu.Lock()
	l.sendDrainsFirst(u)
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
	l.ownVersion = u.Version
	l.failingSince = time.Time{}
	l.pushToCore()
	all := maps.Clone(l.own)
	l.mu.Unlock()
	l.adapter.node.ReportRegistry(u.Version, all)
}

// sendDrainsFirst tells the core of drains before the rest of an update, because processing a long
// list takes time. The caller holds mu.
func (l *listMerger) sendDrainsFirst(u dispatch.Update) {
	var drains []membership.Entry
	for _, s := range u.Servers {
		own, ok := l.own[s.ID]
		sent, inCore := l.inCore[s.ID]
		if ok && inCore && own.State == membership.InService && s.Availability == logic.Draining && sent.State == membership.InService && ListHooks.OverrideMerge == nil {
			sent.State = membership.Terminating
			l.inCore[s.ID] = sent
			drains = append(drains, sent)
		}
	}
	if core := l.adapter.p.live.Load(); core != nil && len(drains) > 0 {
		core.core.UpdateServers(updateOf(drains))
	}
}

// recordAnswer records whether a call to discovery was answered.
func (l *listMerger) recordAnswer(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answered:
		l.failingSince = time.Time{}
	case l.failingSince.IsZero():
		l.failingSince = time.Now()
	}
}

// discoveryFailing reports whether discovery is watched here and has not answered for
// discoveryTimeout.
func (l *listMerger) discoveryFailing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watches() && !l.failingSince.IsZero() && time.Since(l.failingSince) > discoveryTimeout
}

// pushToCore sends the core the entries that differ from what it has. The caller holds mu.
func (l *listMerger) pushToCore() {
	core := l.adapter.p.live.Load()
	if core == nil {
		return
	}
	if !l.watches() && (l.agreed.RegistryVersion >= l.ownVersion || ListHooks.ForgetOnStop) {
		l.own = nil // the agreed list now covers this own list; until it does, its stricter states stay in effect
	}
	join := membership.Effective
	if ListHooks.OverrideMerge != nil {
		join = ListHooks.OverrideMerge
	}
	next := join(l.agreed, membership.OwnList{Version: l.ownVersion, Entries: l.own}, l.cfg.NamedBy == config.ByAgreed)
	if !l.hasShare { // this dispatcher has no share of the cold-replica budget yet
		for id, e := range next {
			if e.StartedMS > 0 && time.Since(time.UnixMilli(e.StartedMS)) < l.ramp {
				e.State = membership.Terminating
				next[id] = e
			}
		}
	}
	if since := l.suspectSince.UnixMilli(); !l.suspectSince.IsZero() {
		for id, e := range next {
			e.StartedMS = max(e.StartedMS, since)
			next[id] = e
		}
	}
	l.updateDifferences()
	diff := membership.Diff(l.inCore, next)
	l.inCore = next
	if len(diff) > 0 {
		core.core.UpdateServers(updateOf(diff))
	}
}

// updateDifferences records since when own discovery and the agreed list have differed on each
// replica. The caller holds mu.
func (l *listMerger) updateDifferences() {
	now := map[string]time.Time{}
	for _, entries := range []map[string]membership.Entry{l.agreed.Entries, l.own} {
		for id := range entries {
			if l.own == nil || membership.DescribeDifference(entryAt(l.agreed.Entries, id), entryAt(l.own, id)) == "" {
				continue
			}
			now[id] = time.Now()
			if since, ok := l.differsSince[id]; ok {
				now[id] = since
			}
		}
	}
	l.differsSince = now
}

func entryAt(list map[string]membership.Entry, id string) *membership.Entry {
	if e, ok := list[id]; ok {
		return &e
	}
	return nil
}

// differences returns where own discovery differs from the agreed list, for operators.
func (l *listMerger) differences() map[string]cluster.RegistryDifference {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]cluster.RegistryDifference{}
	for id, since := range l.differsSince {
		all[id] = cluster.RegistryDifference{Registry: membership.DescribeDifference(entryAt(l.agreed.Entries, id), entryAt(l.own, id)), ForMS: time.Since(since).Milliseconds()}
	}
	return all
}

// applyAgreed applies an agreed list and reports whether the number of live dispatchers changed. It
// returns once the core uses nothing older.
func (l *listMerger) applyAgreed(list membership.List, live int, hasShare bool) (changed bool) {
	if ListHooks.ApplyDelay > 0 && list.Number > 1 {
		time.AfterFunc(ListHooks.ApplyDelay, func() { l.applyAgreedNow(list, live, hasShare) })
		return false
	}
	return l.applyAgreedNow(list, live, hasShare)
}

func (l *listMerger) applyAgreedNow(list membership.List, live int, hasShare bool) (changed bool) {
	if ListHooks.MutateEntry != nil {
		list = list.Clone()
		for id, e := range list.Entries {
			ListHooks.MutateEntry(&e)
			list.Entries[id] = e
		}
	}
	l.mu.Lock()
	changed = live != l.liveDispatchers
	if !ListHooks.IgnoreAgreed || l.agreed.Number == 0 {
		l.agreed = list
	}
	l.liveDispatchers, l.hasShare = live, hasShare
	l.pushToCore()
	l.mu.Unlock()
	if s := l.adapter.p.live.Load(); s != nil {
		s.core.List() // the core replies after it has processed all earlier updates
	}
	return changed
}

// isWatching reports whether the discovery watch runs here.
func (l *listMerger) isWatching() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watches()
}

// watches is isWatching for callers that hold mu. What a pushed list says counts as told to the
// dispatcher as soon as its agent has the list, so each dispatcher watches its own agent there, at no
// cost to discovery. Where discovery has to be asked, only the readers do.
func (l *listMerger) watches() bool {
	return l.isReader || l.pushed || l.cfg.NamedBy == config.ByOwn
}

// resendAll sends the full list to a core that has none yet.
func (l *listMerger) resendAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inCore = nil
	l.pushToCore()
}

// liveCount returns the number of live dispatchers.
func (l *listMerger) liveCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.liveDispatchers
}

// setReader makes this dispatcher one of those that read discovery on behalf of all, or no longer one.
func (l *listMerger) setReader(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.startPending {
		l.updateWatch(func() { l.isReader = on })
	}
}

// setPushed says whether the settings in force have discovery push its lists.
func (l *listMerger) setPushed(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateWatch(func() { l.pushed = on })
}

// becomeReaderAlone makes this dispatcher a reader after a random delay: no other dispatcher reads
// discovery for this one, and all others may be starting at the same time.
func (l *listMerger) becomeReaderAlone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isReader || l.startPending {
		return
	}
	l.startPending = true
	time.AfterFunc(rand.N(4*l.within), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.startPending = false
		l.updateWatch(func() { l.isReader = true })
	})
}

// updateWatch makes a change on which it depends whether discovery is watched, and starts or stops
// the watch accordingly. The caller holds mu.
func (l *listMerger) updateWatch(change func()) {
	before := l.watches()
	change()
	now := l.watches()
	if now == before {
		return
	}
	l.sendWatchOrder(now)
	if !now {
		l.failingSince = time.Time{}
		l.pushToCore()
	}
}

// sendWatchOrder tells the main goroutine to start or stop the watch; a newer order replaces one that
// is pending.
func (l *listMerger) sendWatchOrder(watch bool) {
	select {
	case <-l.watchOrders:
	default:
	}
	l.watchOrders <- watch
}

var stateNames = map[logic.Availability]string{logic.Ready: membership.InService, logic.Draining: membership.Terminating, logic.Gone: membership.Terminated}

func entryOf(s dispatch.Server) membership.Entry {
	e := membership.Entry{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: stateNames[s.Availability], Weight: s.Weight}
	if !s.LastBoot.IsZero() {
		e.StartedMS = s.LastBoot.UnixMilli()
	}
	return e
}

// updateOf converts entries into an update for the core, as discovery does.
func updateOf(entries []membership.Entry) dispatch.Update {
	return discovery.List{Servers: entries}.Update()
}
