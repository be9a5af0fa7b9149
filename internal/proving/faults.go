package proving

import (
	"maps"
	"os"
	"strconv"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"standpulley/internal/agree"
	"standpulley/internal/agreement"
	"standpulley/internal/boltfile"
	"standpulley/internal/bookkeeping"
	"standpulley/internal/dispatch"
	"standpulley/internal/ledger"
	"standpulley/internal/membership"
	"standpulley/internal/program"
	"standpulley/internal/raftlog"
	"standpulley/internal/recovery"
	"standpulley/logic"
)

// FaultEnv names a fault that is put into a dispatcher on purpose, to see whether the ground finds it. Only programs that
// call PutIn hear of it; the real one does not.
const FaultEnv = "STANDPULLEY_FAULT"

// Faults are those that can be put in, each with what it does.
var Faults = map[string]struct {
	Description string
	inject      func()
	Harmless    bool // it must do no harm
}{
	"lease-from-reply": {Description: "a lease counts from when the renewal was answered, however late", inject: func() {
		program.AgreementHooks.ExtraRenewTimeout = 3 * time.Second
		program.AgreementHooks.RenewedAt = func(_, now time.Duration) time.Duration { return now }
	}},
	"lease-without-end": {Description: "a lease never ends", inject: func() {
		program.AgreementHooks.Lease = func(l *agree.Lease) { l.Extend(1000*time.Hour, agree.TimingOf(time.Second)) }
	}},
	"no-wait": {Description: "a version is put in force without waiting for who may be acting", inject: func() {
		program.AgreementHooks.Leases = func(t *agree.LeaseTable) {
			t.AllLeasesKnown = 0
			for _, m := range t.Members {
				m.LeaseEnd, m.Fault = 0, nil
			}
		}
	}},
	"turned-down-in-force": {Description: "a version that was turned down is put in force", inject: func() {
		program.AgreementHooks.Entry = func(_ *agree.Record, e *agree.Entry) {
			if e.TurnDown != nil {
				*e = agree.Entry{Activate: &agree.Activate{Number: e.TurnDown.Number}}
			}
		}
	}},
	"number-again": {Description: "a number is given to another content", inject: func() {
		program.AgreementHooks.Entry = func(b *agree.Record, e *agree.Entry) {
			if e.Propose != nil && b.LastNumber > 1 && b.LastNumber%2 == 0 {
				b.LastNumber--
			}
		}
	}},
	"no-check-at-send": {Description: "leave is not asked again before the first byte", inject: func() { skipLeaseCheck(checkSend) }},
	"no-check-at-take": {Description: "leave is not asked where a request is taken", inject: func() { skipLeaseCheck(checkTake) }},
	"unsure-leader":    {Description: "a leader grants leases without asking whether it still leads", inject: func() { program.AgreementHooks.SkipLeaderCheck = true }},
	"old-version-renewed": {Description: "a lease on the version before is renewed by what is granted for the one in force", inject: func() {
		program.AgreementHooks.Stale = func(bool) bool { return false }
	}},
	"entries-unwritten": {Description: "entries are acknowledged and not written", inject: func() {
		program.AgreementHooks.LogWriter = func(l *raftlog.Log) agreement.LogWriter { return &lossyDisk{Log: l, loseEntries: true} }
	}},
	"vote-unwritten": {Description: "votes and terms are given and not written", inject: func() {
		program.AgreementHooks.LogWriter = func(l *raftlog.Log) agreement.LogWriter { return &lossyDisk{Log: l} }
	}},
	"wall-clock-back": {Description: "the wall clock is an hour behind", inject: func() {
		program.AgreementHooks.WallClock = func() time.Time { return time.Now().Add(-time.Hour) }
	}, Harmless: true},
	"recovery-known-tenfold": {Description: "what replicas bore is taken for ten times as much", inject: func() {
		program.RecoveryHooks.OverrideKnown = func(k recovery.WarmRates) recovery.WarmRates { return scaled(k, 10) }
		program.RecoveryHooks.OverrideRate = func(x float64) float64 { return 10 * x }
	}},
	"recovery-known-of-all": {Description: "each dispatcher takes what replicas bear of all for its own part, and lets all in", inject: func() {
		program.RecoveryHooks.OverrideKnown = func(k recovery.WarmRates) recovery.WarmRates { return scaled(k, 5) }
		program.RecoveryHooks.OverrideRate = func(float64) float64 { return 1e6 }
	}},
	"recovery-old-list": {Description: "a list from before the loss of power says which replicas are warm", inject: func() { program.RecoveryHooks.TrustInitialList = true }},
	"recovery-no-ramp": {Description: "all are let in at once: the cold budget alone must keep the rule", inject: func() {
		program.RecoveryHooks.OverrideRate = func(float64) float64 { return 1e6 }
	}, Harmless: true},
	"recovery-liar": {Description: "o1 says that replicas bear a thousand times as much: the median must keep the rule", inject: func() {
		program.RecoveryHooks.OverrideReported = func(name string, k recovery.WarmRates) recovery.WarmRates {
			if name == "o1" {
				return recovery.WarmRates{"reader": 1e4, "writer": 1e4}
			}
			return k
		}
	}, Harmless: true},
	"recovery-early-instructions": {Description: "instructions are let in before it is known what may have run: the ledger must refuse them", inject: func() {
		program.RecoveryHooks.OverrideManner = func(m recovery.Permissions) recovery.Permissions { m.AcceptAtMostOnce = m.AcceptRequests; return m }
	}, Harmless: true},
	"recovery-refound-forgets-acts": {Description: "a new cluster leaves out what dispatchers acted on and its log lacks", inject: func() {
		program.AgreementHooks.Rebootstrap = func(before, next *agree.Record) {
			*next, _ = before.Rebootstrap(next.Cluster, next.RequiredSeats, next.Seats[0], nil, "fault")
		}
	}},
	"recovery-refound-forgets-orders": {Description: "a new cluster leaves out the orders in force", inject: func() {
		program.AgreementHooks.Rebootstrap = func(_, next *agree.Record) {
			next.Orders = nil
			for id, e := range next.List.Entries {
				e.State = membership.InService
				next.List.Entries[id] = e
			}
		}
	}},
	"recovery-refound-numbers-again": {Description: "a new cluster begins its numbers anew", inject: func() {
		program.AgreementHooks.Rebootstrap = func(_, next *agree.Record) { next.LastNumber = 1 }
	}},
	"recovery-refound-old-version": {Description: "a new cluster goes back to version 1", inject: func() {
		program.AgreementHooks.Rebootstrap = func(_, next *agree.Record) {
			next.InForce().State = agree.Superseded
			next.InForceNumber, next.Versions[0].State = 1, agree.InForce
		}
	}},
	"list-own-drain-ignored": {Description: "a drain that its own register tells does not count for a dispatcher", inject: func() {
		program.ListHooks.OverrideMerge = func(agreed membership.List, _ membership.OwnList, _ bool) map[string]membership.Entry {
			return membership.Effective(agreed, membership.OwnList{}, true)
		}
	}},
	"list-looser-at-once": {Description: "what its own register names counts before it is agreed on", inject: func() {
		program.ListHooks.OverrideMerge = func(agreed membership.List, own membership.OwnList, named bool) map[string]membership.Entry {
			all := membership.Effective(agreed, own, named)
			maps.Copy(all, own.Entries)
			return all
		}
	}},
	"list-ignored":        {Description: "agreed lists after the first are not acted on", inject: func() { program.ListHooks.IgnoreAgreed = true }},
	"list-reader-forgets": {Description: "who stops reading forgets drains that nobody else has heard of", inject: func() { program.ListHooks.ForgetOnStop = true }},
	"list-back-counts": {Description: "a register that went back counts like any other", inject: func() {
		program.AgreementHooks.Limits = func(l *membership.Limits) { l.AllowRollback = true }
	}},
	"list-cold-unknown": {Description: "when a replica started is lost on the way into the core", inject: func() {
		program.ListHooks.MutateEntry = func(e *membership.Entry) { e.StartedMS = 0 }
	}},
	"list-late": {Description: "agreed lists are acted on seconds later, and the lease goes on", inject: func() { program.ListHooks.ApplyDelay = 4 * time.Second }},
	"list-orders-free": {Description: "operators' orders are on record and not kept", inject: func() {
		program.AgreementHooks.Limits = func(l *membership.Limits) { l.IgnoreOrders = true }
	}},
	"ledger-early": {Description: "an attempt leaves while its intent is being noted", inject: ledgerOptions(func(o *bookkeeping.Options) { o.Hooks.SendBeforeRecorded = true })},
	"ledger-unsynced": {Description: "intents are acknowledged before they are on disk", inject: ledgerOptions(func(o *bookkeeping.Options) {
		o.Durability = bookkeeping.DurabilityProcess
	})},
	"ledger-unchecked": {Description: "other attempts of the same key do not forbid an intent, and repeats do not ask", inject: ledgerOptions(func(o *bookkeeping.Options) {
		o.Hooks.Op = func(op *ledger.Op) { op.Exclusive = false }
		o.Hooks.Reply = func(r *ledger.Reply) {
			if !r.Granted {
				r.Entry = ledger.Entry{}
			}
		}
	})},
	"ledger-prefers-never": {Description: "an intent of which nothing more is known counts as one that never ran", inject: ledgerOptions(func(o *bookkeeping.Options) {
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
	"ledger-one-holder": {Description: "one holder is enough for an intent", inject: ledgerOptions(func(o *bookkeeping.Options) {
		o.Hooks.Tally = func(c *ledger.Tally) { c.Require(1) }
	})},
	"ledger-unfilled": {Description: "a new file, or an old copy, counts as one that knows all", inject: ledgerOptions(func(o *bookkeeping.Options) { o.Hooks.AssumeComplete = true })},
	"ledger-soon": {Description: "entries are forgotten after a tenth of a second", inject: ledgerOptions(func(o *bookkeeping.Options) {
		o.Limits.Retention = 100 * time.Millisecond
	})},
	"ledger-unclear-is-yes": {Description: "where too few holders answer, an attempt is sent all the same", inject: ledgerOptions(func(o *bookkeeping.Options) {
		o.Hooks.Verdict = func(_ ledger.Op, v ledger.Verdict) ledger.Verdict {
			if v == ledger.Unclear {
				return ledger.Yes
			}
			return v
		}
	})},
	"ledger-lost-is-never": {Description: "a connection that broke counts as proof that nothing ran", inject: ledgerOptions(func(o *bookkeeping.Options) {
		o.Hooks.Outcome = func(out logic.Outcome, o ledger.Outcome) ledger.Outcome {
			if out != logic.Delivered {
				return ledger.NeverRan
			}
			return o
		}
	})},
	"ledger-own-keys": {Description: "dispatchers give one instruction different keys", inject: ledgerOptions(func(o *bookkeeping.Options) {
		name := o.Name
		o.Hooks.Op = func(op *ledger.Op) {
			for i := range name {
				op.Key[i] ^= name[i]
			}
		}
	})},
	"ledger-forgets": {Description: "what is on disk is not read at the start", inject: ledgerOptions(func(o *bookkeeping.Options) { o.Hooks.SkipLoad = true })},
	"base-unchecked": {Description: "a proposal counts whatever version it was made from", inject: func() {
		program.AgreementHooks.Entry = func(b *agree.Record, e *agree.Entry) {
			if e.Propose != nil {
				e.Propose.Base = b.InForceNumber
			}
		}
	}},
}

func ledgerOptions(change func(*bookkeeping.Options)) func() {
	return func() { program.LedgerHooks.Options = change }
}

// PowerEnv has a dispatcher lose what was not synced when it is killed.
const PowerLossEnv = "STANDPULLEY_POWER_LOSS"

// PutIn puts in the fault that the environment names, if any, and the disk that loses power.
func InjectFault() {
	if seed, err := strconv.ParseUint(os.Getenv(PowerLossEnv), 10, 64); err == nil {
		boltfile.TestDisk = &boltfile.SimulatedDisk{Seed: seed}
	}
	if f, ok := Faults[os.Getenv(FaultEnv)]; ok {
		f.inject()
	}
}

// wrapped is a licence that leaves out one question.
type uncheckedLease struct {
	dispatch.Lease
	skips string
}

func scaled(k recovery.WarmRates, x float64) recovery.WarmRates {
	all := recovery.WarmRates{}
	for name, y := range k {
		all[name] = x * y
	}
	return all
}

const (
	checkSend = "send"
	checkTake = "take"
)

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

// forgetful is a disk that loses some of what it is told to keep when the process ends.
type lossyDisk struct {
	*raftlog.Log
	loseEntries bool // else hard states
}

func (f *lossyDisk) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	if f.loseEntries {
		if hard != nil { // what is on disk must go together, or the loss would be noticed at the start
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
