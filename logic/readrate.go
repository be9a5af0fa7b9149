package logic

import (
	"math"
	"time"
)

// Estimates of read rates and queues at readers.

const (
	rateMemory  = 6 * time.Second // read rates follow a change within about this
	rateDown    = 0.3             // share of a shorter read that the rate takes over
	rateUp      = 0.02            // and of a longer one
	usualShare  = 0.2             // share of a read's time that the usual one takes over
	queueMemory = 3 * time.Second // a queue, a slow start or a report is believed this long
)

// rateOf is the learned seconds a token; a reader that was not heard lately counts as average.
func (l *Router) rateOf(s *server) float64 {
	rate := max(l.average, 1e-9) // before a rate is learned, tokens are compared
	if s.rateAt > 0 {
		rate += (s.perToken - rate) * fade(l.now-s.rateAt, rateMemory)
	}
	if l.cold(s) {
		rate = max(rate, l.average/l.warmth(s))
	}
	return rate
}

// unseenWait is the seconds that reads lately waited beyond our own tokens: what other routers have sent there. A
// reader not heard of lately counts as the mean of those heard.
func (l *Router) unseenWait(s *server) float64 {
	mean := l.extra * fade(l.now-l.extraAt, queueMemory)
	return mean + (s.extra-mean)*fade(l.now-s.rateAt, queueMemory)
}

// backlog is the tokens unread at a reader: our own, or what it reported less what it has read since.
func (l *Router) backlog(s *server, rate float64) float64 {
	own := float64(s.unread)
	if s.reportAt == 0 || l.now-s.reportAt > queueMemory || !(s.report.TokensWaiting > 0) {
		return own
	}
	return max(own, s.report.TokensWaiting+s.sentTok-(l.now-s.reportAt).Seconds()/rate)
}

// learnRead takes what a finished read tells: the rate, and what the reader had and has now.
func (l *Router) learnRead(r *request, s *server, took time.Duration, kept int64) {
	tokens := r.ahead + float64(max(r.PromptTokens-kept, 1))
	// The rate follows fast downwards and slowly upwards: what a read took beyond it was the queue of others.
	x := took.Seconds() / tokens
	// A read of a few tokens tells of fixed costs rather than of the rate, so it counts little.
	weight := min(2*tokens/(tokens+float64(r.PromptTokens)), 1)
	s.perToken, l.average = follow(l.rateOf(s), x, weight), follow(l.average, x, weight)
	s.extra = l.unseenWait(s)
	extra := max(took.Seconds()-tokens*s.perToken, 0)
	s.extra += 0.5 * (extra - s.extra)
	l.extra += usualShare * (extra - l.extra)
	s.rateAt, l.extraAt = l.now, l.now
	l.readDeviation += usualShare * (math.Abs(took.Seconds()-l.usualRead) - l.readDeviation)
	l.usualRead += usualShare * (took.Seconds() - l.usualRead)
	if kept < r.claim/2 { // caught short: a flush, an eviction, an unseen restart; what was noted before is void
		s.since = max(s.since, r.sentAt)
	}
	session, prefix := keysOf(r)
	l.record(session, s, r.PromptTokens, true)
	l.record(prefix, s, r.PrefixTokens, true)
}

func follow(rate, x, weight float64) float64 {
	if rate == 0 {
		return x
	} else if x < rate {
		return rate + weight*rateDown*(x-rate)
	}
	return rate + weight*rateUp*(x-rate)
}
