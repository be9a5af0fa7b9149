package dispatch

import (
	"testing"

	"standpulley/internal/dedup"
	"standpulley/logic"
)

// TestClaimIsGivenBackOnlyWithProof guards against an id that may run a second time: its claim is
// given back only if the request was refused or is proven not to have run.
func TestClaimIsGivenBackOnlyWithProof(t *testing.T) {
	for name, x := range map[string]struct {
		class string
		end   func(d *Dispatcher, k *Ticket, p *fakePayload)
		free  bool
	}{
		"served": {"unsafe", func(d *Dispatcher, k *Ticket, p *fakePayload) {
			endAttempt(d, p, logic.ReadDone)
			p.sent[1].observer.Began(&fakeStream{})
			processAll(d)
			endAttempt(d, p, logic.Delivered)
		}, false},
		"broken off": {"unsafe", func(d *Dispatcher, k *Ticket, p *fakePayload) {
			endAttempt(d, p, logic.ReadDone)
			endAttempt(d, p, logic.ConnectionLost)
		}, false},
		"left at a writer": {"unsafe", func(d *Dispatcher, k *Ticket, p *fakePayload) {
			endAttempt(d, p, logic.ReadDone)
			k.Abandon()
			processAll(d)
			endAttempt(d, p, logic.Cancelled)
		}, false},
		"left at a reader that may go on": {"unsafe", func(d *Dispatcher, k *Ticket, p *fakePayload) {
			k.Abandon()
			processAll(d)
			endAttempt(d, p, logic.Cancelled)
		}, false},
		"left before anything was sent": {"unsafe", func(d *Dispatcher, k *Ticket, p *fakePayload) {
			k.Abandon()
			processAll(d)
			endAttempt(d, p, logic.NotSent)
		}, true},
		"refused": {"unsafe", func(d *Dispatcher, k *Ticket, p *fakePayload) {
			endAttempt(d, p, logic.NotSent)
			d.AnswerPending()
			processAll(d)
		}, true},
		"safe to repeat": {"safe", func(d *Dispatcher, k *Ticket, p *fakePayload) {
			endAttempt(d, p, logic.ReadDone)
			endAttempt(d, p, logic.ConnectionLost)
			d.AnswerPending()
			processAll(d)
			for len(d.requests) > 0 {
				endAttempt(d, p, logic.NotSent)
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newCore(t, 9)
			d.Claims = dedup.New()
			k, p := submit(d, "a", x.class)
			other, _ := submit(d, "a", x.class)
			if a := answerOf(t, other); a.Verdict != Failed {
				t.Errorf("while the first is open: %+v", a)
			}
			x.end(d, k, p)
			for n := len(p.sent) - 1; len(d.requests) > 0 && n >= 0; n-- { // what is still in flight was not sent
				p.sent[n].observer.Ended(Result{Outcome: logic.NotSent})
				processAll(d)
			}
			if free := d.Claims.Claim("a"); free != x.free {
				t.Errorf("free: %v", free)
			}
		})
	}
}
