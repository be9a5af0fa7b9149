package dispatch

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"standpulley/logic"
)

// This file is the only place that decides whether a step is allowed for a request: whether an
// attempt may be sent, may repeat an earlier one and may still send its first byte, whether an
// answer may say that retrying is harmless, whether held state may be released, and whether the
// request may be forgotten. These decisions rest on proof only, never on the apparent success of a
// local call: written bytes may not have arrived, a connection closed here may still be open on the
// other side, and a clock reading is already in the past when it is used. At the end of each step
// the rules are checked again against what happened. A violation is counted as RuleViolated and
// logged with the request.

// Rules that are checked at run time.
const (
	// AnsweredLate: the final answer came more than answerSlack (500 ms) after the deadline.
	AnsweredLate Cause = "answered_late"
	// SentAfterEnd: the first byte of an attempt was sent after its request was answered.
	SentAfterEnd Cause = "sent_after_end"
	// RepeatedUnproven: a request that must not run twice was sent again without proof that it
	// never ran.
	RepeatedUnproven Cause = "repeated_unproven"
	HeldTooLong      Cause = "held_too_long"      // state was neither fetched nor released in time
	UnansweredAtExit Cause = "unanswered_at_exit" // the core stopped with an unanswered request
)

const (
	// answerSlack is how long after the deadline an answer only loses its value. A later one breaks
	// a rule.
	answerSlack = 500 * time.Millisecond
	// endSlack is how soon after the end of its request an attempt may be sent without a violation,
	// because it could not have known about the end.
	endSlack  = 100 * time.Millisecond
	heldSlack = 300 * time.Millisecond // added by the protocol to the time for which state may be held
	// maxPause is how long this process may be paused between a clock reading and the step that
	// relies on it.
	maxPause = 150 * time.Millisecond
)

// recordViolation counts and logs a violation of a rule.
func (d *Dispatcher) recordViolation(rule Cause, format string, args ...any) {
	d.Counts.Count(RuleViolated, rule, fmt.Sprintf(format, args...))
}

// maySend reports whether a request may be sent to a server.
func (d *Dispatcher) maySend(r *request, s *Server) bool {
	return s != nil && s.Availability == logic.Ready && !r.answered && d.mayRepeat(r)
}

// mayRepeat applies the rule on repeats: a request that must not run twice is sent again only if
// every earlier attempt is proven never to have run and none is in flight. An attempt that was
// given up gives no such proof, even at a reader, because the close of its connection does not
// reach a machine that is cut off.
func (d *Dispatcher) mayRepeat(r *request) bool {
	if r.sent > d.settings.MaxAttempts {
		return false
	}
	return r.class.Repeat != logic.Unsafe && !(d.lease != nil && d.lease.AtMostOnce()) || len(r.inFlight) == 0 && !r.uncertain()
}

// Reasons why a routed attempt must not be sent any more.
var (
	ErrNoLease            = errors.New("there is no licence to send")
	ErrWithdrawn          = errors.New("the server was withdrawn meanwhile")
	ErrRepeatWindowClosed = errors.New("the window for repeats has closed")
	ErrClientGone         = errors.New("the client has gone")
)

// beforeSend returns the check that every kind of attempt makes before its first byte. The lease is
// checked before the list of servers: a lease that was renewed since the attempt was routed may
// come with a newer list, and that list is applied before the lease is renewed. Replicas discard
// the repeats of a keyed request only within a time window, and both connecting and pauses of this
// process use up part of it.
func (d *Dispatcher) beforeSend(at *attempt, s *Server) func() error {
	r := at.request
	lease, once, repeat := d.lease, r.class.Repeat == logic.Unsafe, r.uncertain() || len(r.inFlight) > 1 || r.spec.Resumed
	var closes time.Time
	if r.uncertain() && r.class.Repeat == logic.Keyed {
		closes = r.uncertainSince.Add(r.class.Window)
	}
	return func() error {
		if lease != nil {
			if err := lease.MaySend(once, repeat); err != nil {
				return errors.Join(ErrNoLease, err)
			}
		}
		if r.isClientGone() {
			return ErrClientGone
		}
		if s.withdrawn.Load() {
			return ErrWithdrawn
		}
		if !closes.IsZero() && !time.Now().Add(maxPause).Before(closes) {
			return ErrRepeatWindowClosed
		}
		at.firstByte.set(d.now())
		return nil
	}
}

// claim claims the id of a request that must not run twice, and reports whether the request may go
// on. It may not if a request with the same id may have run before, or is open at another process.
func (d *Dispatcher) claim(r *request) bool {
	if d.Claims == nil || r.class.Repeat == logic.Safe {
		return true
	}
	r.claimed = d.Claims.Claim(r.identity)
	return r.claimed
}

