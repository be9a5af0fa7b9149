package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func server(id, state string) Entry {
	return Entry{ID: id, Addr: id + ":1", Zone: "z" + id[:1], Kind: "k", State: state, Weight: 1}
}

func listOf(number uint64, entries ...Entry) *List {
	l := &List{Number: number, RegistryVersion: int64(number), Entries: map[string]Entry{}}
	for _, e := range entries {
		l.Entries[e.ID] = e
	}
	return l
}

var limits = Limits{Bulk: 0.5, Batch: 50 * time.Millisecond, MaxEntries: 100, MaxAge: 10 * time.Second, MaxFlaps: 3, FlapWindow: 20 * time.Second,
	RoleOf: func(string) string { return "read" }}

// scenario drives a merger with a simulated clock and applies its changes to a list.
type scenario struct {
	t      *testing.T
	m      *Merger
	list   *List
	now    time.Duration
	orders Orders
}

func newScenario(t *testing.T, entries ...Entry) *scenario {
	return &scenario{t: t, m: NewMerger(limits), list: listOf(5, entries...), now: time.Second, orders: Orders{}}
}

func (s *scenario) read(reader string, index int64, entries ...Entry) {
	s.t.Helper()
	if err := s.m.AddReading(s.now, Reading{Reader: reader, Index: index, Entries: entries}); err != nil {
		s.t.Error(err)
	}
}

// settle applies all changes that are due and returns the states by id.
func (s *scenario) settle() string {
	s.t.Helper()
	for range 40 {
		if c := s.m.Next(s.now, s.list, s.orders); c != nil {
			if err := s.list.Apply(*c); err != nil {
				s.t.Fatal(err)
			}
		}
		s.now += 20 * time.Millisecond
	}
	var states []string
	for _, id := range slices.Sorted(maps.Keys(s.list.Entries)) {
		states = append(states, id+" "+s.list.Entries[id].State)
	}
	return strings.Join(states, ", ")
}

func (s *scenario) expect(want, held string) {
	s.t.Helper()
	if got := s.settle(); got != want {
		s.t.Errorf("agreed on %q, want %q", got, want)
	}
	why := ""
	if h := s.m.Held(); h != nil {
		why = h.Why
	}
	if held == "" != (why == "") || !strings.Contains(why, held) {
		s.t.Errorf("held %q, want %q", why, held)
	}
}

func TestMergeReadings(t *testing.T) {
	a, b, c := server("a1", InService), server("b1", InService), server("c1", InService)
	drained := b
	drained.State = Terminating
	s := newScenario(t, a, b)
	s.expect("a1 in_service, b1 in_service", "") // without readings nothing changes
	s.read("x", 6, a, drained, c)
	s.read("y", 5, a, b) // an older version of the registry
	s.expect("a1 in_service, b1 terminating, c1 in_service", "")
	s.read("y", 6, a, b, c) // contradicts x within one version: the stricter state counts
	s.expect("a1 in_service, b1 terminating, c1 in_service", "")
	s.read("y", 7, a, b, c)
	s.expect("a1 in_service, b1 in_service, c1 in_service", "")
	again := b
	again.State, again.StartedMS, again.Addr = InService, 900, "b1:2"
	s.read("x", 8, a, again, c)
	s.expect("a1 in_service, b1 in_service, c1 in_service", "")
	if got := s.list.Entries["b1"]; got.Addr != "b1:2" || s.list.RegistryVersion != 8 {
		t.Errorf("b1 is %+v at registry version %d", got, s.list.RegistryVersion)
	}
	for name, bad := range map[string][]Entry{"empty": nil, "twice": {a, a}} {
		if err := s.m.AddReading(s.now, Reading{Reader: "x", Index: 9, Entries: bad}); err == nil {
			t.Errorf("%s: the reading was accepted", name)
		}
	}
	s.now += time.Minute // the readings expire
	s.expect("a1 in_service, b1 in_service, c1 in_service", "")
}

