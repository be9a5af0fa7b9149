package logic

// recentTable is a map that keeps a bounded number of entries, the ones that were set last. Clients
// choose the keys of sessions, prefixes and tenants, and may send ever new ones. It holds at least
// the limit latest entries, and less than twice as many.
type recentTable[K comparable, V any] struct {
	limit            int
	current, earlier map[K]V // an entry is in one of them
}

func newRecentTable[K comparable, V any](limit int) recentTable[K, V] {
	return recentTable[K, V]{limit: limit, current: map[K]V{}, earlier: map[K]V{}}
}

func (t *recentTable[K, V]) get(k K) (v V, ok bool) {
	if v, ok = t.current[k]; !ok {
		v, ok = t.earlier[k]
	}
	return v, ok
}

// set sets an entry. If there are too many, it drops those that were not set for the longest time.
func (t *recentTable[K, V]) set(k K, v V) {
	delete(t.earlier, k)
	t.current[k] = v
	if len(t.current) >= t.limit {
		t.current, t.earlier = map[K]V{}, t.current
	}
}

func (t *recentTable[K, V]) delete(k K) {
	delete(t.current, k)
	delete(t.earlier, k)
}

// deleteFunc deletes the entries for which drop returns true.
func (t *recentTable[K, V]) deleteFunc(drop func(K, V) bool) {
	for _, entries := range []map[K]V{t.current, t.earlier} {
		for k, v := range entries { // only deletes entries, so the iteration order does not matter
			if drop(k, v) {
				delete(entries, k)
			}
		}
	}
}

func (t *recentTable[K, V]) len() int { return len(t.current) + len(t.earlier) }
