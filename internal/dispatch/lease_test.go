package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// fakeLease is a lease whose answers are set by the test.
type fakeLease struct {
	admitErr, sendErr error
	atMostOnce        bool
	repeats           []bool // for each call of MaySend, whether an earlier attempt may have run
}

func (l *fakeLease) MayAdmit(Admission) error { return l.admitErr }
func (l *fakeLease) MaySend(_, again bool) error {
	l.repeats = append(l.repeats, again)
	return l.sendErr
}
func (l *fakeLease) AtMostOnce() bool        { return l.atMostOnce }
func (l *fakeLease) Ready() bool             { return l.admitErr == nil }
func (l *fakeLease) SettingsVersion() string { return "7-abcd" }

var errNoLease = errors.New("no lease")

// TestWithoutLease checks that without a lease no request is admitted and no attempt is sent. An
// admitted request gets its answer at once: a refusal if it cannot have run, a failure if it may
// have.
func TestWithoutLease(t *testing.T) {
	d, _ := newCore(t, 9)
	lease := &fakeLease{}
	d.SetLease(lease)
	if err := d.Phases.Enter(Ready); err != nil || !d.Phases.AcceptsClients() {
		t.Fatal(err, "clients are not accepted though there is a lease")
	}
	k, p := submit(d, "a", "unsafe")
	if to := p.sent[0].target; to.SettingsVersion != "7-abcd" || to.BeforeSend() != nil || lease.repeats[0] {
		t.Errorf("%+v, MaySend calls %v", to, lease.repeats)
	}
	lease.admitErr, lease.sendErr = errNoLease, errNoLease
	if p.sent[0].target.BeforeSend() == nil || d.Phases.AcceptsClients() {
		t.Error("without a lease an attempt may be sent or clients are accepted")
	}
	// The attempt had no lease at its first byte, so it never ran.
	p.sent[0].observer.Ended(Result{Outcome: logic.NotSent, NoLease: true})
	processAll(d)
	if a := answerOf(t, k); a.Verdict != Refused || a.RetryAfter < noLeaseRetryAfter || a.SettingsVersion != noSettingsVersion {
		t.Errorf("unexpected answer %+v", a)
	}
	k, p = submit(d, "b", "safe")
	if a := answerOf(t, k); a.Verdict != Refused || a.SettingsVersion != noSettingsVersion || len(p.sent) > 0 {
		t.Errorf("admitted without a lease: %+v, %d sent", a, len(p.sent))
	}
	// A request that may have run at a writer fails.
	lease.admitErr, lease.sendErr = nil, nil
	k, p = submit(d, "c", "unsafe")
	endAttempt(d, p, logic.ReadDone)
	lease.sendErr = errNoLease
	endAttempt(d, p, logic.ServerError)
	if a := answerOf(t, k); a.Verdict != Failed || !a.MayRun {
		t.Errorf("unexpected answer %+v", a)
	}
}

// TestStricterRepeats checks that under a lease that allows each request only one run, no class is
// sent again without proof that it never ran. An open request whose class changes to one that must
// not run twice follows the new rule.
func TestStricterRepeats(t *testing.T) {
	d, _ := newCore(t, 9)
	lease := &fakeLease{}
	d.SetLease(lease)
	_, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ReadDone)
	before := len(p.sent)
	lease.atMostOnce = true
	endAttempt(d, p, logic.ServerError) // may have run
	if len(p.sent) != before {
		t.Errorf("sent again: %d attempts", len(p.sent))
	}
	lease.atMostOnce = false
	k, p := submit(d, "b", "safe")
	endAttempt(d, p, logic.ReadDone)
	before = len(p.sent)
	set := d.settings
	set.Classes = []logic.Class{{Name: "safe", Aim: time.Second, Deadline: 3 * time.Second, Repeat: logic.Unsafe}}
	q := settingsUpdate{set, d.bounds, lease, make(chan error, 1)}
	q.apply(d)
	if err := <-q.reply; err != nil {
		t.Fatal(err)
	}
	endAttempt(d, p, logic.ServerError)
	if a := answerOf(t, k); a.Verdict != Failed || len(p.sent) != before {
		t.Errorf("%+v after %d attempts", a, len(p.sent))
	}
}

// TestNoAttemptToWithdrawnServers checks that an attempt is not sent once its server was withdrawn,
// even if it was routed before and was still connecting, or if this process was stopped for a
// while. This holds under a lease that was renewed with the later list, and without a lease. The
// request is sent to another server at once, as it never ran.
func TestNoAttemptToWithdrawnServers(t *testing.T) {
	for name, list := range map[string]func(at Server) Update{
		"drained":                  func(at Server) Update { at.Availability = logic.Draining; return Update{Servers: []Server{at}} },
		"gone":                     func(at Server) Update { at.Availability = logic.Gone; return Update{Servers: []Server{at}} },
		"moved":                    func(at Server) Update { at.Addr = "elsewhere"; return Update{Servers: []Server{at}} },
		"missing from a full list": func(at Server) Update { return Update{Full: true} },
		// The server is still listed with the same address, so it is not withdrawn.
		"": func(at Server) Update { at.Weight++; return Update{Servers: []Server{at}} },
	} {
		d, _ := newCore(t, 9)
		if name != "gone" {
			d.SetLease(&fakeLease{})
		}
		_, p := submit(d, "a", "unsafe")
		endAttempt(d, p, logic.ReadDone)
		to := p.sent[1].target
		list(*d.servers[to.Server]).apply(d)
		if err := to.BeforeSend(); errors.Is(err, ErrWithdrawn) != (name != "") {
			t.Errorf("%s: %v", name, err)
		}
		if name != "drained" {
			continue
		}
		before := len(p.sent)
		endAttempt(d, p, logic.NotSent)
		if len(p.sent) != before+1 || p.sent[before].target.Server == to.Server || p.sent[before].target.BeforeSend() != nil {
			t.Errorf("%d attempts, %d before", len(p.sent), before)
		}
		back := *d.servers[to.Server]
		back.Availability = logic.Ready
		Update{Servers: []Server{back}}.apply(d)
		if d.servers[to.Server].withdrawn.Load() || to.BeforeSend() == nil {
			t.Error("a server that is back gets no attempts, or gets those routed before")
		}
	}
}
