package program

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/agreement"
	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	"standpulley/internal/membership"
	"standpulley/internal/recovery"
	"standpulley/logic"
)

// RecoveryHooks are where a test's own build puts faults in; none elsewhere.
var RecoveryHooks struct {
	OverrideKnown    func(recovery.WarmRates) recovery.WarmRates                // what is gone by, in place of what is known
	OverrideReported func(name string, k recovery.WarmRates) recovery.WarmRates // and what others are told
	OverrideManner   func(recovery.Permissions) recovery.Permissions
	OverrideRate     func(float64) float64 // that is let in
	TrustInitialList bool                  // a list from before the start, as to which replicas are warm
}

const (
	backEvery  = 50 * time.Millisecond // the facts are looked at
	provenOver = 2 * time.Second       // what replicas prove is counted over this
	backSlack  = 3 * time.Second       // beyond the replicas' own ramp, before they count as warm unproven
	leaveTime  = 10 * time.Second      // for a crowd to be taken in, before all come as usual
	learnFrom  = 100                   // requests served as usual tell what the fleet bears ...
	learnOver  = 10 * time.Minute      // ... or as many as there were in this time
	bearsNote  = "bears"               // in the log of the agreement
)

// comeback follows this dispatcher's stages from its start to serving, and keeps what may be taken meanwhile.
type comeback struct {
	a     *agreed
	name  string
	ramp  time.Duration // of replicas
	from  float64
	began time.Time

	mu      sync.Mutex
	machine *recovery.Machine
	manner  recovery.Permissions
	stage   recovery.Stage
	since   time.Time
	serving time.Time // since when all is as usual; zero before
	gate    *recovery.AdmissionLimiter
	classes []logic.Class
	admits  time.Time          // since when requests are let in
	refused float64            // a second, of late
	known   recovery.WarmRates // what the fleet bears, by what this dispatcher served ...
	noted   recovery.WarmRates // ... as it is on disk ...
	told    recovery.WarmRates // ... and by what others say
	kinds   []logic.Kind
	bears   float64       // requests a second of this dispatcher that what is listed bears once it is warm; 0: not known
	longest time.Duration // pause that clients honour; 0: any
	drawn   *rand.Rand
}

func newComeback(a *agreed, cfg config.Config) *comeback {
	b := &comeback{a: a, name: cfg.Name, ramp: cfg.Settings.RampTime, from: cfg.Settings.ColdFrom, began: time.Now(), since: time.Now(), gate: recovery.NewAdmissionLimiter(0),
		drawn: rand.New(rand.NewPCG(cfg.Seed, 23))}
	b.machine = recovery.NewMachine(0, recovery.Timeouts{Find: cfg.Recovery.FindTimeout(), Learn: cfg.Recovery.LearnTimeout(), Admit: cfg.Settings.RampTime + backSlack, Surge: leaveTime})
	b.manner = recovery.Permissions{Reason: "it is starting"}
	text, err := a.node.LoadValue(bearsNote)
	if err == nil && text != nil {
		err = jsoniter.Unmarshal(text, &b.known)
	}
	if err != nil || !b.known.Valid() {
		slog.Warn("recovery: what the fleet bore before can't be read, so it is learned anew", "error", err)
		b.known = nil
	}
	b.noted = b.known
	return b
}

// fit gives a configuration what the fleet is known to bear, and keeps what is served by it.
func (b *comeback) fit(cfg *config.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kinds, cfg.Settings.WarmRates = cfg.Settings.Kinds, b.trusts()
	if n := len(cfg.Settings.Classes); n != len(b.classes) {
		b.gate = recovery.NewAdmissionLimiter(n) // which lets in again from the next step on
	}
	b.classes, b.longest = cfg.Settings.Classes, cfg.Settings.MaxRetryAfter
}

// trusts is what it goes by: what it knows itself, else what others say. It needs mu.
func (b *comeback) trusts() recovery.WarmRates {
	k := b.known
	if len(k) == 0 {
		k = b.told
	}
	if RecoveryHooks.OverrideKnown != nil {
		k = RecoveryHooks.OverrideKnown(k)
	}
	return k
}

