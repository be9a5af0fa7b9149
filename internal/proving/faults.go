package proving

import (
	"maps"
	"os"
	"strconv"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"standpulley/internal/boltfile"
	"standpulley/internal/cluster"
	"standpulley/internal/clusterstate"
	"standpulley/internal/dispatch"
	"standpulley/internal/intentlog"
	"standpulley/internal/ledger"
	"standpulley/internal/membership"
	"standpulley/internal/program"
	"standpulley/internal/raftlog"
	"standpulley/internal/recovery"
	"standpulley/logic"
)

// FaultEnv is the environment variable that names a fault to inject into a dispatcher, to test
// whether the harness detects it. Only programs that call InjectFault read it; the production
// program does not.
const FaultEnv = "STANDPULLEY_FAULT"

// Faults are the faults that can be injected.
var Faults = map[string]struct {
	Description string
	inject      func()
	Harmless    bool // the rules must hold in spite of it
}{
	"lease-from-reply": {Description: "a lease begins when the answer to the renewal arrives, however late", inject: func() {
		program.AgreementHooks.ExtraRenewTimeout = 3 * time.Second
		program.AgreementHooks.RenewedAt = func(_, now time.Duration) time.Duration { return now }
	}},
	"lease-without-end": {Description: "a lease never expires", inject: func() {
		program.AgreementHooks.Lease = func(l *clusterstate.Lease) { l.Extend(1000*time.Hour, clusterstate.TimingOf(time.Second)) }
	}},
	"no-wait": {Description: "a version comes into force without waiting for members that may still act on the one before", inject: func() {
		program.AgreementHooks.Leases = func(t *clusterstate.LeaseTable) {
			t.AllLeasesKnown = 0
			for _, m := range t.Members {
				m.LeaseEnd, m.Fault = 0, nil
			}
		}
	}},
	"turned-down-in-force": {Description: "a version that was turned down comes into force", inject: func() {
		program.AgreementHooks.Entry = func(_ *clusterstate.Record, e *clusterstate.Entry) {
			if e.TurnDown != nil {
				*e = clusterstate.Entry{Activate: &clusterstate.Activate{Number: e.TurnDown.Number}}
			}
		}
	}},
	"number-again": {Description: "a version number is reused for another content", inject: func() {
		program.AgreementHooks.Entry = func(b *clusterstate.Record, e *clusterstate.Entry) {
			if e.Propose != nil && b.LastNumber > 1 && b.LastNumber%2 == 0 {
				b.LastNumber--
			}
		}
	}},
	"no-check-at-send": {Description: "the lease is not checked again before the first byte of an attempt", inject: func() { skipLeaseCheck(checkSend) }},
	"no-check-at-take": {Description: "the lease is not checked when a request is accepted", inject: func() { skipLeaseCheck(checkTake) }},
	"unsure-leader":    {Description: "a leader grants leases without confirming that it still leads", inject: func() { program.AgreementHooks.SkipLeaderCheck = true }},
	"old-version-renewed": {Description: "a lease on the previous version is renewed by a grant for the one in force", inject: func() {
		program.AgreementHooks.Stale = func(bool) bool { return false }
	}},
	"entries-unwritten": {Description: "log entries are acknowledged but not written", inject: func() {
		program.AgreementHooks.LogWriter = func(l *raftlog.Log) cluster.LogWriter { return &lossyLogWriter{Log: l, loseEntries: true} }
	}},
	"vote-unwritten": {Description: "votes and terms are sent but not written", inject: func() {
		program.AgreementHooks.LogWriter = func(l *raftlog.Log) cluster.LogWriter { return &lossyLogWriter{Log: l} }
	}},
	"wall-clock-back": {Description: "the wall clock is an hour behind", inject: func() {
		program.AgreementHooks.WallClock = func() time.Time { return time.Now().Add(-time.Hour) }
	}, Harmless: true},
	"recovery-known-tenfold": {Description: "the known capacity of replicas is taken for ten times as much", inject: func() {
		program.RecoveryHooks.OverrideKnown = func(k recovery.WarmRates) recovery.WarmRates { return scaled(k, 10) }
		program.RecoveryHooks.OverrideRate = func(x float64) float64 { return 10 * x }
	}},
	"recovery-known-of-all": {Description: "each dispatcher takes the capacity of replicas for all dispatchers as its own share, and admits all requests", inject: func() {
		program.RecoveryHooks.OverrideKnown = func(k recovery.WarmRates) recovery.WarmRates { return scaled(k, 5) }
		program.RecoveryHooks.OverrideRate = func(float64) float64 { return 1e6 }
	}},
	"recovery-old-list": {Description: "a list from before the power loss decides which replicas are warm", inject: func() { program.RecoveryHooks.TrustInitialList = true }},
	"recovery-no-ramp": {Description: "all requests are admitted at once: the cold budget alone must keep the rule", inject: func() {
		program.RecoveryHooks.OverrideRate = func(float64) float64 { return 1e6 }
	}, Harmless: true},
	"recovery-liar": {Description: "o1 reports a thousand times the capacity of replicas: the median must keep the rule", inject: func() {
		program.RecoveryHooks.OverrideReported = func(name string, k recovery.WarmRates) recovery.WarmRates {
			if name == "o1" {
				return recovery.WarmRates{"reader": 1e4, "writer": 1e4}
			}
			return k
		}
	}, Harmless: true},
	"recovery-early-instructions": {Description: "instructions are admitted before it is known which ones may have run: the ledger must refuse them", inject: func() {
		program.RecoveryHooks.OverridePermissions = func(m recovery.Permissions) recovery.Permissions { m.AcceptAtMostOnce = m.AcceptRequests; return m }
	}, Harmless: true},
	"recovery-refound-forgets-acts": {Description: "a new cluster omits versions that dispatchers acted on and that its log lacks", inject: func() {
		program.AgreementHooks.Rebootstrap = func(before, next *clusterstate.Record) {
			*next, _ = before.Rebootstrap(next.Cluster, next.RequiredSeats, next.Seats[0], nil, "fault")
		}
	}},
	"recovery-refound-forgets-orders": {Description: "a new cluster omits the operators' orders in force", inject: func() {
		program.AgreementHooks.Rebootstrap = func(_, next *clusterstate.Record) {
			next.Orders = nil
			for id, e := range next.List.Entries {
				e.State = membership.InService
				next.List.Entries[id] = e
			}
		}
	}},
	"recovery-refound-numbers-again": {Description: "a new cluster restarts its version numbers", inject: func() {
		program.AgreementHooks.Rebootstrap = func(_, next *clusterstate.Record) { next.LastNumber = 1 }
	}},
	"recovery-refound-old-version": {Description: "a new cluster reverts to version 1", inject: func() {
		program.AgreementHooks.Rebootstrap = func(_, next *clusterstate.Record) {
			next.InForce().State = clusterstate.Superseded
			next.InForceNumber, next.Versions[0].State = 1, clusterstate.InForce
		}
	}},
	"list-own-drain-ignored": {Description: "a dispatcher ignores a drain that its own registry agent reports", inject: func() {
		program.ListHooks.OverrideMerge = func(agreed membership.List, _ membership.OwnList, _ bool) map[string]membership.Entry {
			return membership.Effective(agreed, membership.OwnList{}, true)
		}
	}},
	"list-looser-at-once": {Description: "a dispatcher uses replicas of its own registry agent before they are in the agreed list", inject: func() {
		program.ListHooks.OverrideMerge = func(agreed membership.List, own membership.OwnList, named bool) map[string]membership.Entry {
			all := membership.Effective(agreed, own, named)
			maps.Copy(all, own.Entries)
			return all
		}
	}},
	"list-ignored":        {Description: "agreed lists after the first are ignored", inject: func() { program.ListHooks.IgnoreAgreed = true }},
	"list-reader-forgets": {Description: "a dispatcher that stops reading the registry forgets drains that no other knows of", inject: func() { program.ListHooks.ForgetOnStop = true }},
	"list-back-counts": {Description: "a registry whose version went back is accepted", inject: func() {
		program.AgreementHooks.Limits = func(l *membership.Limits) { l.AllowRollback = true }
	}},
	"list-cold-unknown": {Description: "the start time of a replica does not reach the core", inject: func() {
		program.ListHooks.MutateEntry = func(e *membership.Entry) { e.StartedMS = 0 }
	}},
	"list-late": {Description: "agreed lists are applied seconds late while the lease stays valid", inject: func() { program.ListHooks.ApplyDelay = 4 * time.Second }},
	"list-orders-free": {Description: "operators' orders are recorded but not obeyed", inject: func() {
		program.AgreementHooks.Limits = func(l *membership.Limits) { l.IgnoreOrders = true }
	}},
	"ledger-early": {Description: "an attempt is sent while its intent is still being recorded", inject: ledgerOptions(func(o *intentlog.Options) { o.Hooks.SendBeforeRecorded = true })},
	"ledger-unsynced": {Description: "intents are acknowledged before they are on disk", inject: ledgerOptions(func(o *intentlog.Options) {
		o.Durability = intentlog.DurabilityProcess
	})},
	"ledger-unchecked": {Description: "an intent is granted in spite of other attempts with the same key, and repeats don't look for them", inject: ledgerOptions(func(o *intentlog.Options) {
		o.Hooks.Op = func(op *ledger.Op) { op.Exclusive = false }
		o.Hooks.Reply = func(r *ledger.Reply) {
			if !r.Granted {
				r.Entry = ledger.Entry{}
			}
		}
	})},
	"ledger-prefers-never": {Description: "an intent without a known outcome counts as one that never ran", inject: ledgerOptions(func(o *intentlog.Options) {
		o.Hooks.Op = func(op *ledger.Op) { op.Exclusive = false }
		o.Hooks.Reply = func(r *ledger.Reply) {
			r.Entry = r.Entry.Clone()
			for i := range r.Entry.Attempts {
				if t := &r.Entry.Attempts[i]; t.Outcome == ledger.Intent {
					t.Outcome = ledger.NeverRan
				}
			}
		}
	})},
	"ledger-one-holder": {Description: "one ledger holder is enough to record an intent", inject: ledgerOptions(func(o *intentlog.Options) {
		o.Hooks.Tally = func(c *ledger.Tally) { c.Require(1) }
	})},
	"ledger-unfilled": {Description: "a new ledger file, or an old copy, counts as complete", inject: ledgerOptions(func(o *intentlog.Options) { o.Hooks.AssumeComplete = true })},
	"ledger-soon": {Description: "ledger entries are removed after a tenth of a second", inject: ledgerOptions(func(o *intentlog.Options) {
		o.Limits.Retention = 100 * time.Millisecond
	})},
	"ledger-unclear-is-yes": {Description: "an attempt is sent even though too few ledger holders answered", inject: ledgerOptions(func(o *intentlog.Options) {
		o.Hooks.Verdict = func(_ ledger.Op, v ledger.Verdict) ledger.Verdict {
			if v == ledger.Unclear {
				return ledger.Yes
			}
			return v
		}
	})},
	"ledger-lost-is-never": {Description: "a broken connection counts as proof that the attempt did not run", inject: ledgerOptions(func(o *intentlog.Options) {
		o.Hooks.Outcome = func(out logic.Outcome, o ledger.Outcome) ledger.Outcome {
			if out != logic.Delivered {
				return ledger.NeverRan
			}
			return o
		}
	})},
	"ledger-own-keys": {Description: "dispatchers use different ledger keys for the same instruction", inject: ledgerOptions(func(o *intentlog.Options) {
		name := o.Name
		o.Hooks.Op = func(op *ledger.Op) {
			for i := range name {
				op.Key[i] ^= name[i]
			}
		}
	})},
	"ledger-forgets": {Description: "the ledger on disk is not read at the start", inject: ledgerOptions(func(o *intentlog.Options) { o.Hooks.SkipLoad = true })},
	"base-unchecked": {Description: "a proposal is accepted whatever version it was made from", inject: func() {
		program.AgreementHooks.Entry = func(b *clusterstate.Record, e *clusterstate.Entry) {
			if e.Propose != nil {
				e.Propose.Base = b.InForceNumber
			}
		}
	}},
}