func TestHeldChanges(t *testing.T) {
	var all []Entry
	for i := range 8 {
		all = append(all, server(fmt.Sprintf("%c%d", 'a'+i%2, i), InService))
	}
	everyone := "a0 in_service, a2 in_service, a4 in_service, a6 in_service, b1 in_service, b3 in_service, b5 in_service, b7 in_service"
	few := "a0 in_service, b1 in_service"
	s := newScenario(t, all...)
	s.read("x", 6, all[:2]...)
	s.expect(everyone, "6 of 8 replicas of role read would go at once")
	s.read("y", 6, all[:2]...) // a second reader
	s.expect(few, "")
	s = newScenario(t, all...)
	s.read("x", 6, all[:2]...)
	s.expect(everyone, "zone za")
	s.now += time.Second
	s.m.Refresh(s.now, "x", 0) // a refresh is not a second reading
	s.expect(everyone, "zone za")
	s.read("x", 6, all[:2]...) // a later reading by the same reader
	s.expect(few, "")
	s = newScenario(t, all...)
	s.read("x", 6, all[:2]...)
	s.expect(everyone, "would go")
	if err := s.m.Confirm(); err != nil {
		t.Error(err)
	}
	s.expect(few, "")
	if s.m.Confirm() == nil {
		t.Error("Confirm succeeded although nothing is held")
	}

	// If the registry's version went back, only stricter states apply; looser ones need an
	// operator, however many readers report them.
	a, b, c := server("a1", Terminating), server("b1", InService), server("c1", InService)
	looser, stricter := a, b
	looser.State, stricter.State = InService, Terminating
	s = newScenario(t, a, b, c)
	s.read("x", 3, looser, stricter, c)
	s.read("y", 3, looser, stricter, c)
	s.expect("a1 terminating, b1 terminating, c1 in_service", "went back from version 5 to 3")
	if err := s.m.Confirm(); err != nil {
		t.Error(err)
	}
	s.expect("a1 in_service, b1 terminating, c1 in_service", "")

	// Another address without a restart is held.
	s = newScenario(t, b, c)
	moved := b
	moved.Addr = "elsewhere:1"
	s.read("x", 6, moved, c)
	s.expect("b1 in_service, c1 in_service", "b1 moved from b1:1 to elsewhere:1")
	if s.list.Entries["b1"].Addr != "b1:1" {
		t.Error("the unconfirmed address is used")
	}
}

func TestFlappingIsDamped(t *testing.T) {
	a, b := server("a1", InService), server("b1", InService)
	s := newScenario(t, a, b)
	for i := range 6 {
		e := b
		if i%2 == 0 {
			e.State = Terminating
		}
		s.read("x", int64(6+i), a, e)
		s.settle()
	}
	s.expect("a1 in_service, b1 terminating", "")
	if s.m.Flapping()["b1"] < limits.MaxFlaps {
		t.Errorf("%v", s.m.Flapping())
	}
	s.now += limits.FlapWindow
	s.read("x", 20, a, b)
	s.expect("a1 in_service, b1 in_service", "")
}

func TestOrders(t *testing.T) {
	a, b := server("a1", InService), server("b1", InService)
	s := newScenario(t, a, b)
	order := Order{ID: "b1", Do: Drain, Owner: "op", Why: "smoke", Version: 5}
	if err := s.orders.Check(order, s.list); err != nil {
		t.Error(err)
	}
	s.orders["b1"] = order
	s.expect("a1 in_service, b1 terminating", "") // the order applies also while nobody reads the registry
	s.read("x", 6, a, b)
	s.expect("a1 in_service, b1 terminating", "")
	s.orders["b1"] = Order{ID: "b1", Do: Hold, Owner: "op", Why: "smoke", Version: 5}
	s.expect("a1 in_service, b1 terminating", "") // the order holds the present state
	delete(s.orders, "b1")
	s.expect("a1 in_service, b1 in_service", "")
	for want, o := range map[string]Order{
		"neither":          {ID: "b1", Do: "burn", Owner: "op", Why: "x", Version: s.list.Number},
		"reason":           {ID: "b1", Do: Drain, Owner: "op", Version: s.list.Number},
		"seen was":         {ID: "b1", Do: Drain, Owner: "op", Why: "x", Version: 1},
		"not in the list":  {ID: "q", Do: Drain, Owner: "op", Why: "x", Version: s.list.Number},
		"has an order by ": {ID: "a1", Do: Drain, Owner: "op", Why: "x", Version: s.list.Number},
	} {
		s.orders["a1"] = Order{ID: "a1", Do: Hold, Owner: "another", Why: "y"}
		if err := s.orders.Check(o, s.list); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", o, err)
		}
	}
}

