package dispatch

import (
	"testing"
	"time"

	"standpulley/logic"
)

// violations returns the number of violations of a rule.
func violations(d *Dispatcher, rule Cause) int { return d.Counts.Causes()[RuleViolated][rule] }

// TestViolationsAreCounted checks that violations of each rule are counted at run time, and that
// steps that follow the rules are not.
func TestViolationsAreCounted(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		d, _, _ := newClockedCore(t)
		k, p := submit(d, "late", "safe")
		at := k.request.inFlight[0]
		if breaks {
			k.request.deadline = d.clock().Add(-answerSlack - time.Millisecond)
		}
		d.deadlinePassed(k.request)
		if n := violations(d, AnsweredLate); (n > 0) != breaks {
			t.Errorf("violation %v: %d late answers", breaks, n)
		}
		at.firstByte.set(k.request.answeredAt + endSlack)
		if breaks {
			at.firstByte.set(k.request.answeredAt + endSlack + time.Millisecond)
		}
		p.sent[0].observer.Ended(Result{Outcome: logic.Cancelled})
		processAll(d)
		if n := violations(d, SentAfterEnd); (n > 0) != breaks {
			t.Errorf("violation %v: %d sent after the end", breaks, n)
		}

		d, _, advance := newClockedCore(t)
		rel := &manualReleaser{}
		d.releaser = rel
		_, p = submit(d, "held", "safe")
		endAttempt(d, p, logic.ReadDone)
		advance(250 * time.Millisecond)
		rel.confirm[0](!breaks)
		processAll(d)
		advance(d.settings.ReleaseWithin + heldSlack)
		if n := violations(d, HeldTooLong); (n > 0) != breaks {
			t.Errorf("violation %v: %d held too long", breaks, n)
		}

		d, _ = newCore(t, 9)
		k, p = submit(d, "twice", "unsafe")
		endAttempt(d, p, logic.ReadDone)
		k.request.mayHaveRun = breaks
		endAttempt(d, p, logic.ConnectionLost)
		if n := violations(d, RepeatedUnproven); (n > 0) != breaks {
			t.Errorf("violation %v: %d repeated", breaks, n)
		}

		d, _ = newCore(t, 9)
		k, _ = submit(d, "open", "safe")
		if !breaks {
			d.deadlinePassed(k.request)
		}
		d.checkExit()
		if n := violations(d, UnansweredAtExit); (n > 0) != breaks {
			t.Errorf("violation %v: %d unanswered at exit", breaks, n)
		}
	}
}
