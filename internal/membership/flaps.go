package membership

import (
	"slices"
	"time"
)

// turn notes which entries turned from one state to another, in what the readings make together.
func (m *Merger) recordFlips(now time.Duration, next map[string]Entry, agreed *List) {
	for id, e := range next {
		had, ok := m.merged[id]
		if m.merged == nil {
			had, ok = agreed.Entries[id]
		}
		if ok && had.State != e.State {
			m.flips[id] = append(m.flips[id], now)
		}
	}
}

// damp keeps an entry that turned too often at the strictest it was, until it has been still.
func (m *Merger) damp(now time.Duration, want map[string]Entry) {
	for id, at := range m.flips {
		at = slices.DeleteFunc(at, func(at time.Duration) bool { return now-at > m.limits.FlapWindow })
		m.flips[id] = at
		if len(at) == 0 {
			delete(m.flips, id)
		}
		if e, ok := want[id]; ok && len(at) >= m.limits.MaxFlaps && e.State == InService {
			e.State = Terminating
			want[id] = e
		}
	}
}

// Flapping gives the entries that are damped, with their turns.
func (m *Merger) Flapping() map[string]int {
	some := map[string]int{}
	for id, at := range m.flips {
		if len(at) >= m.limits.MaxFlaps {
			some[id] = len(at)
		}
	}
	return some
}
