package agree

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"standpulley/internal/membership"
)

// Readers picks those who read the register for all. Who reads goes on for as long as it is heard and hears the register; its
// place is taken by the next one of an order that is drawn from names, so that the load is not always on the same.
type RegistryReaders struct {
	current map[string]bool
}

// Pick gives the readers at a time, at most so many.
func (r *RegistryReaders) Pick(now time.Duration, t *LeaseTable, limit int) map[string]bool {
	eligible := map[string]bool{}
	for name, m := range t.Members {
		if m.CanReadRegistry && !m.Leaving && !m.RegistrySilent && now < m.LeaseEnd {
			eligible[name] = true
		}
	}
	next := map[string]bool{}
	for name := range r.current {
		if eligible[name] {
			next[name] = true
		}
	}
	order := slices.SortedFunc(maps.Keys(eligible), func(a, b string) int {
		x, y := nameHash(a), nameHash(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	for _, name := range order {
		if len(next) >= limit {
			break
		}
		next[name] = true
	}
	r.current = next
	return next
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

// Living gives the next census where who holds a lease is no longer who is counted; nil where it is. Who may be acting, as its
// lease can still run, is counted; and while a new leader does not know who may be, nobody is counted out.
func (t *LeaseTable) NextCensus(now time.Duration, rec *Record) *membership.Census {
	living := map[string]bool{}
	for name, m := range t.Members {
		if now < m.LeaseEnd {
			living[name] = true
		}
	}
	if now < t.AllLeasesKnown {
		maps.Copy(living, rec.Census.Names)
	}
	if len(living) == 0 || maps.Equal(living, rec.Census.Names) {
		return nil
	}
	return &membership.Census{Number: rec.Census.Number + 1, Names: living}
}
