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

// Limits are those of the merger.
type Limits struct {
	Bulk          float64                  // a share of a role or zone that may go at once; more waits for a second reading or an operator
	Batch         time.Duration            // changes are gathered for so long
	MaxEntries    int                      // entries that one version changes; more make several versions
	MaxAge        time.Duration            // a reading that is older tells nothing
	AllowRollback bool                     // a register that went back counts like any other; for trials
	IgnoreOrders  bool                     // operators' orders are not kept; for trials
	MaxFlaps      int                      // looser turns of one entry within Calm before it is damped ...
	FlapWindow    time.Duration            // ... until it has been still for so long
	RoleOf        func(kind string) string // the role of a kind, for Bulk
}

// Reading is the list as one reader heard it from the register: all of it, or what differs from its reading before.
type Reading struct {
	Reader  string  `json:"reader"`
	Boot    uint64  `json:"boot"`
	Index   int64   `json:"index"`           // the register's own version
	Number  uint64  `json:"number"`          // of this reader's readings
	Since   uint64  `json:"since,omitempty"` // the reading that Entries differ from; 0: they are the whole list
	Entries []Entry `json:"entries"`
}

// ErrUnknownBase asks a reader for the whole list: the reading that it goes on from is not known here.
var ErrUnknownBase = errors.New("the reading before is not known here")

// heard is a reader's last reading.
type readerState struct {
	Reading
	seenAt  time.Duration // when it was known to hold last
	readAt  time.Duration // when it was read
	entries map[string]Entry
}

// Held is a change that waits, with its reason. What it makes stricter counts all the same at each dispatcher that heard it.
type Held struct {
	Entries       []Entry       `json:"entries"`
	Why           string        `json:"why"`
	Since         time.Duration `json:"since"`
	fingerprint   uint64
	confirmations map[string]bool // that have said the same
	confirmed     bool            // it was confirmed, and is on its way
}

// Merger makes versions out of readings. It belongs to the leader; a new leader begins a new one. A list may be long and the
// leader has more to do, so the whole of it is looked at once for each reading, and each second while time alone may change
// something.
type Merger struct {
	limits       Limits
	readers      map[string]*readerState
	flips        map[string][]time.Duration // of entries of late, for damping
	merged       map[string]Entry           // what the readings made together last ...
	mergedBy     string                     // ... and whose they were
	held         *Held
	pendingSince time.Duration // since when there is something to look at; 0: nothing
	confirmed    uint64        // print of the held change that an operator confirmed
	seed         maphash.Seed  // of prints

	registryVersion  int64         // the version that the agreed list goes by
	dirty            bool          // something was heard since the last look
	evaluatedVersion uint64        // the version of the list that is looked for next
	evaluatedOrders  int           // their number at the last look
	nextEvaluation   time.Duration // when to look all the same, as readings grow old and replicas calm
	queue            []Change      // versions that are to follow
}

// evaluateInterval is how often Next looks though nothing was heard.
const evaluateInterval = time.Second

// NewMerger makes one.
func NewMerger(limits Limits) *Merger {
	return &Merger{limits: limits, dirty: true, seed: maphash.MakeSeed(), readers: map[string]*readerState{}, flips: map[string][]time.Duration{}}
}

// AddReading takes a reading. A list without any replica, or with an id twice, is none. ErrSince asks for the whole list.
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

// Refresh notes that a reader is heard and has heard nothing else since. It gives the number of its last reading, 0 if there is
// none.
func (m *Merger) Refresh(now time.Duration, reader string, boot uint64) uint64 {
	h := m.readers[reader]
	if h == nil || h.Boot != boot {
		return 0
	}
	h.seenAt = now
	return h.Number
}

// Settled tells whether somebody reads the register and all that was heard is in the agreed list.
func (m *Merger) Settled() bool {
	return len(m.readers) > 0 && !m.dirty && m.pendingSince == 0 && len(m.queue) == 0
}

// RemoveReader drops a reader that reads no more.
func (m *Merger) RemoveReader(reader string) {
	if _, ok := m.readers[reader]; ok {
		delete(m.readers, reader)
		m.dirty = true
	}
}

// Confirm lets what is held pass, by an operator's word.
func (m *Merger) Confirm() error {
	if m.Held() == nil {
		return fmt.Errorf("nothing is held")
	}
	m.confirmed, m.nextEvaluation = m.held.fingerprint, 0
	return nil
}

// Held gives what waits, nil if nothing does.
func (m *Merger) Held() *Held {
	if m.held != nil && m.held.confirmed {
		return nil
	}
	return m.held
}

