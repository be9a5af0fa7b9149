package clusterstate

import (
	"testing"
	"time"
)

// TestWarmRatesFromOtherDispatchers checks that a dispatcher without warm rates gets the lower
// median of those that dispatchers with a lease report, so that one wrong report moves it little,
// scaled by the fraction of dispatchers that know a rate.
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
		t.Errorf("no dispatcher reports a rate, but got %v", got)
	}
	renew("liar", 1e9)
	if got := leases.WarmRates(0); len(got) > 0 {
		t.Errorf("a single report was used: %v", got)
	}
	renew("a", 10)
	if got := leases.WarmRates(0)["w"]; got != 10*2.0/3 {
		t.Errorf("with one of two reports wrong: %v", got)
	}
	renew("b", 12)
	if got := leases.WarmRates(0)["w"]; got != 12*3.0/4 {
		t.Errorf("with one of three reports wrong: %v", got)
	}
	if got := leases.WarmRates(timing.MaxLease); len(got) > 0 {
		t.Errorf("reports of dispatchers without a lease were used: %v", got)
	}
}
