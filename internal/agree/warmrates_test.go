package agree

import (
	"testing"
	"time"
)

// Guards: what replicas bear is told to who does not know by the lower median of those that may be acting, so that one that lies moves
// little, and by no more than the part of those who know.
func TestWarmRatesFromOtherDispatchers(t *testing.T) {
	rec, timing := &Record{}, TimingOf(time.Second)
	leases := NewLeaseTable(0, timing)
	renew := func(name string, rate float64) {
		r := Renewal{Name: name}
		if rate > 0 {
			r.WarmRates = map[string]float64{"w": rate}
		}
		leases.Renew(0, r, rec)
		leases.Members[name].LeaseEnd = timing.MaxLease
	}
	renew("new", 0)
	if got := leases.WarmRates(0); len(got) > 0 {
		t.Errorf("nobody knows: %v", got)
	}
	renew("liar", 1e9)
	if got := leases.WarmRates(0); len(got) > 0 {
		t.Errorf("one alone says %v", got)
	}
	renew("a", 10)
	if got := leases.WarmRates(0)["w"]; got != 10*2.0/3 {
		t.Errorf("one of two lies: %v", got)
	}
	renew("b", 12)
	if got := leases.WarmRates(0)["w"]; got != 12*3.0/4 {
		t.Errorf("one of three lies: %v", got)
	}
	if got := leases.WarmRates(timing.MaxLease); len(got) > 0 {
		t.Errorf("those who are gone are asked: %v", got)
	}
}
