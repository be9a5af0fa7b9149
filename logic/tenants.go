package logic

import "time"

// Tenant quotas.

type tenantState struct {
	rate, credit float64
	at           time.Duration
}

// overQuota counts an arrival against its tenant's quota and reports whether it exceeds this
// router's share of the quota.
func (l *Router) overQuota(r *request) bool {
	t := l.tenants[r.Tenant]
	if t == nil || t.rate <= 0 {
		return false
	}
	if t.at > 0 {
		t.credit = min(t.credit+(l.now-t.at).Seconds()*t.rate, t.rate*quotaBurst+1)
	}
	t.at = l.now
	if t.credit < 1 {
		return true
	}
	t.credit--
	return false
}
