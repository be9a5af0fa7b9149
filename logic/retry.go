package logic

// Retries: their budget, time-outs by choice, and the rule on repeats.

const (
	retryShare      = 0.2  // further attempts by choice, as a share of arrivals ...
	retryBurst      = 10.0 // ... and what may be saved up
	overdueFactor   = 4.0  // an attempt is overdue after this multiple of the expected
	deviationFactor = 4.0  // of the time that reads took lately, added to the usual time: as for the retransmission timer of RFC 6298
	overdueAimShare = 0.25 // and never before this share of the shortest aim
)

// allowed tells whether a send to s keeps the request's effect single.
func (l *Router) repeatAllowed(r *request, s *server) bool {
	if r.mayHaveRunAt == nil || r.class.Repeat == Safe {
		return true
	}
	if r.class.Repeat == Unsafe || l.now-r.mayHaveRunSince >= r.class.Window {
		return false
	}
	switch r.class.Scope {
	case SameZone:
		return s.Zone == r.mayHaveRunAt.Zone
	case SameCell:
		return s.Cell == r.mayHaveRunAt.Cell
	}
	return true
}

// patience is how long an attempt may take before it is overdue. An attempt cut shorter would time out while
// its server is well, and a fleet of impatient clients would become a storm of attempts.
// Where a server is heard of seldom, the usual time of all reads lately tells more than its own silence. A router that sees little knows
// nothing of queues, where a read behind a long prompt takes many times as long as most. Where a read usually takes so much of the aim that
// one begun anew elsewhere would come late too, their deviation counts. What was passed by later attempts stands behind nothing.
func (l *Router) overdueAfter(expected float64, overtaken bool) float64 {
	typical := l.meanReadTime
	if l.hasPartialView() && !overtaken && l.meanReadTime > l.minOverdue {
		typical += deviationFactor * l.readDeviation
	}
	return max(l.minOverdue, overdueFactor*max(expected, typical))
}

// checkOverdue gives up on an attempt that takes far longer than foreseen at a server that has said nothing
// since: silence, whatever its cause. Where the server has answered what was sent to it later, which waits behind it,
// only the attempt's connection is silent. Retries are bounded, so a slowness of all does not become a storm.
func (l *Router) checkOverdue(r *request) {
	age := (l.now - r.sentAt).Seconds()
	s := r.server
	overtaken := s.lastAnsweredSend > r.sentAt
	if r.cancelled || age < l.overdueAfter(r.expected, overtaken) || s.lastResponse >= r.sentAt && !overtaken {
		return
	}
	if !overtaken && l.now >= s.ejectedUntil {
		l.recordFailure(s)
	}
	if !l.set.CanCancel || l.retryBudget < 1 || r.attempts >= l.set.MaxAttempts ||
		r.class.Repeat != Safe && (r.phase == writing || r.class.Repeat == Unsafe && !l.set.CancelStopsWork) {
		return
	}
	l.retryBudget--
	l.cancel(r)
}

func (l *Router) cancel(r *request) {
	if r.server != nil && r.phase != streaming && l.set.CanCancel && !r.cancelled {
		r.cancelled = true
		l.out = append(l.out, Action{Kind: Cancel, RequestID: r.id, Attempt: r.attempts - 1})
	}
}