// ledgerOptions returns a function that injects a fault by changing the options of the ledger.
func ledgerOptions(change func(*intentlog.Options)) func() {
	return func() { program.LedgerHooks.Options = change }
}

// PowerLossEnv is the environment variable that makes a dispatcher lose unsynced writes when it is
// killed. Its value is a seed.
const PowerLossEnv = "STANDPULLEY_POWER_LOSS"

// InjectFault injects the fault that the environment names, if any, and the simulated disk that
// loses unsynced writes.
func InjectFault() {
	if seed, err := strconv.ParseUint(os.Getenv(PowerLossEnv), 10, 64); err == nil {
		boltfile.TestDisk = &boltfile.SimulatedDisk{Seed: seed}
	}
	if f, ok := Faults[os.Getenv(FaultEnv)]; ok {
		f.inject()
	}
}

// uncheckedLease is a lease that skips one of its checks.
type uncheckedLease struct {
	dispatch.Lease
	skips string
}

// scaled returns the capacities multiplied by x.
func scaled(k recovery.WarmRates, x float64) recovery.WarmRates {
	result := recovery.WarmRates{}
	for name, y := range k {
		result[name] = x * y
	}
	return result
}

const (
	checkSend = "send"
	checkTake = "take"
)

// skipLeaseCheck makes all leases of the program skip a check.
func skipLeaseCheck(skips string) {
	program.WrapLease = func(l dispatch.Lease) dispatch.Lease { return &uncheckedLease{l, skips} }
}

func (w *uncheckedLease) MayAdmit(q dispatch.Admission) error {
	if w.skips == checkTake {
		return nil
	}
	return w.Lease.MayAdmit(q)
}

func (w *uncheckedLease) MaySend(once, again bool) error {
	if w.skips == checkSend {
		return nil
	}
	return w.Lease.MaySend(once, again)
}

// lossyLogWriter writes a log that loses entries or hard states when the process ends: it
// acknowledges them but keeps them in memory only.
type lossyLogWriter struct {
	*raftlog.Log
	loseEntries bool // lose entries; otherwise hard states
}

func (f *lossyLogWriter) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	if f.loseEntries {
		// Entries and hard state on disk must stay consistent, or the loss would be detected at the
		// start.
		if hard != nil {
			if err := f.Log.Storage().SetHardState(hard); err != nil {
				return err
			}
		}
		if err := f.Log.Save(nil, nil, snap); err != nil {
			return err
		}
		return f.Log.Storage().Append(entries)
	}
	if hard != nil {
		if err := f.Log.Storage().SetHardState(hard); err != nil {
			return err
		}
	}
	return f.Log.Save(nil, entries, snap)
}
