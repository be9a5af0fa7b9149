package logic

import (
	"math"
	"time"
)

// Estimates of read rates and of queues at readers.

const (
	rateDecay    = 6 * time.Second // estimates of read rates follow a change within about this
	decreaseGain = 0.3             // weight of a read that was faster than the estimate
	increaseGain = 0.02            // weight of a read that was slower
	meanGain     = 0.2             // weight of a new value in running means
	queueDecay   = 3 * time.Second // a known queue, first-token time or load report decays within about this
)

// perTokenTime is the learned read time per token in seconds. A reader without a recent read counts
// as average.
func (l *Router) perTokenTime(s *server) float64 {
	perToken := max(l.meanPerToken, 1e-9) // before a rate is learned, token counts are compared
	if s.perTokenAt > 0 {
		perToken += (s.perToken - perToken) * decay(l.now-s.perTokenAt, rateDecay)
	}
	if l.cold(s) {
		perToken = max(perToken, l.meanPerToken/l.warmth(s))
	}
	return perToken
}

// externalWait is the time in seconds that recent reads waited beyond this router's own queue there,
// because of requests from other routers. A reader without a recent read counts as the mean of the
// others.
func (l *Router) externalWait(s *server) float64 {
	mean := l.meanExtraWait * decay(l.now-l.extraWaitAt, queueDecay)
	return mean + (s.extraWait-mean)*decay(l.now-s.perTokenAt, queueDecay)
}

// backlog is the number of prompt tokens waiting at a reader: those that this router sent, or if
// higher the number that the reader reported, plus what this router has sent since, less what the
// reader has read since.
func (l *Router) backlog(s *server, perToken float64) float64 {
	own := float64(s.unreadTokens)
	if s.reportAt == 0 || l.now-s.reportAt > queueDecay || !(s.report.TokensWaiting > 0) {
		return own
	}
	return max(own, s.report.TokensWaiting+s.tokensSinceReport-(l.now-s.reportAt).Seconds()/perToken)
}

// learnRead updates the estimates after a finished read: the reader's rate, its queue, and what it
// now holds.
func (l *Router) learnRead(r *request, s *server, took time.Duration, cachedTokens int64) {
	tokens := r.queuedAhead + float64(max(r.PromptTokens-cachedTokens, 1))
	// The rate follows faster reads quickly and slower ones slowly, as the extra time of a slow
	// read was spent in a queue of other routers' requests.
	sample := took.Seconds() / tokens
	// A read of few tokens measures fixed costs rather than the rate, so it gets little weight.
	weight := min(2*tokens/(tokens+float64(r.PromptTokens)), 1)
	s.perToken, l.meanPerToken = smooth(l.perTokenTime(s), sample, weight), smooth(l.meanPerToken, sample, weight)
	s.extraWait = l.externalWait(s)
	extra := max(took.Seconds()-tokens*s.perToken, 0)
	s.extraWait += 0.5 * (extra - s.extraWait)
	l.meanExtraWait += meanGain * (extra - l.meanExtraWait)
	s.perTokenAt, l.extraWaitAt = l.now, l.now
	l.readDeviation += meanGain * (math.Abs(took.Seconds()-l.meanReadTime) - l.readDeviation)
	l.meanReadTime += meanGain * (took.Seconds() - l.meanReadTime)
	// Less was cached than expected, after a flush, an eviction or an unnoticed restart. Earlier
	// table entries for the reader are void.
	if cachedTokens < r.confirmedTokens/2 {
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
