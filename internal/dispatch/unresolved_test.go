package dispatch

import (
	"testing"
	"time"

	"standpulley/logic"
)

// TestAbandonedReadMayStillRun guards against a fault in which a read of a request that must not
// run twice was given up and sent to another reader. If its connection was dead without notice or
// its machine cut off, the close of the connection never arrived: the first read continued, and two
// were in flight. Such a request is sent again only if the replica ended the connection or
// answered. It is not refused either, as nothing proves that the read is over.
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

// TestCoreDoesNotRepeatAbandonedRead checks that the core by itself never repeats a read that was
// given up if the request must not run twice, whatever the decision module decides. Here the module
// assumes that a read ends when it is given up.
func TestCoreDoesNotRepeatAbandonedRead(t *testing.T) {
	d, _, _ := newClockedCore(t)
	set := d.settings
	set.CancelStopsWork = true
	if err := d.router.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	k, p := submit(d, "a", "unsafe")
	endAttempt(d, p, logic.Cancelled)
	if len(p.sent) != 1 {
		t.Errorf("unexpected number of sends: %d", len(p.sent))
	}
	d.AnswerPending()
	processAll(d)
	if a := answerOf(t, k); a.Verdict != Failed {
		t.Errorf("unexpected verdict %v", a.Verdict)
	}
}

// TestAbandonedReadOpensRepeatWindow checks that if replicas discard repeats within a time window,
// a read that was given up starts this window, which limits later attempts.
func TestAbandonedReadOpensRepeatWindow(t *testing.T) {
	d := keyedCore(t, logic.AllServers, 30*time.Second)
	_, p := submit(d, "a", "keyed")
	endAttempt(d, p, logic.TimedOut)
	if len(p.sent) != 2 || p.sent[1].target.BeforeSend() != nil {
		t.Fatalf("unexpected number of sends: %d", len(p.sent))
	}
	r := d.requests["a"]
	r.uncertainSince = r.uncertainSince.Add(-time.Minute)
	if err := d.beforeSend(&attempt{dispatcher: d, request: r}, d.servers["w1"])(); err == nil {
		t.Error("a repeat may be sent a minute later")
	}
}
