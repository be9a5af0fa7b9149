package clusterstate

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"standpulley/internal/membership"
)

// RegistryReaders picks the dispatchers that read the registry on behalf of all. A reader stays
// picked while it holds a lease and gets answers from the registry. It is replaced by the next
// dispatcher in the order of hashed names, so that the first names do not always carry the load.
type RegistryReaders struct {
	current map[string]bool
}

// Pick returns the readers at the given time, at most limit of them.
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

// NextCensus returns the next census if the dispatchers that may hold a lease are not those of the
// present census, else nil. A dispatcher whose lease can still run is counted. While a new leader
// does not yet know all leases, no dispatcher is removed from the census.
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
