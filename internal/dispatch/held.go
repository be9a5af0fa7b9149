package dispatch

import (
	"time"

	"standpulley/logic"
)

// held is what a replica of the first stage holds for a request, or may hold.
//
// A write that succeeded does not prove that a fetch has arrived: an open connection may have fallen silent, and the machine takes the
// bytes all the same. Only an answer of the second stage proves it. Until then what is held is let go in time, whatever was sent: a
// release touches no state that an attempt is waiting on.
type held struct {
	addr      string    // of the replica; empty: nothing is held
	released  bool      // the decision module knows that there is nothing to fetch
	mayAppear time.Time // until then a read that was given up may end on its replica, and leave a state
	timer     int       // number of the timer in force
}

// heldPart is the part of the time for which a state may be held after which it is let go. The rest is for the calls.
const heldPart = 0.5

// readEnded books what the end of a read leaves at its replica.
func (d *Dispatcher) readEnded(at *attempt, out logic.Outcome) {
	h := &at.r.held
	switch {
	case out == logic.ReadDone:
		h.addr, h.released = at.addr, false
	case !neverRan(out): // it may have ended well just as its connection was closed or broke
		h.addr, h.released = at.addr, true
		if at.until.After(h.mayAppear) {
			h.mayAppear = at.until // its replica was told how long it is waited for
		}
	default:
		return
	}
	d.releaseAfter(at.r, heldPart)
}

// fetchEnded books what the end of an attempt at the second stage proves of the state that it was to fetch.
func (d *Dispatcher) fetchEnded(at *attempt, res Result, out logic.Outcome) {
	h := &at.r.held
	switch {
	case h.addr == "":
	case res.NoState:
		d.fetched(at.r)
	case out == logic.Full: // it came there, and has left the state where it was
		d.releaseAfter(at.r, heldPart)
	case h.released && !neverRan(out): // it may have kept the state from being let go until now
		d.release(at.r.id, h.addr, FetchUnproven)
	}
}

// fetched books a proof that the state was taken. A read that was given up may still leave another.
func (d *Dispatcher) fetched(r *request) {
	if !d.clock().Before(r.held.mayAppear) {
		r.held.addr = ""
	}
}

// releaseAfter lets go of what is held after a part of the time that the settings allow, unless the clock is set again before.
func (d *Dispatcher) releaseAfter(r *request, part float64) {
	if d.set.ReleaseWithin == 0 {
		return
	}
	r.held.timer++
	number := r.held.timer
	d.after(time.Duration(part*float64(d.set.ReleaseWithin)), func() {
		if d.requests[r.id] == r && r.held.timer == number && r.held.addr != "" {
			d.releaseHeld(r)
		}
	})
}

// releaseHeld lets go of what is held for an open request, and goes on while something may be held again: while an attempt to fetch it
// is out, whose server may vanish, and while a read that was given up may end.
func (d *Dispatcher) releaseHeld(r *request) {
	h := &r.held
	cause := FetchUnproven
	if h.released {
		cause = ReadUncertain
	}
	d.release(r.id, h.addr, cause)
	if !h.released {
		h.released = true
		d.route(logic.Event{Kind: logic.StateReleased, RequestID: r.id})
	}
	if r.fetching() || d.clock().Before(h.mayAppear) {
		d.releaseAfter(r, 1)
	} else {
		h.addr = ""
	}
}

// fetching tells whether an attempt at the second stage is out.
func (r *request) fetching() bool {
	for _, at := range r.out {
		if at.role != logic.Reader {
			return true
		}
	}
	return false
}

// releaseLeftover lets go of what a read may have left, or may leave, whose request is over: at once, a moment later, and then until its
// replica has no reason to go on with it. The program waits only for the first two.
func (d *Dispatcher) releaseLeftover(r *request) {
	release := func() { d.release(r.id, r.held.addr, ReadUncertain) }
	release()
	d.Phases.begin()
	d.after(looseAgain, func() { release(); d.Phases.end() })
	if d.set.ReleaseWithin == 0 {
		return
	}
	left := r.held.mayAppear.Sub(d.clock())
	for wait := looseAgain + d.set.ReleaseWithin; wait < left+d.set.ReleaseWithin; wait += d.set.ReleaseWithin {
		d.after(wait, release)
	}
}

// looseAgain is when the second call follows: a read may end on its replica just after the first has come there.
const looseAgain = 150 * time.Millisecond
