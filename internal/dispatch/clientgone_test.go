package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// TestNoAttemptStartsAfterClientIsGone checks that no attempt starts at either stage once the
// client has gone, even while the core is too busy to process the message about it. Here that
// message stays in the inbox while the attempt is about to send its first byte.
func TestNoAttemptStartsAfterClientIsGone(t *testing.T) {
	for _, stage := range []logic.Role{logic.Reader, logic.Writer} {
		for _, how := range []string{"reported by the watch", "seen on the connection"} {
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
				t.Fatalf("BeforeSend with the client connected: %v", err)
			}
			if gone = true; how == "reported by the watch" {
				gone = false
				k.Abandon()
			}
			if err := at.target.BeforeSend(); !errors.Is(err, ErrClientGone) {
				t.Errorf("stage %v, %s: BeforeSend returned %v", stage, how, err)
			}
			sends := len(p.sent)
			at.observer.Ended(Result{Outcome: logic.NotSent, ClientGone: true})
			processAll(d)
			if a := answerOf(t, k); a.Verdict != ClientLeft || len(p.sent) != sends {
				t.Errorf("stage %v, %s: verdict %v, %d further sends", stage, how, a.Verdict, len(p.sent)-sends)
			}
			if stage == logic.Writer && len(*rel) == 0 {
				t.Errorf("%s: the state of the read was not released", how)
			}
		}
	}
}
