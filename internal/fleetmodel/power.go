package fleetmodel

import (
	"time"

	"standpulley/internal/recovery"
)

// PowerBack loses all power for two seconds and a bit: replicas return cold, routers knowing what they remember, each in its time, and
// clients go on trying. Ordered is whether routers come back as package recovery says.
func PowerBack(routers int, ordered bool) Day {
	d := size("power-back", routers)
	d.Length, d.Ordered, d.Tries = 45*time.Second, ordered, 12
	d.Events = []Change{{8 * time.Second, func(m *Model) {
		for _, r := range m.routers {
			r.loses()
			m.after(seconds(m.between(2.3, 4.5)), r.returns)
		}
		for _, s := range m.fleet {
			s.die()
			m.after(seconds(m.between(2, 4)), func() { s.restart(); m.tell(s) })
		}
	}}}
	return d
}

// loses ends a router's process at once. Its clients hear nothing; those whose request may be repeated come again.
func (r *router) loses() {
	r.away = true
	p := r.now
	p.dead = true
	for _, q := range p.open {
		if !q.answered {
			q.answered = true
			r.m.failed(q)
		}
	}
	sum := 0.0
	for _, other := range r.m.routers {
		sum += other.weight
	}
	rate := r.m.day.Rate * r.weight / sum // that it has served for long
	r.known = recovery.MeasureWarmRates(knownFrom, seconds(knownFrom/rate), r.m.kindWeights(), r.m.set.Kinds)
}

const knownFrom = 100 // requests tell what replicas bear

// returns starts a router again, with what it remembers where that is kept.
func (r *router) returns() {
	if err := r.boot(); err != nil {
		return // the settings were good before
	}
	r.away = false
	if !r.m.day.Ordered {
		return
	}
	b := &comeback{r: r, gate: recovery.NewAdmissionLimiter(len(r.m.set.Classes)), from: r.m.now}
	b.ramp = recovery.Ramp{ColdShare: r.m.set.ColdFrom, WarmUpTime: r.m.set.RampTime, Capacity: r.known.Capacity(r.m.kindWeights(), r.m.set.Kinds)}
	r.now.back = b
	set := r.m.set
	set.Zone, set.WarmRates = zoneName(r.zone), r.known
	if err := r.now.logic.UpdateSettings(set); err != nil {
		return
	}
}

// kindWeights gives what the fleet holds of each kind, up or not: all of it comes back.
func (m *Model) kindWeights() map[string]float64 {
	sums := map[string]float64{}
	for _, s := range m.fleet {
		sums[s.entry.Kind] += s.entry.Weight
	}
	return sums
}

// comeback is a process's way back to serving as usual.
type comeback struct {
	r       *router
	gate    *recovery.AdmissionLimiter
	ramp    recovery.Ramp
	from    time.Duration
	stepped time.Duration
}

const comebackStep, provenOver = 50 * time.Millisecond, 2 * time.Second

// admit tells whether a request is let in, and when its client should come back if not.
func (b *comeback) admit(q *ask) (pause time.Duration, ok bool) {
	m := b.r.m
	warm := true
	for _, s := range m.fleet {
		warm = warm && s.up && m.now >= s.started+m.set.RampTime
	}
	if now := m.now; now-b.stepped >= comebackStep {
		b.stepped = now
		b.gate.SetRate(now, b.ramp.Rate(now-b.from, lately(b.r.answers, now)))
	}
	if warm && !(b.ramp.Capacity > 0 && b.gate.Throttling(m.now)) {
		b.r.now.back = nil
		return 0, true
	}
	if b.gate.Admit(m.now, q.talk.class, q.tries > 0, "") {
		return 0, true
	}
	return min(recovery.RetryAfter(b.gate.RefusedRate(m.now), b.gate.Rate(), m.rnd.Float64()), m.set.MaxRetryAfter), false
}

// lately is how many a second there were of late.
func lately(times []time.Duration, now time.Duration) float64 {
	n := 0
	for i := len(times) - 1; i >= 0 && now-times[i] < provenOver; i-- {
		n++
	}
	return float64(n) / provenOver.Seconds()
}
