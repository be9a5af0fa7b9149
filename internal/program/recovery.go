package program

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/cluster"
	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	"standpulley/internal/membership"
	"standpulley/internal/recovery"
	"standpulley/logic"
)

// RecoveryHooks are fault injection hooks for recovery, set only in test builds.
var RecoveryHooks struct {
	// Replaces the capacity that this dispatcher acts on.
	OverrideKnown func(recovery.WarmRates) recovery.WarmRates
	// Replaces the capacity that is reported to other dispatchers.
	OverrideReported    func(name string, k recovery.WarmRates) recovery.WarmRates
	OverridePermissions func(recovery.Permissions) recovery.Permissions
	OverrideRate        func(float64) float64 // replaces the admitted rate
	TrustInitialList    bool                  // trust start times in a list from before the start of this process
}

const (
	stepInterval = 50 * time.Millisecond // interval at which the facts are checked
	rateWindow   = 2 * time.Second       // window over which the rate that replicas serve is measured
	// Time beyond the replicas' slow start before they count as warm without proof.
	warmSlack = 3 * time.Second
	// Longest further time for excess demand to be admitted, before admission is unlimited.
	leaveTime        = 10 * time.Second
	learnMinRequests = 100              // requests served normally from which the capacity is learned
	learnMaxTime     = 10 * time.Minute // with fewer requests, the capacity is learned after this time
	capacityKey      = "bears"          // key of the learned capacity in the file of this dispatcher's agreement log
)

// recoveryState runs the recovery stages of this dispatcher from its start until it serves
// normally, and decides which requests may be admitted meanwhile.
type recoveryState struct {
	adapter   *agreementAdapter
	name      string
	ramp      time.Duration // slow-start time of replicas
	coldFrom  float64
	startedAt time.Time

	mu           sync.Mutex
	machine      *recovery.Machine
	permissions  recovery.Permissions
	stage        recovery.Stage
	stageSince   time.Time
	servingSince time.Time // when normal service began; zero before
	limiter      *recovery.AdmissionLimiter
	classes      []logic.Class
	admitSince   time.Time          // when admission of requests began; zero before
	refusedRate  float64            // requests refused per second, recently
	known        recovery.WarmRates // fleet capacity learned from what this dispatcher served
	persisted    recovery.WarmRates // known, as last stored on disk
	reported     recovery.WarmRates // fleet capacity reported by other dispatchers
	kinds        []logic.Kind
	// Requests per second that this dispatcher can send to the listed replicas once they are warm;
	// 0: unknown.
	capacity      float64
	maxRetryAfter time.Duration // longest pause that clients honour; 0: any
	rng           *rand.Rand
}

func newRecoveryState(a *agreementAdapter, cfg config.Config) *recoveryState {
	b := &recoveryState{adapter: a, name: cfg.Name, ramp: cfg.Settings.RampTime, coldFrom: cfg.Settings.ColdFrom, startedAt: time.Now(), stageSince: time.Now(), limiter: recovery.NewAdmissionLimiter(0),
		rng: rand.New(rand.NewPCG(cfg.Seed, 23))}
	b.machine = recovery.NewMachine(0, recovery.Timeouts{Find: cfg.Recovery.FindTimeout(), Learn: cfg.Recovery.LearnTimeout(), Admit: cfg.Settings.RampTime + warmSlack, Surge: leaveTime})
	b.permissions = recovery.Permissions{Reason: "it is starting"}
	text, err := a.node.LoadValue(capacityKey)
	if err == nil && text != nil {
		err = jsoniter.Unmarshal(text, &b.known)
	}
	if err != nil || !b.known.Valid() {
		slog.Warn("recovery: cannot read the stored fleet capacity; learning it again", "error", err)
		b.known = nil
	}
	b.persisted = b.known
	return b
}

// fillSettings sets the known capacity in the settings of cfg, and keeps their kinds, classes and
// longest pause.
func (b *recoveryState) fillSettings(cfg *config.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kinds, cfg.Settings.WarmRates = cfg.Settings.Kinds, b.effective()
	if n := len(cfg.Settings.Classes); n != len(b.classes) {
		b.limiter = recovery.NewAdmissionLimiter(n) // it admits requests again from the next step on
	}
	b.classes, b.maxRetryAfter = cfg.Settings.Classes, cfg.Settings.MaxRetryAfter
}

// effective returns the capacity to act on: what this dispatcher has learned itself, otherwise what
// others report. The caller holds mu.
func (b *recoveryState) effective() recovery.WarmRates {
	k := b.known
	if len(k) == 0 {
		k = b.reported
	}
	if RecoveryHooks.OverrideKnown != nil {
		k = RecoveryHooks.OverrideKnown(k)
	}
	return k
}

