package dispatch

import (
	"maps"
	"time"

	"standpulley/logic"
)

// held is what a replica of the first stage holds for a request, or may hold.
//
// A write that succeeded does not prove that a fetch has arrived: an open connection may have fallen silent, and the machine takes the
// bytes all the same. Only an answer of the second stage proves it. Until then what is held is let go in time, whatever was sent.
//
// A release touches no state for which an attempt waits at the second stage, but what a read in progress will leave is let go with the
// rest. So nothing is released while a read is out, and a read is sent only when what an earlier one may have left has been released.
type heldState struct {
	addr           string          // of the replica; empty: nothing is held
	unresolved     map[string]bool // replicas at which a read was given up or broke, and may go on
	timerID        int             // number of the timer in force
	stateID        int             // number of the state, counted on when it is fetched or released
	releasePending bool            // the end of an attempt waits until what it may have left is released
}

const (
	// heldPart is the part of the time for which a state may be held after which it is let go. The rest is for the calls.
	heldFraction = 0.5
	// releaseFirst bounds how long a further attempt waits for a release: two replicas may be silent before one answers.
	releaseWait = 100 * time.Millisecond
	// looseAgain is when a second call follows behind a request's end: a read may end on its replica just after the first came there.
	releaseRepeatDelay = 150 * time.Millisecond
)

// stateAfter books what the end of an attempt proves of the state at the first stage. It tells whether something may be held for which
// nobody will come, as the request is to be read anew.
func (d *Dispatcher) updateHeld(at *attempt, res Result, out logic.Outcome) (orphaned bool) {
	h := &at.r.held
	switch {
	case out == logic.ReadDone:
		h.addr = at.addr
		h.stateID++
		d.checkHeld(at.r)
		d.scheduleRelease(at.r, heldFraction)
	case at.role == logic.Reader && !neverRan(out): // it may have ended well just as its connection was closed or broke
		h.addr = at.addr
		if h.unresolved == nil {
			h.unresolved = map[string]bool{}
		}
		h.unresolved[at.addr] = true
		return true
	case at.role == logic.Reader || h.addr == "":
	case res.NoState:
		d.markFetched(at.r)
	case out == logic.Full: // it came there, and has left the state where it was
		d.scheduleRelease(at.r, heldFraction)
	case at.stateReleased && !neverRan(out): // it may have kept the state from being let go until now
		return true
	}
	return false
}

// fetched books a proof that the state was taken.
func (d *Dispatcher) markFetched(r *request) {
	r.held.addr = ""
	r.held.timerID++
	r.held.stateID++
}

// releaseAfter lets go of what is held after a part of the time that the settings allow, unless the clock is set again before. It goes
// on while an attempt to fetch it is out, whose server may vanish.
func (d *Dispatcher) scheduleRelease(r *request, fraction float64) {
	if d.set.ReleaseWithin == 0 {
		return
	}
	r.held.timerID++
	timerID := r.held.timerID
	d.after(time.Duration(fraction*float64(d.set.ReleaseWithin)), func() {
		if d.requests[r.id] != r || r.held.timerID != timerID || !r.mayRelease() {
			return
		}
		stateID := r.held.stateID
		d.releaseThen(r, FetchUnproven, d.set.ReleaseWithin, func(confirmed bool) message { return stateReleased{r, timerID, stateID, confirmed} })
		if r.fetching() {
			d.scheduleRelease(r, 1)
		}
	})
}

// stateReleased comes when a replica has confirmed that it let go of what was held for an open request, or when none did in time.
type stateReleased struct {
	r       *request
	timerID int // that set off the call
	stateID int // the state that was let go

	confirmed bool
}

// apply tells the decision module, unless something new is held since.
func (s stateReleased) apply(d *Dispatcher) {
	if s.confirmed && s.r.held.stateID == s.stateID {
		s.r.held.stateID++
	}
	if d.requests[s.r.id] != s.r || s.r.held.timerID != s.timerID && !s.r.fetching() {
		return
	}
	for _, at := range s.r.inFlight {
		at.stateReleased = true
	}
	d.route(logic.Event{Kind: logic.StateReleased, RequestID: s.r.id})
}

// releaseThen lets go of all that is held for a request, and posts a message once a replica has confirmed that, or after a time.
func (d *Dispatcher) releaseThen(r *request, cause Cause, within time.Duration, then func(confirmed bool) message) {
	d.countRelease(r.id, r.held.addr, cause)
	d.releaser.ReleaseThen(r.id, d.releaseOrder(r.id, r.held.addr), within, func(confirmed bool) { d.post(then(confirmed)) })
}

// outAt tells whether an attempt at a server of a role is out.
func (r *request) hasAttemptAt(role logic.Role) bool {
	for _, at := range r.inFlight {
		if at.role == role {
			return true
		}
	}
	return false
}

// fetching tells whether an attempt at the second stage is out.
func (r *request) fetching() bool { return len(r.inFlight) > 0 && !r.hasAttemptAt(logic.Reader) }

// releaseLeftover lets go of what a read may have left whose request is over, at once and a moment later. The program waits for both.
func (d *Dispatcher) releaseOrphaned(r *request) {
	release := func() { d.release(r.id, r.held.addr, ReadUncertain) }
	release()
	d.Phases.begin()
	d.after(releaseRepeatDelay, func() { release(); d.Phases.end() })
	d.trackAbandonedReads(r)
}

// awaitLateReads sees to what reads leave that were given up and may end late, as their replica hangs or heard nothing of that. It begins
// when no further read of the request is sent.
func (d *Dispatcher) trackAbandonedReads(r *request) {
	for addr := range r.held.unresolved {
		l := d.abandoned[addr]
		if l == nil {
			l = &abandonedReads{addr: addr, ids: map[string]time.Time{}}
			d.abandoned[addr] = l
			d.after(releaseRepeatDelay, func() { d.pollAbandonedReads(l) })
		}
		l.ids[r.id] = d.clock().Add(abandonedReadTTL)
	}
	r.held.unresolved = nil
}

// lateReadsFor is for how long a replica that does not answer may go on with a read that was given up.
const abandonedReadTTL = 5 * time.Second

// lateReads are the reads that were given up at a replica which has not answered since.
type abandonedReads struct {
	addr string
	ids  map[string]time.Time // requests, with until when they are of interest
}

// askLate asks the replica for the release of one of the requests. One that answers runs, and has seen all that was sent to it before.
func (d *Dispatcher) pollAbandonedReads(l *abandonedReads) {
	for id := range l.ids {
		d.countRelease(id, l.addr, ReadUncertain)
		d.releaser.ReleaseAt(id, l.addr, func(answered bool) { d.post(abandonedReadsReply{l, answered}) })
		return
	}
	delete(d.abandoned, l.addr)
}

// lateAsked comes when a replica has answered, or has not.
type abandonedReadsReply struct {
	*abandonedReads
	answered bool
}

func (l abandonedReadsReply) apply(d *Dispatcher) {
	if l.answered { // what it took right before that may end a moment later
		delete(d.abandoned, l.addr)
		for id := range l.ids {
			d.after(releaseRepeatDelay, func() { d.release(id, l.addr, ReadUncertain) })
		}
		return
	}
	maps.DeleteFunc(l.ids, func(_ string, until time.Time) bool { return !d.clock().Before(until) })
	d.after(time.Duration(heldFraction*float64(d.set.ReleaseWithin)), func() { d.pollAbandonedReads(l.abandonedReads) })
}
