package clusterstate

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Limits of Within, the time after which no dispatcher acts on a version that a conflicting one
// has replaced.
const (
	MinWithin     = 500 * time.Millisecond
	MaxWithin     = 30 * time.Second
	DefaultWithin = 2 * time.Second
)

// Timing holds the intervals that are derived from Within.
type Timing struct {
	Within    time.Duration
	Tick      time.Duration // of the consensus; the leader sends a heartbeat each tick
	Renew     time.Duration // between renewals of a lease, and the time that a renewal may take
	AcceptFor time.Duration // how long new requests are accepted, counted from when a renewal was sent
	SendFor   time.Duration // how long attempts of accepted requests are sent, counted in the same way
	MaxLease  time.Duration // no lease lasts longer than this, by any clock within the drift
}

const (
	// ElectionTicks without a message from the leader make a voter start an election. The actual
	// number is random, up to twice as many.
	ElectionTicks = 8
	// DriftDivisor bounds the drift of a dispatcher's monotonic clock: it may run faster or slower
	// by one part in so many.
	DriftDivisor = 200
)

// TimingOf derives the intervals. A lease must outlive the loss of the leader: a renewal, the longest
// election and the renewals that fail meanwhile take 0.1 + 0.4 + 0.1 of Within, less than the 0.65
// for which new requests are accepted.
func TimingOf(within time.Duration) Timing {
	t := Timing{Within: within, Tick: within / 40, Renew: within / 10, AcceptFor: within * 65 / 100, SendFor: within * 8 / 10}
	t.AcceptFor -= t.AcceptFor / DriftDivisor
	t.SendFor -= t.SendFor / DriftDivisor
	t.MaxLease = t.SendFor + 2*t.SendFor/DriftDivisor
	return t
}

// Check returns an error if Within is outside the limits that leases and heartbeats can keep to.
func (t Timing) Check() error {
	if t.Within < MinWithin || t.Within > MaxWithin {
		return fmt.Errorf("%v is not between %v and %v", t.Within, MinWithin, MaxWithin)
	}
	return nil
}

// LeaseLossPolicy selects what a dispatcher does after its lease has expired.
type LeaseLossPolicy string

// The policies.
const (
	Stop LeaseLossPolicy = "stop" // accept and send nothing
	// refuse requests that must not run twice, send others once, by the last version
	Safe LeaseLossPolicy = "safe"
	Hold LeaseLossPolicy = "hold" // go on by the last version; the bound of Within does not hold then
)

// Valid reports whether the policy is a known one.
func (a LeaseLossPolicy) Valid() bool { return a == Stop || a == Safe || a == Hold }

// ErrLeaseExpired is returned for requests and attempts of a dispatcher whose lease has expired.
var ErrLeaseExpired = errors.New("this dispatcher has lost contact and can't know the settings in force")

// Lease permits a dispatcher to act on one version for a limited time. Its ends are times of the
// dispatcher's own monotonic clock since the start of the process, counted from when a renewal was
// sent. It is safe for concurrent use.
type Lease struct {
	Number      uint64 // of the version
	Fingerprint string
	OnLeaseLoss LeaseLossPolicy

	acceptEnd, sendEnd atomic.Int64 // ends of accepting requests and of sending attempts
	// requests and attempts after the end, permitted by OnLeaseLoss (Hold, Safe)
	lateActs atomic.Int64
}

// Extend moves the ends forward for a renewal that was sent at the given time and answered with
// this version as the one in force.
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

// Remaining returns how long new requests may still be accepted; it is not positive once the lease
// has expired.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	return time.Duration(l.acceptEnd.Load()) - now
}

// LateActs returns how many requests were accepted and attempts sent after the end of the lease, as
// OnLeaseLoss permitted. The bound of Within does not hold for them.
func (l *Lease) LateActs() int64 { return l.lateActs.Load() }

// MayAccept returns an error if a new request may not be accepted. atMostOnce is set if its class
// must not run twice.
func (l *Lease) MayAccept(now time.Duration, atMostOnce bool) error {
	return l.allow(now < time.Duration(l.acceptEnd.Load()), atMostOnce)
}

// MaySend returns an error if an attempt may not be sent now. retry is set if an earlier attempt of
// the request may have run.
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

// Ready reports whether the dispatcher may serve clients.
func (l *Lease) Ready(now time.Duration) bool {
	return l.Remaining(now) > 0 || l.OnLeaseLoss == Hold && l.Number > 0 || l.OnLeaseLoss == Safe && l.sendEnd.Load() > 0
}

// AtMostOnce reports whether requests of every class must be sent at most once.
func (l *Lease) AtMostOnce(now time.Duration) bool {
	return l.OnLeaseLoss == Safe && l.Remaining(now) <= 0
}

// SettingsVersion returns the label of the version in messages that leave the dispatcher.
func (l *Lease) SettingsVersion() string { return fmt.Sprintf("%d-%.8s", l.Number, l.Fingerprint) }
