package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func attempt(n int) Attempt { return Attempt{"a", 1, uint64(n)} }

func key(n int) (k Key) {
	binary.BigEndian.PutUint64(k[:], uint64(n))
	return k
}

var anEntry = rapid.Custom(func(t *rapid.T) Entry {
	var e Entry
	for range rapid.IntRange(0, 4).Draw(t, "attempts") {
		e.Record(attempt(rapid.IntRange(0, 3).Draw(t, "n")), Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
	}
	for range rapid.IntRange(0, 2).Draw(t, "words") {
		e.Merge(Entry{Resolutions: []Resolution{{Ran: rapid.Bool().Draw(t, "ran"), By: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "by"))}}})
	}
	return e
})

func joined(entries ...Entry) Entry {
	var e Entry
	for _, o := range entries {
		e.Merge(o)
	}
	return e
}

func same(a, b Entry) bool {
	return len(a.Attempts) == len(b.Attempts) && len(a.Resolutions) == len(b.Resolutions) && (len(a.Attempts) == 0 || reflect.DeepEqual(a.Attempts, b.Attempts)) &&
		(len(a.Resolutions) == 0 || reflect.DeepEqual(a.Resolutions, b.Resolutions))
}

// The laws of joining, and what may never happen by it: nothing that was forbidden is allowed by knowing more, but for proof of
// the very attempts, or an operator's word.
func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anEntry.Draw(t, "a"), anEntry.Draw(t, "b"), anEntry.Draw(t, "c")
		if !same(joined(a, b), joined(b, a)) || !same(joined(joined(a, b), c), joined(a, joined(b, c))) || !same(joined(a, a), joined(a)) {
			t.Fatalf("%+v %+v %+v", a, b, c)
		}
		all := joined(a, b)
		if (a.Status() == DidRun || b.Status() == DidRun) && all.Status() != DidRun {
			t.Fatalf("%v and %v come to %v", a.Status(), b.Status(), all.Status())
		}
		for _, x := range a.Attempts {
			if o, known := all.OutcomeOf(x.Attempt); !known || o < x.Outcome {
				t.Fatalf("%v became %v", x.Outcome, o)
			}
		}
		if all.MaySend() {
			for _, x := range all.Attempts {
				if x.Outcome != NeverRan {
					t.Fatalf("it may be sent on though %v is %v", x.Attempt, x.Outcome)
				}
			}
		}
	})
}

func TestFates(t *testing.T) {
	for name, x := range map[string]struct {
		outcomes []Outcome
		words    []Resolution
		want     Status
	}{
		"nothing":              {nil, nil, NeverSent},
		"on its way":           {[]Outcome{Intent}, nil, Unknown},
		"proven":               {[]Outcome{NeverRan}, nil, NotRun},
		"one of two is proven": {[]Outcome{NeverRan, Intent}, nil, Unknown},
		"ran":                  {[]Outcome{NeverRan, Ran, Intent}, nil, DidRun},
		"settled: never":       {[]Outcome{Intent}, []Resolution{{By: "op"}}, NotRun},
		"settled: ran":         {[]Outcome{Intent}, []Resolution{{By: "op", Ran: true}}, DidRun},
		"settled, then again":  {[]Outcome{Intent}, []Resolution{{By: "op"}, {By: "other", Ran: true}}, NotRun}, // nothing was unknown any more
		"settled against fact": {[]Outcome{Ran}, []Resolution{{By: "op"}}, DidRun},
	} {
		var e Entry
		for i, o := range x.outcomes {
			e.Record(attempt(i), o)
		}
		for _, w := range x.words {
			e.Settle(w)
		}
		if len(x.words) > 0 { // a word says nothing of what is sent after it
			later := e.Clone()
			later.Record(attempt(9), Intent)
			if later.MaySend() {
				t.Errorf("%s: a repeat after another attempt", name)
			}
		}
		if e.Status() != x.want || e.MaySend() != (x.want == NeverSent || x.want == NotRun) {
			t.Errorf("%s: %v, wanted %v", name, e.Status(), x.want)
		}
	}
}

// Guards: one customer's flood neither pushes out another's marks nor takes all the room, and nothing is forgotten early.
func TestBoundsAreFair(t *testing.T) {
	table := NewTable(Limits{MaxEntries: 1000, Retention: time.Hour, Share: 2})
	var refusal *Refusal
	flood := 0
	for i := range 5000 {
		if err := table.RecordIntent(0, key(i), "flood", attempt(i)); err == nil {
			flood++
		} else if !errors.As(err, &refusal) {
			t.Fatal(err)
		}
	}
	if flood < 600 || flood > 700 { // two thirds
		t.Errorf("the flood holds %d", flood)
	}
	for i := range 100 {
		if err := table.RecordIntent(time.Minute, key(10000+i), "other", attempt(i)); err != nil {
			t.Fatalf("the other's %d: %v", i, err)
		}
	}
	e := table.Lookup(time.Hour-1, key(0))
	if e.Status() != Unknown || table.Len() != flood+100 {
		t.Errorf("%v of %d entries", e.Status(), table.Len())
	}
	if err := table.RecordIntent(time.Hour-1, key(0), "flood", attempt(9)); err != nil {
		t.Errorf("no room for what is there: %v", err)
	}
	if e := table.Lookup(time.Hour, key(1)); e.Status() != NeverSent {
		t.Errorf("kept too long: %v", e.Status())
	}
	if e := table.Lookup(time.Hour, key(0)); e.Status() != Unknown || table.Len() != 101 {
		t.Errorf("forgotten early: %v, %d left", e.Status(), table.Len())
	}
	// What is learned is never refused, even beyond the bound.
	for i := range 2000 {
		var e Entry
		e.Record(attempt(1), Ran)
		table.Merge(time.Hour, key(50000+i), "learned", e)
	}
	if table.Len() != 2101 || table.RecordIntent(time.Hour, key(99999), "new", attempt(1)) == nil {
		t.Errorf("%d entries", table.Len())
	}
}

