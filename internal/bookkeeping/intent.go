package bookkeeping

import (
	"errors"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/internal/ledger"
	"standpulley/logic"
)

// note is an instruction as the core sees it.
type intentRecorder struct {
	k *Service
	i Instruction
}

// Note makes an instruction that this dispatcher takes known to the core. Named tells that it is known to be the same as others of
// its key: by a key that the client gave, or as a marked repeat.
func (k *Service) IntentRecorder(key ledger.Key, customer string, named bool) dispatch.IntentRecorder {
	return &intentRecorder{k: k, i: Instruction{Key: key, Customer: customer, Identified: named}}
}

// Begin is dispatch.Noted.
func (r *intentRecorder) Begin(until time.Time, then func(end func(logic.Outcome), err error)) {
	r.k.RecordIntent(&r.i, until, func(a ledger.Attempt, err error) {
		if err != nil {
			then(nil, err)
			return
		}
		then(func(o logic.Outcome) { r.k.RecordOutcome(&r.i, a, r.k.outcome(o)) }, nil)
	})
}

func (k *Service) outcome(o logic.Outcome) ledger.Outcome {
	if f := k.opt.Hooks.Outcome; f != nil {
		return f(o, outcomeOf(o))
	}
	return outcomeOf(o)
}

// outcomeOf reads how an attempt ended: only the proof that the wire gives makes it one that never ran.
func outcomeOf(o logic.Outcome) ledger.Outcome {
	switch o {
	case logic.Full, logic.ConnectFailed, logic.NotSent:
		return ledger.NeverRan
	case logic.Delivered:
		return ledger.Ran
	}
	return ledger.Intent
}

// twice is an error that tells of an earlier attempt.
type earlierAttemptError struct{ text string }

func (t *earlierAttemptError) Error() string    { return t.text }
func (t *earlierAttemptError) MayHaveRun() bool { return true }

// MayHaveRun tells whether an error says that an earlier attempt ran, or may have.
func MayHaveRun(err error) bool {
	var t *earlierAttemptError
	return errors.As(err, &t)
}
