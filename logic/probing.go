package logic

import "time"

// Probing: a router with a partial view of the fleet can't know the queues at its readers. Before a
// read it probes the reader of its choice and the next best one. A probe waits in the server's
// queue, so a server that answers late is busy, and the request goes to the other one.

const (
	// Share of the first-token target that the first choice may answer later than the second, as
	// more of the prompt may be cached there.
	probeGraceShare  = 0.01
	probeLimitShare  = 0.1  // share of the first-token target after which a reader without an answer is taken to have a queue
	maxProbeCost     = 0.02 // largest share of a request's worth that its probes may cost
	probesPerRequest = 2
)

// probeTag marks the timers of requests that wait for probes; the rest of the tag is the request's
// number.
const probeTag uint64 = 1 << 62

// probe is an outstanding probe of a reader, with the choice that it is for.
type probe struct {
	choice   readChoice
	answered bool
	failed   bool
}

// probesEnabled reports whether readers are probed before a read.
func (l *Router) probesEnabled() bool {
	return l.set.CanProbe && l.hasPartialView() && probesPerRequest*l.set.ProbePrice <= maxProbeCost
}

// startProbes probes the reader of the first choice and the next best one, and reports whether it
// did. Servers in slow start are not probed, as everything that they are sent counts against their
// budget.
func (l *Router) startProbes(r *request, first readChoice) bool {
	if !l.probesEnabled() || r.Resumed || first.server == nil || l.cold(first.server) {
		return false
	}
	r.avoid = append(r.avoid, first.server)
	second := l.chooseReader(r)
	r.avoid = r.avoid[:len(r.avoid)-1]
	if second.server == nil || second.server == first.server || l.cold(second.server) {
		return false
	}
	r.phase = probing
	r.probes = [probesPerRequest]probe{{choice: first}, {choice: second}}
	for _, p := range r.probes {
		l.out = append(l.out, Action{Kind: Probe, Server: p.choice.server.ID})
	}
	l.setProbeTimer(r, probeLimitShare)
	return true
}

// setProbeTimer sets the timer of a request that waits for probes to a share of its first-token
// target.
func (l *Router) setProbeTimer(r *request, share float64) {
	after := time.Duration(share * l.aimOf(r) * float64(time.Second))
	l.out = append(l.out, Action{Kind: Wake, RequestID: r.id, After: after, Tag: probeTag | r.seq})
}

// handleProbed handles the answer to a probe. It names no request, so it counts for all requests
// that wait for this server.
func (l *Router) handleProbed(ev *Event) {
	for _, r := range l.open {
		if r.phase != probing || r.ended {
			continue
		}
		for i := range r.probes {
			if p := &r.probes[i]; p.choice.server.ID == ev.Server && !p.answered && !p.failed {
				p.answered = ev.Outcome == Delivered
				p.failed = !p.answered
				l.checkProbes(r)
				break
			}
		}
	}
}

// checkProbes starts a request's read if the answers to its probes so far decide where, or shortens
// its timer if only the second choice has answered.
func (l *Router) checkProbes(r *request) {
	first, second := &r.probes[0], &r.probes[1]
	switch {
	case first.answered:
		l.startAfterProbes(r, first.choice)
	case second.answered && first.failed:
		l.startAfterProbes(r, second.choice)
	case second.answered:
		l.setProbeTimer(r, probeGraceShare)
	}
}

// probeTimer ends a request's wait for its probes.
func (l *Router) probeTimer(r *request) {
	if r.phase != probing || r.ended {
		return
	}
	choice := r.probes[0].choice
	if r.probes[1].answered {
		choice = r.probes[1].choice
	}
	l.startAfterProbes(r, choice)
}

// startAfterProbes starts the read at the reader that the probes favour, or at a new choice if that
// reader can no longer be sent to.
func (l *Router) startAfterProbes(r *request, c readChoice) {
	r.phase = parked
	if !c.server.listed || l.now < c.server.ejectedUntil {
		c = l.chooseReader(r)
	}
	l.startRead(r, c)
}
