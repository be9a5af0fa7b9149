package fleetmodel

import "time"

// Surge is a small fleet with up to some tens of routers, some of which receive several times the mean
// traffic. A zone restarts cold and a fifth of the replicas are replaced, both during a burst of twice
// the usual traffic.
func Surge(routers int) Day {
	d := Day{Name: "throng", Routers: routers, Readers: 6, Writers: 9, Zones: 3, CellSize: 5, Rate: 24, Length: 26 * time.Second,
		ListLag: 1500 * time.Millisecond, TrafficSkew: 2, Burst: Burst{12 * time.Second, 18 * time.Second, 2}}
	d.Events = append(ZoneOutage().Events, Change{11 * time.Second, func(m *Model) { m.Replace(0.2, 4*time.Second) }})
	return d
}