// own is what it knows itself, never nil.
func (b *comeback) own() recovery.WarmRates {
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

// hear takes what others say that replicas bear. The core hears of what moves.
func (b *comeback) hear(told recovery.WarmRates) {
	b.mu.Lock()
	news := len(b.known) == 0 && told.Valid() && told.Changed(b.told)
	if news {
		b.told = told
	}
	b.mu.Unlock()
	if news {
		b.apply()
	}
}

// apply puts what is known of replicas in force.
func (b *comeback) apply() {
	if err := b.a.again(); err != nil {
		slog.Error("recovery: what the fleet bears is not in force", "error", err)
	}
}

// run follows the stages until the program ends, and notes what it serves.
func (b *comeback) run(stop <-chan struct{}) {
	tick := time.NewTicker(backEvery)
	defer tick.Stop()
	var served, refused counter
	var since time.Time // of what is being learned, while all is as usual
	before := 0
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		s := b.a.p.live.Load()
		if s == nil {
			continue
		}
		f, _ := s.core.Metrics() // it runs for as long as it is in force
		n, away := 0, 0
		for _, r := range f.Classes {
			n, away = n+r.Served, away+r.Refused
		}
		back := b.a.node.RecoveryInfo()
		b.hear(back.WarmRates)
		weights, warm := b.a.lists.inService()
		facts, proven := b.facts(back, warm), served.rate(n)
		b.step(facts, weights, proven, refused.rate(away))
		if facts.ListFresh || b.machine.JoinedWarmFleet() {
			b.a.lists.trust()
		}
		switch over := time.Since(since); {
		case !facts.ReplicasWarm || b.servesFor() == 0 || since.IsZero():
			since, before = time.Now(), n
		case n-before >= learnFrom || over >= learnOver:
			b.note(n-before, over, weights)
			since, before = time.Now(), n
		}
	}
}

// note joins what was just served with what was known. What moves goes to disk, and the core hears of it.
func (b *comeback) note(served int, over time.Duration, weights map[string]float64) {
	b.mu.Lock()
	next := b.known.Merge(recovery.MeasureWarmRates(served, over, weights, b.kinds), over)
	b.known = next
	moved := next.Changed(b.noted)
	if moved {
		b.noted = next
	}
	b.mu.Unlock()
	if !moved {
		return
	}
	text, err := jsoniter.Marshal(next)
	if err == nil {
		err = b.a.node.SaveValue(bearsNote, text)
	}
	if err != nil {
		slog.Error("recovery: what the fleet bears can't be noted", "error", err)
	}
	b.apply()
}

// facts are what is known now.
func (b *comeback) facts(back agreement.RecoveryInfo, warm bool) recovery.Facts {
	f := recovery.Facts{DiskChecked: true, Voters: back.Voters, VotersAnswered: back.VotersHeard, HasLease: back.Lease, ListApplied: back.ListVersion > 0, ListFresh: back.ListFresh,
		WarmMember: back.ServingMS >= b.ramp.Milliseconds() && back.ServingMS > 0, ReplicasWarm: warm, IntentsKnown: true}
	if k := b.a.keeper; k != nil {
		f.IntentsKnown = k.Ready()
	}
	return f
}

// step goes as far as the facts let it.
func (b *comeback) step(f recovery.Facts, weights map[string]float64, proven, refused float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if RecoveryHooks.OverrideManner != nil {
		defer func() { b.manner = RecoveryHooks.OverrideManner(b.manner) }()
	}
	b.bears = b.trusts().Capacity(weights, b.kinds)
	f.Throttled = b.bears > 0 && b.gate.Throttling(now.Sub(b.began)) // where nothing is known of replicas, warm ones tell themselves
	w := b.machine.Step(now.Sub(b.began), f)
	stage, _ := b.machine.Current()
	if w.AcceptRequests && b.admits.IsZero() {
		b.admits = now
	}
	if stage == recovery.Serving && w.AcceptRequests && b.serving.IsZero() {
		b.serving = now
	}
	if stage != b.stage {
		slog.Info("recovery: another stage", "stage", stage.String(), "after", now.Sub(b.since).Round(time.Millisecond), "lone", b.machine.JoinedWarmFleet())
		b.stage, b.since = stage, now
	}
	if w.LimitRate {
		rate := b.rampOf().Rate(now.Sub(b.admits), proven)
		if RecoveryHooks.OverrideRate != nil {
			rate = RecoveryHooks.OverrideRate(rate)
		}
		b.gate.SetRate(now.Sub(b.began), rate)
	}
	b.manner, b.refused = w, refused
}

