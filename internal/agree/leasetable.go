package agree

import (
	"fmt"
	"slices"
	"time"

	"standpulley/internal/membership"
)

// Renewal is what a dispatcher says of itself when it asks for its lease to be renewed.
type Renewal struct {
	Name            string            `json:"name"`
	Boot            uint64            `json:"boot"`                // drawn at its start
	ActsOn          uint64            `json:"holds"`               // the version that it acts on, 0 for none
	Checked         uint64            `json:"checked"`             // the version that it has checked last ...
	Fault           *Fault            `json:"fault,omitempty"`     // ... and turned down for this
	Unfit           *Fault            `json:"unfit,omitempty"`     // why it can't act on the version in force
	Leaving         bool              `json:"leaves,omitempty"`    // it acts no more: this is its last word
	Crashes         int               `json:"crashes,omitempty"`   // shortly after the activation of what it holds back from
	CachedVersion   uint64            `json:"version,omitempty"`   // a content that it has, and needs not be sent
	Phase           string            `json:"phase,omitempty"`     // for people
	LateActs        int64             `json:"late_by,omitempty"`   // acts that its choice for being alone allowed, for people
	WithoutLeaseMS  int64             `json:"since_ms,omitempty"`  // how long it was without a lease before, for people
	List            membership.Cursor `json:"list"`                // how far its copy of the list of replicas is
	CanReadRegistry bool              `json:"reads,omitempty"`     // it could read the register
	ServingMS       int64             `json:"serves_ms,omitempty"` // how long it has served as usual
	RegistrySilent  bool              `json:"deaf,omitempty"`      // it reads, and the register says nothing

	WantsWarmRates bool               `json:"learns,omitempty"` // it knows nothing of what follows, and wants to
	WarmRates      map[string]float64 `json:"bears,omitempty"`  // what a replica of a kind bears of its requests a second, as it knows from before
}

// Member is a dispatcher as the leader sees it.
type Member struct {
	Renewal
	LeaseEnd    time.Duration // by then its lease is over, whatever its clock does
	LastRenewal time.Duration // when it was heard last
}

// Tally is the leader's view of who may be acting on what. A new leader begins a new one: leases that others granted may
// run until Known.
type LeaseTable struct {
	timing         Timing
	Members        map[string]*Member
	AllLeasesKnown time.Duration
	activating     uint64 // the version whose activation was proposed: leases are only for who has checked it
	lastSweep      time.Duration
	canary         canaryTrial // of the dispatcher that goes first
}

// trial is how the dispatcher that goes first fares.
type canaryTrial struct {
	number, boot uint64
	since        time.Duration
}

// TrialTime is how long the dispatcher that goes first acts on a version before the others follow, and how soon after an
// activation an end of the process counts as a crash by it.
const TrialTime = 10 * time.Second

// keepMember is how long a dispatcher that is not heard stays in view, in leases.
const keepMemberFactor = 30

// NewTally begins at a time of the leader's monotonic clock.
func NewLeaseTable(now time.Duration, timing Timing) *LeaseTable {
	return &LeaseTable{timing: timing, Members: map[string]*Member{}, AllLeasesKnown: now + timing.MaxLease}
}

// Renew books a renewal that came at a time and tells whether the lease is granted. The grant counts only if the leader
// is found to be the leader still after that time.
func (t *LeaseTable) Renew(now time.Duration, r Renewal, rec *Record) bool {
	m := t.Members[r.Name]
	if m == nil {
		m = &Member{}
		t.Members[r.Name] = m
	}
	m.Renewal, m.LastRenewal = r, now
	if r.Leaving {
		m.LeaseEnd = now // its word that it acts no more
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

// Serves is how long another dispatcher that holds a lease has served as usual, in milliseconds, the longest.
func (t *LeaseTable) LongestServing(now time.Duration, except string) (longest int64) {
	for name, m := range t.Members {
		if name != except && now < m.LeaseEnd {
			longest = max(longest, m.ServingMS)
		}
	}
	return longest
}

// Bears is what replicas of each kind bear of one dispatcher's requests a second, for one that does not know: the lower median of what
// others say that may be acting, so that one that lies moves little, and nothing alone. Those who know share it with those who do not: it counts in their part.
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
			continue // one alone may lie
		}
		slices.Sort(all)
		rates[kind] = all[(len(all)-1)/2] * informed / holders
	}
	return rates
}

// sweep forgets, once in a while, who has not been heard for long.
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

// Next gives the entry that is due: a version that somebody turned down is turned down, one that all have checked who
// may be acting is put in force. Nil where nothing is due.
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

// try follows the dispatcher that goes first. It has proven the version once it has acted on it for TrialTime in one life.
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

// For gives the version that a dispatcher is to act on: the one in force, or the one that it tries first.
func (rec *Record) VersionFor(name string) *Version {
	if candidate := rec.InProgress(); candidate != nil && candidate.State == Canary && candidate.CanaryMember == name {
		return candidate
	}
	return rec.InForce()
}

// Blocks names the dispatchers that a version under way waits for.
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
