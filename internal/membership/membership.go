// Package membership decides how dispatchers agree on the list of replicas: what several readers of the register heard is merged
// into versions, and a dispatcher joins the agreed version with what its own register says. Stricter counts at once, looser
// only by agreement. It does no I/O, reads no clock and keeps no goroutines.
//
//	membership.go  entries, versions, changes, and what is stricter
//	merge.go   what readers heard, made into the next version or held
//	orders.go  operators' overrides
//	join.go    a dispatcher's own register beside the agreed version
//	count.go   how many dispatchers live, and the share of each
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// The states of a replica, as the register names them.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Entry is one replica.
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

// strictness orders states: a greater one allows less.
func strictness(state string) int {
	switch state {
	case InService:
		return 0
	case Terminating:
		return 1
	}
	return 2
}

// Loosens tells whether b lets more be sent to a replica than a: that counts only by agreement. No entry (nil) allows
// nothing. Another life of a replica, or another address, is another replica.
func Loosens(a, b *Entry) bool {
	switch {
	case b == nil || b.State == Terminated:
		return false
	case a == nil || a.State == Terminated:
		return true
	}
	return strictness(b.State) < strictness(a.State) || b.Weight > a.Weight || b.StartedMS != a.StartedMS || b.Addr != a.Addr || b.Kind != a.Kind
}

// List is one version.
type List struct {
	Number          uint64           `json:"number"`
	RegistryVersion int64            `json:"register"` // the register's version that it goes by
	Entries         map[string]Entry `json:"entries"`
}

// Change makes one version out of the one before. An entry that is gone stands as terminated.
type Change struct {
	Number          uint64  `json:"number"` // of the version that it makes
	RegistryVersion int64   `json:"register"`
	Entries         []Entry `json:"entries"`
	By              string  `json:"by"`            // the readers that it goes by, or an operator
	Why             string  `json:"why,omitempty"` // for people
}

// Apply makes the next version. A gap in the numbers is an error: somebody has missed one.
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

// Clone is a copy of its own.
func (l *List) Clone() List { return List{l.Number, l.RegistryVersion, maps.Clone(l.Entries)} }

// Diff gives the entries that make to out of from, those that are gone as terminated, those first that
// allow least, then by id.
func Diff(from, to map[string]Entry) []Entry {
	var some []Entry
	for id, e := range to {
		if from[id] != e {
			some = append(some, e)
		}
	}
	for id, e := range from {
		if _, ok := to[id]; !ok {
			e.State = Terminated
			some = append(some, e)
		}
	}
	slices.SortFunc(some, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(strictness(b.State), strictness(a.State)), cmp.Compare(a.ID, b.ID))
	})
	return some
}
