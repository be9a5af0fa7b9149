package dispatch

import (
	"errors"
	"time"

	"standpulley/logic"
)

// Lease is the permission to act by the settings in force, where dispatchers agree on settings. As
// it may expire at any moment, it is checked when a request is admitted and again right before the
// first byte of an attempt is sent. Its methods may be called from any goroutine. A nil Lease means
// that the core may always act.
type Lease interface {
	// MayAdmit returns an error if a new request must not be admitted.
	MayAdmit(q Admission) error
	// MaySend returns an error if an attempt must not be sent now. The argument once is true if the
	// class must not run twice, and again is true if an earlier attempt of the request may have run.
	MaySend(once, again bool) error
	// AtMostOnce reports whether every class must be treated as one that must not run twice.
	AtMostOnce() bool
	// Ready reports whether new clients should come.
	Ready() bool
	// SettingsVersion returns the version of the settings, which is passed on to clients and
	// replicas.
	SettingsVersion() string
}

// Admission describes a request that is to be admitted.
type Admission struct {
	Class      string
	Tenant     string
	Retry      bool // the client has tried before
	AtMostOnce bool // the class must not run twice
}

// SetLease makes the core act under a lease. It must be called before Run or on the core's
// goroutine.
func (d *Dispatcher) SetLease(l Lease) {
	d.lease = l
	d.Phases.setLeaseCheck(l.Ready)
}

// noLeaseRetryAfter is the retry advice to a client that is refused for lack of a lease: after
// about that time contact with the other dispatchers is restored, or another dispatcher answers.
const noLeaseRetryAfter = time.Second

// retryAfterOf returns the retry advice that an error carries, or else noLeaseRetryAfter.
func retryAfterOf(err error) time.Duration {
	var advice interface{ After() time.Duration }
	if errors.As(err, &advice) {
		return advice.After()
	}
	return noLeaseRetryAfter
}

// noSettingsVersion is given as the version where no settings applied, because there was no lease.
const noSettingsVersion = "none"

// giveUpWithoutLease refuses a request that must not be sent for lack of a lease.
func (d *Dispatcher) giveUpWithoutLease(r *request) {
	if !r.answered && !r.maybeSent() {
		d.giveUp(r, Answer{Verdict: Refused, RetryAfter: noLeaseRetryAfter, SettingsVersion: noSettingsVersion, Reason: "this dispatcher may not act: it has lost contact with the others"}, NoLease)
	}
}

func (d *Dispatcher) settingsVersion() string {
	if d.lease == nil {
		return ""
	}
	return d.lease.SettingsVersion()
}

// applyStricterRepeats makes open requests follow the stricter of two rules on repeats: the one
// they were admitted under and the one now in force.
func (d *Dispatcher) applyStricterRepeats() {
	for _, r := range d.requests {
		for _, c := range d.settings.Classes {
			if c.Name == r.class.Name && c.Repeat == logic.Unsafe && r.class.Repeat != logic.Unsafe {
				stricter := *r.class
				stricter.Repeat = logic.Unsafe
				r.class = &stricter
			}
		}
	}
}