// ownKnown returns the capacity that this dispatcher has learned itself, never nil.
func (b *recoveryState) ownKnown() recovery.WarmRates {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known
	if RecoveryHooks.OverrideReported != nil {
		k = RecoveryHooks.OverrideReported(b.name, k)
	}
	if k == nil {
		return recovery.WarmRates{}
	}
	return k
}

// updateReported takes the capacity that other dispatchers report, if this one has learned none.
// The settings are applied again if it differs from the previous report by more than a tenth.
func (b *recoveryState) updateReported(reported recovery.WarmRates) {
	b.mu.Lock()
	changed := len(b.known) == 0 && reported.Valid() && reported.Changed(b.reported)
	if changed {
		b.reported = reported
	}
	b.mu.Unlock()
	if changed {
		b.reapply()
	}
}

// reapply puts the known capacity of replicas in force.
func (b *recoveryState) reapply() {
	if err := b.adapter.reapply(); err != nil {
		slog.Error("recovery: cannot apply the fleet capacity", "error", err)
	}
}

// run steps through the recovery stages until the program ends, and learns the capacity of the
// fleet from what is served.
func (b *recoveryState) run(stop <-chan struct{}) {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	var served, refused rateCounter
	var since time.Time // start of the current learning period in normal operation
	servedBefore := 0
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		s := b.adapter.p.live.Load()
		if s == nil {
			continue
		}
		f, _ := s.core.Metrics() // the core runs as long as its stack is in force
		n, declined := 0, 0
		for _, r := range f.Classes {
			n, declined = n+r.Served, declined+r.Refused
		}
		status := b.adapter.node.RecoveryInfo()
		b.updateReported(status.WarmRates)
		weights, warm := b.adapter.lists.inService()
		facts, proven := b.facts(status, warm), served.rate(n)
		b.step(facts, weights, proven, refused.rate(declined))
		if facts.ListFresh || b.machine.JoinedWarmFleet() {
			b.adapter.lists.clearSuspect()
		}
		switch over := time.Since(since); {
		case !facts.ReplicasWarm || b.servingFor() == 0 || since.IsZero():
			since, servedBefore = time.Now(), n
		case n-servedBefore >= learnMinRequests || over >= learnMaxTime:
			b.learn(n-servedBefore, over, weights)
			since, servedBefore = time.Now(), n
		}
	}
}

// learn merges the requests that were served by weights during over into the known capacity. A
// change of more than a tenth is stored on disk and applied to the core.
func (b *recoveryState) learn(served int, over time.Duration, weights map[string]float64) {
	b.mu.Lock()
	next := b.known.Merge(recovery.MeasureWarmRates(served, over, weights, b.kinds), over)
	b.known = next
	moved := next.Changed(b.persisted)
	if moved {
		b.persisted = next
	}
	b.mu.Unlock()
	if !moved {
		return
	}
	text, err := jsoniter.Marshal(next)
	if err == nil {
		err = b.adapter.node.SaveValue(capacityKey, text)
	}
	if err != nil {
		slog.Error("recovery: cannot store the fleet capacity", "error", err)
	}
	b.reapply()
}

// facts returns the present input of the recovery machine.
func (b *recoveryState) facts(status cluster.RecoveryInfo, warm bool) recovery.Facts {
	f := recovery.Facts{DiskChecked: true, Voters: status.Voters, VotersAnswered: status.VotersHeard, HasLease: status.Lease, ListApplied: status.ListVersion > 0, ListFresh: status.ListFresh,
		WarmMember: status.ServingMS >= b.ramp.Milliseconds() && status.ServingMS > 0, ReplicasWarm: warm, IntentsKnown: true}
	if k := b.adapter.keeper; k != nil {
		f.IntentsKnown = k.Ready()
	}
	return f
}

// step advances the recovery machine as far as the facts allow, and sets the admitted rate.
func (b *recoveryState) step(f recovery.Facts, weights map[string]float64, proven, refused float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if RecoveryHooks.OverridePermissions != nil {
		defer func() { b.permissions = RecoveryHooks.OverridePermissions(b.permissions) }()
	}
	b.capacity = b.effective().Capacity(weights, b.kinds)
	// With no known capacity, warm replicas show by themselves what they can serve.
	f.Throttled = b.capacity > 0 && b.limiter.Throttling(now.Sub(b.startedAt))
	permissions := b.machine.Step(now.Sub(b.startedAt), f)
	stage, _ := b.machine.Current()
	if permissions.AcceptRequests && b.admitSince.IsZero() {
		b.admitSince = now
	}
	if stage == recovery.Serving && permissions.AcceptRequests && b.servingSince.IsZero() {
		b.servingSince = now
	}
	if stage != b.stage {
		slog.Info("recovery: stage changed", "stage", stage.String(), "after", now.Sub(b.stageSince).Round(time.Millisecond), "lone", b.machine.JoinedWarmFleet())
		b.stage, b.stageSince = stage, now
	}
	if permissions.LimitRate {
		rate := b.newRamp().Rate(now.Sub(b.admitSince), proven)
		if RecoveryHooks.OverrideRate != nil {
			rate = RecoveryHooks.OverrideRate(rate)
		}
		b.limiter.SetRate(now.Sub(b.startedAt), rate)
	}
	b.permissions, b.refusedRate = permissions, refused
}

