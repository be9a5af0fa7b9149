package logic

import "time"

// How requests end: parking, giving up, and releasing what replicas hold.

// park keeps a request that no server can take now, but no longer than its state may be held.
func (l *Router) park(r *request) {
	r.phase = parked
	if r.parkUntil <= l.now {
		r.parkUntil = l.now + l.set.ReleaseWithin*3/5
	}
}

func (l *Router) unpark(r *request) {
	if l.now >= r.parkUntil {
		l.giveUp(r, minFullBackoff)
		return
	}
	l.sendNext(r)
}

// giveUp ends a request unserved. It refuses the request where a retry is harmless, and fails it
// otherwise.
func (l *Router) giveUp(r *request, retryAfter time.Duration) {
	sent := r.server != nil // even an outstanding read does not prove that the request has not run
	l.cancel(r)
	kind := Refuse
	if r.class.Repeat != Safe && (sent || r.mayHaveRunAt != nil || r.Resumed) &&
		!(r.class.Repeat == Keyed && r.class.Scope == AllServers) {
		kind = Fail
	}
	l.finish(r, kind, retryAfter)
}

func (l *Router) finish(r *request, kind ActionKind, retryAfter time.Duration) {
	l.out = append(l.out, Action{Kind: kind, RequestID: r.id, After: min(retryAfter, l.set.MaxRetryAfter)})
	l.end(r)
}

func (l *Router) handleDeparted(id string) {
	r := l.requests[id]
	if r == nil || r.ended {
		return
	}
	l.cancel(r)
	l.end(r)
}

// end closes a request. State held by an outstanding attempt is released when the outcome arrives.
func (l *Router) end(r *request) {
	r.ended = true
	if r.server == nil {
		l.remove(r, r.attempts > 0)
	}
}

func (l *Router) remove(r *request, release bool) {
	if release {
		l.out = append(l.out, Action{Kind: Release, RequestID: r.id})
	}
	delete(l.requests, r.id)
	delete(l.bySeq, r.seq)
}
