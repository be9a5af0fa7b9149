package logic

// Retries: their budget, the cancellation of overdue attempts, and the rule on repeats.

const (
	retryShare    = 0.2  // allowed retries of overdue attempts, as a share of arrivals ...
	retryBurst    = 10.0 // ... and how many may accumulate
	overdueFactor = 4.0  // an attempt is overdue after this multiple of its expected duration
	// Multiple of the deviation of recent read times that is added to their mean, as for the
	// retransmission timer of RFC 6298.
	deviationFactor = 4.0
	overdueAimShare = 0.25 // no attempt is overdue before this share of the shortest first-token target
)

// repeatAllowed reports whether a send to s keeps to the repeat rule of the request's class, so
// that the request takes effect only once.
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

// overdueAfter is the time in seconds after which an attempt is overdue. With a shorter limit,
// attempts at healthy servers would time out, and retries from a whole fleet would become a retry
// storm.
//
// If a server rarely answers this router, because it is rarely sent anything, the mean time of all
// recent reads says more than the lack of an answer from that server, so the limit is a multiple of
// the mean where that is longer. A router with a partial view does not know the queues, where a
// read behind a long prompt takes many times as long as most. If reads usually take so much of the
// first-token target that a retry elsewhere would be late too, their deviation is added. An
// overtaken attempt, whose server has answered later ones, is not queued, so the deviation is left
// out.
func (l *Router) overdueAfter(expected float64, overtaken bool) float64 {
	typical := l.meanReadTime
	if l.hasPartialView() && !overtaken && l.meanReadTime > l.minOverdue {
		typical += deviationFactor * l.readDeviation
	}
	return max(l.minOverdue, overdueFactor*max(expected, typical))
}

// checkOverdue cancels an attempt that takes far longer than expected at a server that has not
// responded since the send, whatever the cause. If the server has answered attempts that were sent
// later, only the connection of this attempt is stalled, and the server does not count as failed.
// Retries are bounded, so that a slowdown of the whole fleet does not become a retry storm.
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
