package dispatch

import (
	"fmt"
	"time"

	"standpulley/logic"
)

// attempt is one send of a request. Its transport reports to it from goroutines of its own.
type attempt struct {
	d               *Dispatcher
	r               *request
	number          int
	server          string
	addr            string
	role            logic.Role
	sentAt          time.Time
	stateReleased   bool // the state that it was to fetch was let go meanwhile
	firstByte       firstByteTime
	transport       Attempt
	stream          Stream // the client's, once it was handed over
	beganAt         time.Time
	cancelled       bool                // given up: its stream is no longer wanted
	recordingIntent bool                // its intent is being noted, so nothing of it has left
	endIntent       func(logic.Outcome) // takes how it ended, where it was noted
}

// send makes an attempt, unless a rule forbids it: then it ends at once as not sent.
func (d *Dispatcher) send(r *request, a logic.Action) {
	at := &attempt{d: d, r: r, number: r.sent, server: a.Server, sentAt: d.clock()}
	r.sent++
	s := d.servers[a.Server]
	if !d.maySend(r, s) {
		d.Counts.countEnded(logic.NotSent)
		d.route(logic.Event{Kind: logic.Ended, RequestID: r.id, Server: a.Server, Attempt: at.number,
			Outcome: logic.NotSent, RequestEnded: r.answered})
		return
	}
	at.addr, at.role = s.Addr, d.roleOf(s)
	until := r.deadline
	if t := d.timeAt(a.Until); a.Until > 0 && t.Before(until) {
		until = t
	}
	r.inFlight[at.number] = at
	leave := d.beforeSend(at, s)
	d.recordIntent(at, Target{Server: s.ID, Addr: s.Addr, Until: until,
		NoReuse: at.role != logic.Reader && r.class.Repeat != logic.Safe, BeforeSend: leave, SettingsVersion: d.settingsVersion()})
}

// cancel gives an attempt up, unless its stream belongs to the client already.
func (at *attempt) cancel(cause Cause) {
	if at.stream == nil && !at.cancelled {
		at.cancelled = true
		at.d.Counts.Count(AttemptCancelled, cause, fmt.Sprintf("%s attempt %d at %s", at.r.id, at.number, at.server))
		if at.transport != nil { // else its intent is being noted, and it will not leave
			at.transport.Cancel()
		}
	}
}

func (d *Dispatcher) cancelAll(r *request, cause Cause) {
	for _, at := range r.inFlight {
		at.cancel(cause)
	}
}
