package logic

import (
	"slices"
	"time"
)

// Requests and the lifecycle of their attempts.

const (
	outputGuess = 0.3 // answers are about this share of their ceiling
)

type phase uint8

const (
	parked    phase = iota // no attempt is out; waits for a server
	probing                // no attempt is out; readers are being probed
	reading                // an attempt at a reader is out
	writing                // an attempt at a writer is out, nothing has come yet
	streaming              // the answer runs
)

type request struct {
	Request
	id        string
	seq       uint64
	class     *classState
	phase     phase
	ended     bool          // answered or departed; kept only for the outcome that is still owed
	first     time.Duration // when its client first tried
	deadline  time.Duration
	parkUntil time.Duration
	attempts  int
	at        *server // where the attempt is out
	sentAt    time.Duration
	expected  float64 // seconds that the attempt should take, as foreseen
	cancelled bool
	state     *server // the reader where the read state waits
	claim     int64   // tokens the table said were kept
	ahead     float64 // unread tokens found at the reader when sent
	unread    int64   // tokens counted into the reader's unread
	held      float64 // tokens counted into the writer's memory
	ranAt     *server // an attempt that may have run, or may be out yet
	ranSince  time.Duration
	avoid     []*server
	probed    [probesEach]probe // while probing: the choices, the best first
}

// start sends a request to its reader. Where no reader can be had, one that reads in place takes it whole.
func (l *Router) start(r *request, c readChoice) {
	if c.at == nil {
		if s := l.chooseWriter(r); s != nil && (s.role == Mixed || l.set.ReadInPlace) {
			l.sendWhole(r, s)
			return
		}
		l.park(r)
		return
	}
	r.claim, r.ahead = c.match.claim, c.ahead
	r.unread = max(r.PromptTokens-c.match.tokens, 1)
	c.at.unread += r.unread
	if _, prefix := keysOf(r); c.rehome || c.match.presumed {
		l.record(prefix, c.at, r.PrefixTokens, false)
	}
	c.at.sentTok += float64(r.unread)
	l.send(r, c.at, reading, c.wait+c.read)
}

// send makes an attempt. While a further one is possible it gets half of the time that is left.
func (l *Router) send(r *request, s *server, p phase, expected float64) {
	until := r.deadline
	half := (r.deadline - l.now) / 2
	if r.attempts+1 < l.set.MaxAttempts && (r.class.Repeat == Safe || p == reading && (r.class.Repeat == Keyed || l.set.CancelStopsWork)) &&
		half.Seconds() > l.overdueAfter(expected, false) {
		until = l.now + half
	}
	r.at, r.sentAt, r.phase, r.expected, r.cancelled = s, l.now, p, expected, false
	r.attempts++
	s.waiting = append(s.waiting, r)
	s.coldCredit--
	if p == writing {
		answer := outputGuess * float64(r.MaxOutput)
		if hint := r.OutputHint.Seconds() / r.class.TokenAim.Seconds(); hint > 0 {
			answer = min(hint, float64(r.MaxOutput))
		}
		r.held = float64(r.PromptTokens) + answer
		s.held, l.held = s.held+r.held, l.held+r.held
		s.writes++
		s.sentTok += r.held
	}
	l.out = append(l.out, Action{Kind: Send, RequestID: r.id, Server: s.ID, Until: until})
}

func (l *Router) sendWhole(r *request, s *server) {
	r.unread = r.PromptTokens
	s.unread += r.unread
	l.send(r, s, writing, float64(s.unread)*inPlaceSlower*l.average+l.startWait(s))
}

// unbook takes the attempt that is out off its server's counts.
func (l *Router) unbook(r *request) {
	s := r.at
	s.waiting = without(s.waiting, r)
	s.unread -= r.unread
	s.held, l.held = s.held-r.held, l.held-r.held
	if r.held > 0 {
		s.writes--
	}
	r.at, r.unread, r.held = nil, 0, 0
}

func without(all []*request, r *request) []*request {
	return slices.DeleteFunc(all, func(x *request) bool { return x == r })
}

func (l *Router) started(ev *Event) {
	r := l.requests[ev.RequestID]
	if r == nil || r.at == nil || r.phase == streaming {
		return
	}
	s, took := r.at, ev.Took.Seconds()
	s.waiting = without(s.waiting, r)
	l.accepted(r, s)
	l.usualStart += usualShare * (took - l.usualStart)
	if s.startAt > 0 {
		took = s.start + 0.3*(took-s.start)
	}
	s.start, s.startAt = took, l.now
	s.unread -= r.unread
	r.phase, r.state, r.sentAt, r.unread = streaming, nil, l.now, 0
}

func (l *Router) attemptEnded(ev *Event) {
	r := l.requests[ev.RequestID]
	if r == nil || r.at == nil {
		return
	}
	s, was := r.at, r.phase
	l.unbook(r)
	if ev.Report != nil {
		s.report, s.reportAt, s.sentTok = *ev.Report, l.now, 0
	}
	l.judge(r, s, was, ev)
	gaveUp := ev.Outcome == TimedOut || ev.Outcome == Cancelled
	if r.ranAt == nil && (was == writing && (gaveUp || ev.Outcome == ServerError || ev.Outcome == ConnectionLost) ||
		gaveUp && !l.set.CancelStopsWork && r.class.Repeat != Safe) { // its read may go on
		r.ranAt, r.ranSince = s, r.sentAt
	}
	r.phase = parked
	if r.ended || ev.RequestEnded {
		l.drop(r, !(was == streaming))
		return
	}
	switch {
	case ev.Outcome == ReadDone:
		r.state, r.avoid = s, r.avoid[:0]
		l.again(r)
	case r.ranAt != nil && r.class.Repeat == Unsafe:
		l.giveUp(r, 0)
	default:
		r.avoid = append(r.avoid, s)
		if ev.NoState || was == reading {
			r.state = nil
		}
		l.again(r)
	}
}

// again goes on with a request that has no attempt out, or keeps it while no server can be had.
func (l *Router) again(r *request) {
	if r.attempts >= l.set.MaxAttempts || l.now >= r.deadline {
		l.giveUp(r, 0)
	} else if r.state == nil {
		l.start(r, l.chooseReader(r))
	} else if s := l.chooseWriter(r); s != nil {
		l.send(r, s, writing, l.startWait(s))
	} else {
		l.park(r)
	}
}
