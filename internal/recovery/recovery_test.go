package recovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var bounds = Timeouts{Find: time.Second, Learn: 500 * time.Millisecond, Admit: 10 * time.Second, Surge: 5 * time.Second}

var all = Facts{DiskChecked: true, Voters: 3, VotersAnswered: 3, HasLease: true, ListApplied: true, ListFresh: true, IntentsKnown: true, ReplicasWarm: true}

func TestStages(t *testing.T) {
	for name, x := range map[string]struct {
		change func(*Facts)
		at     time.Duration
		stage  Stage
		takes  bool
		once   bool
	}{
		"all there":                         {func(*Facts) {}, 0, Serving, true, true},
		"files unread":                      {func(f *Facts) { f.DiskChecked = false }, time.Hour, CheckDisk, false, false},
		"one voter away":                    {func(f *Facts) { f.VotersAnswered = 2 }, 0, FindOthers, false, false},
		"one voter never returns":           {func(f *Facts) { f.VotersAnswered = 2 }, bounds.Find, Serving, true, true},
		"two voters never return":           {func(f *Facts) { f.VotersAnswered = 1 }, time.Hour, FindOthers, false, false},
		"alone in a warm fleet":             {func(f *Facts) { f.VotersAnswered, f.WarmMember, f.ReplicasWarm = 1, true, false }, 0, Serving, true, true},
		"no lease":                          {func(f *Facts) { f.HasLease = false }, time.Hour, Agree, false, false},
		"no list":                           {func(f *Facts) { f.ListApplied = false }, time.Hour, Learn, false, false},
		"the register says nothing":         {func(f *Facts) { f.ListFresh = false }, 0, Learn, false, false},
		"... for ever":                      {func(f *Facts) { f.ListFresh = false }, bounds.Learn, Serving, true, true},
		"... to one alone in a warm fleet":  {func(f *Facts) { f.WarmMember, f.ListFresh = true, false }, 0, Serving, true, true},
		"a crowd":                           {func(f *Facts) { f.Throttled = true }, bounds.Admit, Admit, true, true},
		"a crowd that never ends":           {func(f *Facts) { f.Throttled = true }, bounds.Admit + bounds.Surge, Serving, true, true},
		"cold replicas":                     {func(f *Facts) { f.ReplicasWarm = false }, time.Second, Admit, true, true},
		"what may have run is not known":    {func(f *Facts) { f.IntentsKnown = false }, time.Hour, Serving, true, false},
		"replicas that never say so":        {func(f *Facts) { f.ReplicasWarm = false }, bounds.Admit, Serving, true, true},
		"the lease is lost after the start": {func(f *Facts) { f.HasLease, f.ReplicasWarm = true, true }, 0, Serving, true, true},
	} {
		f := all
		x.change(&f)
		m := NewMachine(0, bounds)
		m.Step(0, f)
		w := m.Step(x.at, f)
		if s, _ := m.Current(); s != x.stage || w.AcceptRequests != x.takes || w.AcceptAtMostOnce != x.once {
			t.Errorf("%s: %v %+v", name, s, w)
		}
		if done := x.takes && x.once; !done && w.Reason == "" {
			t.Errorf("%s: nobody is told what it waits for", name)
		}
	}
	m := NewMachine(0, bounds)
	m.Step(0, all)
	lost := all
	lost.HasLease = false
	if m.Step(1, lost).AcceptRequests {
		t.Error("it takes without a lease")
	}
}

// Whatever happens in whatever order, stages never go back, nothing is taken before files, lease and list are there, and an
// instruction only where it is known what may have run.
func TestStagesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(0, bounds)
		now, last := time.Duration(0), CheckDisk
		var seen Facts
		for range 30 {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			f := Facts{Voters: 3, VotersAnswered: rapid.IntRange(1, 3).Draw(t, "heard")}
			for _, b := range []*bool{&f.DiskChecked, &f.WarmMember, &f.HasLease, &f.ListApplied, &f.ListFresh, &f.Throttled, &f.IntentsKnown, &f.ReplicasWarm} {
				*b = rapid.Bool().Draw(t, "fact")
			}
			seen.DiskChecked, seen.HasLease, seen.ListApplied = seen.DiskChecked || f.DiskChecked, seen.HasLease || f.HasLease, seen.ListApplied || f.ListApplied
			w := m.Step(now, f)
			s, _ := m.Current()
			if s < last {
				t.Fatalf("from %v to %v", last, s)
			}
			last = s
			if w.AcceptRequests && !(seen.DiskChecked && f.HasLease && seen.ListApplied) || w.AcceptAtMostOnce && !(w.AcceptRequests && f.IntentsKnown) {
				t.Fatalf("%v %+v: %+v", s, f, w)
			}
		}
	})
}

func TestRampNeverPushesOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Ramp{ColdShare: rapid.Float64Range(0.05, 1).Draw(t, "from"), WarmUpTime: 10 * time.Second, Capacity: rapid.Float64Range(0, 1000).Draw(t, "capacity")}
		before := 0.0
		proven := rapid.Float64Range(0, 1000).Draw(t, "proven")
		for at := time.Duration(0); at <= 12*time.Second; at += 500 * time.Millisecond {
			rate := r.Rate(at, proven)
			x := min(float64(at)/float64(r.WarmUpTime), 1)
			bears := r.Capacity * (r.ColdShare + (1-r.ColdShare)*x) // it warms up no slower than straight
			if r.Capacity > 0 && rate > rampRoom*bears+1e-9 && at < r.WarmUpTime {
				t.Fatalf("%v at %v, and replicas bear %v", rate, at, bears)
			}
			if rate < before {
				t.Fatalf("%v after %v", rate, before)
			}
			before = rate
		}
		a := RetryAfter(500, 50, 0)
		if b := RetryAfter(500, 50, 0.999); a < time.Second/2 || b > time.Minute+time.Second || b-a < 8*time.Second {
			t.Fatalf("they come back between %v and %v", a, b)
		}
	})
}

func TestSharesAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 100).Draw(t, "rate")
		var asked []map[string]float64
		for range rapid.IntRange(1, 3).Draw(t, "classes") {
			m := map[string]float64{}
			for i := range rapid.IntRange(0, 5).Draw(t, "customers") {
				m[fmt.Sprint("c", i)] = rapid.Float64Range(0, 200).Draw(t, "asks")
			}
			asked = append(asked, m)
		}
		sum := 0.0
		given := Shares(rate, asked)
		for i, m := range asked {
			for name, want := range m {
				got := given[i][name]
				sum += got
				if got > want+1e-9 || got < 0 {
					t.Fatalf("%s is given %v of %v", name, got, want)
				}
				for other, g := range given[i] {
					if got < want-1e-9 && g > got+1e-9 {
						t.Fatalf("%s lacks and is given %v, and %s is given %v", name, got, other, g)
					}
				}
			}
		}
		if sum > rate+1e-6 {
			t.Fatalf("%v of %v is given", sum, rate)
		}
	})
	// A customer with a hundred times its share gets no more than the others that lack, and a class after it what is left.
	got := Shares(10, []map[string]float64{{"big": 1000, "a": 2, "b": 3}, {"x": 9}})
	if got[0]["a"] != 2 || got[0]["b"] != 3 || got[0]["big"] != 5 || got[1]["x"] != 0 {
		t.Errorf("%v", got)
	}
}
