package dispatch

import (
	"maps"
	"time"

	"standpulley/logic"
)

// heldState is the state that a reader holds, or may hold, for a request.
//
// A successful write does not prove that a fetch has arrived: an open connection may be dead
// without notice, and the kernel accepts the bytes all the same. Only an answer of the writer
// proves the fetch. Until then the state is released in time, whatever was sent.
//
// A release does not touch state for which an attempt waits at a writer, but it removes the state
// that a read in progress is about to leave. So nothing is released while a read is in flight, and
// a read is sent only after the state that an earlier one may have left was released.
type heldState struct {
	addr       string          // address of the reader; empty: no state is held
	unresolved map[string]bool // replicas at which a read was given up or broke and may continue
	timerID    int             // number of the active release timer
	// stateID is the number of the state, incremented when it is read, fetched or released.
	stateID int
	// releasePending is set while the end of an attempt is not passed on to the decision module,
	// because the state that it may have left is not released yet.
	releasePending bool
}

const (
	// heldFraction is the part of ReleaseWithin after which held state is released. The rest is for
	// the release calls.
	heldFraction = 0.5
	// releaseWait is the longest time that a further attempt waits for a release: two replicas may
	// fail to respond before one answers.
	releaseWait = 100 * time.Millisecond
	// releaseRepeatDelay is the time after which the release at the end of a request is repeated: a
	// read may end at its replica just after the first call arrived there.
	releaseRepeatDelay = 150 * time.Millisecond
)

// updateHeld updates the held state by what the end of an attempt proves. It reports whether state
// may be held that nobody will fetch, because the request must be read again.
func (d *Dispatcher) updateHeld(at *attempt, res Result, out logic.Outcome) (orphaned bool) {
	h := &at.request.held
	switch {
	case out == logic.ReadDone:
		h.addr = at.addr
		h.stateID++
		d.checkHeld(at.request)
		d.scheduleRelease(at.request, heldFraction)
	case at.role == logic.Reader && !neverRan(out):
		// The read may have succeeded just as its connection was closed or broke.
		h.addr = at.addr
		if h.unresolved == nil {
			h.unresolved = map[string]bool{}
		}
		h.unresolved[at.addr] = true
		return true
	case at.role == logic.Reader || h.addr == "":
	case res.NoState:
		d.markFetched(at.request)
	case out == logic.Full: // the writer has rejected the fetch and left the state where it was
		d.scheduleRelease(at.request, heldFraction)
	case at.stateReleased && !neverRan(out): // it may have kept the state from being released until now
		return true
	}
	return false
}

// markFetched records a proof that the state was fetched.
func (d *Dispatcher) markFetched(r *request) {
	r.held.addr = ""
	r.held.timerID++
	r.held.stateID++
}

// scheduleRelease releases the held state after a fraction of ReleaseWithin, unless a later call
// replaces the timer. While an attempt to fetch the state is in flight the release is repeated, as
// the writer may disappear.
func (d *Dispatcher) scheduleRelease(r *request, fraction float64) {
	if d.settings.ReleaseWithin == 0 {
		return
	}
	r.held.timerID++
	timerID := r.held.timerID
	d.afterFor(r, time.Duration(fraction*float64(d.settings.ReleaseWithin)), func() {
		if d.requests[r.id] != r || r.held.timerID != timerID || !r.mayRelease() {
			return
		}
		stateID := r.held.stateID
		d.releaseThen(r, FetchUnproven, d.settings.ReleaseWithin, func(confirmed bool) message { return stateReleased{r, timerID, stateID, confirmed} })
		if r.fetching() {
			d.scheduleRelease(r, 1)
		}
	})
}

// stateReleased is posted when a replica has confirmed the release of the state of an open request,
// or when none did so in time.
type stateReleased struct {
	request *request
	timerID int // timer that caused the release
	stateID int // state that was released

	confirmed bool
}

// apply tells the decision module about the release, unless newer state is held by now.
func (s stateReleased) apply(d *Dispatcher) {
	if s.confirmed && s.request.held.stateID == s.stateID {
		s.request.held.stateID++
	}
	if d.requests[s.request.id] != s.request || s.request.held.timerID != s.timerID && !s.request.fetching() {
		return
	}
	for _, at := range s.request.inFlight {
		at.stateReleased = true
	}
	d.route(logic.Event{Kind: logic.StateReleased, RequestID: s.request.id})
}

// releaseThen releases everything that is held for a request, and posts a message once a replica
// has confirmed that or the time has passed.
func (d *Dispatcher) releaseThen(r *request, cause Cause, within time.Duration, then func(confirmed bool) message) {
	d.countRelease(r.id, r.held.addr, cause)
	d.releaser.ReleaseThen(r.id, d.releaseOrder(r.id, r.held.addr), within, func(confirmed bool) { d.post(then(confirmed)) })
}

// hasAttemptAt reports whether an attempt at a server of the role is in flight.
func (r *request) hasAttemptAt(role logic.Role) bool {
	for _, at := range r.inFlight {
		if at.role == role {
			return true
		}
	}
	return false
}

// fetching reports whether an attempt at a writer is in flight.
func (r *request) fetching() bool { return len(r.inFlight) > 0 && !r.hasAttemptAt(logic.Reader) }

// releaseOrphaned releases the state that a read may have left behind after its request ended, at
// once and again after releaseRepeatDelay. The program does not exit before both calls were made.
func (d *Dispatcher) releaseOrphaned(r *request) {
	release := func() { d.release(r.id, r.held.addr, ReadUncertain) }
	release()
	d.Phases.begin()
	d.after(releaseRepeatDelay, func() { release(); d.Phases.end() })
	d.trackAbandonedReads(r)
}

// trackAbandonedReads takes care of the state of reads that were given up but may end late, because
// their replica hangs or did not notice. It is called when no further read of the request will be
// sent.
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

// abandonedReadTTL is how long a replica that does not answer may continue a read that was given
// up.
const abandonedReadTTL = 5 * time.Second

// abandonedReads are the reads that were given up at a replica that has not answered since.
type abandonedReads struct {
	addr string
	ids  map[string]time.Time // requests, with the time until which each is tracked
}

// pollAbandonedReads asks the replica to release one of the requests. A replica that answers is
// running and has processed everything sent to it before.
func (d *Dispatcher) pollAbandonedReads(l *abandonedReads) {
	for id := range l.ids {
		d.countRelease(id, l.addr, ReadUncertain)
		d.releaser.ReleaseAt(id, l.addr, func(answered bool) { d.post(abandonedReadsReply{l, answered}) })
		return
	}
	delete(d.abandoned, l.addr)
}

// abandonedReadsReply is posted when a replica has answered such a call or has failed to.
type abandonedReadsReply struct {
	*abandonedReads
	answered bool
}

func (l abandonedReadsReply) apply(d *Dispatcher) {
	if l.answered { // a read that it accepted right before may end a moment later
		delete(d.abandoned, l.addr)
		for id := range l.ids {
			d.after(releaseRepeatDelay, func() { d.release(id, l.addr, ReadUncertain) })
		}
		return
	}
	maps.DeleteFunc(l.ids, func(_ string, until time.Time) bool { return !d.clock().Before(until) })
	d.after(time.Duration(heldFraction*float64(d.settings.ReleaseWithin)), func() { d.pollAbandonedReads(l.abandonedReads) })
}