func (b *recoveryState) newRamp() recovery.Ramp {
	return recovery.Ramp{ColdShare: b.coldFrom, WarmUpTime: b.ramp, Capacity: b.capacity}
}

// notAdmitted is an error that says why a request is not accepted yet and when its client should
// try again.
type notAdmitted struct {
	reason     string
	retryAfter time.Duration
}

func (w *notAdmitted) Error() string        { return w.reason }
func (w *notAdmitted) After() time.Duration { return w.retryAfter }

// admit returns an error if a request may not be accepted yet.
func (b *recoveryState) admit(q dispatch.Admission) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	permissions := b.permissions
	now := time.Now()
	switch {
	case !permissions.AcceptRequests:
	case q.AtMostOnce && !permissions.AcceptAtMostOnce:
	case permissions.LimitRate && !b.limiter.Admit(now.Sub(b.startedAt), b.classIndex(q.Class), q.Retry, q.Tenant):
	default:
		return nil
	}
	after := recovery.RetryAfter(max(b.refusedRate, b.limiter.RefusedRate(now.Sub(b.startedAt))), b.limiter.Rate(), b.rng.Float64())
	if b.maxRetryAfter > 0 {
		after = min(after, b.maxRetryAfter)
	}
	return &notAdmitted{fmt.Sprintf("coming back, stage %v: %s", b.stage, permissions.Reason), after}
}

// classIndex returns the position of a class in the operator's order; an unknown name gets the last
// one. The caller holds mu.
func (b *recoveryState) classIndex(name string) int {
	at := slices.IndexFunc(b.classes, func(c logic.Class) bool { return c.Name == name })
	if at < 0 {
		return len(b.classes) - 1
	}
	return at
}

// ready reports whether clients may send requests.
func (b *recoveryState) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.permissions.AcceptRequests
}

// servingFor returns for how long the dispatcher has served normally.
func (b *recoveryState) servingFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servingSince.IsZero() {
		return 0
	}
	return time.Since(b.servingSince)
}

// describe returns the stage as text for operators; empty once the dispatcher serves normally.
func (b *recoveryState) describe() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stage == recovery.Serving && b.permissions.Reason == "" {
		return ""
	}
	return fmt.Sprintf("%v for %v: %s", b.stage, time.Since(b.stageSince).Round(100*time.Millisecond), b.permissions.Reason)
}

// metrics emits the recovery metrics for the admin endpoint.
func (b *recoveryState) metrics(emit func(name string, value int, kind string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	emit("recovery.stage", int(b.stage), "g") // 0 to 5, in the order of recovery.Stage
	emit("recovery.stage_ms", int(time.Since(b.stageSince).Milliseconds()), "g")
	emit("recovery.let_in", int(b.limiter.Rate()), "g") // requests admitted per second during the ramp
	emit("recovery.bears", int(b.capacity), "g")        // known capacity of this dispatcher in requests per second
}

// rateCounter computes a rate per second from a cumulative count, over rateWindow.
type rateCounter struct {
	times  []time.Time
	counts []int
}

func (c *rateCounter) rate(n int) float64 {
	now := time.Now()
	c.times, c.counts = append(c.times, now), append(c.counts, n)
	for len(c.times) > 2 && now.Sub(c.times[1]) >= rateWindow {
		c.times, c.counts = c.times[1:], c.counts[1:]
	}
	if span := now.Sub(c.times[0]).Seconds(); span > 0 {
		return float64(n-c.counts[0]) / span
	}
	return 0
}

// inService returns the weights of the replicas in service by kind, and whether all of them have
// finished their slow start according to the list. The age of a replica is taken from the local
// wall clock: a start time that lies in the future is unreliable, so the replica counts as cold.
func (l *listMerger) inService() (weights map[string]float64, warm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weights, warm = map[string]float64{}, len(l.inCore) > 0
	now := time.Now()
	for _, e := range l.inCore {
		if e.State != membership.InService {
			continue
		}
		weights[e.Kind] += e.Weight
		started := time.UnixMilli(e.StartedMS)
		if e.StartedMS > 0 && (now.Before(started) || now.Sub(started) < l.ramp) {
			warm = false
		}
	}
	return weights, warm
}

// recoveryLease is a lease that also refuses requests that recovery does not admit yet.
type recoveryLease struct {
	dispatch.Lease
	recovery *recoveryState
}

func (c *recoveryLease) MayAdmit(q dispatch.Admission) error {
	if err := c.Lease.MayAdmit(q); err != nil {
		return err
	}
	return c.recovery.admit(q)
}

func (c *recoveryLease) Ready() bool { return c.Lease.Ready() && c.recovery.ready() }
