package fleetmodel

import "time"

// Vast days are those of a fleet that has grown many times over: connections at replicas are scarce, each handshake costs
// a replica work, lists come late, and one of eight replicas is bad from a time on.

// size is a fleet by its number of routers: how it looks at a small site, at a grown one and at a whole platform.
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

// spoil makes one of eight replicas bad: every second one of them slow, the others erring.
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

// HerdVast kills seven in ten routers in one moment during a release of the replicas; they come back knowing nothing.
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

// ZoneVast loses a zone, which returns cold after five seconds, while one of eight replicas is bad.
func LargeZoneOutage(routers int) Day {
	d := sizedDay("zone-vast", routers)
	d.Events = append(ZoneOutage().Events, Change{4 * time.Second, (*Model).degradeReplicas})
	return d
}

// JoinVast replaces six in ten replicas within seven seconds; one of eight is bad, newcomers among them from their first
// request on.
func LargeReplacement(routers int) Day {
	d := sizedDay("join-vast", routers)
	d.ListLag = 2500 * time.Millisecond
	d.Events = append(Replacement().Events, Change{12 * time.Second, (*Model).degradeReplicas})
	return d
}
