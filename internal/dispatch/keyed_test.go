package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// keyedCore returns a core with one class whose repeats replicas discard, within a scope and a time
// window.
func keyedCore(t *testing.T, scope logic.Scope, window time.Duration) *Dispatcher {
	t.Helper()
	d, _ := newCore(t, 9)
	set := d.settings
	set.Classes = []logic.Class{{Name: "keyed", Aim: time.Second, Deadline: 3 * time.Second, Repeat: logic.Keyed, Scope: scope, Window: window}}
	if err := d.router.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	d.settings = set
	return d
}

// TestRefusalOfKeyedRequestThatMayHaveRun guards against a fault in which a request whose repeats
// only some replicas discard was refused after it may have run, if the end of the program or a
// deadline ended it and not the decision module. Its client would have repeated it at any replica.
func TestRefusalOfKeyedRequestThatMayHaveRun(t *testing.T) {
	for scope, want := range map[logic.Scope]Verdict{logic.AllServers: Refused, logic.SameZone: Failed, logic.SameCell: Failed} {
		for name, ran := range map[string]func(*Dispatcher, *fakePayload){
			"in flight": func(d *Dispatcher, p *fakePayload) { endAttempt(d, p, logic.ReadDone); p.sent[1].observer.Written() },
			"ended": func(d *Dispatcher, p *fakePayload) {
				endAttempt(d, p, logic.ReadDone)
				endAttempt(d, p, logic.ServerError)
			},
		} {
			d := keyedCore(t, scope, 5*time.Second)
			k, p := submit(d, "a", "keyed")
			ran(d, p)
			d.AnswerPending()
			processAll(d)
			if a := answerOf(t, k); a.Verdict != want {
				t.Errorf("scope %v, %s: %v, want %v", scope, name, a.Verdict, want)
			}
		}
	}
}

// TestRepeatIsSentOnlyWithinWindow checks that a request that may have run is sent again only while
// the window is open. The decision module checks the window, but connecting uses up part of it. The
// first attempt may always be sent.
func TestRepeatIsSentOnlyWithinWindow(t *testing.T) {
	for _, window := range []time.Duration{time.Hour, 30 * time.Second} {
		d := keyedCore(t, logic.AllServers, window)
		_, p := submit(d, "a", "keyed")
		endAttempt(d, p, logic.ReadDone)
		if err := p.sent[1].target.BeforeSend(); err != nil {
			t.Errorf("first attempt: %v", err)
		}
		endAttempt(d, p, logic.ServerError) // may have run
		again := p.sent[len(p.sent)-1]
		if len(p.sent) < 3 || again.target.BeforeSend() != nil {
			t.Fatalf("unexpected number of sends: %d", len(p.sent))
		}
		r := d.requests["a"]
		r.uncertainSince = r.uncertainSince.Add(-time.Minute)
		err := d.beforeSend(&attempt{dispatcher: d, request: r}, d.servers["w1"])()
		if errors.Is(err, ErrRepeatWindowClosed) != (window < time.Minute) {
			t.Errorf("window %v, a minute later: %v", window, err)
		}
	}
}
