package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// leave is a licence of a story.
type fakeLease struct {
	admitErr, sendErr error
	atMostOnce        bool
	repeats           []bool // whether an earlier attempt may have run, each time that leave to send was asked
}

func (l *fakeLease) MayAdmit(Admission) error { return l.admitErr }
func (l *fakeLease) MaySend(_, again bool) error {
	l.repeats = append(l.repeats, again)
	return l.sendErr
}
func (l *fakeLease) AtMostOnce() bool        { return l.atMostOnce }
func (l *fakeLease) Ready() bool             { return l.admitErr == nil }
func (l *fakeLease) SettingsVersion() string { return "7-abcd" }

var errNoLease = errors.New("gone")

// Guards: without leave nothing is taken and nothing leaves; what was taken hears so at once, a refusal where it can't have
// run and a failure where it may.
func TestWithoutLease(t *testing.T) {
	d, _ := newCore(t, 9)
	lic := &fakeLease{}
	d.SetLease(lic)
	if err := d.Phases.Enter(Ready); err != nil || !d.Phases.AcceptsClients() {
		t.Fatal(err, "clients may not come though there is leave")
	}
	k, p := submit(d, "a", "unsafe")
	if to := p.sent[0].target; to.SettingsVersion != "7-abcd" || to.BeforeSend() != nil || lic.repeats[0] {
		t.Errorf("%+v, asked %v", to, lic.repeats)
	}
	lic.admitErr, lic.sendErr = errNoLease, errNoLease
	if p.sent[0].target.BeforeSend() == nil || d.Phases.AcceptsClients() {
		t.Error("an attempt leaves without leave, or clients may come")
	}
	// The attempt found no leave at its first byte: it never ran.
	p.sent[0].observer.Ended(Result{Outcome: logic.NotSent, NoLease: true})
	processAll(d)
	if a := answerOf(t, k); a.Verdict != Refused || a.RetryAfter < noLeaseRetryAfter || a.SettingsVersion != noSettingsVersion {
		t.Errorf("%+v", a)
	}
	k, p = submit(d, "b", "safe")
	if a := answerOf(t, k); a.Verdict != Refused || a.SettingsVersion != noSettingsVersion || len(p.sent) > 0 {
		t.Errorf("taken without leave: %+v, %d sent", a, len(p.sent))
	}
	// One that may have run at a writer fails.
	lic.admitErr, lic.sendErr = nil, nil
	k, p = submit(d, "c", "unsafe")
	endAttempt(d, p, logic.ReadDone)
	lic.sendErr = errNoLease
	endAttempt(d, p, logic.ServerError)
	if a := answerOf(t, k); a.Verdict != Failed || !a.MayRun {
		t.Errorf("%+v", a)
	}
}

// Guards: under a licence that allows each request one run only, no class is sent again without proof; and a request that
// is open when its class becomes one that must not run twice keeps to that.
func TestStricterRepeats(t *testing.T) {
	d, _ := newCore(t, 9)
	lic := &fakeLease{}
	d.SetLease(lic)
	_, p := submit(d, "a", "safe")
	endAttempt(d, p, logic.ReadDone)
	before := len(p.sent)
	lic.atMostOnce = true
	endAttempt(d, p, logic.ServerError) // it may have run
	if len(p.sent) != before {
		t.Errorf("sent again: %d attempts", len(p.sent))
	}
	lic.atMostOnce = false
	k, p := submit(d, "b", "safe")
	endAttempt(d, p, logic.ReadDone)
	before = len(p.sent)
	set := d.set
	set.Classes = []logic.Class{{Name: "safe", Aim: time.Second, Deadline: 3 * time.Second, Repeat: logic.Unsafe}}
	q := settingsUpdate{set, d.bounds, lic, make(chan error, 1)}
	q.apply(d)
	if err := <-q.reply; err != nil {
		t.Fatal(err)
	}
	endAttempt(d, p, logic.ServerError)
	if a := answerOf(t, k); a.Verdict != Failed || len(p.sent) != before {
		t.Errorf("%+v after %d attempts", a, len(p.sent))
	}
}

// Guards: an attempt does not leave once its server was withdrawn, though it was routed before and was still connecting, or its process
// was stopped: neither under a lease that was renewed with the later list, nor without one. It is sent elsewhere at once, as it never ran.
func TestNoAttemptToWithdrawnServers(t *testing.T) {
	for name, list := range map[string]func(at Server) Update{
		"drained":                  func(at Server) Update { at.Availability = logic.Draining; return Update{Servers: []Server{at}} },
		"gone":                     func(at Server) Update { at.Availability = logic.Gone; return Update{Servers: []Server{at}} },
		"moved":                    func(at Server) Update { at.Addr = "elsewhere"; return Update{Servers: []Server{at}} },
		"left out of a whole list": func(at Server) Update { return Update{Full: true} },
		"":                         func(at Server) Update { at.Weight++; return Update{Servers: []Server{at}} }, // still there
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
			t.Errorf("%d attempts after %d", len(p.sent), before)
		}
		back := *d.servers[to.Server]
		back.Availability = logic.Ready
		Update{Servers: []Server{back}}.apply(d)
		if d.servers[to.Server].withdrawn.Load() || to.BeforeSend() == nil {
			t.Error("one that is back takes nothing, or takes what was routed before")
		}
	}
}
