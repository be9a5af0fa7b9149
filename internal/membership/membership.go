// Package membership holds the rules by which dispatchers agree on the list of replicas. Some
// dispatchers read the list from the registry (the discovery service); the leader merges their
// readings into numbered versions, and each dispatcher combines the agreed version with the list of
// its own registry. A stricter state, which allows less to be sent to a replica, takes effect at
// once; a looser one takes effect only by agreement. The package does no I/O, reads no clock and
// starts no goroutines.
//
//	membership.go  entries, versions, changes, and which state is stricter
//	merge.go       merges readings into the next version, or holds a change for confirmation
//	flaps.go       damps replicas that change state too often
//	orders.go      operators' overrides
//	effective.go   combines the agreed version with a dispatcher's own list
//	sync.go        changes and pages that bring a dispatcher's copy up to date
//	census.go      which dispatchers are alive, and the share of each
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// The states of a replica, as the registry names them.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Entry describes one replica. StartedMS is the time of its last start and tells its incarnations
// apart.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int64   `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// strictness orders states: a greater value allows less to be sent. Unknown states count as
// Terminated.
func strictness(state string) int {
	switch state {
	case InService:
		return 0
	case Terminating:
		return 1
	}
	return 2
}

// Loosens reports whether b allows more to be sent to a replica than a does; such a change takes
// effect only by agreement. A nil entry allows nothing. An entry with another start time, address
// or kind counts as another replica, so it loosens.
func Loosens(a, b *Entry) bool {
	switch {
	case b == nil || b.State == Terminated:
		return false
	case a == nil || a.State == Terminated:
		return true
	}
	return strictness(b.State) < strictness(a.State) || b.Weight > a.Weight || b.StartedMS != a.StartedMS || b.Addr != a.Addr || b.Kind != a.Kind
}

// List is one version of the agreed list of replicas.
type List struct {
	Number          uint64           `json:"number"`
	RegistryVersion int64            `json:"register"` // version of the registry's list that it is based on
	Entries         map[string]Entry `json:"entries"`
}

// Change turns one version of the list into the next. A removed replica is listed with the state
// Terminated.
type Change struct {
	Number          uint64  `json:"number"` // of the resulting version
	RegistryVersion int64   `json:"register"`
	Entries         []Entry `json:"entries"`
	By              string  `json:"by"`            // the readers that reported it, or the operator
	Why             string  `json:"why,omitempty"` // an operator's reason
}

// Apply turns the list into the next version. It rejects a change whose number does not follow, as
// one was missed.
func (l *List) Apply(c Change) error {
	if c.Number != l.Number+1 {
		return fmt.Errorf("change %d does not follow version %d", c.Number, l.Number)
	}
	if l.Entries == nil {
		l.Entries = map[string]Entry{}
	}
	for _, e := range c.Entries {
		if e.State == Terminated {
			delete(l.Entries, e.ID)
		} else {
			l.Entries[e.ID] = e
		}
	}
	l.Number, l.RegistryVersion = c.Number, c.RegistryVersion
	return nil
}

// Clone returns a copy that shares no entries with l.
func (l *List) Clone() List { return List{l.Number, l.RegistryVersion, maps.Clone(l.Entries)} }

// Diff returns the entries that turn from into to, with removed replicas as Terminated. The
// strictest entries come first, and entries of equal strictness are sorted by id.
func Diff(from, to map[string]Entry) []Entry {
	var changed []Entry
	for id, e := range to {
		if from[id] != e {
			changed = append(changed, e)
		}
	}
	for id, e := range from {
		if _, ok := to[id]; !ok {
			e.State = Terminated
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(strictness(b.State), strictness(a.State)), cmp.Compare(a.ID, b.ID))
	})
	return changed
}
