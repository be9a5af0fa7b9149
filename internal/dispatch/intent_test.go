package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// manualIntents is an IntentRecorder whose results are given by the test.
type manualIntents struct {
	pending []func(end func(logic.Outcome), err error)
	ends    []logic.Outcome
}

func (n *manualIntents) Begin(_ time.Time, then func(end func(logic.Outcome), err error)) {
	n.pending = append(n.pending, then)
}

func (n *manualIntents) end(o logic.Outcome) { n.ends = append(n.ends, o) }

type ranBefore struct{ error }

func (ranBefore) MayHaveRun() bool { return true }

// TestNothingIsSentBeforeIntentIsRecorded checks that nothing of an attempt is sent before its
// intent is recorded. A request whose intent cannot be recorded is refused, as it never ran. It
// fails if an earlier attempt may have run. A request that was given up in the meantime is not
// sent.
func TestNothingIsSentBeforeIntentIsRecorded(t *testing.T) {
	diskErr, ranErr := errors.New("disk failure"), ranBefore{errors.New("already ran")}
	for name, x := range map[string]struct {
		err     error
		leaves  bool
		sent    int // including the read
		verdict Verdict
		mayRun  bool
	}{
		"recorded":                        {nil, false, 2, Served, true},
		"cannot be recorded":              {diskErr, false, 1, Refused, false},
		"ran before":                      {ranErr, false, 1, Failed, true},
		"client left":                     {nil, true, 1, ClientLeft, false},
		"client left, cannot be recorded": {diskErr, true, 1, ClientLeft, false},
		"client left, ran before":         {ranErr, true, 1, ClientLeft, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newCore(t, 9)
			n, p := &manualIntents{}, &fakePayload{}
			k := d.Submit(Request{ID: "a", Received: time.Now(), Payload: p, Intents: n,
				Spec: logic.Request{Class: "unsafe", Remaining: 2 * time.Second, PromptTokens: 10}})
			processAll(d)
			if len(n.pending) > 0 {
				t.Error("an intent was recorded for a read, which has no effect")
			}
			endAttempt(d, p, logic.ReadDone)
			if len(n.pending) != 1 || len(p.sent) != 1 {
				t.Fatalf("%d intents, %d sends", len(n.pending), len(p.sent))
			}
			if x.leaves {
				k.Abandon()
				processAll(d)
			}
			var takeOutcome func(logic.Outcome)
			if x.err == nil {
				takeOutcome = n.end
			}
			n.pending[0](takeOutcome, x.err)
			processAll(d)
			if len(p.sent) != x.sent {
				t.Fatalf("%d sends, wanted %d", len(p.sent), x.sent)
			}
			if x.sent > 1 {
				p.sent[1].observer.Began(&fakeStream{})
				processAll(d)
				endAttempt(d, p, logic.Delivered)
			}
			if a := answerOf(t, k); a.Verdict != x.verdict || a.MayRun != x.mayRun || a.Verdict == Refused && a.RetryAfter == 0 {
				t.Errorf("unexpected answer %+v", a)
			}
			want := logic.Delivered
			if x.leaves {
				want = logic.NotSent
			}
			if x.err == nil && (len(n.ends) != 1 || n.ends[0] != want) {
				t.Errorf("outcomes %v", n.ends)
			}
			if len(d.requests) > 0 {
				t.Error("the request is kept in the table after its end")
			}
		})
	}
}