func TestEffective(t *testing.T) {
	a, b, c := server("a1", InService), server("b1", InService), server("c1", Terminating)
	agreed := map[string]Entry{"a1": a, "b1": b, "c1": c}
	drained, looser, restarted := b, c, a
	drained.State, looser.State, restarted.StartedMS = Terminating, InService, 9
	own := map[string]Entry{"b1": drained, "c1": looser, "a1": restarted, "n1": server("n1", InService)}
	got := Effective(List{RegistryVersion: 5, Entries: agreed}, OwnList{5, own}, true)
	for id, want := range map[string]string{"a1": Terminating, "b1": Terminating, "c1": Terminating, "n1": ""} {
		if got[id].State != want {
			t.Errorf("%s is %q, want %q", id, got[id].State, want)
		}
	}
	delete(own, "b1")
	if _, ok := Effective(List{RegistryVersion: 5, Entries: agreed}, OwnList{5, own}, false)["b1"]; ok {
		t.Error("b1 is used although the own registry does not name it")
	}
	if _, ok := Effective(List{RegistryVersion: 5, Entries: agreed}, OwnList{5, own}, true)["b1"]; !ok {
		t.Error("b1 is not used although the agreed list names it")
	}
	if _, ok := Effective(List{RegistryVersion: 5, Entries: agreed}, OwnList{6, own}, true)["b1"]; ok {
		t.Error("b1 is used although a newer version of the own registry no longer has it")
	}
	if len(Effective(List{Entries: agreed}, OwnList{}, true)) != 3 || len(Effective(List{Entries: agreed}, OwnList{}, false)) != 0 {
		t.Error("wrong entries without an own list")
	}
}

func TestApplyRejectsGaps(t *testing.T) {
	l := listOf(5, server("a1", InService))
	if l.Apply(Change{Number: 7}) == nil || l.Apply(Change{Number: 5}) == nil {
		t.Error("a change with a gap in the numbers was applied")
	}
	if err := l.Apply(Change{Number: 6, Entries: []Entry{server("b1", InService), server("a1", Terminated)}}); err != nil || len(l.Entries) != 1 {
		t.Errorf("%v %+v", err, l)
	}
}

// TestEffectiveIsNeverLooser checks that a dispatcher's effective list is never looser than the
// agreed list, nor than its own list, whatever the two contain.
func TestEffectiveIsNeverLooser(t *testing.T) {
	entries := rapid.Custom(func(t *rapid.T) map[string]Entry {
		all := map[string]Entry{}
		for _, id := range []string{"a1", "b1", "c1", "d1"} {
			if rapid.Bool().Draw(t, "has") {
				e := server(id, rapid.SampledFrom([]string{InService, Terminating}).Draw(t, "state"))
				e.StartedMS = int64(rapid.IntRange(0, 2).Draw(t, "start"))
				e.Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
				all[id] = e
			}
		}
		return all
	})
	rapid.Check(t, func(t *rapid.T) {
		agreed, own := entries.Draw(t, "agreed"), entries.Draw(t, "own")
		for id, e := range Effective(List{RegistryVersion: 5, Entries: agreed}, OwnList{rapid.Int64Range(4, 6).Draw(t, "version"), own}, rapid.Bool().Draw(t, "named")) {
			a, ok := agreed[id]
			if !ok || strictness(e.State) < strictness(a.State) || e.Weight > a.Weight {
				t.Fatalf("effective %+v, agreed %+v", e, a)
			}
			if o, ok := own[id]; ok && o.StartedMS >= a.StartedMS && strictness(e.State) < strictness(o.State) {
				t.Fatalf("effective %+v, own registry %+v", e, o)
			}
		}
	})
}