func (b *comeback) rampOf() recovery.Ramp {
	return recovery.Ramp{ColdShare: b.from, WarmUpTime: b.ramp, Capacity: b.bears}
}

// waiting is why a request is not taken yet, and when its client should come back.
type waiting struct {
	why   string
	after time.Duration
}

func (w *waiting) Error() string        { return w.why }
func (w *waiting) After() time.Duration { return w.after }

// take says why a request may not be taken yet.
func (b *comeback) take(q dispatch.Admission) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.manner
	now := time.Now()
	switch {
	case !w.AcceptRequests:
	case q.AtMostOnce && !w.AcceptAtMostOnce:
	case w.LimitRate && !b.gate.Admit(now.Sub(b.began), b.classOf(q.Class), q.Retry, q.Tenant):
	default:
		return nil
	}
	after := recovery.RetryAfter(max(b.refused, b.gate.RefusedRate(now.Sub(b.began))), b.gate.Rate(), b.drawn.Float64())
	if b.longest > 0 {
		after = min(after, b.longest)
	}
	return &waiting{fmt.Sprintf("coming back, stage %v: %s", b.stage, w.Reason), after}
}

// classOf is a class's place in the operator's order, the last one for a name that is not known. It needs mu.
func (b *comeback) classOf(name string) int {
	at := slices.IndexFunc(b.classes, func(c logic.Class) bool { return c.Name == name })
	if at < 0 {
		return len(b.classes) - 1
	}
	return at
}

// ready tells whether clients may come.
func (b *comeback) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.manner.AcceptRequests
}

// servesFor is how long all has been as usual.
func (b *comeback) servesFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.serving.IsZero() {
		return 0
	}
	return time.Since(b.serving)
}

// say is the stage, for people; empty once it serves.
func (b *comeback) say() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stage == recovery.Serving && b.manner.Reason == "" {
		return ""
	}
	return fmt.Sprintf("%v for %v: %s", b.stage, time.Since(b.since).Round(100*time.Millisecond), b.manner.Reason)
}

// figures are those of the return at the operators' door.
func (b *comeback) figures(say func(name string, value int, kind string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	say("recovery.stage", int(b.stage), "g") // 0 to 5, in the order of recovery.Stage
	say("recovery.stage_ms", int(time.Since(b.since).Milliseconds()), "g")
	say("recovery.let_in", int(b.gate.Rate()), "g") // a second, while the ramp lasts
	say("recovery.bears", int(b.bears), "g")        // requests a second of this dispatcher, by what is known
}

// counter makes a rate out of a count, over provenOver.
type counter struct {
	at []time.Time
	n  []int
}

func (c *counter) rate(n int) float64 {
	now := time.Now()
	c.at, c.n = append(c.at, now), append(c.n, n)
	for len(c.at) > 2 && now.Sub(c.at[1]) >= provenOver {
		c.at, c.n = c.at[1:], c.n[1:]
	}
	if span := now.Sub(c.at[0]).Seconds(); span > 0 {
		return float64(n-c.n[0]) / span
	}
	return 0
}

// inService gives the weights of what may be sent to, by kind, and whether all of it has warmed up, by what is listed. The machine's wall
// clock alone says how old replicas are: where it lies before a replica's start nothing is known, and the replica counts as cold.
func (l *lists) inService() (weights map[string]float64, warm bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weights, warm = map[string]float64{}, len(l.told) > 0
	now := time.Now()
	for _, e := range l.told {
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

// coming is a licence that takes nothing before its time.
type coming struct {
	dispatch.Lease
	b *comeback
}

func (c *coming) MayAdmit(q dispatch.Admission) error {
	if err := c.Lease.MayAdmit(q); err != nil {
		return err
	}
	return c.b.take(q)
}

func (c *coming) Ready() bool { return c.Lease.Ready() && c.b.ready() }
