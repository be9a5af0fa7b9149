package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// notes is a Noted whose answers a test gives.
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

// Guards: nothing of an attempt leaves before its intent is noted; one that can't be noted is refused, as it never ran, and one of
// which an earlier attempt may have run is not; a request that was given up meanwhile is not sent any more.
func TestNothingIsSentBeforeIntentIsRecorded(t *testing.T) {
	noDisk, ran := errors.New("no disk"), ranBefore{errors.New("it ran")}
	for name, x := range map[string]struct {
		err     error
		leaves  bool
		sent    int // with the read
		verdict Verdict
		mayRun  bool
	}{
		"noted":            {nil, false, 2, Served, true},
		"can't be noted":   {noDisk, false, 1, Refused, false},
		"ran before":       {ran, false, 1, Failed, true},
		"client has left":  {nil, true, 1, ClientLeft, false},
		"left and unnoted": {noDisk, true, 1, ClientLeft, false},
		"left and has run": {ran, true, 1, ClientLeft, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newCore(t, 9)
			n, p := &manualIntents{}, &fakePayload{}
			k := d.Submit(Request{ID: "a", Received: time.Now(), Payload: p, Intents: n,
				Spec: logic.Request{Class: "unsafe", Remaining: 2 * time.Second, PromptTokens: 10}})
			processAll(d)
			if len(n.pending) > 0 {
				t.Error("a read is noted, which has no effect")
			}
			endAttempt(d, p, logic.ReadDone)
			if len(n.pending) != 1 || len(p.sent) != 1 {
				t.Fatalf("%d intents, %d sends", len(n.pending), len(p.sent))
			}
			if x.leaves {
				k.Abandon()
				processAll(d)
			}
			var take func(logic.Outcome)
			if x.err == nil {
				take = n.end
			}
			n.pending[0](take, x.err)
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
				t.Errorf("%+v", a)
			}
			want := logic.Delivered
			if x.leaves {
				want = logic.NotSent
			}
			if x.err == nil && (len(n.ends) != 1 || n.ends[0] != want) {
				t.Errorf("ends %v", n.ends)
			}
			if len(d.requests) > 0 {
				t.Error("the request is kept after its end")
			}
		})
	}
}
