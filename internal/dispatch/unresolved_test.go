package dispatch

import (
	"testing"
	"time"

	"standpulley/logic"
)

// Guards: a read of what must not run twice was given up and sent to another reader. Where its connection had fallen silent, or its machine
// was cut off, the end of the connection never came there: the read went on, and two were out. Only an end that the other side made, or an
// answer, lets it leave again; and it is no refusal, as nothing proves that it is over.
func TestAbandonedReadMayStillRun(t *testing.T) {
	for _, c := range []struct {
		class string
		ends  logic.Outcome
		sends int
	}{
		{"unsafe", logic.Cancelled, 1}, {"unsafe", logic.TimedOut, 1},
		{"unsafe", logic.ConnectionLost, 2}, {"unsafe", logic.ServerError, 2}, {"unsafe", logic.ConnectFailed, 2},
		{"safe", logic.Cancelled, 2}, {"safe", logic.TimedOut, 2},
	} {
		d, _, _ := newClockedCore(t)
		k, p := submit(d, "a", c.class)
		endAttempt(d, p, c.ends)
		if len(p.sent) != c.sends {
			t.Errorf("%s, %v: %d sends, want %d", c.class, c.ends, len(p.sent), c.sends)
		}
		if c.sends > 1 {
			noFurtherAnswer(t, k)
		} else if a := answerOf(t, k); a.Verdict != Failed {
			t.Errorf("%s, %v: %v", c.class, c.ends, a.Verdict)
		}
	}
}

// The core holds this rule by itself, whatever the module decides: it gives up a read, and the module believes that it is over.
func TestCoreDoesNotRepeatAbandonedRead(t *testing.T) {
	d, _, _ := newClockedCore(t)
	set := d.set
	set.CancelStopsWork = true
	if err := d.router.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	k, p := submit(d, "a", "unsafe")
	endAttempt(d, p, logic.Cancelled)
	if len(p.sent) != 1 {
		t.Errorf("%d sends", len(p.sent))
	}
	d.AnswerPending()
	processAll(d)
	if a := answerOf(t, k); a.Verdict != Failed {
		t.Errorf("%v", a.Verdict)
	}
}

// Where only some replicas throw repeats away, the group and the window of a read that was given up bind what follows.
func TestAbandonedReadOpensRepeatWindow(t *testing.T) {
	d := keyedCore(t, logic.AllServers, 30*time.Second)
	_, p := submit(d, "a", "keyed")
	endAttempt(d, p, logic.TimedOut)
	if len(p.sent) != 2 || p.sent[1].target.BeforeSend() != nil {
		t.Fatalf("%d sends", len(p.sent))
	}
	r := d.requests["a"]
	r.uncertainSince = r.uncertainSince.Add(-time.Minute)
	if err := d.beforeSend(&attempt{d: d, r: r}, d.servers["w1"])(); err == nil {
		t.Error("it may leave a minute later")
	}
}
