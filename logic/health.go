package logic

import "time"

// Server health: failures, backoff, full queues and error rates.

const (
	maxTenantClasses     = 64                     // tenants and classes whose backpressure is remembered for a server
	minBackoff           = 1 * time.Second        // ejection time after the first failure, doubled with each further one ...
	maxBackoff           = 8 * time.Second        // ... up to this
	maxConsecutiveErrors = 3                      // consecutive errors that count as a failure of the server
	errorPrior           = 10.0                   // attempts without an error assumed in addition to those seen
	errorPenalty         = 4.0                    // added to a writer's load, in shares of its memory, for an error rate of 1
	fullBackoffFactor    = 20                     // a server that answered "full" is skipped for this multiple of the time that the answer took ...
	minFullBackoff       = 150 * time.Millisecond // ... and for at least this long
)

// tenantClass is the key for backpressure: a tenant and a class of requests.
type tenantClass struct {
	tenant string
	class  *classState
}

// backpressure is how long a server is skipped after it answered "full" to a tenant and class.
type backpressure struct {
	fullUntil, pause time.Duration
}

func tenantClassOf(r *request) tenantClass { return tenantClass{r.Tenant, r.class} }

func (s *server) backpressureFor(r *request) backpressure {
	b, _ := s.backpressure.get(tenantClassOf(r))
	return b
}

func (l *Router) recordFailure(s *server) {
	if s.failures == 0 && !l.inSlowStart(s) {
		s.failingSince = l.now
	}
	if s.failures == 0 || l.now >= s.ejectedUntil {
		s.failures++
	}
	s.ejectedUntil = l.now + min(minBackoff<<min(s.failures-1, 10), maxBackoff)
}

// recordFull records a "full" answer, which may apply to one tenant or class only. Requests of the
// same tenant and class skip the server for longer the more time the answer took and the more often
// it came.
func (l *Router) recordFull(r *request, s *server, took time.Duration) {
	b := s.backpressureFor(r)
	b.pause = min(max(2*b.pause, minFullBackoff, fullBackoffFactor*took), maxBackoff)
	b.fullUntil = l.now + b.pause
	s.backpressure.set(tenantClassOf(r), b)
}

// recordSuccess records that a read ended or a stream began: the server is healthy and accepts
// requests of this tenant and class.
func (l *Router) recordSuccess(r *request, s *server) {
	s.lastResponse, s.failures, s.consecutiveErrors, s.lastAnsweredSend = l.now, 0, 0, max(s.lastAnsweredSend, r.sentAt)
	s.served.add(l.now, 1, rateDecay)
	s.backpressure.delete(tenantClassOf(r))
	l.poolOf(s).addRecent(s)
}

// errorRate is the share of recent attempts at a server that ended with an error. Some servers fail
// now and then over a long time, and requests that may run only once are lost there.
func (l *Router) errorRate(s *server) float64 {
	return s.recentErrors.add(l.now, 0, entryTTL) / (s.recentAttempts.add(l.now, 0, entryTTL) + errorPrior)
}

// recordOutcome updates the health of a server and the learned rates after an attempt.
func (l *Router) recordOutcome(r *request, s *server, phase phase, ev *Event) {
	switch ev.Outcome {
	case ServerError, ConnectionLost:
		s.recentErrors.add(l.now, 1, entryTTL)
		fallthrough
	case ReadDone, Delivered:
		s.recentAttempts.add(l.now, 1, entryTTL)
	}
	switch ev.Outcome {
	case ReadDone:
		l.recordSuccess(r, s)
		l.learnRead(r, s, ev.Took, ev.Tokens)
	case Delivered:
		s.lastResponse, s.failures, s.consecutiveErrors = l.now, 0, 0
	case Full:
		s.lastResponse = l.now
		if !ev.NoState {
			l.recordFull(r, s, ev.Took)
		} else if r.mayHaveRunAt == nil && r.stateReader != nil && r.stateReader.lastResponse < r.sentAt {
			l.recordFailure(r.stateReader) // no earlier attempt can have fetched the state, so its reader is dead or unreachable
		}
	case ServerError, ConnectionLost: // a single lost connection does not mean a dead server: a dead one would lose several
		s.lastResponse = l.now
		if s.consecutiveErrors++; s.consecutiveErrors >= maxConsecutiveErrors {
			l.recordFailure(s)
		}
	case ConnectFailed, TimedOut:
		if ev.Outcome == ConnectFailed || s.lastResponse < r.sentAt {
			l.recordFailure(s)
		}
	}
}

// Ejected returns the number of listed servers that get no requests now because they failed.
func (l *Router) Ejected(now time.Duration) (n int) {
	for _, s := range l.order {
		if s.listed && s.failures > 0 && now < s.ejectedUntil {
			n++
		}
	}
	return n
}
