package agree

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Limits of Within, the time after which nobody acts on a version that another one has taken the place of.
const (
	MinWithin     = 500 * time.Millisecond
	MaxWithin     = 30 * time.Second
	DefaultWithin = 2 * time.Second
)

// Timing is all that follows from Within.
type Timing struct {
	Within    time.Duration
	Tick      time.Duration // of the consensus, which beats once a tick
	Renew     time.Duration // between renewals of a lease, and the time that one may take
	AcceptFor time.Duration // since a renewal was sent, new work is taken for so long ...
	SendFor   time.Duration // ... and work that was taken is sent on for so long
	MaxLease  time.Duration // by any clock within the drift, no lease lasts longer than this
}

const (
	// ElectionTicks without a word from the leader, and a voter stands for election: at most twice as many.
	ElectionTicks = 8
	// Drift bounds how much faster or slower a dispatcher's monotonic clock may run: one part in so many.
	DriftDivisor = 200
)

// TimingOf derives the times. A lease must outlive the loss of a leader: a renewal, the longest election and the renewals
// that fail meanwhile come to 0.1 + 0.4 + 0.1 of Within, less than the 0.65 for which work is taken.
func TimingOf(within time.Duration) Timing {
	t := Timing{Within: within, Tick: within / 40, Renew: within / 10, AcceptFor: within * 65 / 100, SendFor: within * 8 / 10}
	t.AcceptFor -= t.AcceptFor / DriftDivisor
	t.SendFor -= t.SendFor / DriftDivisor
	t.MaxLease = t.SendFor + 2*t.SendFor/DriftDivisor
	return t
}

// Check refuses times that leases and heartbeats can't keep.
func (t Timing) Check() error {
	if t.Within < MinWithin || t.Within > MaxWithin {
		return fmt.Errorf("%v is not between %v and %v", t.Within, MinWithin, MaxWithin)
	}
	return nil
}

// Alone is what a dispatcher does whose lease is over.
type LeaseLossPolicy string

// The choices.
const (
	Stop LeaseLossPolicy = "stop" // take and send nothing
	Safe LeaseLossPolicy = "safe" // refuse what must not run twice, send the rest once, by the last version
	Hold LeaseLossPolicy = "hold" // go on by the last version; the promise does not cover it
)

// Valid tells whether the word is one of the choices.
func (a LeaseLossPolicy) Valid() bool { return a == Stop || a == Safe || a == Hold }

// ErrOver says that a dispatcher has lost its lease.
var ErrLeaseExpired = errors.New("this dispatcher has lost contact and can't know the settings in force")

// Lease is a dispatcher's leave to act on one version. Its ends are times of the dispatcher's own monotonic clock, since
// the start of the process, counted from when a renewal was sent. It may be read from any goroutine.
type Lease struct {
	Number      uint64
	Fingerprint string
	OnLeaseLoss LeaseLossPolicy

	acceptEnd, sendEnd atomic.Int64 // ends
	lateActs           atomic.Int64 // acts after the end, by choice (Hold, Safe)
}

// Renewed moves the ends on by a renewal that was sent at a time and named this version as the one in force.
func (l *Lease) Extend(sent time.Duration, t Timing) {
	for _, x := range []struct {
		end *atomic.Int64
		by  time.Duration
	}{{&l.acceptEnd, t.AcceptFor}, {&l.sendEnd, t.SendFor}} {
		if at := int64(sent + x.by); at > x.end.Load() {
			x.end.Store(at)
		}
	}
}

// Left is how long work may still be taken; none or less once the lease is over.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	return time.Duration(l.acceptEnd.Load()) - now
}

// Late counts acts after the end of the lease that Alone allowed: the promise does not cover them.
func (l *Lease) LateActs() int64 { return l.lateActs.Load() }

// MayTake says whether a new request may be taken; once is that its class must not run twice.
func (l *Lease) MayAccept(now time.Duration, atMostOnce bool) error {
	return l.allow(now < time.Duration(l.acceptEnd.Load()), atMostOnce)
}

// MaySend says whether an attempt may leave now. Again is that an earlier attempt of the request may have run.
func (l *Lease) MaySend(now time.Duration, atMostOnce, retry bool) error {
	return l.allow(now < time.Duration(l.sendEnd.Load()), atMostOnce || retry)
}

func (l *Lease) allow(leased, harmful bool) error {
	switch {
	case leased:
		return nil
	case l.OnLeaseLoss == Hold && l.Number > 0, l.OnLeaseLoss == Safe && !harmful && l.sendEnd.Load() > 0:
		l.lateActs.Add(1)
		return nil
	}
	return ErrLeaseExpired
}

// Ready tells whether clients may come.
func (l *Lease) Ready(now time.Duration) bool {
	return l.Remaining(now) > 0 || l.OnLeaseLoss == Hold && l.Number > 0 || l.OnLeaseLoss == Safe && l.sendEnd.Load() > 0
}

// Once tells whether every class must be treated as one that may run only once.
func (l *Lease) AtMostOnce(now time.Duration) bool {
	return l.OnLeaseLoss == Safe && l.Remaining(now) <= 0
}

// Mark names the version in what leaves the dispatcher.
func (l *Lease) SettingsVersion() string { return fmt.Sprintf("%d-%.8s", l.Number, l.Fingerprint) }
