package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// Guards: no attempt begins once the client has gone, at either stage, also while the core is too busy to hear of it: what it has posted
// stays in the inbox here as the attempt comes to its first byte.
func TestNoAttemptStartsAfterClientIsGone(t *testing.T) {
	for _, stage := range []logic.Role{logic.Reader, logic.Writer} {
		for _, how := range []string{"its watch has noticed", "its connection shows it"} {
			d, rel := newCore(t, 9)
			gone := false
			p := &fakePayload{}
			k := d.Submit(Request{ID: "a", Received: time.Now(), Payload: p, ClientGone: func() bool { return gone },
				Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second, PromptTokens: 10}})
			processAll(d)
			if stage == logic.Writer {
				endAttempt(d, p, logic.ReadDone)
			}
			at := p.sent[len(p.sent)-1]
			if err := at.target.BeforeSend(); err != nil {
				t.Fatalf("while the client is there: %v", err)
			}
			if gone = true; how == "its watch has noticed" {
				gone = false
				k.Abandon()
			}
			if err := at.target.BeforeSend(); !errors.Is(err, ErrClientGone) {
				t.Errorf("stage %v, %s: %v", stage, how, err)
			}
			sends := len(p.sent)
			at.observer.Ended(Result{Outcome: logic.NotSent, ClientGone: true})
			processAll(d)
			if a := answerOf(t, k); a.Verdict != ClientLeft || len(p.sent) != sends {
				t.Errorf("stage %v, %s: %v, %d further sends", stage, how, a.Verdict, len(p.sent)-sends)
			}
			if stage == logic.Writer && len(*rel) == 0 {
				t.Errorf("%s: the read state is not released", how)
			}
		}
	}
}
