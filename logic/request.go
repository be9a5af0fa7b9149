package logic

import (
	"slices"
	"time"
)

// Requests and the lifecycle of their attempts.

const (
	defaultOutputShare = 0.3 // assumed length of an answer, as a share of its maximum
)

type phase uint8

const (
	parked    phase = iota // no attempt is outstanding; waits for a server
	probing                // no attempt is outstanding; readers are being probed
	reading                // an attempt at a reader is outstanding
	writing                // an attempt at a writer is outstanding, without a first token yet
	streaming              // the answer is being streamed
)

type request struct {
	Request
	id              string
	seq             uint64
	class           *classState
	phase           phase
	ended           bool          // answered or departed; kept until the outcome of its last attempt arrives
	firstTried      time.Duration // when its client first sent it
	deadline        time.Duration
	parkUntil       time.Duration
	attempts        int
	server          *server // server of the outstanding attempt
	sentAt          time.Duration
	expected        float64 // expected duration of the attempt in seconds
	cancelled       bool
	stateReader     *server // the reader that holds the state
	confirmedTokens int64   // tokens that the prefix table had as cached at the reader
	queuedAhead     float64 // unread tokens at the reader at the time of the send
	unreadTokens    int64   // tokens counted in the server's unreadTokens
	heldTokens      float64 // tokens counted in the writer's heldTokens
	mayHaveRunAt    *server // server of the first attempt that may have run or may still be running
	mayHaveRunSince time.Duration
	avoid           []*server
	probes          [probesPerRequest]probe // in the probing phase: the choices, best first
}

// startRead sends a request to its reader. If there is no usable reader, a server that can read in
// place takes the request whole.
func (l *Router) startRead(r *request, c readChoice) {
	if c.server == nil {
		if s := l.chooseWriter(r); s != nil && (s.role == Mixed || l.set.ReadInPlace) {
			l.sendInPlace(r, s)
			return
		}
		l.park(r)
		return
	}
	r.confirmedTokens, r.queuedAhead = c.match.confirmed, c.queuedTokens
	r.unreadTokens = max(r.PromptTokens-c.match.tokens, 1)
	c.server.unreadTokens += r.unreadTokens
	if _, prefix := keysOf(r); c.newHome || c.match.byHash {
		l.recordCached(prefix, c.server, r.PrefixTokens, false)
	}
	c.server.tokensSinceReport += float64(r.unreadTokens)
	l.send(r, c.server, reading, c.wait+c.readTime)
}

// send starts an attempt. While another attempt is possible, this one gets half of the time left.
func (l *Router) send(r *request, s *server, p phase, expected float64) {
	until := r.deadline
	half := (r.deadline - l.now) / 2
	if r.attempts+1 < l.set.MaxAttempts && (r.class.Repeat == Safe || p == reading && (r.class.Repeat == Keyed || l.set.CancelStopsWork)) &&
		half.Seconds() > l.overdueAfter(expected, false) {
		until = l.now + half
	}
	r.server, r.sentAt, r.phase, r.expected, r.cancelled = s, l.now, p, expected, false
	r.attempts++
	s.pending = append(s.pending, r)
	s.coldCredit--
	if p == writing {
		answer := defaultOutputShare * float64(r.MaxOutput)
		if hint := r.OutputHint.Seconds() / r.class.TokenAim.Seconds(); hint > 0 {
			answer = min(hint, float64(r.MaxOutput))
		}
		r.heldTokens = float64(r.PromptTokens) + answer
		s.heldTokens, l.heldTokens = s.heldTokens+r.heldTokens, l.heldTokens+r.heldTokens
		s.openWrites++
		s.tokensSinceReport += r.heldTokens
	}
	l.out = append(l.out, Action{Kind: Send, RequestID: r.id, Server: s.ID, Until: until})
}

func (l *Router) sendInPlace(r *request, s *server) {
	r.unreadTokens = r.PromptTokens
	s.unreadTokens += r.unreadTokens
	l.send(r, s, writing, float64(s.unreadTokens)*inPlaceSlowdown*l.meanPerToken+l.firstTokenWait(s))
}

// removeAttempt removes the outstanding attempt from its server's counts.
func (l *Router) removeAttempt(r *request) {
	s := r.server
	s.pending = without(s.pending, r)
	s.unreadTokens -= r.unreadTokens
	s.heldTokens, l.heldTokens = s.heldTokens-r.heldTokens, l.heldTokens-r.heldTokens
	if r.heldTokens > 0 {
		s.openWrites--
	}
	r.server, r.unreadTokens, r.heldTokens = nil, 0, 0
}

func without(all []*request, r *request) []*request {
	return slices.DeleteFunc(all, func(x *request) bool { return x == r })
}

func (l *Router) handleStreamStarted(ev *Event) {
	r := l.requests[ev.RequestID]
	if r == nil || r.server == nil || r.phase == streaming {
		return
	}
	s, took := r.server, ev.Took.Seconds()
	s.pending = without(s.pending, r)
	l.recordSuccess(r, s)
	l.meanFirstToken += meanGain * (took - l.meanFirstToken)
	if s.firstTokenAt > 0 {
		took = s.firstToken + 0.3*(took-s.firstToken)
	}
	s.firstToken, s.firstTokenAt = took, l.now
	s.unreadTokens -= r.unreadTokens
	r.phase, r.stateReader, r.sentAt, r.unreadTokens = streaming, nil, l.now, 0
}

func (l *Router) handleEnded(ev *Event) {
	r := l.requests[ev.RequestID]
	if r == nil || r.server == nil {
		return
	}
	s, phase := r.server, r.phase
	l.removeAttempt(r)
	if ev.Report != nil {
		s.report, s.reportAt, s.tokensSinceReport = *ev.Report, l.now, 0
	}
	l.recordOutcome(r, s, phase, ev)
	abandoned := ev.Outcome == TimedOut || ev.Outcome == Cancelled
	if r.mayHaveRunAt == nil && (phase == writing && (abandoned || ev.Outcome == ServerError || ev.Outcome == ConnectionLost) ||
		abandoned && !l.set.CancelStopsWork && r.class.Repeat != Safe) { // the server may go on with the read
		r.mayHaveRunAt, r.mayHaveRunSince = s, r.sentAt
	}
	r.phase = parked
	if r.ended || ev.RequestEnded {
		l.remove(r, !(phase == streaming))
		return
	}
	switch {
	case ev.Outcome == ReadDone:
		r.stateReader, r.avoid = s, r.avoid[:0]
		l.sendNext(r)
	case r.mayHaveRunAt != nil && r.class.Repeat == Unsafe:
		l.giveUp(r, 0)
	default:
		r.avoid = append(r.avoid, s)
		if ev.NoState || phase == reading {
			r.stateReader = nil
		}
		l.sendNext(r)
	}
}

// sendNext starts the next attempt of a request that has none outstanding, or parks the request
// while no server can take it.
func (l *Router) sendNext(r *request) {
	if r.attempts >= l.set.MaxAttempts || l.now >= r.deadline {
		l.giveUp(r, 0)
	} else if r.stateReader == nil {
		l.startRead(r, l.chooseReader(r))
	} else if s := l.chooseWriter(r); s != nil {
		l.send(r, s, writing, l.firstTokenWait(s))
	} else {
		l.park(r)
	}
}
