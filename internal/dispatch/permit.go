package dispatch

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"standpulley/logic"
)

// This file is the one place that decides whether something of a request may be done now: whether an attempt may be sent, may repeat an
// earlier one and may still leave, whether an answer may say that trying again is harmless, whether what is held may be released, and
// whether the request may be forgotten. What is decided here is decided by what is proven, never by what a call of this machine's own
// seemed to achieve: bytes that were written have not arrived, a connection that was closed is not closed on the other side, and a time
// that was read is past when it is acted on. At the end of each step the rules are checked again by what happened; what does not hold is
// counted as RuleViolated and logged with the request.

// The rules that are checked at run time.
const (
	AnsweredLate     Cause = "answered_late"      // the final answer came over half a second after the deadline
	SentAfterEnd     Cause = "sent_after_end"     // an attempt's first byte left after its request had its answer
	RepeatedUnproven Cause = "repeated_unproven"  // what must not run twice was sent again without proof
	HeldTooLong      Cause = "held_too_long"      // a state was neither fetched nor released in its time
	UnansweredAtExit Cause = "unanswered_at_exit" // the core stopped with a request that had no answer
)

const (
	answerSlack = 500 * time.Millisecond // after the deadline an answer only earns nothing; later it breaks a rule
	endSlack    = 100 * time.Millisecond // an attempt that left so soon after its request's end could not know of it
	heldSlack   = 300 * time.Millisecond // that the protocol adds to the time for which a state may be held
	// heldUp is how long this process may be held up between a look at the clock and what follows from it.
	maxPause = 150 * time.Millisecond
)

// violated books a rule that did not hold.
func (d *Dispatcher) recordViolation(rule Cause, format string, args ...any) {
	d.Counts.Count(RuleViolated, rule, fmt.Sprintf(format, args...))
}

// maySend tells whether a request may go to a server at all.
func (d *Dispatcher) maySend(r *request, s *Server) bool {
	return s != nil && s.Availability == logic.Ready && !r.answered && d.mayRepeat(r)
}

// mayRepeat holds the rule on repeats: a request that must not run twice goes out again only when every earlier
// attempt is proven never to have run, and none is out. What was given up proves neither, at a reader either: the close of its connection
// does not come to a machine that is cut off.
func (d *Dispatcher) mayRepeat(r *request) bool {
	if r.sent > d.set.MaxAttempts {
		return false
	}
	return r.class.Repeat != logic.Unsafe && !(d.lease != nil && d.lease.AtMostOnce()) || len(r.inFlight) == 0 && !r.uncertain()
}

// Why an attempt may not leave any more, though it was routed.
var (
	ErrNoLease            = errors.New("there is no licence to send")
	ErrWithdrawn          = errors.New("the server was withdrawn meanwhile")
	ErrRepeatWindowClosed = errors.New("the window for repeats has closed")
	ErrClientGone         = errors.New("the client has gone")
)

// leave is what an attempt at a server asks before its first byte, whatever kind of send it is. A lease that was renewed since the
// attempt was routed goes with a list that may be newer than the one it was routed by; as that list is acted on before the lease is
// renewed, the lease is asked first. Where replicas throw repeats away they do so only for a time, which connecting takes from, and so does whatever holds this process up.
func (d *Dispatcher) beforeSend(at *attempt, s *Server) func() error {
	r := at.r
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

// refusable tells whether trying again is harmless: the request runs as often as it likes, all replicas throw its repeats away, or it is
// proven that it has not run. What is out proves nothing yet, not even at a reader, nor does a read that was given up.
func (r *request) mayRefuse() bool {
	if r.class == nil || r.class.Repeat == logic.Safe || r.class.Repeat == logic.Keyed && r.class.Scope == logic.AllServers {
		return true
	}
	return !r.mayRun() && !r.maybeSent() && !r.unresolved
}

// unsure tells whether an attempt that has ended may have run, or may be out yet.
func (r *request) uncertain() bool { return r.mayHaveRun || r.unresolved }

// mayRun tells whether any attempt has run, or may have, or may yet. The rest of a stream is asked for after one ran.
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

// mayRelease tells whether what is held for an open request may be let go: what a read in progress will leave would go with it.
func (r *request) mayRelease() bool { return r.held.addr != "" && !r.hasAttemptAt(logic.Reader) }

// mayHold tells whether a replica may hold something for a request: not where no attempt has come to one.
func (r *request) mayHold() bool { return r.reachedReplica || r.held.addr != "" || r.maybeSent() }

// mayForget tells whether nothing is owed of a request any more.
func (d *Dispatcher) mayForget(r *request) bool {
	return r.answered && len(r.inFlight) == 0 && !r.held.releasePending && d.requests[r.id] == r
}

// away tells whether an attempt is out that has left, or may have.
func (r *request) maybeSent() bool {
	for _, at := range r.inFlight {
		if !at.recordingIntent {
			return true
		}
	}
	return false
}

// leftAt is when an attempt's first byte left, for the check at its end.
type firstByteTime struct{ ns atomic.Int64 } // since the core was made; 0: not yet

func (l *firstByteTime) set(at time.Duration) { l.ns.Store(int64(max(at, 1))) }

// checkEnd holds what happened to an attempt against the rules.
func (d *Dispatcher) checkEnd(at *attempt, out logic.Outcome) {
	r, firstByte := at.r, time.Duration(at.firstByte.ns.Load())
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

// checkAnswer holds the time of a final answer against the rule.
func (d *Dispatcher) checkAnswer(r *request) {
	if late := d.clock().Sub(r.deadline); !r.deadline.IsZero() && late > answerSlack {
		d.recordViolation(AnsweredLate, "%s %v after its deadline", r.id, late)
	}
}

// checkHeld looks, when a state must be gone, whether a fetch or a release was confirmed.
func (d *Dispatcher) checkHeld(r *request) {
	stateID := r.held.stateID
	d.after(d.set.ReleaseWithin+heldSlack, func() {
		if r.held.stateID == stateID && r.held.addr != "" && !r.hasAttemptAt(logic.Reader) && d.requests[r.id] == r {
			d.recordViolation(HeldTooLong, "%s at %s", r.id, r.held.addr)
		}
	})
}

// checkExit looks for requests without an answer as the core stops.
func (d *Dispatcher) checkExit() {
	for _, r := range d.requests {
		if !r.answered {
			d.recordViolation(UnansweredAtExit, "%s", r.id)
		}
	}
}
