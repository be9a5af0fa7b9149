package fleetmodel

import (
	"time"

	"standpulley/logic"
)

// baseDay is a fleet in which each router receives about one request every two seconds.
func baseDay(name string) Day {
	return Day{Name: name, Routers: 300, Readers: 40, Writers: 60, Zones: 3, CellSize: 6, Rate: 160, Length: 40 * time.Second,
		ListLag: 1500 * time.Millisecond, TrafficSkew: 0.5}
}

// Calm has no disturbance.
func Calm() Day { return baseDay("calm") }

// RollingUpdate replaces half of the replicas in steps while all routers restart, a tenth at a time.
func RollingUpdate() Day {
	d := baseDay("roll")
	for i := range 5 {
		d.Events = append(d.Events, Change{seconds(4 + 2.4*float64(i)), func(m *Model) { m.Replace(0.1, 6*time.Second) }})
	}
	return d.withRestarts(5, 1.6)
}

// Replacement replaces 60% of the replicas within seven seconds, while lists reach routers late.
func Replacement() Day {
	d := baseDay("join")
	d.ListLag = 3 * time.Second
	for i := range 6 {
		d.Events = append(d.Events, Change{seconds(5 + 1.2*float64(i)), func(m *Model) { m.Replace(0.1, 5*time.Second) }})
	}
	return d
}

// withRestarts adds restarts of all routers to the day, a tenth at a time: the first tenth at the time
// first, each of the others interval later, both in seconds.
func (d Day) withRestarts(first, interval float64) Day {
	for i := range 10 {
		d.Events = append(d.Events, Change{seconds(first + interval*float64(i)), func(m *Model) {
			for n := i; n < len(m.routers); n += 10 {
				m.Restart(n)
			}
		}})
	}
	return d
}

// Replace drains a share of the fleet, chosen from the replicas that were there from the start, and
// adds as many new replicas in the same zones and cells.
func (m *Model) Replace(share float64, drain time.Duration) {
	var old []*replica
	for _, s := range m.replicas {
		if s.up && !s.draining && s.started == 0 {
			old = append(old, s)
		}
	}
	m.rnd.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	n := int(share * float64(m.day.Readers+m.day.Writers))
	old = old[:min(n, len(old))]
	for _, s := range old {
		s.draining = true
		m.after(drain, func() { s.kill(); m.announce(s) })
		m.after(seconds(m.uniform(0.4, 2.5)), func() {
			zone := int(s.entry.Zone[1] - '0')
			m.announce(m.add(s.role, zone, s.entry.Cell, false))
		})
	}
	m.announce(old...)
}

// Half returns the day with half of the routers, replicas and requests. Each router receives as few
// requests as before, and the run costs a quarter of the work.
func (d Day) Half() Day {
	d.Routers, d.Readers, d.Writers, d.Rate = d.Routers/2, d.Readers/2, d.Writers/2, d.Rate/2
	return d
}

// ZoneOutage loses all replicas of a zone for five seconds. They restart cold, under their old IDs.
func ZoneOutage() Day {
	d := baseDay("zone-back")
	inZone := func(m *Model, up bool) (all []*replica) {
		for _, s := range m.replicas {
			if s.entry.Zone == zoneName(0) && s.up == up {
				all = append(all, s)
			}
		}
		return all
	}
	d.Events = []Change{
		{8 * time.Second, func(m *Model) {
			lost := inZone(m, true)
			for _, s := range lost {
				s.kill()
			}
			m.announce(lost...)
		}},
		{13 * time.Second, func(m *Model) {
			back := inZone(m, false)
			for _, s := range back {
				s.restart()
			}
			m.announce(back...)
		}},
	}
	return d
}

// EarlyExit is a Replacement whose first new replicas exit shortly after their start.
func EarlyExit() Day {
	d := Replacement()
	d.Name = "stillborn"
	d.Events = append(d.Events, Change{7 * time.Second, func(m *Model) {
		for _, s := range m.replicas {
			if s.started > 0 && s.up {
				s.kill()
				m.announce(s)
			}
		}
	}})
	return d
}

// WritersFull makes every writer refuse all requests as full for three seconds while readers have
// spare capacity.
func WritersFull() Day {
	d := baseDay("writers-full")
	refuse := func(enabled bool) func(*Model) {
		return func(m *Model) {
			for _, s := range m.replicas {
				s.refuseAll = enabled && s.role == logic.Writer
			}
		}
	}
	d.Events = []Change{{10 * time.Second, refuse(true)}, {13 * time.Second, refuse(false)}}
	return d
}

// ReplacementAndRestarts is a Replacement in the middle of which every router restarts, all within two
// seconds.
func ReplacementAndRestarts() Day {
	d := Replacement()
	d.Name = "forgotten"
	return d.withRestarts(11, 0.2)
}

// Days returns all days of this file.
func Days() []Day {
	return []Day{Calm(), RollingUpdate(), Replacement(), ZoneOutage(), EarlyExit(), WritersFull(), ReplacementAndRestarts()}
}
