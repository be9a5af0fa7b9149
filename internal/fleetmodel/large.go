package fleetmodel

import "time"

// The days of this file are those of a fleet that has grown many times over: the connections of a
// replica are limited, each handshake costs a replica work, lists reach routers late, and on some days
// one in eight replicas becomes slow or faulty.

// sizedDay returns a day whose fleet suits the number of routers: a small site up to 10, a medium one
// up to 100, a whole platform beyond.
func sizedDay(name string, routers int) Day {
	d := Day{Name: name, Routers: routers, Readers: 16, Writers: 24, Zones: 3, CellSize: 6, Rate: 65, Length: 30 * time.Second,
		ListLag: 1500 * time.Millisecond, TrafficSkew: 1, MaxConns: 400, HandshakeWork: time.Millisecond}
	switch {
	case routers <= 10:
		d.Readers, d.Writers, d.Rate = 6, 9, 24
	case routers > 100:
		d.Readers, d.Writers, d.Rate = 40, 60, 160
	}
	return d
}

// degradeReplicas degrades one in eight replicas: in turn, one fails every second attempt, the next is
// four times slower.
func (m *Model) degradeReplicas() {
	n := 0
	for i, s := range m.replicas {
		if i%8 != 3 || !s.up {
			continue
		}
		if n++; n%2 == 0 {
			s.slowdown = 4
		} else {
			s.failHalf = true
		}
	}
}

// LargeRestart restarts 70% of the routers at one moment during a rolling update of the replicas. Their
// successors have learned nothing yet.
func LargeRestart(routers int) Day {
	d := sizedDay("herd-vast", routers)
	for i := range 4 {
		d.Events = append(d.Events, Change{seconds(4 + 2.5*float64(i)), func(m *Model) { m.Replace(0.1, 6*time.Second) }})
	}
	d.Events = append(d.Events, Change{9 * time.Second, func(m *Model) {
		for n := range m.routers {
			if n%10 < 7 {
				m.Restart(n)
			}
		}
	}})
	return d
}

// LargeZoneOutage loses a zone, which restarts cold after five seconds, while one in eight replicas is
// slow or faulty.
func LargeZoneOutage(routers int) Day {
	d := sizedDay("zone-vast", routers)
	d.Events = append(ZoneOutage().Events, Change{4 * time.Second, (*Model).degradeReplicas})
	return d
}

// LargeReplacement replaces 60% of the replicas within seven seconds. One in eight replicas is slow or
// faulty, among them new ones, from about their first request on.
func LargeReplacement(routers int) Day {
	d := sizedDay("join-vast", routers)
	d.ListLag = 2500 * time.Millisecond
	d.Events = append(Replacement().Events, Change{12 * time.Second, (*Model).degradeReplicas})
	return d
}