// fresh gives the readers that count, the newest by the register's version first.
func (m *Merger) freshReaders(now time.Duration) []*readerState {
	var some []*readerState
	for _, h := range m.readers {
		if now-h.seenAt < m.limits.MaxAge {
			some = append(some, h)
		}
	}
	slices.SortFunc(some, func(a, b *readerState) int {
		return cmp.Or(cmp.Compare(b.Index, a.Index), cmp.Compare(a.Reader, b.Reader))
	})
	return some
}

// wanted is the list that the readings make. Of one life of a replica the strictest state counts that a reader still holds,
// unless a reader with a newer version of the register says otherwise; a later start counts over an earlier one.
func mergeReadings(readers []*readerState) map[string]Entry {
	newest := readers[0]
	all := maps.Clone(newest.entries)
	for _, h := range readers[1:] {
		if h.Index != newest.Index {
			break // older: what it lacks or has more is what the newest has learned since
		}
		for id, have := range all { // the same version, so the register itself contradicts itself: the stricter counts
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

// Next gives the change that is due from an agreed version on, nil where none is. Orders are applied to what the register
// says. What was given is given again until it is agreed on, unless something was heard meanwhile.
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
		if len(diff) > 0 { // not all of it is there before the last
			c.RegistryVersion = min(index, agreed.RegistryVersion)
		}
		m.queue = append(m.queue, c)
	}
	if len(m.queue) > 0 {
		return &m.queue[0]
	}
	return nil
}

// look gives what is to change, in whole, with the register's version that it goes by and who read it.
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
		index = agreed.RegistryVersion // what is looser there still waits
	}
	return diff, index, by
}

// ordersOnly lets operators' orders count where nobody reads the register.
func (m *Merger) ordersOnly(agreed *List, orders Orders) []Entry {
	want := maps.Clone(agreed.Entries)
	orders.apply(want, agreed.Entries)
	var stricter []Entry
	for _, e := range Diff(agreed.Entries, want) {
		if had := agreed.Entries[e.ID]; !Loosens(&had, &e) {
			stricter = append(stricter, e)
		}
	}
	return stricter
}

// sift parts a change into what may pass and what must be confirmed, with the reason.
func (m *Merger) partition(readers []*readerState, agreed *List, diff []Entry) (pass, hold []Entry, why string) {
	var reasons []string
	if newest := readers[0].Index; newest < agreed.RegistryVersion && !m.limits.AllowRollback {
		// A register that was restored knows less than what was agreed on: it makes stricter, and no looser but by an operator.
		for _, e := range diff {
			had, ok := agreed.Entries[e.ID]
			if Loosens(entryOrNil(ok, &had), &e) || e.State == Terminated {
				hold = append(hold, e)
			} else {
				pass = append(pass, e)
			}
		}
		return pass, hold, fmt.Sprintf("the register went back from version %d to %d", agreed.RegistryVersion, newest)
	}
	bulk := m.bulkRemovals(agreed, diff)
	for _, e := range diff {
		had, ok := agreed.Entries[e.ID]
		switch {
		case len(bulk) > 0 && e.State == Terminated:
			hold = append(hold, e)
		case len(bulk) > 0 && ok && strictness(e.State) > strictness(had.State):
			hold = append(hold, e)
		case ok && e.State != Terminated && had.Addr != e.Addr && had.StartedMS == e.StartedMS:
			hold = append(hold, e)
			reasons = append(reasons, fmt.Sprintf("%s moved from %s to %s without a start", e.ID, had.Addr, e.Addr))
		case ok && e.State != Terminated && e.StartedMS < had.StartedMS:
			hold = append(hold, e)
			reasons = append(reasons, fmt.Sprintf("%s started at %d and now says %d", e.ID, had.StartedMS, e.StartedMS))
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

// bulk names the roles and zones of which more would go at once than is let.
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
		if had, ok := agreed.Entries[e.ID]; ok && had.State == InService && e.State != InService {
			for _, g := range groups(had) {
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

// passes tells whether what must be confirmed was: by a second reader, by a second reading later on, or by an operator.
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

// says tells whether a reader's list holds a change.
func containsChange(h *readerState, change []Entry) bool {
	for _, e := range change {
		have, ok := h.entries[e.ID]
		if ok != (e.State != Terminated) || ok && (have.State != e.State || have.Addr != e.Addr || have.StartedMS != e.StartedMS) {
			return false
		}
	}
	return true
}

// print tells one change from another.
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
