package fleetmodel

import (
	"time"

	"standpulley/internal/recovery"
)

// PowerLoss cuts the power of all routers and replicas for two seconds or more. Each returns at a time
// of its own, replicas cold, and clients keep retrying. If useRecovery is set, routers have kept the
// warm rates of replicas and limit admission as package recovery decides.
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

// powerOff kills a router's process. Its clients get no answer, and retry requests that may be
// repeated.
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
	rate := r.m.day.Rate * r.weight / sum // long-term rate of requests of this router
	r.warmRates = recovery.MeasureWarmRates(warmRateRequests, seconds(warmRateRequests/rate), r.m.kindWeights(), r.m.settings.Kinds)
}

// warmRateRequests is the number of requests from which the warm rates of replicas are measured.
const warmRateRequests = 100

// powerOn starts a router again, with the warm rates it has kept if the day uses recovery.
func (r *router) powerOn() {
	if err := r.startProcess(); err != nil {
		return // unexpected, as the same settings were accepted before
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
	if err := r.process.logic.UpdateSettings(set); err != nil {
		return
	}
}

// kindWeights returns the total weight of replicas of each kind, running or not, as all of them
// return.
func (m *Model) kindWeights() map[string]float64 {
	sums := map[string]float64{}
	for _, s := range m.replicas {
		sums[s.entry.Kind] += s.entry.Weight
	}
	return sums
}

// routerRecovery limits what a restarted process admits until it serves normally again.
type routerRecovery struct {
	router    *router
	limiter   *recovery.AdmissionLimiter
	ramp      recovery.Ramp
	began     time.Duration
	rateSetAt time.Duration
}

// rateInterval is the time between updates of the admission rate, and rateWindow the period over which
// the rate of answers is measured.
const rateInterval, rateWindow = 50 * time.Millisecond, 2 * time.Second

// admit reports whether a request is admitted, and if not, after which pause its client should retry.
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

// recentRate returns the rate per second of the given times over the last rateWindow.
func recentRate(times []time.Duration, now time.Duration) float64 {
	n := 0
	for i := len(times) - 1; i >= 0 && now-times[i] < rateWindow; i-- {
		n++
	}
	return float64(n) / rateWindow.Seconds()
}
