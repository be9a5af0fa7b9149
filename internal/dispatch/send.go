package dispatch

import (
	"fmt"
	"time"

	"standpulley/logic"
)

// attempt is one send of a request to a replica. Its transport reports to it from its own
// goroutines.
type attempt struct {
	dispatcher      *Dispatcher
	request         *request
	number          int
	server          string
	addr            string
	role            logic.Role
	sentAt          time.Time
	stateReleased   bool // the state to be fetched was released in the meantime
	firstByte       firstByteTime
	transport       Attempt
	stream          Stream // set once the stream has been handed to the client
	beganAt         time.Time
	cancelled       bool                // given up: its stream is no longer wanted
	recordingIntent bool                // the intent is being recorded; nothing has been sent yet
	endIntent       func(logic.Outcome) // takes the outcome of the attempt if its intent was recorded
}

// send starts an attempt. If a rule forbids it, the attempt ends at once with NotSent.
func (d *Dispatcher) send(r *request, a logic.Action) {
	at := &attempt{dispatcher: d, request: r, number: r.sent, server: a.Server, sentAt: d.clock()}
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
	beforeSend := d.beforeSend(at, s)
	d.recordIntent(at, Target{Server: s.ID, Addr: s.Addr, Until: until,
		NoReuse: at.role != logic.Reader && r.class.Repeat != logic.Safe, BeforeSend: beforeSend, SettingsVersion: d.settingsVersion()})
}

// cancel gives an attempt up, unless its stream already belongs to the client.
func (at *attempt) cancel(cause Cause) {
	if at.stream == nil && !at.cancelled {
		at.cancelled = true
		at.dispatcher.Counts.Count(AttemptCancelled, cause, fmt.Sprintf("%s attempt %d at %s", at.request.id, at.number, at.server))
		// Without a transport the intent is still being recorded, and the attempt will not be sent.
		if at.transport != nil {
			at.transport.Cancel()
		}
	}
}

func (d *Dispatcher) cancelAll(r *request, cause Cause) {
	for _, at := range r.inFlight {
		at.cancel(cause)
	}
}
