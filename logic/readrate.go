package logic

import (
	"math"
	"time"
)

// Estimates of read rates and queues at readers.

const (
	rateDecay    = 6 * time.Second // read rates follow a change within about this
	decreaseGain = 0.3             // share of a shorter read that the rate takes over
	increaseGain = 0.02            // and of a longer one
	meanGain     = 0.2             // share of a read's time that the usual one takes over
	queueDecay   = 3 * time.Second // a queue, a slow start or a report is believed this long
)

// rateOf is the learned seconds a token; a reader that was not heard lately counts as average.
func (l *Router) perTokenTime(s *server) float64 {
	perToken := max(l.meanPerToken, 1e-9) // before a rate is learned, tokens are compared
	if s.perTokenAt > 0 {
		perToken += (s.perToken - perToken) * decay(l.now-s.perTokenAt, rateDecay)
	}
	if l.cold(s) {
		perToken = max(perToken, l.meanPerToken/l.warmth(s))
	}
	return perToken
}

// unseenWait is the seconds that reads lately waited beyond our own tokens: what other routers have sent there. A
// reader not heard of lately counts as the mean of those heard.
func (l *Router) externalWait(s *server) float64 {
	mean := l.meanExtraWait * decay(l.now-l.extraWaitAt, queueDecay)
	return mean + (s.extraWait-mean)*decay(l.now-s.perTokenAt, queueDecay)
}

// backlog is the tokens unread at a reader: our own, or what it reported less what it has read since.
func (l *Router) backlog(s *server, perToken float64) float64 {
	own := float64(s.unreadTokens)
	if s.reportAt == 0 || l.now-s.reportAt > queueDecay || !(s.report.TokensWaiting > 0) {
		return own
	}
	return max(own, s.report.TokensWaiting+s.tokensSinceReport-(l.now-s.reportAt).Seconds()/perToken)
}

// learnRead takes what a finished read tells: the rate, and what the reader had and has now.
func (l *Router) learnRead(r *request, s *server, took time.Duration, cachedTokens int64) {
	tokens := r.queuedAhead + float64(max(r.PromptTokens-cachedTokens, 1))
	// The rate follows fast downwards and slowly upwards: what a read took beyond it was the queue of others.
	sample := took.Seconds() / tokens
	// A read of a few tokens tells of fixed costs rather than of the rate, so it counts little.
	weight := min(2*tokens/(tokens+float64(r.PromptTokens)), 1)
	s.perToken, l.meanPerToken = smooth(l.perTokenTime(s), sample, weight), smooth(l.meanPerToken, sample, weight)
	s.extraWait = l.externalWait(s)
	extra := max(took.Seconds()-tokens*s.perToken, 0)
	s.extraWait += 0.5 * (extra - s.extraWait)
	l.meanExtraWait += meanGain * (extra - l.meanExtraWait)
	s.perTokenAt, l.extraWaitAt = l.now, l.now
	l.readDeviation += meanGain * (math.Abs(took.Seconds()-l.meanReadTime) - l.readDeviation)
	l.meanReadTime += meanGain * (took.Seconds() - l.meanReadTime)
	if cachedTokens < r.confirmedTokens/2 { // caught short: a flush, an eviction, an unseen restart; what was noted before is void
		s.cacheValidSince = max(s.cacheValidSince, r.sentAt)
	}
	session, prefix := keysOf(r)
	l.recordCached(session, s, r.PromptTokens, true)
	l.recordCached(prefix, s, r.PrefixTokens, true)
}

func smooth(estimate, sample, weight float64) float64 {
	if estimate == 0 {
		return sample
	} else if sample < estimate {
		return estimate + weight*decreaseGain*(sample-estimate)
	}
	return estimate + weight*increaseGain*(sample-estimate)
}
