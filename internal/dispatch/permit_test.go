package dispatch

import (
	"testing"
	"time"

	"standpulley/logic"
)

// violations counts what was found at run time of one rule.
func violations(d *Dispatcher, rule Cause) int { return d.Counts.Causes()[RuleViolated][rule] }

// What breaks a rule is found at run time, and what keeps to it is not.
func TestViolationsAreCounted(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		d, _, _ := clocked(t)
		k, p := take(d, "late", "safe")
		at := k.r.out[0]
		if breaks {
			k.r.deadline = d.clock().Add(-answerSlack - time.Millisecond)
		}
		d.overtime(k.r)
		if n := violations(d, AnsweredLate); (n > 0) != breaks {
			t.Errorf("breaks %v: %d late answers", breaks, n)
		}
		at.left.set(k.r.answeredAt + endSlack)
		if breaks {
			at.left.set(k.r.answeredAt + endSlack + time.Millisecond)
		}
		p.sent[0].tell.Ended(Result{Outcome: logic.Cancelled})
		drive(d)
		if n := violations(d, SentAfterEnd); (n > 0) != breaks {
			t.Errorf("breaks %v: %d sent after the end", breaks, n)
		}

		d, _, pass := clocked(t)
		rel := &withheld{}
		d.releaser = rel
		_, p = take(d, "held", "safe")
		end(d, p, logic.ReadDone)
		pass(250 * time.Millisecond)
		rel.then[0](!breaks)
		drive(d)
		pass(d.set.ReleaseWithin + heldSlack)
		if n := violations(d, HeldTooLong); (n > 0) != breaks {
			t.Errorf("breaks %v: %d held too long", breaks, n)
		}

		d, _ = core(t, 9)
		k, p = take(d, "twice", "unsafe")
		end(d, p, logic.ReadDone)
		k.r.ran = breaks
		end(d, p, logic.ConnectionLost)
		if n := violations(d, RepeatedUnproven); (n > 0) != breaks {
			t.Errorf("breaks %v: %d repeated", breaks, n)
		}

		d, _ = core(t, 9)
		k, _ = take(d, "open", "safe")
		if !breaks {
			d.overtime(k.r)
		}
		d.checkExit()
		if n := violations(d, UnansweredAtExit); (n > 0) != breaks {
			t.Errorf("breaks %v: %d unanswered at the exit", breaks, n)
		}
	}
}
