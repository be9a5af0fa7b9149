package membership

import (
	"slices"
	"time"
)

// recordFlips records the time of each state change between two merges of readings; the first merge
// is compared with the agreed list.
func (m *Merger) recordFlips(now time.Duration, next map[string]Entry, agreed *List) {
	for id, e := range next {
		old, ok := m.merged[id]
		if m.merged == nil {
			old, ok = agreed.Entries[id]
		}
		if ok && old.State != e.State {
			m.flips[id] = append(m.flips[id], now)
		}
	}
}

// damp keeps entries that changed state MaxFlaps times or more within FlapWindow at Terminating,
// until enough of those changes are older than FlapWindow.
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

// Flapping returns the damped replicas with their number of recent state changes.
func (m *Merger) Flapping() map[string]int {
	damped := map[string]int{}
	for id, at := range m.flips {
		if len(at) >= m.limits.MaxFlaps {
			damped[id] = len(at)
		}
	}
	return damped
}
