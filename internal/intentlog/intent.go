package intentlog

import (
	"errors"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/internal/ledger"
	"standpulley/logic"
)

// intentRecorder implements dispatch.IntentRecorder for one instruction.
type intentRecorder struct {
	service     *Service
	instruction Instruction
}

// IntentRecorder returns the recorder that the core uses for an instruction that this dispatcher
// takes. Identified tells that requests with this key are known to be the same instruction, as the
// client gave the key or marked the request as a repeat.
func (s *Service) IntentRecorder(key ledger.Key, customer string, identified bool) dispatch.IntentRecorder {
	return &intentRecorder{service: s, instruction: Instruction{Key: key, Customer: customer, Identified: identified}}
}

// Begin implements dispatch.IntentRecorder.
func (r *intentRecorder) Begin(until time.Time, then func(end func(logic.Outcome), err error)) {
	r.service.RecordIntent(&r.instruction, until, func(a ledger.Attempt, err error) {
		if err != nil {
			then(nil, err)
			return
		}
		then(func(o logic.Outcome) { r.service.RecordOutcome(&r.instruction, a, r.service.outcome(o)) }, nil)
	})
}

func (s *Service) outcome(o logic.Outcome) ledger.Outcome {
	if f := s.opt.Hooks.Outcome; f != nil {
		return f(o, outcomeOf(o))
	}
	return outcomeOf(o)
}

// outcomeOf converts the outcome of an attempt as the core reports it. Only outcomes for which the
// transport proves that nothing ran become NeverRan.
func outcomeOf(o logic.Outcome) ledger.Outcome {
	switch o {
	case logic.Full, logic.ConnectFailed, logic.NotSent:
		return ledger.NeverRan
	case logic.Delivered:
		return ledger.Ran
	}
	return ledger.Intent
}

// earlierAttemptError says that an earlier attempt of an instruction ran or may have run.
type earlierAttemptError struct{ text string }

func (t *earlierAttemptError) Error() string    { return t.text }
func (t *earlierAttemptError) MayHaveRun() bool { return true }

// MayHaveRun reports whether err says that an earlier attempt ran or may have run.
func MayHaveRun(err error) bool {
	var t *earlierAttemptError
	return errors.As(err, &t)
}
