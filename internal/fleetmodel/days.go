package fleetmodel

import (
	"time"

	"standpulley/logic"
)

// base is a fleet in which a router sees about one request in two seconds.
func baseDay(name string) Day {
	return Day{Name: name, Routers: 300, Readers: 40, Writers: 60, Zones: 3, CellSize: 6, Rate: 160, Length: 40 * time.Second,
		ListLag: 1500 * time.Millisecond, TrafficSkew: 0.5}
}

// Calm has no trouble.
func Calm() Day { return baseDay("calm") }

// Roll replaces half of the fleet in steps while all routers restart, a tenth at a time.
func RollingUpdate() Day {
	d := baseDay("roll")
	for i := range 5 {
		d.Events = append(d.Events, Change{seconds(4 + 2.4*float64(i)), func(m *Model) { m.Replace(0.1, 6*time.Second) }})
	}
	return d.withRestarts(5, 1.6)
}

// Join replaces six in ten within seven seconds, and lists come late.
func Replacement() Day {
	d := baseDay("join")
	d.ListLag = 3 * time.Second
	for i := range 6 {
		d.Events = append(d.Events, Change{seconds(5 + 1.2*float64(i)), func(m *Model) { m.Replace(0.1, 5*time.Second) }})
	}
	return d
}

// restarting has all routers restart, a tenth at a time: the first at a time in seconds, the others each so much later.
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

// Replace drains a part of those replicas that were there from the start and adds as many new ones in their places.
func (m *Model) Replace(part float64, drain time.Duration) {
	var old []*replica
	for _, s := range m.replicas {
		if s.up && !s.draining && s.started == 0 {
			old = append(old, s)
		}
	}
	m.rnd.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	n := int(part * float64(m.day.Readers+m.day.Writers))
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

// Small is a day with half of everything: as thinly spread, and a quarter of the work to play it.
func (d Day) Half() Day {
	d.Routers, d.Readers, d.Writers, d.Rate = d.Routers/2, d.Readers/2, d.Writers/2, d.Rate/2
	return d
}

// ZoneBack loses a zone for five seconds. It returns cold, under the names it had.
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

// Stillborn is a Join whose first newcomers die at once.
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

// WritersFull has every writer turn everything away for three seconds while readers idle.
func WritersFull() Day {
	d := baseDay("writers-full")
	shut := func(is bool) func(*Model) {
		return func(m *Model) {
			for _, s := range m.replicas {
				s.refuseAll = is && s.role == logic.Writer
			}
		}
	}
	d.Events = []Change{{10 * time.Second, shut(true)}, {13 * time.Second, shut(false)}}
	return d
}

// Forgotten is a Join in the middle of which every router restarts, all within two seconds.
func ReplacementAndRestarts() Day {
	d := Replacement()
	d.Name = "forgotten"
	return d.withRestarts(11, 0.2)
}

// Days are all of them, by name.
func Days() []Day {
	return []Day{Calm(), RollingUpdate(), Replacement(), ZoneOutage(), EarlyExit(), WritersFull(), ReplacementAndRestarts()}
}
