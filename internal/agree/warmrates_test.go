package agree

import (
	"testing"
	"time"
)

// Guards: what replicas bear is told to who does not know by the lower median of those that may be acting, so that one that lies moves
// little, and by no more than the part of those who know.
func TestWarmRatesFromOtherDispatchers(t *testing.T) {
	b, timing := &Record{}, TimingOf(time.Second)
	tally := NewLeaseTable(0, timing)
	say := func(name string, x float64) {
		r := Renewal{Name: name}
		if x > 0 {
			r.WarmRates = map[string]float64{"w": x}
		}
		tally.Renew(0, r, b)
		tally.Members[name].LeaseEnd = timing.MaxLease
	}
	say("new", 0)
	if got := tally.WarmRates(0); len(got) > 0 {
		t.Errorf("nobody knows: %v", got)
	}
	say("liar", 1e9)
	if got := tally.WarmRates(0); len(got) > 0 {
		t.Errorf("one alone says %v", got)
	}
	say("a", 10)
	if got := tally.WarmRates(0)["w"]; got != 10*2.0/3 {
		t.Errorf("one of two lies: %v", got)
	}
	say("b", 12)
	if got := tally.WarmRates(0)["w"]; got != 12*3.0/4 {
		t.Errorf("one of three lies: %v", got)
	}
	if got := tally.WarmRates(timing.MaxLease); len(got) > 0 {
		t.Errorf("those who are gone are asked: %v", got)
	}
}
