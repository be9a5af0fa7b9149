package clusterstate

import (
	"fmt"
	"slices"
	"time"

	"standpulley/internal/membership"
)

// Renewal is a dispatcher's request to renew its lease, with its state.
type Renewal struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"` // random, chosen at the start of the process
	// number of the version that it acts on, 0 for none
	ActsOn uint64 `json:"holds"`
	// number of the version that it has checked last
	Checked uint64 `json:"checked"`
	Fault   *Fault `json:"fault,omitempty"`  // why it turned that version down
	Unfit   *Fault `json:"unfit,omitempty"`  // why it can't act on the version in force
	Leaving bool   `json:"leaves,omitempty"` // it has stopped acting; its last renewal
	// crashes shortly after it activated a version
	Crashes int `json:"crashes,omitempty"`
	// version whose content it has, so that it need not be sent
	CachedVersion uint64 `json:"version,omitempty"`
	Phase         string `json:"phase,omitempty"` // for display only
	// requests and attempts after the end of a lease; for display only
	LateActs int64 `json:"late_by,omitempty"`
	// how long it has been without a lease; for display only
	WithoutLeaseMS int64 `json:"since_ms,omitempty"`
	// position of its copy of the list of replicas
	List            membership.Cursor `json:"list"`
	CanReadRegistry bool              `json:"reads,omitempty"`     // it is able to read the registry
	ServingMS       int64             `json:"serves_ms,omitempty"` // how long it has served normally
	RegistrySilent  bool              `json:"deaf,omitempty"`      // it reads the registry and gets no answers

	WantsWarmRates bool `json:"learns,omitempty"` // it asks for WarmRates, as it knows none
	// by kind of replica, the requests per second of this dispatcher that a replica can take, as it
	// learned earlier
	WarmRates map[string]float64 `json:"bears,omitempty"`
}

// Member is the leader's view of a dispatcher. Times are of the leader's monotonic clock.
type Member struct {
	Renewal
	LeaseEnd    time.Duration // its lease has expired by then, by any clock within the drift
	LastRenewal time.Duration // when its last renewal arrived
}

// LeaseTable is the leader's view of the leases of all dispatchers. A new leader starts with an empty
// one: leases granted by earlier leaders may run until AllLeasesKnown.
type LeaseTable struct {
	timing         Timing
	Members        map[string]*Member
	AllLeasesKnown time.Duration
	// version whose activation was proposed: only dispatchers that have checked it get leases
	activating uint64
	lastSweep  time.Duration
	canary     canaryTrial // the progress of the canary dispatcher
}

// canaryTrial tracks the canary dispatcher: the version, the boot ID of the process, and since when
// it has acted on the version.
type canaryTrial struct {
	number, boot uint64
	since        time.Duration
}

// TrialTime is how long the canary dispatcher acts on a version before the others follow. It is also
// the time after an activation within which an end of the process counts as a crash by that version.
const TrialTime = 10 * time.Second

// keepMemberFactor is how long a dispatcher without renewals stays in the table, in multiples of
// Within.
const keepMemberFactor = 30

// NewLeaseTable returns an empty table for a leader that begins now, by its monotonic clock.
func NewLeaseTable(now time.Duration, timing Timing) *LeaseTable {
	return &LeaseTable{timing: timing, Members: map[string]*Member{}, AllLeasesKnown: now + timing.MaxLease}
}

// Renew records a renewal that arrived now and reports whether the lease is granted. The caller may
// use the grant only once it has confirmed that it was still the leader after that time.
func (t *LeaseTable) Renew(now time.Duration, r Renewal, rec *Record) bool {
	m := t.Members[r.Name]
	if m == nil {
		m = &Member{}
		t.Members[r.Name] = m
	}
	m.Renewal, m.LastRenewal = r, now
	if r.Leaving {
		m.LeaseEnd = now // the dispatcher has stopped acting
		return false
	}
	if !rec.Complete || rec.InForce() == nil || r.Unfit != nil {
		return false
	}
	if candidate := rec.InProgress(); candidate != nil && candidate.Number == t.activating && r.Checked != candidate.Number {
		return false
	}
	m.LeaseEnd = now + t.timing.MaxLease
	return true
}

// LongestServing returns the longest time, in milliseconds, that a dispatcher with a lease has served
// normally. The dispatcher named by except is left out.
func (t *LeaseTable) LongestServing(now time.Duration, except string) (longest int64) {
	for name, m := range t.Members {
		if name != except && now < m.LeaseEnd {
			longest = max(longest, m.ServingMS)
		}
	}
	return longest
}

