package dispatch

import (
	"errors"
	"time"

	"standpulley/logic"
)

// IntentRecorder is a request that must not run twice, of which others must find that it may have run. The intent to send an attempt is
// noted where they look, before its first byte leaves.
type IntentRecorder interface {
	// Begin notes an intent and calls then once, from any goroutine: with what takes the attempt's end, or with why it must not
	// be sent. It does not block.
	Begin(until time.Time, then func(end func(logic.Outcome), err error))
}

// MayHaveRun is an error of Begin where an earlier one has run or may have: no refusal, as trying again is of no use.
type MayHaveRun interface {
	error
	MayHaveRun() bool
}

// notedAfter is the advice to a client whose instruction can't be noted now.
const intentRetryAfter = time.Second

// note has an attempt wait until its intent is noted, then sends it. Only what could have an effect is noted.
func (d *Dispatcher) recordIntent(at *attempt, to Target) {
	if at.r.intents == nil || at.role == logic.Reader {
		d.transmit(at, to)
		return
	}
	at.recordingIntent = true
	at.r.intents.Begin(to.Until, func(end func(logic.Outcome), err error) { d.post(intentResult{at, to, end, err}) })
}

func (d *Dispatcher) transmit(at *attempt, to Target) {
	d.Counts.countSent(at)
	at.transport = at.r.payload.Send(to, at)
}

// noted comes when an attempt's intent is noted, or is not.
type intentResult struct {
	at  *attempt
	to  Target
	end func(logic.Outcome)
	err error
}

func (n intentResult) apply(d *Dispatcher) {
	at := n.at
	at.recordingIntent, at.endIntent = false, n.end
	switch {
	case n.err != nil:
		delete(at.r.inFlight, at.number)
		d.intentFailed(at.r, n.err)
		d.finishAttempt(at, Result{Outcome: logic.NotSent, Detail: n.err.Error()})
	case at.cancelled || at.r.answered:
		d.finishAttempt(at, Result{Outcome: logic.NotSent, Detail: "given up while it was noted"})
	default:
		d.transmit(at, n.to)
	}
}

// unnoted gives up a request that must not be sent on.
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
