package fleetmodel

import (
	"time"

	"standpulley/internal/recovery"
)

// PowerBack loses all power for two seconds and a bit: replicas return cold, routers knowing what they remember, each in its time, and
// clients go on trying. Ordered is whether routers come back as package recovery says.
func PowerLoss(routers int, useRecovery bool) Day {
	d := sizedDay("power-back", routers)
	d.Length, d.UseRecovery, d.MaxRetries = 45*time.Second, useRecovery, 12
	d.Events = []Change{{8 * time.Second, func(m *Model) {
		for _, r := range m.routers {
			r.powerOff()
			m.after(seconds(m.uniform(2.3, 4.5)), r.powerOn)
		}
		for _, s := range m.replicas {
			s.kill()
			m.after(seconds(m.uniform(2, 4)), func() { s.restart(); m.announce(s) })
		}
	}}}
	return d
}

// loses ends a router's process at once. Its clients hear nothing; those whose request may be repeated come again.
func (r *router) powerOff() {
	r.unavailable = true
	p := r.process
	p.powerless = true
	for _, q := range p.requests {
		if !q.ended {
			q.ended = true
			r.m.failed(q)
		}
	}
	sum := 0.0
	for _, other := range r.m.routers {
		sum += other.weight
	}
	rate := r.m.day.Rate * r.weight / sum // that it has served for long
	r.warmRates = recovery.MeasureWarmRates(warmRateRequests, seconds(warmRateRequests/rate), r.m.kindWeights(), r.m.settings.Kinds)
}

const warmRateRequests = 100 // requests tell what replicas bear

// returns starts a router again, with what it remembers where that is kept.
func (r *router) powerOn() {
	if err := r.startProcess(); err != nil {
		return // the settings were good before
	}
	r.unavailable = false
	if !r.m.day.UseRecovery {
		return
	}
	b := &routerRecovery{router: r, limiter: recovery.NewAdmissionLimiter(len(r.m.settings.Classes)), began: r.m.now}
	b.ramp = recovery.Ramp{ColdShare: r.m.settings.ColdFrom, WarmUpTime: r.m.settings.RampTime, Capacity: r.warmRates.Capacity(r.m.kindWeights(), r.m.settings.Kinds)}
	r.process.recovery = b
	set := r.m.settings
	set.Zone, set.WarmRates = zoneName(r.zone), r.warmRates
	if err := r.process.router.UpdateSettings(set); err != nil {
		return
	}
}

// kindWeights gives what the fleet holds of each kind, up or not: all of it comes back.
func (m *Model) kindWeights() map[string]float64 {
	sums := map[string]float64{}
	for _, s := range m.replicas {
		sums[s.entry.Kind] += s.entry.Weight
	}
	return sums
}

// comeback is a process's way back to serving as usual.
type routerRecovery struct {
	router    *router
	limiter   *recovery.AdmissionLimiter
	ramp      recovery.Ramp
	began     time.Duration
	rateSetAt time.Duration
}

const rateInterval, rateWindow = 50 * time.Millisecond, 2 * time.Second

// admit tells whether a request is let in, and when its client should come back if not.
func (b *routerRecovery) admit(q *request) (pause time.Duration, ok bool) {
	m := b.router.m
	warm := true
	for _, s := range m.replicas {
		warm = warm && s.up && m.now >= s.started+m.settings.RampTime
	}
	if now := m.now; now-b.rateSetAt >= rateInterval {
		b.rateSetAt = now
		b.limiter.SetRate(now, b.ramp.Rate(now-b.began, recentRate(b.router.servedAt, now)))
	}
	if warm && !(b.ramp.Capacity > 0 && b.limiter.Throttling(m.now)) {
		b.router.process.recovery = nil
		return 0, true
	}
	if b.limiter.Admit(m.now, q.session.class, q.retries > 0, "") {
		return 0, true
	}
	return min(recovery.RetryAfter(b.limiter.RefusedRate(m.now), b.limiter.Rate(), m.rnd.Float64()), m.settings.MaxRetryAfter), false
}

// lately is how many a second there were of late.
func recentRate(times []time.Duration, now time.Duration) float64 {
	n := 0
	for i := len(times) - 1; i >= 0 && now-times[i] < rateWindow; i-- {
		n++
	}
	return float64(n) / rateWindow.Seconds()
}