// WarmRates returns, by kind of replica, the requests per second of one dispatcher that a replica
// can take, for a dispatcher that does not know. It is the lower median of the rates that dispatchers
// with a lease report, so that a wrong report moves it little, and a single report is not used. As
// the informed dispatchers share the replicas with the others, the rate is scaled by their fraction.
func (t *LeaseTable) WarmRates(now time.Duration) map[string]float64 {
	reported, informed, holders := map[string][]float64{}, 0.0, 0.0
	for _, m := range t.Members {
		if now >= m.LeaseEnd {
			continue
		}
		holders++
		if len(m.WarmRates) > 0 {
			informed++
		}
		for kind, rate := range m.WarmRates {
			reported[kind] = append(reported[kind], rate)
		}
	}
	rates := map[string]float64{}
	for kind, all := range reported {
		if len(all) < 2 {
			continue // a single report may be wrong
		}
		slices.Sort(all)
		rates[kind] = all[(len(all)-1)/2] * informed / holders
	}
	return rates
}

// sweep removes, at most once per Within, dispatchers that have not renewed for long.
func (t *LeaseTable) sweep(now time.Duration) {
	if now < t.lastSweep+t.timing.Within {
		return
	}
	t.lastSweep = now
	for name, m := range t.Members {
		if now > m.LastRenewal+keepMemberFactor*t.timing.Within && now > m.LeaseEnd {
			delete(t.Members, name)
		}
	}
}

// Next returns the entry that the leader should propose now, nil if there is none. A version that
// a dispatcher has rejected is turned down, or withdrawn while it is canary. A version that all
// dispatchers that may hold a lease have checked is put in force, first at the canary dispatcher if
// it has one.
func (t *LeaseTable) Next(now time.Duration, rec *Record) *Entry {
	t.sweep(now)
	candidate := rec.InProgress()
	if candidate == nil || !rec.Complete {
		return nil
	}
	allChecked, rejectedBy := true, ""
	for name, m := range t.Members {
		switch {
		case m.Checked != candidate.Number:
			allChecked = allChecked && now >= m.LeaseEnd
		case m.Fault != nil && t.activating != candidate.Number && (rejectedBy == "" || name < rejectedBy):
			rejectedBy = name
		}
	}
	if rejectedBy != "" {
		fault := t.Members[rejectedBy].Fault
		if candidate.State == Canary {
			return withdrawal(candidate, rejectedBy+": "+fault.Error())
		}
		return &Entry{TurnDown: &TurnDown{Number: candidate.Number, Member: rejectedBy, Fault: *fault}}
	}
	if !allChecked || now < t.AllLeasesKnown {
		return nil
	}
	if candidate.CanaryMember != "" && candidate.State == Pending {
		return &Entry{Activate: &Activate{Number: candidate.Number, Canary: true}}
	}
	if candidate.CanaryMember != "" {
		if failed, proven := t.checkCanary(now, candidate); failed != "" {
			return withdrawal(candidate, failed)
		} else if !proven {
			return nil
		}
	}
	t.activating = candidate.Number
	return &Entry{Activate: &Activate{Number: candidate.Number}}
}

func withdrawal(v *Version, by string) *Entry {
	return &Entry{Withdraw: &Withdraw{ID: fmt.Sprintf("trial-%d", v.Number), Number: v.Number, By: by}}
}

// checkCanary follows the canary dispatcher. The version is proven once that dispatcher has acted on
// it for TrialTime without a restart of its process.
func (t *LeaseTable) checkCanary(now time.Duration, v *Version) (failed string, proven bool) {
	m := t.Members[v.CanaryMember]
	if m == nil || m.ActsOn != v.Number {
		return "", false
	}
	switch {
	case t.canary.number != v.Number:
		t.canary = canaryTrial{v.Number, m.Boot, now}
	case t.canary.boot != m.Boot:
		return v.CanaryMember + " ended while it went first", false
	}
	return "", now-t.canary.since >= TrialTime && now < m.LeaseEnd
}

// VersionFor returns the version that a dispatcher is to act on: the one in force, or the canary
// version at its canary dispatcher.
func (rec *Record) VersionFor(name string) *Version {
	if candidate := rec.InProgress(); candidate != nil && candidate.State == Canary && candidate.CanaryMember == name {
		return candidate
	}
	return rec.InForce()
}

// WaitingFor returns the names of the dispatchers whose check the version in progress waits for.
func (t *LeaseTable) WaitingFor(now time.Duration, rec *Record) (names []string) {
	candidate := rec.InProgress()
	if candidate == nil {
		return nil
	}
	for name, m := range t.Members {
		if now < m.LeaseEnd && m.Checked != candidate.Number {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
