package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// Guards: no attempt begins once the client has gone, at either stage, also while the core is too busy to hear of it: what it has posted
// stays in the inbox here as the attempt comes to its first byte.
func TestNoAttemptBeginsOnceTheClientHasGone(t *testing.T) {
	for _, stage := range []logic.Role{logic.Reader, logic.Writer} {
		for _, how := range []string{"its watch has noticed", "its connection shows it"} {
			d, rel := core(t, 9)
			gone := false
			p := &parcel{}
			k := d.Submit(Request{ID: "a", Received: time.Now(), Payload: p, ClientGone: func() bool { return gone },
				Spec: logic.Request{Class: "safe", Remaining: 2 * time.Second, PromptTokens: 10}})
			drive(d)
			if stage == logic.Writer {
				end(d, p, logic.ReadDone)
			}
			at := p.sent[len(p.sent)-1]
			if err := at.to.BeforeSend(); err != nil {
				t.Fatalf("while the client is there: %v", err)
			}
			if gone = true; how == "its watch has noticed" {
				gone = false
				k.Abandon()
			}
			if err := at.to.BeforeSend(); !errors.Is(err, ErrClientGone) {
				t.Errorf("stage %v, %s: %v", stage, how, err)
			}
			sends := len(p.sent)
			at.tell.Ended(Result{Outcome: logic.NotSent, ClientGone: true})
			drive(d)
			if a := answerOf(t, k); a.Verdict != ClientLeft || len(p.sent) != sends {
				t.Errorf("stage %v, %s: %v, %d further sends", stage, how, a.Verdict, len(p.sent)-sends)
			}
			if stage == logic.Writer && len(*rel) == 0 {
				t.Errorf("%s: the read state is not released", how)
			}
		}
	}
}