// releaseClaim gives the claim of a request back when it is forgotten, if its client may send it
// again: it was refused, or it is proven not to have run.
func (d *Dispatcher) releaseClaim(r *request) {
	if r.claimed && (r.verdict == Refused || !r.mayRun() && !r.uncertain()) {
		d.Claims.Release(r.identity)
	}
}

// mayRefuse reports whether retrying the request is harmless: it may run any number of times, all
// replicas discard its repeats, or it is proven not to have run. An attempt in flight proves
// nothing yet, even at a reader, and neither does a read that was given up.
func (r *request) mayRefuse() bool {
	if r.class == nil || r.class.Repeat == logic.Safe || r.class.Repeat == logic.Keyed && r.class.Scope == logic.AllServers {
		return true
	}
	return !r.mayRun() && !r.maybeSent() && !r.unresolved
}

// uncertain reports whether an attempt that has ended may have run or may still be running.
func (r *request) uncertain() bool { return r.mayHaveRun || r.unresolved }

// mayRun reports whether any attempt ran, may have run or may still run. The rest of a stream is
// requested only after an attempt ran.
func (r *request) mayRun() bool {
	if r.spec.Resumed {
		return true
	}
	for _, at := range r.inFlight {
		if at.role != logic.Reader && !at.recordingIntent {
			return true
		}
	}
	return r.mayHaveRun
}

// mayRelease reports whether the state held for an open request may be released. It may not while a
// read is in flight, because the state of that read would be released too.
func (r *request) mayRelease() bool { return r.held.addr != "" && !r.hasAttemptAt(logic.Reader) }

// mayHold reports whether a replica may hold state for a request. None does if no attempt has
// reached a replica.
func (r *request) mayHold() bool { return r.reachedReplica || r.held.addr != "" || r.maybeSent() }

// mayForget reports whether nothing more needs to be done for a request.
func (d *Dispatcher) mayForget(r *request) bool {
	return r.answered && len(r.inFlight) == 0 && !r.held.releasePending && d.requests[r.id] == r
}

// maybeSent reports whether an attempt is in flight of which bytes may have been sent.
func (r *request) maybeSent() bool {
	for _, at := range r.inFlight {
		if !at.recordingIntent {
			return true
		}
	}
	return false
}

// firstByteTime is the time at which the first byte of an attempt was sent, for the check at its
// end.
type firstByteTime struct{ ns atomic.Int64 } // by the module's clock; 0: not sent

func (l *firstByteTime) set(at time.Duration) { l.ns.Store(int64(max(at, 1))) }

// checkEnd checks the rules on sending and repeating when an attempt ends.
func (d *Dispatcher) checkEnd(at *attempt, out logic.Outcome) {
	r, firstByte := at.request, time.Duration(at.firstByte.ns.Load())
	if firstByte > 0 && r.answered && firstByte > r.answeredAt+endSlack {
		d.recordViolation(SentAfterEnd, "%s attempt %d at %s, %v after its end", r.id, at.number, at.server, firstByte-r.answeredAt)
	}
	if r.class.Repeat != logic.Unsafe || neverRan(out) || at.role == logic.Reader {
		return
	}
	if r.mayHaveRun {
		d.recordViolation(RepeatedUnproven, "%s attempt %d at %s", r.id, at.number, at.server)
	}
}

// checkAnswer checks the rule on the time of a final answer.
func (d *Dispatcher) checkAnswer(r *request) {
	if late := d.clock().Sub(r.deadline); !r.deadline.IsZero() && late > answerSlack {
		d.recordViolation(AnsweredLate, "%s %v after its deadline", r.id, late)
	}
}

// checkHeld checks, when the time for which state may be held is over, that a fetch or a release
// was confirmed.
func (d *Dispatcher) checkHeld(r *request) {
	stateID := r.held.stateID
	d.afterFor(r, d.settings.ReleaseWithin+heldSlack, func() {
		if r.held.stateID == stateID && r.held.addr != "" && !r.hasAttemptAt(logic.Reader) && d.requests[r.id] == r {
			d.recordViolation(HeldTooLong, "%s at %s", r.id, r.held.addr)
		}
	})
}

// checkExit checks for unanswered requests when the core stops.
func (d *Dispatcher) checkExit() {
	for _, r := range d.requests {
		if !r.answered {
			d.recordViolation(UnansweredAtExit, "%s", r.id)
		}
	}
}