// TestSharesNeverSumToMoreThanOne checks that the shares of all dispatchers never add up to more
// than one, while dispatchers join, leave, receive a census late and lose their leases. A dispatcher
// uses the last census that it received until its lease ends; the lease ends no later than the time
// within after the next census was decided. The leader removes a dispatcher from the census only
// after its lease has ended.
func TestSharesNeverSumToMoreThanOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const within = 1000
		type node struct {
			census  Census
			counted time.Duration // when it learned that it is counted
			lease   time.Duration // end of its lease
			alive   bool
		}
		nodes := map[string]*node{}
		census := Census{Names: map[string]bool{}}
		decided := []time.Duration{0}
		for i := range rapid.IntRange(1, 6).Draw(rt, "first") {
			name := fmt.Sprint("n", i)
			nodes[name] = &node{alive: true}
			census.Names[name] = true
		}
		census.Number = 1
		decided = append(decided, 0)
		for _, n := range nodes {
			n.census, n.lease = census, within
		}
		for now := time.Duration(2 * within); now < 40*within; now += 100 {
			for _, name := range slices.Sorted(maps.Keys(nodes)) {
				n := nodes[name]
				switch rapid.IntRange(0, 11).Draw(rt, "what") {
				case 0:
					n.alive = false
				case 1:
					n.alive = true
				case 2, 3, 4, 5, 6, 7: // the lease is renewed and the reply brings the census
					if n.alive {
						if census.Names[name] && (!n.census.Names[name] || n.lease < now-within) {
							n.counted = now
						}
						n.census, n.lease = census, now+within*8/10
					}
				}
			}
			if rapid.IntRange(0, 9).Draw(rt, "comes") == 0 && len(nodes) < 12 {
				nodes[fmt.Sprint("n", len(nodes))] = &node{alive: true, lease: -within}
			}
			if rapid.IntRange(0, 4).Draw(rt, "census") == 0 { // the leader counts every dispatcher whose lease may still run
				next := Census{Number: census.Number + 1, Names: map[string]bool{}}
				for name, n := range nodes {
					if now < n.lease {
						next.Names[name] = true
					}
				}
				if len(next.Names) > 0 && !maps.Equal(next.Names, census.Names) {
					census = next
					decided = append(decided, now)
				}
			}
			sum := 0.0
			for name, n := range nodes {
				if n.alive && now < n.lease {
					sum += Share(len(n.census.Names), n.census.Names[name], n.counted, now, within)
				}
			}
			if sum > 1+1e-9 {
				rt.Fatalf("at %v the shares sum to %v", now, sum)
			}
		}
	})
}

// BenchmarkEvaluate measures the evaluation of a list of 10,000 replicas after one entry changed.
func BenchmarkEvaluate(b *testing.B) {
	all := make([]Entry, 10000)
	list := listOf(5)
	for i := range all {
		all[i] = server(fmt.Sprintf("s%05d", i), InService)
		list.Entries[all[i].ID] = all[i]
	}
	m := NewMerger(limits)
	if err := m.AddReading(0, Reading{Reader: "x", Index: 6, Number: 1, Entries: all}); err != nil {
		b.Fatal(err)
	}
	now := time.Second
	for i := range b.N {
		one := all[i%len(all)]
		one.Weight = float64(i + 2)
		if err := m.AddReading(now, Reading{Reader: "x", Index: int64(7 + i), Number: uint64(i + 2), Since: uint64(i + 1), Entries: []Entry{one}}); err != nil {
			b.Fatal(err)
		}
		m.Next(now, list, nil)
		now += time.Second
		if c := m.Next(now, list, nil); c == nil || list.Apply(*c) != nil {
			b.Fatal("no change")
		}
	}
}
