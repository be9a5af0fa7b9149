package membership

import (
	"cmp"
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits configures a Merger.
type Limits struct {
	// Bulk is the share of a role or zone that one change may take out of service. A larger change
	// is held until a second reading or an operator confirms it.
	Bulk          float64
	Batch         time.Duration            // how long readings are collected before they make a version
	MaxEntries    int                      // most entries that one version changes; a larger change makes several versions
	MaxAge        time.Duration            // readings that were not refreshed for this long are ignored
	AllowRollback bool                     // treats a registry whose version went back like any other; for fault injection in tests only
	IgnoreOrders  bool                     // ignores operators' orders; for fault injection in tests only
	MaxFlaps      int                      // state changes of one entry within FlapWindow before it is damped
	FlapWindow    time.Duration            // how long a state change counts against an entry
	RoleOf        func(kind string) string // gives the role of a kind, for Bulk
}

// Reading is the list of replicas as one dispatcher read it from the registry: the whole list, or
// the entries that differ from an earlier reading of the same dispatcher.
type Reading struct {
	Reader  string  `json:"reader"`
	Boot    uint64  `json:"boot"`
	Index   int64   `json:"index"`           // version of the list in the registry
	Number  uint64  `json:"number"`          // sequence number of this reader's readings
	Since   uint64  `json:"since,omitempty"` // number of the reading that Entries are a delta to; 0: the whole list
	Entries []Entry `json:"entries"`
}

// ErrUnknownBase reports a delta to a reading that the merger does not have. The reader must send
// the whole list.
var ErrUnknownBase = errors.New("the reading that this delta is based on is unknown")

// readerState is the last reading of one reader.
type readerState struct {
	Reading
	seenAt  time.Duration // when the reading was last known to be current
	readAt  time.Duration // when the reading arrived
	entries map[string]Entry
}

// Held is a change that waits for confirmation, with the reason. A dispatcher whose own registry
// reports the change applies the stricter parts of it at once all the same.
type Held struct {
	Entries       []Entry       `json:"entries"`
	Why           string        `json:"why"`
	Since         time.Duration `json:"since"`
	fingerprint   uint64
	confirmations map[string]bool // readers that reported the change; "again " + reader for a later reading of it
	confirmed     bool            // the change was confirmed and is being proposed
}

// Merger turns the readings of several registry readers into versions of the list. It runs at the
// leader; a new leader starts with an empty one. Because a list may be long and the leader has
// other work, the whole list is evaluated only once per batch of readings, and otherwise once per
// second, as readings expire and damping ends with time alone.
type Merger struct {
	limits       Limits
	readers      map[string]*readerState
	flips        map[string][]time.Duration // times of recent state changes by replica, for damping
	merged       map[string]Entry           // result of the last merge of readings
	mergedBy     string                     // names of the readers whose readings made merged
	held         *Held
	pendingSince time.Duration // when the oldest unevaluated reading was noticed; 0: none
	confirmed    uint64        // fingerprint of the held change that an operator confirmed
	seed         maphash.Seed  // of fingerprints

	registryVersion  int64         // registry version of the agreed list at the last evaluation
	dirty            bool          // readings changed since the last evaluation
	evaluatedVersion uint64        // agreed list version of the last evaluation
	evaluatedOrders  int           // number of orders at the last evaluation
	nextEvaluation   time.Duration // when to evaluate without a new reading, as readings expire and damping ends
	queue            []Change      // versions still to be proposed, in order
}

// evaluateInterval is how often Next evaluates the list when no reading arrives.
const evaluateInterval = time.Second

// NewMerger returns a Merger without readings.
func NewMerger(limits Limits) *Merger {
	return &Merger{limits: limits, dirty: true, seed: maphash.MakeSeed(), readers: map[string]*readerState{}, flips: map[string][]time.Duration{}}
}

// AddReading stores a reading. It rejects a whole list that is empty or names an id twice, and
// returns ErrUnknownBase for a delta to a reading that it does not have.
func (m *Merger) AddReading(now time.Duration, r Reading) error {
	h := &readerState{Reading: r, seenAt: now, readAt: now}
	if r.Since != 0 {
		before := m.readers[r.Reader]
		if before == nil || before.Boot != r.Boot || before.Number != r.Since {
			return ErrUnknownBase
		}
		h.entries = before.entries
	}
	if h.entries == nil {
		h.entries = make(map[string]Entry, len(r.Entries))
	}
	if r.Since == 0 && len(r.Entries) == 0 {
		return fmt.Errorf("%s heard an empty list, as of a register that has just started: it counts as none", r.Reader)
	}
	for _, e := range r.Entries {
		if _, twice := h.entries[e.ID]; twice && r.Since == 0 {
			return fmt.Errorf("%s heard %q twice in one list", r.Reader, e.ID)
		}
		if e.State != Terminated {
			h.entries[e.ID] = e
		} else {
			delete(h.entries, e.ID)
		}
	}
	h.Entries = nil
	m.readers[r.Reader], m.dirty = h, true
	return nil
}

// Refresh records that a reader is alive and that its last reading is still current. It returns the
// number of that reading, or 0 if there is none from this boot of the reader.
func (m *Merger) Refresh(now time.Duration, reader string, boot uint64) uint64 {
	h := m.readers[reader]
	if h == nil || h.Boot != boot {
		return 0
	}
	h.seenAt = now
	return h.Number
}

// Settled reports whether the registry is being read and every reading has been evaluated, with no
// version left to propose.
func (m *Merger) Settled() bool {
	return len(m.readers) > 0 && !m.dirty && m.pendingSince == 0 && len(m.queue) == 0
}

// RemoveReader drops the reading of a dispatcher that no longer reads the registry.
func (m *Merger) RemoveReader(reader string) {
	if _, ok := m.readers[reader]; ok {
		delete(m.readers, reader)
		m.dirty = true
	}
}

// Confirm releases the held change on behalf of an operator.
func (m *Merger) Confirm() error {
	if m.Held() == nil {
		return fmt.Errorf("nothing is held")
	}
	m.confirmed, m.nextEvaluation = m.held.fingerprint, 0
	return nil
}

// Held returns the change that waits for confirmation, or nil.
func (m *Merger) Held() *Held {
	if m.held != nil && m.held.confirmed {
		return nil
	}
	return m.held
}

// freshReaders returns the readers whose readings have not expired, the newest registry version
// first.
func (m *Merger) freshReaders(now time.Duration) []*readerState {
	var fresh []*readerState
	for _, h := range m.readers {
		if now-h.seenAt < m.limits.MaxAge {
			fresh = append(fresh, h)
		}
	}
	slices.SortFunc(fresh, func(a, b *readerState) int {
		return cmp.Or(cmp.Compare(b.Index, a.Index), cmp.Compare(a.Reader, b.Reader))
	})
	return fresh
}

// mergeReadings returns the list that the readings make together; readers are sorted as by
// freshReaders. The newest registry version decides. Where several readers report that version,
// only replicas that all of them list are kept, and of the same incarnation of a replica the
// strictest state counts.
func mergeReadings(readers []*readerState) map[string]Entry {
	newest := readers[0]
	all := maps.Clone(newest.entries)
	for _, h := range readers[1:] {
		if h.Index != newest.Index {
			break // an older version: the newest one contains every change since
		}
		for id, have := range all { // within one version a difference means that the registry contradicts itself
			e, ok := h.entries[id]
			switch {
			case !ok:
				delete(all, id)
			case e.StartedMS == have.StartedMS && strictness(e.State) > strictness(have.State):
				have.State = e.State
				all[id] = have
			}
		}
	}
	return all
}

// Next returns the change that should follow the agreed list, or nil. Operators' orders are applied
// to what the registry reports. The same change is returned again until it is agreed on, unless a
// new reading or the time leads to another evaluation before.
func (m *Merger) Next(now time.Duration, agreed *List, orders Orders) *Change {
	if len(m.queue) > 0 && agreed.Number == m.queue[0].Number {
		m.queue = m.queue[1:]
		m.evaluatedVersion = agreed.Number
	}
	if m.dirty && m.pendingSince == 0 {
		m.pendingSince = max(now, 1)
	}
	due := m.dirty && now-m.pendingSince >= m.limits.Batch
	if !due && agreed.Number == m.evaluatedVersion && len(orders) == m.evaluatedOrders && now < m.nextEvaluation {
		if len(m.queue) > 0 {
			return &m.queue[0]
		}
		return nil
	}
	diff, index, by := m.evaluate(now, agreed, orders)
	m.pendingSince, m.dirty, m.evaluatedVersion, m.evaluatedOrders, m.nextEvaluation = 0, false, agreed.Number, len(orders), now+evaluateInterval
	m.queue = nil
	for len(diff) > 0 {
		part := diff[:min(len(diff), m.limits.MaxEntries)]
		diff = diff[len(part):]
		c := Change{Number: agreed.Number + 1 + uint64(len(m.queue)), RegistryVersion: index, Entries: part, By: by}
		if len(diff) > 0 { // only the last part completes the registry's version
			c.RegistryVersion = min(index, agreed.RegistryVersion)
		}
		m.queue = append(m.queue, c)
	}
	if len(m.queue) > 0 {
		return &m.queue[0]
	}
	return nil
}

// evaluate returns the whole difference to the agreed list, the registry version behind it, and the
// readers that reported it.
func (m *Merger) evaluate(now time.Duration, agreed *List, orders Orders) (diff []Entry, index int64, by string) {
	readers := m.freshReaders(now)
	m.registryVersion = agreed.RegistryVersion
	if len(readers) == 0 {
		return m.ordersOnly(agreed, orders), agreed.RegistryVersion, "orders"
	}
	by = readerNames(readers)
	if m.dirty || m.merged == nil || m.mergedBy != by {
		m.mergedBy = by
		next := mergeReadings(readers)
		m.recordFlips(now, next, agreed)
		m.merged = next
	}
	want := maps.Clone(m.merged)
	m.damp(now, want)
	if !m.limits.IgnoreOrders {
		orders.apply(want, agreed.Entries)
	}
	diff = Diff(agreed.Entries, want)
	if len(diff) == 0 {
		m.held = nil
		return nil, 0, ""
	}
	pass, hold, why := m.partition(readers, agreed, diff)
	if len(hold) > 0 && !m.isConfirmed(now, readers, hold, why) {
		diff = pass
	} else if len(hold) == 0 {
		m.held = nil
	}
	index = readers[0].Index
	if m.Held() != nil && index < agreed.RegistryVersion {
		index = agreed.RegistryVersion // the looser part of the older version is still held
	}
	return diff, index, by
}

// ordersOnly returns the entries that operators' orders make stricter; it is used while nobody
// reads the registry.
func (m *Merger) ordersOnly(agreed *List, orders Orders) []Entry {
	want := maps.Clone(agreed.Entries)
	orders.apply(want, agreed.Entries)
	var stricter []Entry
	for _, e := range Diff(agreed.Entries, want) {
		if old := agreed.Entries[e.ID]; !Loosens(&old, &e) {
			stricter = append(stricter, e)
		}
	}
	return stricter
}

// partition splits a change into the entries that may take effect and those that need confirmation,
// with the reason.
func (m *Merger) partition(readers []*readerState, agreed *List, diff []Entry) (pass, hold []Entry, why string) {
	var reasons []string
	if newest := readers[0].Index; newest < agreed.RegistryVersion && !m.limits.AllowRollback {
		// A registry restored from a backup knows less than the agreed list. It may make entries
		// stricter, but an operator must confirm whatever it loosens or removes.
		for _, e := range diff {
			old, ok := agreed.Entries[e.ID]
			if Loosens(entryOrNil(ok, &old), &e) || e.State == Terminated {
				hold = append(hold, e)
			} else {
				pass = append(pass, e)
			}
		}
		return pass, hold, fmt.Sprintf("the register went back from version %d to %d", agreed.RegistryVersion, newest)
	}
	bulk := m.bulkRemovals(agreed, diff)
	for _, e := range diff {
		old, ok := agreed.Entries[e.ID]
		switch {
		case len(bulk) > 0 && e.State == Terminated:
			hold = append(hold, e)
		case len(bulk) > 0 && ok && strictness(e.State) > strictness(old.State):
			hold = append(hold, e)
		case ok && e.State != Terminated && old.Addr != e.Addr && old.StartedMS == e.StartedMS:
			hold = append(hold, e)
			reasons = append(reasons, fmt.Sprintf("%s moved from %s to %s without a start", e.ID, old.Addr, e.Addr))
		case ok && e.State != Terminated && e.StartedMS < old.StartedMS:
			hold = append(hold, e)
			reasons = append(reasons, fmt.Sprintf("%s started at %d and now says %d", e.ID, old.StartedMS, e.StartedMS))
		default:
			pass = append(pass, e)
		}
	}
	return pass, hold, strings.Join(append(bulk, reasons...), "; ")
}

func entryOrNil(ok bool, e *Entry) *Entry {
	if ok {
		return e
	}
	return nil
}

// bulkRemovals returns a reason for each role and zone that would lose more than the share
// Limits.Bulk at once. A single replica never counts as bulk.
func (m *Merger) bulkRemovals(agreed *List, diff []Entry) (why []string) {
	total, gone := map[string]int{}, map[string]int{}
	groups := func(e Entry) []string { return []string{"role " + m.limits.RoleOf(e.Kind), "zone " + e.Zone} }
	for _, e := range agreed.Entries {
		if e.State == InService {
			for _, g := range groups(e) {
				total[g]++
			}
		}
	}
	for _, e := range diff {
		if old, ok := agreed.Entries[e.ID]; ok && old.State == InService && e.State != InService {
			for _, g := range groups(old) {
				gone[g]++
			}
		}
	}
	for _, g := range slices.Sorted(maps.Keys(gone)) {
		if gone[g] > 1 && float64(gone[g]) > m.limits.Bulk*float64(total[g]) {
			why = append(why, fmt.Sprintf("%d of %d replicas of %s would go at once", gone[g], total[g], g))
		}
	}
	return why
}

// isConfirmed reports whether a change that needs confirmation has it: from a second reader, from a
// later second reading, or from an operator. For a registry whose version went back only an
// operator's confirmation counts.
func (m *Merger) isConfirmed(now time.Duration, readers []*readerState, hold []Entry, why string) bool {
	fingerprint := m.fingerprint(hold)
	if m.held == nil || m.held.fingerprint != fingerprint {
		m.held = &Held{Entries: hold, Why: why, Since: now, fingerprint: fingerprint, confirmations: map[string]bool{}}
	}
	for _, h := range readers {
		if containsChange(h, hold) && (h.readAt > m.held.Since || len(m.held.confirmations) == 0 || !m.held.confirmations[h.Reader]) {
			m.held.confirmations[h.Reader] = true
			if h.readAt > m.held.Since {
				m.held.confirmations["again "+h.Reader] = true
			}
		}
	}
	back := readers[0].Index < m.registryVersion && !m.limits.AllowRollback
	m.held.confirmed = m.held.confirmed || len(m.held.confirmations) >= 2 && !back || m.confirmed == fingerprint
	return m.held.confirmed
}

// containsChange reports whether a reader's list agrees with every entry of a change.
func containsChange(h *readerState, change []Entry) bool {
	for _, e := range change {
		have, ok := h.entries[e.ID]
		if ok != (e.State != Terminated) || ok && (have.State != e.State || have.Addr != e.Addr || have.StartedMS != e.StartedMS) {
			return false
		}
	}
	return true
}

// fingerprint returns a hash that identifies a change.
func (m *Merger) fingerprint(change []Entry) uint64 {
	var h maphash.Hash
	h.SetSeed(m.seed)
	for _, e := range change {
		maphash.WriteComparable(&h, e)
	}
	return h.Sum64()
}

func readerNames(readers []*readerState) string {
	var all []string
	for _, h := range readers {
		all = append(all, h.Reader)
	}
	return strings.Join(all, ",")
}
