package logic

import "time"

// How requests end: parking, giving up, and releasing what replicas hold.

// park keeps a request that no server can take now, and its state no longer than the rule allows.
func (l *Router) park(r *request) {
	r.phase = parked
	if r.parkUntil <= l.now {
		r.parkUntil = l.now + l.set.ReleaseWithin*3/5
	}
}

func (l *Router) unpark(r *request) {
	if l.now >= r.parkUntil {
		l.giveUp(r, fullPause)
		return
	}
	l.again(r)
}

// giveUp ends a request unserved: refused where that is no lie, else failed.
func (l *Router) giveUp(r *request, pause time.Duration) {
	out := r.at != nil // and proves nothing yet, not even at a reader
	l.cancel(r)
	kind := Refuse
	if r.class.Repeat != Safe && (out || r.ranAt != nil || r.Resumed) &&
		!(r.class.Repeat == Keyed && r.class.Scope == AllServers) {
		kind = Fail
	}
	l.finish(r, kind, pause)
}

func (l *Router) finish(r *request, kind ActionKind, pause time.Duration) {
	l.out = append(l.out, Action{Kind: kind, RequestID: r.id, After: min(pause, l.set.MaxRetryAfter)})
	l.end(r)
}

func (l *Router) departed(id string) {
	r := l.requests[id]
	if r == nil || r.ended {
		return
	}
	l.cancel(r)
	l.end(r)
}

// end closes a request. What an attempt still holds is let go when its outcome comes.
func (l *Router) end(r *request) {
	r.ended = true
	if r.at == nil {
		l.drop(r, r.attempts > 0)
	}
}

func (l *Router) drop(r *request, release bool) {
	if release {
		l.out = append(l.out, Action{Kind: Release, RequestID: r.id})
	}
	delete(l.requests, r.id)
	delete(l.bySeq, r.seq)
}
