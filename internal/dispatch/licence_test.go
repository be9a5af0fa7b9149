package dispatch

import (
	"errors"
	"testing"
	"time"

	"standpulley/logic"
)

// leave is a licence of a story.
type leave struct {
	take, send error
	once       bool
	asked      []bool // whether an earlier attempt may have run, each time that leave to send was asked
}

func (l *leave) MayAdmit(Admission) error { return l.take }
func (l *leave) MaySend(_, again bool) error {
	l.asked = append(l.asked, again)
	return l.send
}
func (l *leave) AtMostOnce() bool        { return l.once }
func (l *leave) Ready() bool             { return l.take == nil }
func (l *leave) SettingsVersion() string { return "7-abcd" }

var errGone = errors.New("gone")

// Guards: without leave nothing is taken and nothing leaves; what was taken hears so at once, a refusal where it can't have
// run and a failure where it may.
func TestWithoutLeave(t *testing.T) {
	d, _ := core(t, 9)
	lic := &leave{}
	d.SetLease(lic)
	if err := d.Phases.Enter(Ready); err != nil || !d.Phases.AcceptsClients() {
		t.Fatal(err, "clients may not come though there is leave")
	}
	k, p := take(d, "a", "unsafe")
	if to := p.sent[0].to; to.SettingsVersion != "7-abcd" || to.BeforeSend() != nil || lic.asked[0] {
		t.Errorf("%+v, asked %v", to, lic.asked)
	}
	lic.take, lic.send = errGone, errGone
	if p.sent[0].to.BeforeSend() == nil || d.Phases.AcceptsClients() {
		t.Error("an attempt leaves without leave, or clients may come")
	}
	// The attempt found no leave at its first byte: it never ran.
	p.sent[0].tell.Ended(Result{Outcome: logic.NotSent, NoLease: true})
	drive(d)
	if a := answerOf(t, k); a.Verdict != Refused || a.RetryAfter < lapsedAfter || a.SettingsVersion != noMark {
		t.Errorf("%+v", a)
	}
	k, p = take(d, "b", "safe")
	if a := answerOf(t, k); a.Verdict != Refused || a.SettingsVersion != noMark || len(p.sent) > 0 {
		t.Errorf("taken without leave: %+v, %d sent", a, len(p.sent))
	}
	// One that may have run at a writer fails.
	lic.take, lic.send = nil, nil
	k, p = take(d, "c", "unsafe")
	end(d, p, logic.ReadDone)
	lic.send = errGone
	end(d, p, logic.ServerError)
	if a := answerOf(t, k); a.Verdict != Failed || !a.MayRun {
		t.Errorf("%+v", a)
	}
}

// Guards: under a licence that allows each request one run only, no class is sent again without proof; and a request that
// is open when its class becomes one that must not run twice keeps to that.
func TestStricterRepeats(t *testing.T) {
	d, _ := core(t, 9)
	lic := &leave{}
	d.SetLease(lic)
	_, p := take(d, "a", "safe")
	end(d, p, logic.ReadDone)
	before := len(p.sent)
	lic.once = true
	end(d, p, logic.ServerError) // it may have run
	if len(p.sent) != before {
		t.Errorf("sent again: %d attempts", len(p.sent))
	}
	lic.once = false
	k, p := take(d, "b", "safe")
	end(d, p, logic.ReadDone)
	before = len(p.sent)
	set := d.set
	set.Classes = []logic.Class{{Name: "safe", Aim: time.Second, Deadline: 3 * time.Second, Repeat: logic.Unsafe}}
	q := retuning{set, d.bounds, lic, make(chan error, 1)}
	q.apply(d)
	if err := <-q.reply; err != nil {
		t.Fatal(err)
	}
	end(d, p, logic.ServerError)
	if a := answerOf(t, k); a.Verdict != Failed || len(p.sent) != before {
		t.Errorf("%+v after %d attempts", a, len(p.sent))
	}
}

// Guards: an attempt does not leave once its server was withdrawn, though it was routed before and was still connecting, or its process
// was stopped: neither under a lease that was renewed with the later list, nor without one. It is sent elsewhere at once, as it never ran.
func TestNoLeaveToWithdrawnServers(t *testing.T) {
	for name, list := range map[string]func(at Server) Update{
		"drained":                  func(at Server) Update { at.Availability = logic.Draining; return Update{Servers: []Server{at}} },
		"gone":                     func(at Server) Update { at.Availability = logic.Gone; return Update{Servers: []Server{at}} },
		"moved":                    func(at Server) Update { at.Addr = "elsewhere"; return Update{Servers: []Server{at}} },
		"left out of a whole list": func(at Server) Update { return Update{Full: true} },
		"":                         func(at Server) Update { at.Weight++; return Update{Servers: []Server{at}} }, // still there
	} {
		d, _ := core(t, 9)
		if name != "gone" {
			d.SetLease(&leave{})
		}
		_, p := take(d, "a", "unsafe")
		end(d, p, logic.ReadDone)
		to := p.sent[1].to
		list(*d.servers[to.Server]).apply(d)
		if err := to.BeforeSend(); errors.Is(err, ErrWithdrawn) != (name != "") {
			t.Errorf("%s: %v", name, err)
		}
		if name != "drained" {
			continue
		}
		before := len(p.sent)
		end(d, p, logic.NotSent)
		if len(p.sent) != before+1 || p.sent[before].to.Server == to.Server || p.sent[before].to.BeforeSend() != nil {
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
