package fleetmodel

import (
	"time"

	"standpulley/logic"
)

// Batching is a day of BatchingSite. One zone has half of the traffic. If newPrefixShare is not 0, that
// share of the new sessions with a shared prefix begins, from 8 s on, with one that no reader has
// cached.
func Batching(routers int, newPrefixShare float64) Day {
	d := Day{Name: "batching", Site: BatchingSite, Routers: routers, Readers: 94, Writers: 6, Zones: 3, CellSize: 6, Rate: 71, Length: 30 * time.Second,
		ListLag: 1500 * time.Millisecond, TrafficSkew: 0.5, ZoneTraffic: []float64{0.25, 0.27, 0.48}}
	if routers <= 10 {
		d.Readers, d.Writers, d.Rate, d.CellSize = 12, 2, 9, 7
	}
	if newPrefixShare > 0 {
		d.Events = append(d.Events, Change{8 * time.Second, func(m *Model) { m.addPrefix(newPrefixShare) }})
	}
	return d
}

// BatchingReplacement is Batching with 60% of the replicas replaced within seven seconds.
func BatchingReplacement(routers int) Day {
	d := Batching(routers, 0)
	d.Name, d.ListLag = "batching-join", 2500*time.Millisecond
	d.Events = Replacement().Events
	return d
}

// addPrefix adds a new shared prefix, with which the given share of the new sessions that have a
// shared prefix begins.
func (m *Model) addPrefix(share float64) {
	t := prefix{m.rnd.Uint64() | 1, m.uniform(m.classes[0].minPrefix, m.classes[0].maxPrefix)}
	for class, weights := range m.prefixWeights {
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		m.prefixes[class] = append(m.prefixes[class], t)
		m.prefixWeights[class] = append(weights, sum*share/(1-share))
	}
}

// WritersReplaced makes every warm writer drain when its cold replacement has just started, so that no
// writer is warm for a while.
func WritersReplaced(routers int) Day {
	d := Batching(routers, 0)
	d.Name = "writers-replaced"
	d.Events = append(d.Events, Change{10 * time.Second, func(m *Model) {
		var old []*replica
		for _, s := range m.replicas {
			if s.role == logic.Writer {
				old = append(old, s)
			}
		}
		for _, s := range old {
			m.announce(m.add(s.role, int(s.entry.Zone[1]-'0'), s.entry.Cell, false))
			m.after(time.Second, func() { s.draining = true; m.announce(s) })
			m.after(8*time.Second, func() { s.kill(); m.announce(s) })
		}
	}})
	return d
}
