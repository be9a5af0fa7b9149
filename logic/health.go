package logic

import "time"

// Health of servers: failures, backoff, full queues and error rates.

const (
	backoffFirst = 1 * time.Second        // a failed server is left alone this long, then twice it ...
	backoffMost  = 8 * time.Second        // ... up to this
	errorsInRow  = 3                      // errors in a row that count as a failed server
	errorDoubt   = 10.0                   // attempts without an error assumed beside those seen
	errorPrice   = 4.0                    // a writer that always errs counts as so much fuller
	fullCost     = 20                     // and this many times as long as it took to say so
	fullPause    = 150 * time.Millisecond // a server that said full is passed over this long
)

// laneKey tells the like of a request: its tenant and class.
type laneKey struct {
	tenant string
	class  *classState
}

// lane is how a server took the like of a request.
type lane struct {
	fullTill, pause time.Duration
}

func laneOf(r *request) laneKey { return laneKey{r.Tenant, r.class} }

func (s *server) lane(r *request) lane { return s.lanes[laneOf(r)] }

func (l *Router) failed(s *server) {
	if s.fails == 0 && !l.inSlowStart(s) {
		s.failedAt = l.now
	}
	if s.fails == 0 || l.now >= s.backAt {
		s.fails++
	}
	s.backAt = l.now + min(backoffFirst<<min(s.fails-1, 10), backoffMost)
}

// refused notes a 'full', which may be meant for one tenant or class only: the like of the request passes the
// server over, the longer the more time the answer took and the more often it came.
func (l *Router) refused(r *request, s *server, took time.Duration) {
	v := s.lane(r)
	v.pause = min(max(2*v.pause, fullPause, fullCost*took), backoffMost)
	v.fullTill = l.now + v.pause
	s.lanes[laneOf(r)] = v
}

// accepted notes that a read ended or a stream began: the server is well and takes the like of the request.
func (l *Router) accepted(r *request, s *server) {
	s.heard, s.fails, s.errors, s.passed = l.now, 0, 0, max(s.passed, r.sentAt)
	s.rate.add(l.now, 1, rateMemory)
	delete(s.lanes, laneOf(r))
	l.sideOf(s).noteRecent(s)
}

// erring is the share of attempts that lately ended with an error at a server. Some err now and then for long, and
// what may run once only is lost there.
func (l *Router) errorRate(s *server) float64 {
	return s.erred.add(l.now, 0, keyLife) / (s.tried.add(l.now, 0, keyLife) + errorDoubt)
}

// judge draws from an outcome what it tells of the server.
func (l *Router) judge(r *request, s *server, was phase, ev *Event) {
	switch ev.Outcome {
	case ServerError, ConnectionLost:
		s.erred.add(l.now, 1, keyLife)
		fallthrough
	case ReadDone, Delivered:
		s.tried.add(l.now, 1, keyLife)
	}
	switch ev.Outcome {
	case ReadDone:
		l.accepted(r, s)
		l.learnRead(r, s, ev.Took, ev.Tokens)
	case Delivered:
		s.heard, s.fails, s.errors = l.now, 0, 0
	case Full:
		s.heard = l.now
		if !ev.NoState {
			l.refused(r, s, ev.Took)
		} else if r.ranAt == nil && r.state != nil && r.state.heard < r.sentAt {
			l.failed(r.state) // no attempt can have taken it: its reader is dead or cut off
		}
	case ServerError, ConnectionLost: // one lost connection is no dead server: more would be lost
		s.heard = l.now
		if s.errors++; s.errors >= errorsInRow {
			l.failed(s)
		}
	case ConnectFailed, TimedOut:
		if ev.Outcome == ConnectFailed || s.heard < r.sentAt {
			l.failed(s)
		}
	}
}

// Ejected counts the listed servers that are passed over now because they failed.
func (l *Router) Ejected(now time.Duration) (n int) {
	for _, s := range l.order {
		if s.listed && s.fails > 0 && now < s.backAt {
			n++
		}
	}
	return n
}
