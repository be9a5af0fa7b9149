package logic

import "time"

// Health of servers: failures, backoff, full queues and error rates.

const (
	minBackoff           = 1 * time.Second        // a failed server is left alone this long, then twice it ...
	maxBackoff           = 8 * time.Second        // ... up to this
	maxConsecutiveErrors = 3                      // errors in a row that count as a failed server
	errorPrior           = 10.0                   // attempts without an error assumed beside those seen
	errorPenalty         = 4.0                    // a writer that always errs counts as so much fuller
	fullBackoffFactor    = 20                     // and this many times as long as it took to say so
	minFullBackoff       = 150 * time.Millisecond // a server that said full is passed over this long
)

// laneKey tells the like of a request: its tenant and class.
type tenantClass struct {
	tenant string
	class  *classState
}

// lane is how a server took the like of a request.
type backpressure struct {
	fullUntil, pause time.Duration
}

func tenantClassOf(r *request) tenantClass { return tenantClass{r.Tenant, r.class} }

func (s *server) backpressureFor(r *request) backpressure { return s.backpressure[tenantClassOf(r)] }

func (l *Router) recordFailure(s *server) {
	if s.failures == 0 && !l.inSlowStart(s) {
		s.failingSince = l.now
	}
	if s.failures == 0 || l.now >= s.ejectedUntil {
		s.failures++
	}
	s.ejectedUntil = l.now + min(minBackoff<<min(s.failures-1, 10), maxBackoff)
}

// refused notes a 'full', which may be meant for one tenant or class only: the like of the request passes the
// server over, the longer the more time the answer took and the more often it came.
func (l *Router) recordFull(r *request, s *server, took time.Duration) {
	b := s.backpressureFor(r)
	b.pause = min(max(2*b.pause, minFullBackoff, fullBackoffFactor*took), maxBackoff)
	b.fullUntil = l.now + b.pause
	s.backpressure[tenantClassOf(r)] = b
}

// accepted notes that a read ended or a stream began: the server is well and takes the like of the request.
func (l *Router) recordSuccess(r *request, s *server) {
	s.lastResponse, s.failures, s.consecutiveErrors, s.lastAnsweredSend = l.now, 0, 0, max(s.lastAnsweredSend, r.sentAt)
	s.served.add(l.now, 1, rateDecay)
	delete(s.backpressure, tenantClassOf(r))
	l.poolOf(s).addRecent(s)
}

// erring is the share of attempts that lately ended with an error at a server. Some err now and then for long, and
// what may run once only is lost there.
func (l *Router) errorRate(s *server) float64 {
	return s.recentErrors.add(l.now, 0, entryTTL) / (s.recentAttempts.add(l.now, 0, entryTTL) + errorPrior)
}

// judge draws from an outcome what it tells of the server.
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
			l.recordFailure(r.stateReader) // no attempt can have taken it: its reader is dead or cut off
		}
	case ServerError, ConnectionLost: // one lost connection is no dead server: more would be lost
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

// Ejected counts the listed servers that are passed over now because they failed.
func (l *Router) Ejected(now time.Duration) (n int) {
	for _, s := range l.order {
		if s.listed && s.failures > 0 && now < s.ejectedUntil {
			n++
		}
	}
	return n
}
