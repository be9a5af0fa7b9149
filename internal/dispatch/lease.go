package dispatch

import (
	"errors"
	"time"

	"standpulley/logic"
)

// Lease is leave to act by the settings in force, where dispatchers agree on them. It may run out at any moment, so it
// is asked where something is taken and once more right before the first byte of an attempt leaves. It is read from any
// goroutine. Without one (nil) the core always has leave.
type Lease interface {
	// MayAdmit says why a new request may not be taken.
	MayAdmit(q Admission) error
	// MaySend says why an attempt may not leave now. Again is that an earlier one of its request may have run.
	MaySend(once, again bool) error
	// AtMostOnce tells whether every class must be treated as one that may run only once.
	AtMostOnce() bool
	// Ready tells whether clients may come.
	Ready() bool
	// SettingsVersion names the settings, for who hears of what was done by them.
	SettingsVersion() string
}

// Admission is what is to be taken.
type Admission struct {
	Class      string
	Tenant     string
	Retry      bool // its client has tried before
	AtMostOnce bool // its class must not run twice
}

// SetLease puts the core under a licence; before Run, or on its goroutine.
func (d *Dispatcher) SetLease(l Lease) {
	d.lease = l
	d.Phases.setLeaseCheck(l.Ready)
}

// lapsedAfter is the advice to a client that is refused for want of leave: contact is found again in about that time, or
// another dispatcher answers.
const noLeaseRetryAfter = time.Second

// comeBack is when a client that finds no leave should come back, by the error if that says so.
func retryAfterOf(err error) time.Duration {
	var says interface{ After() time.Duration }
	if errors.As(err, &says) {
		return says.After()
	}
	return noLeaseRetryAfter
}

// noMark marks what was decided by no settings: there was no leave to act by any.
const noSettingsVersion = "none"

// lapsed gives up a request that may not be sent on for want of leave.
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

// strictly keeps the requests that are open to the stricter of the rules on repeats: those they came with, and those in
// force from now on.
func (d *Dispatcher) applyStricterRepeats() {
	for _, r := range d.requests {
		for _, c := range d.set.Classes {
			if c.Name == r.class.Name && c.Repeat == logic.Unsafe && r.class.Repeat != logic.Unsafe {
				stricter := *r.class
				stricter.Repeat = logic.Unsafe
				r.class = &stricter
			}
		}
	}
}
