package dispatch

import (
	"errors"
	"time"

	"standpulley/logic"
)

// IntentRecorder records the intents to send attempts of a request that must not run twice, so that
// others can find out that it may have run. An intent is recorded before the first byte of the
// attempt is sent.
type IntentRecorder interface {
	// Begin records an intent without blocking. It then calls then once, from any goroutine: with a
	// function that takes the outcome of the attempt, or with the reason why the attempt must not
	// be sent.
	Begin(until time.Time, then func(end func(logic.Outcome), err error))
}

// MayHaveRun is an error of Begin, returned if an earlier attempt ran or may have run. The request
// then fails and is not refused, as retrying would be of no use.
type MayHaveRun interface {
	error
	MayHaveRun() bool
}

// intentRetryAfter is the retry advice to a client whose intent cannot be recorded now.
const intentRetryAfter = time.Second

// recordIntent records the intent of an attempt and then sends it. Reads have no effect and are
// sent without a record.
func (d *Dispatcher) recordIntent(at *attempt, to Target) {
	if at.request.intents == nil || at.role == logic.Reader {
		d.transmit(at, to)
		return
	}
	at.recordingIntent = true
	at.request.intents.Begin(to.Until, func(end func(logic.Outcome), err error) { d.post(intentResult{at, to, end, err}) })
}

func (d *Dispatcher) transmit(at *attempt, to Target) {
	d.Counts.countSent(at)
	at.transport = at.request.payload.Send(to, at)
}

// intentResult is posted when the intent of an attempt was recorded or could not be recorded.
type intentResult struct {
	attempt *attempt
	target  Target
	end     func(logic.Outcome)
	err     error
}

func (n intentResult) apply(d *Dispatcher) {
	at := n.attempt
	at.recordingIntent, at.endIntent = false, n.end
	switch {
	case n.err != nil:
		delete(at.request.inFlight, at.number)
		d.intentFailed(at.request, n.err)
		d.finishAttempt(at, Result{Outcome: logic.NotSent, Detail: n.err.Error()})
	case at.cancelled || at.request.answered:
		d.finishAttempt(at, Result{Outcome: logic.NotSent, Detail: "given up while it was noted"})
	default:
		d.transmit(at, n.target)
	}
}

// intentFailed answers a request whose intent could not be recorded.
func (d *Dispatcher) intentFailed(r *request, err error) {
	var ran MayHaveRun
	switch {
	case r.answered:
	case errors.As(err, &ran) && ran.MayHaveRun():
		r.mayHaveRun = true
		d.giveUp(r, Answer{Verdict: Failed, Reason: err.Error()}, NotRecorded)
	default:
		d.giveUp(r, Answer{Verdict: Refused, RetryAfter: intentRetryAfter, Reason: err.Error()}, NotRecorded)
	}
}