// Whatever holders answer, in whatever order, of two takers of one instruction at most one is let send; what a majority of
// whole holders does not know was never let send; and what was noted by one that lost its disk is still found.
func TestMajoritiesShareOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "holders")
		tables := make([]*Table, n)
		whole := make([]bool, n)
		for i := range tables {
			tables[i], whole[i] = NewTable(Limits{MaxEntries: 100, Retention: time.Hour, Share: 100}), true
		}
		do := func(op Op, lost string) *Tally {
			c := NewTally(n, op.Exclusive)
			for _, i := range rapid.Permutation(order(n)).Draw(t, "order") {
				if rapid.IntRange(0, 4).Draw(t, lost) == 0 {
					if rapid.Bool().Draw(t, "heard") { // its answer is lost
						tables[i].Do(0, op)
					}
					c.Add(nil)
					continue
				}
				r, _ := tables[i].Do(0, op)
				r.Complete = whole[i]
				c.Add(&r)
			}
			return c
		}
		sent := 0
		for taker := range 3 {
			if rapid.IntRange(0, 3).Draw(t, "disk") == 0 { // one disk is lost, and filled again from enough others
				i := rapid.IntRange(0, n-1).Draw(t, "whose")
				if !slices.Contains(whole, false) {
					tables[i], whole[i] = NewTable(Limits{MaxEntries: 100, Retention: time.Hour, Share: 100}), false
					left := RefillQuorum(n)
					for _, j := range rapid.Permutation(order(n)).Draw(t, "from") {
						if j != i && left > 0 && rapid.IntRange(0, 5).Draw(t, "answers") > 0 {
							for k, r := range tables[j].rows {
								tables[i].Merge(0, k, r.customer, r.Clone())
							}
							left--
						}
					}
					whole[i] = left == 0
				}
			}
			seen := do(Op{Kind: Lookup, Key: key(1)}, "look")
			if sent > 0 && seen.Known() == Yes && seen.Entry.MaySend() {
				t.Fatal("what was let send is not known to a majority")
			}
			if do(Op{Kind: RecordIntent, Key: key(1), Exclusive: true, Attempt: attempt(taker)}, "take").Granted() == Yes {
				if sent++; sent > 1 {
					t.Fatal("two takers are let send")
				}
			}
		}
	})
}

func order(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// A taker whose attempt is proven never to have run may send another, and one that gave up may not begin late.
func TestTakeGoesByWhatTheTakerKnows(t *testing.T) {
	table := NewTable(Limits{MaxEntries: 100, Retention: time.Hour, Share: 100})
	take := func(n int, own ...AttemptRecord) Reply {
		r, learned := table.Do(0, Op{Kind: RecordIntent, Key: key(1), Exclusive: true, Attempt: attempt(n), Entry: Entry{Attempts: own}})
		if o, known := learned.OutcomeOf(attempt(n)); r.Granted != (known && o == Intent) {
			t.Errorf("granted %v, and on disk %+v", r.Granted, learned)
		}
		return r
	}
	for range 2 { // a take that is asked for again is granted again
		if !take(1).Granted {
			t.Error("the first attempt is not granted")
		}
	}
	if take(2).Granted || !take(2, AttemptRecord{attempt(1), NeverRan}).Granted {
		t.Error("takes")
	}
	if _, learned := table.Do(0, Op{Kind: Merge, Key: key(1), Entry: Entry{Attempts: []AttemptRecord{{attempt(3), NeverRan}}}}); len(learned.Attempts) != 1 {
		t.Error("nothing is learned")
	}
	if take(3, AttemptRecord{attempt(2), NeverRan}).Granted {
		t.Error("an attempt that was given up begins late")
	}
}

// Guards: the same words meant many times hold little, keep their fate, and are refused where too many are unknown.
func TestManyAttemptsOfOneEntry(t *testing.T) {
	table := NewTable(Limits{MaxEntries: 100, Retention: time.Hour, Share: 100})
	end := func(n int, o Outcome) {
		if err := table.RecordIntent(0, key(1), "c", attempt(n)); err != nil {
			t.Fatal(err)
		}
		if o != Intent {
			table.Merge(0, key(1), "c", Entry{Attempts: []AttemptRecord{{attempt(n), o}}})
		}
	}
	for n := range 500 {
		end(n, NeverRan)
	}
	if e := table.Lookup(0, key(1)); len(e.Attempts) > maxAttempts || e.Status() != NotRun {
		t.Errorf("%d attempts, %v", len(e.Attempts), e.Status())
	}
	for n := range 500 {
		end(1000+n, Ran)
	}
	if e := table.Lookup(0, key(1)); len(e.Attempts) > maxAttempts || e.Status() != DidRun {
		t.Errorf("%d attempts, %v", len(e.Attempts), e.Status())
	}
	for n := range maxAttempts - 1 {
		end(2000+n, Intent)
	}
	if table.RecordIntent(0, key(1), "c", attempt(9999)) == nil {
		t.Error("no bound on attempts that nobody knows of")
	}
	if o, known := table.rows[key(1)].OutcomeOf(attempt(2000)); !known || o != Intent {
		t.Error("an unknown attempt was dropped")
	}
}

func BenchmarkMillionEntries(b *testing.B) {
	table := NewTable(Limits{MaxEntries: 1 << 20, Retention: time.Hour, Share: 1e9})
	for i := range b.N {
		if err := table.RecordIntent(0, key(i%1_000_000), "c", attempt(i)); err != nil {
			b.Fatal(err)
		}
	}
}
