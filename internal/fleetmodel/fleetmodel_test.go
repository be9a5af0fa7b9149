package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	"standpulley/logic"
)

// play runs a day, and fails the test if the run returns an error.
func play(t testing.TB, d Day, seed uint64) Report {
	t.Helper()
	r, err := Run(d, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestDays checks each day, as the mean of two seeds: the share of worth served, the share answered
// in time in the last ten seconds, which is low in a congestion collapse that sustains itself, and
// that cold replicas stay well below overload. An earlier version of the decisions did not allow
// for how little of the traffic each router sees; where it collapsed, the bounds lie between its
// results and the current ones.
func TestDays(t *testing.T) {
	bounds := map[string]struct{ served, tail float64 }{
		"calm": {0.98, 0.98}, "roll": {0.83, 0.82}, "join": {0.75, 0.77}, "zone-back": {0.94, 0.93},
		"stillborn": {0.70, 0.65}, "writers-full": {0.93, 0.97}, "forgotten": {0.72, 0.73},
	}
	for _, d := range Days() {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			var served, tail, budgetUse float64
			var text string
			for _, seed := range []uint64{2, 3} {
				r := play(t, d.Half(), seed)
				served, tail, budgetUse = served+r.Served/2, tail+r.InTime(d.Length-10*time.Second, d.Length)/2, max(budgetUse, r.BudgetUse)
				text += r.String()
			}
			if b := bounds[d.Name]; served < b.served || tail < b.tail || budgetUse > 0.8 {
				t.Errorf("served %.3f, in time at the end %.3f, slow-start budget used %.2f; want at least %.2f and %.2f, and at most 0.8:\n%s",
					served, tail, budgetUse, b.served, b.tail, text)
			}
			t.Logf("served %.3f, in time at the end %.3f, slow-start budget used %.2f", served, tail, budgetUse)
		})
	}
}

// TestRunsRepeat checks that the same day and seed give the same report; another seed gives another
// one.
func TestRunsRepeat(t *testing.T) {
	t.Parallel()
	d := RollingUpdate().Half()
	d.Length = 12 * time.Second
	a, b, c := play(t, d, 5), play(t, d, 5), play(t, d, 6)
	if a.String() != b.String() {
		t.Errorf("two runs with the same seed differ:\n%s\n%s", a.String(), b.String())
	}
	if a.String() == c.String() {
		t.Error("runs with different seeds give the same report")
	}
}

// TestReaderCache checks that a reader of the model finds the cached part of a prompt and evicts
// the least recently used entries.
func TestReaderCache(t *testing.T) {
	m := &Model{day: Calm(), now: start, byID: map[string]*replica{}}
	s := &replica{m: m, role: logic.Reader, cache: map[cacheKey]*cacheEntry{}, memoryTokens: 10000}
	newRequest := func(sessionKey, prefixKey uint64, prefixTokens, tokens float64) *request {
		return &request{sessionKey: sessionKey, prefixKey: prefixKey, prefixTokens: prefixTokens, promptTokens: tokens}
	}
	s.store(newRequest(1, 9, 2000, 3000))
	for i, c := range []struct {
		q    *request
		want float64
	}{{newRequest(1, 9, 2000, 3500), 3000}, {newRequest(2, 9, 2000, 2600), 2000}, {newRequest(3, 0, 0, 500), 0}, {newRequest(1, 9, 2000, 3000), 2999}} {
		if got := s.lookup(c.q); got != c.want {
			t.Errorf("case %d: %v tokens cached, want %v", i, got, c.want)
		}
	}
	m.now += time.Second
	s.store(newRequest(4, 8, 4000, 6000))
	if got := s.lookup(newRequest(1, 0, 0, 3000)); got != 0 {
		t.Errorf("%v tokens of the oldest prompt are still cached after newer ones filled the memory", got)
	}
}

// BenchmarkDays runs the days at full size and reports the means over b.N seeds; use -benchtime 1x.
func BenchmarkDays(b *testing.B) {
	for _, d := range Days() {
		b.Run(d.Name, func(b *testing.B) {
			var served, tail, cancelled float64
			for i := range b.N {
				r := play(b, d, uint64(i+1))
				served += r.Served
				tail += r.InTime(d.Length-10*time.Second, d.Length)
				cancelled += float64(r.Cancelled)
			}
			n := float64(b.N)
			b.ReportMetric(served/n, "served")
			b.ReportMetric(tail/n, "in-time-at-end")
			b.ReportMetric(cancelled/n, "cancelled")
		})
	}
}

func ExampleReport_InTime() {
	r := Report{Rows: []Row{{Offered: 10, InTime: 9}, {Offered: 10, InTime: 1}}}
	fmt.Println(r.InTime(0, 5*time.Second), r.InTime(0, 10*time.Second))
	// Output: 0.9 0.5
}
