package recovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var timeouts = Timeouts{Find: time.Second, Learn: 500 * time.Millisecond, Admit: 10 * time.Second, Surge: 5 * time.Second}

var readyFacts = Facts{DiskChecked: true, Voters: 3, VotersAnswered: 3, HasLease: true, ListApplied: true, ListFresh: true, IntentsKnown: true, ReplicasWarm: true}

func TestStages(t *testing.T) {
	for name, x := range map[string]struct {
		change     func(*Facts)
		at         time.Duration
		stage      Stage
		accept     bool
		atMostOnce bool
	}{
		"all prerequisites met":            {func(*Facts) {}, 0, Serving, true, true},
		"files not checked":                {func(f *Facts) { f.DiskChecked = false }, time.Hour, CheckDisk, false, false},
		"one voter missing":                {func(f *Facts) { f.VotersAnswered = 2 }, 0, FindOthers, false, false},
		"one voter missing at timeout":     {func(f *Facts) { f.VotersAnswered = 2 }, timeouts.Find, Serving, true, true},
		"two voters missing":               {func(f *Facts) { f.VotersAnswered = 1 }, time.Hour, FindOthers, false, false},
		"alone in a warm fleet":            {func(f *Facts) { f.VotersAnswered, f.WarmMember, f.ReplicasWarm = 1, true, false }, 0, Serving, true, true},
		"no lease":                         {func(f *Facts) { f.HasLease = false }, time.Hour, Agree, false, false},
		"no list":                          {func(f *Facts) { f.ListApplied = false }, time.Hour, Learn, false, false},
		"registry not read":                {func(f *Facts) { f.ListFresh = false }, 0, Learn, false, false},
		"registry not read by the timeout": {func(f *Facts) { f.ListFresh = false }, timeouts.Learn, Serving, true, true},
		"registry not read, warm fleet":    {func(f *Facts) { f.WarmMember, f.ListFresh = true, false }, 0, Serving, true, true},
		"surge of clients":                 {func(f *Facts) { f.Throttled = true }, timeouts.Admit, Admit, true, true},
		"surge lasts beyond its timeout":   {func(f *Facts) { f.Throttled = true }, timeouts.Admit + timeouts.Surge, Serving, true, true},
		"cold replicas":                    {func(f *Facts) { f.ReplicasWarm = false }, time.Second, Admit, true, true},
		"intents not known":                {func(f *Facts) { f.IntentsKnown = false }, time.Hour, Serving, true, false},
		"replicas still cold at timeout":   {func(f *Facts) { f.ReplicasWarm = false }, timeouts.Admit, Serving, true, true},
		"lease present throughout":         {func(f *Facts) { f.HasLease, f.ReplicasWarm = true, true }, 0, Serving, true, true},
	} {
		f := readyFacts
		x.change(&f)
		m := NewMachine(0, timeouts)
		m.Step(0, f)
		w := m.Step(x.at, f)
		if s, _ := m.Current(); s != x.stage || w.AcceptRequests != x.accept || w.AcceptAtMostOnce != x.atMostOnce {
			t.Errorf("%s: stage %v, permissions %+v", name, s, w)
		}
		if done := x.accept && x.atMostOnce; !done && w.Reason == "" {
			t.Errorf("%s: no reason for the wait is given", name)
		}
	}
	m := NewMachine(0, timeouts)
	m.Step(0, readyFacts)
	lost := readyFacts
	lost.HasLease = false
	if m.Step(1, lost).AcceptRequests {
		t.Error("requests are accepted without a lease")
	}
}

// For any sequence of facts the stage never goes back, requests are accepted only after files,
// lease and list were available, and requests that must not run twice only if the intents are
// known.
func TestStagesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(0, timeouts)
		now, last := time.Duration(0), CheckDisk
		var seen Facts
		for range 30 {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			f := Facts{Voters: 3, VotersAnswered: rapid.IntRange(1, 3).Draw(t, "voters answered")}
			for _, b := range []*bool{&f.DiskChecked, &f.WarmMember, &f.HasLease, &f.ListApplied, &f.ListFresh, &f.Throttled, &f.IntentsKnown, &f.ReplicasWarm} {
				*b = rapid.Bool().Draw(t, "fact")
			}
			seen.DiskChecked, seen.HasLease, seen.ListApplied = seen.DiskChecked || f.DiskChecked, seen.HasLease || f.HasLease, seen.ListApplied || f.ListApplied
			w := m.Step(now, f)
			s, _ := m.Current()
			if s < last {
				t.Fatalf("stage went back from %v to %v", last, s)
			}
			last = s
			if w.AcceptRequests && !(seen.DiskChecked && f.HasLease && seen.ListApplied) || w.AcceptAtMostOnce && !(w.AcceptRequests && f.IntentsKnown) {
				t.Fatalf("stage %v, facts %+v: permissions %+v", s, f, w)
			}
		}
	})
}

func TestRampStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Ramp{ColdShare: rapid.Float64Range(0.05, 1).Draw(t, "from"), WarmUpTime: 10 * time.Second, Capacity: rapid.Float64Range(0, 1000).Draw(t, "capacity")}
		before := 0.0
		proven := rapid.Float64Range(0, 1000).Draw(t, "proven")
		for at := time.Duration(0); at <= 12*time.Second; at += 500 * time.Millisecond {
			rate := r.Rate(at, proven)
			x := min(float64(at)/float64(r.WarmUpTime), 1)
			capacity := r.Capacity * (r.ColdShare + (1-r.ColdShare)*x) // replicas warm up at least linearly
			if r.Capacity > 0 && rate > rampMargin*capacity+1e-9 && at < r.WarmUpTime {
				t.Fatalf("rate %v at %v exceeds the capacity %v", rate, at, capacity)
			}
			if rate < before {
				t.Fatalf("rate %v follows the higher rate %v", rate, before)
			}
			before = rate
		}
		a := RetryAfter(500, 50, 0)
		if b := RetryAfter(500, 50, 0.999); a < time.Second/2 || b > time.Minute+time.Second || b-a < 8*time.Second {
			t.Fatalf("clients retry between %v and %v", a, b)
		}
	})
}

func TestSharesAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 100).Draw(t, "rate")
		var demand []map[string]float64
		for range rapid.IntRange(1, 3).Draw(t, "classes") {
			m := map[string]float64{}
			for i := range rapid.IntRange(0, 5).Draw(t, "tenants") {
				m[fmt.Sprint("c", i)] = rapid.Float64Range(0, 200).Draw(t, "demand")
			}
			demand = append(demand, m)
		}
		sum := 0.0
		shares := Shares(rate, demand)
		for i, m := range demand {
			for name, want := range m {
				got := shares[i][name]
				sum += got
				if got > want+1e-9 || got < 0 {
					t.Fatalf("%s: share %v of demand %v", name, got, want)
				}
				for other, g := range shares[i] {
					if got < want-1e-9 && g > got+1e-9 {
						t.Fatalf("%s gets %v, less than its demand, and %s gets %v", name, got, other, g)
					}
				}
			}
		}
		if sum > rate+1e-6 {
			t.Fatalf("shares add up to %v of %v", sum, rate)
		}
	})
	// A tenant with a hundred times its fair share gets only what the others leave of the rate, and
	// the next class gets nothing, as nothing is left.
	got := Shares(10, []map[string]float64{{"big": 1000, "a": 2, "b": 3}, {"x": 9}})
	if got[0]["a"] != 2 || got[0]["b"] != 3 || got[0]["big"] != 5 || got[1]["x"] != 0 {
		t.Errorf("shares: %v", got)
	}
}
