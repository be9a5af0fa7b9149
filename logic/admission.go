package logic

import (
	"cmp"
	"math"
	"time"
)

// Admission and refusal of arriving requests.

const (
	aimShare        = 0.7 // share of the first-token target that waiting may use, as estimates err
	overQuotaWait   = 0.2 // share of the allowed wait for requests beyond their tenant's quota
	overQuotaLoad   = 0.6 // such requests are refused while the least loaded writer is this full
	maxInPlaceLoad  = 0.5 // a server this full takes no request for both read and write
	inPlaceSlowdown = 2.0 // read time of such a server, as a multiple of a reader's
)

// retryKey identifies a client request across its retries.
type retryKey struct {
	session uint64
	tokens  int64
}

// firstTried returns when a request's client first sent it.
func (l *Router) firstTried(r *request) time.Duration {
	key := retryKey{r.Session, r.PromptTokens}
	at, ok := l.firstSeen.get(key)
	if ok && l.now-at <= r.class.Deadline {
		return at
	}
	at = l.now
	if r.Retried { // its first attempt went to another router
		at -= r.class.Aim / 2
	}
	l.firstSeen.set(key, at)
	return at
}

func (l *Router) handleArrived(ev *Event) {
	class := cmp.Or(l.classes[ev.Request.Class], l.classes[l.set.Classes[0].Name])
	l.seq++
	r := &request{Request: ev.Request, id: ev.RequestID, seq: l.seq, class: class}
	r.deadline = l.now + r.Remaining
	l.requests[r.id], l.bySeq[r.seq] = r, r
	// A client's retry has already used up part of the first-token target.
	r.firstTried = l.firstTried(r)
	l.open = append(l.open, r)
	l.out = append(l.out, Action{Kind: Wake, RequestID: r.id, After: r.Remaining, Tag: r.seq})
	l.retryBudget = min(l.retryBudget+retryShare, 1+retryShare*l.arrivals.add(l.now, 0, entryTTL), retryBurst)
	s, _ := l.keyArrivals.get(cmp.Or(r.Prefix, r.Session))
	s.add(l.now, 1, entryTTL)
	l.keyArrivals.set(cmp.Or(r.Prefix, r.Session), s)
	l.arrivals.add(l.now, 1, entryTTL)
	l.recentArrivals.add(l.now, 1, rateDecay)
	overQuota := l.overQuota(r)
	c := l.chooseReader(r)
	retryAfter, refused := l.shouldRefuse(r, c, overQuota)
	if !refused {
		if !l.startProbes(r, c) {
			l.startRead(r, c)
		}
	} else if s := l.inPlaceServer(r); s != nil && !overQuota {
		l.sendInPlace(r, s)
	} else {
		l.finish(r, Refuse, retryAfter)
	}
}

// shouldRefuse reports whether waiting at the reader or at the writers would make the request miss
// its first-token target, and after how long the client may retry.
func (l *Router) shouldRefuse(r *request, c readChoice, overQuota bool) (time.Duration, bool) {
	if l.meanPerToken == 0 || c.server == nil || r.Resumed {
		// Nothing is refused before a rate is learned. The rest of a broken stream is never
		// refused, as what was already served would be lost.
		return 0, false
	}
	aim := aimShare * l.aimOf(r)
	wait, least := math.Inf(1), math.Inf(1)
	for _, s := range l.candidates(r, false).servers {
		wait, least = min(wait, l.firstTokenWait(s)), min(least, l.load(s))
	}
	wait += c.wait
	allowed := max(aim-c.readTime, aim/2) // a request's own long read never refuses it
	if overQuota {
		allowed *= overQuotaWait
	}
	if wait <= allowed && !(overQuota && least > overQuotaLoad) {
		return 0, false
	}
	retryAfter := min(max(wait-allowed, overdueAimShare*aim), l.set.MaxRetryAfter.Seconds())
	return time.Duration(retryAfter * float64(time.Second)), true
}

// inPlaceServer returns a server that reads and answers a request whole, for use when the readers'
// queue would refuse it: a mixed server, or else a writer that reads in place. The server must have
// room, and its expected wait must be within the first-token target. It returns nil if there is
// none.
func (l *Router) inPlaceServer(r *request) *server {
	var best *server
	aim := aimShare * l.aimOf(r)
	least := aim
	for _, s := range l.candidates(r, false).servers {
		if s.role == Writer && !l.set.ReadInPlace || l.load(s) > maxInPlaceLoad {
			continue
		}
		wait := float64(s.unreadTokens+r.PromptTokens)*inPlaceSlowdown*l.meanPerToken + l.firstTokenWait(s)
		better := best == nil || best.role == s.role && wait < least || s.role == Mixed && best.role != Mixed
		if wait < aim && better {
			best, least = s, wait
		}
	}
	return best
}

// aimOf is the time in seconds within which the first token is wanted, or within which the client
// gives up if that is sooner.
func (l *Router) aimOf(r *request) float64 {
	aim := r.class.Aim.Seconds() + r.class.AimPer1K.Seconds()*float64(r.PromptTokens)/1000
	left := min(aim-(l.now-r.firstTried).Seconds(), r.Remaining.Seconds())
	return max(left, aim*overQuotaWait) // late answers are worth as little as those beyond a quota
}
