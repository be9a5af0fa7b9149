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

var entryGen = rapid.Custom(func(t *rapid.T) Entry {
	var e Entry
	for range rapid.IntRange(0, 4).Draw(t, "attempts") {
		e.Record(attempt(rapid.IntRange(0, 3).Draw(t, "n")), Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
	}
	for range rapid.IntRange(0, 2).Draw(t, "resolutions") {
		e.Merge(Entry{Resolutions: []Resolution{{Ran: rapid.Bool().Draw(t, "ran"), By: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "by"))}}})
	}
	return e
})

func merged(entries ...Entry) Entry {
	var e Entry
	for _, o := range entries {
		e.Merge(o)
	}
	return e
}

func equal(a, b Entry) bool {
	return len(a.Attempts) == len(b.Attempts) && len(a.Resolutions) == len(b.Resolutions) && (len(a.Attempts) == 0 || reflect.DeepEqual(a.Attempts, b.Attempts)) &&
		(len(a.Resolutions) == 0 || reflect.DeepEqual(a.Resolutions, b.Resolutions))
}

// TestMergeLaws checks that merging is commutative, associative and idempotent, and never makes an
// attempt's outcome smaller. An instruction may be sent after a merge only if every attempt is
// known never to have run.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := entryGen.Draw(t, "a"), entryGen.Draw(t, "b"), entryGen.Draw(t, "c")
		if !equal(merged(a, b), merged(b, a)) || !equal(merged(merged(a, b), c), merged(a, merged(b, c))) || !equal(merged(a, a), merged(a)) {
			t.Fatalf("%+v %+v %+v", a, b, c)
		}
		all := merged(a, b)
		if (a.Status() == DidRun || b.Status() == DidRun) && all.Status() != DidRun {
			t.Fatalf("%v merged with %v is %v", a.Status(), b.Status(), all.Status())
		}
		for _, x := range a.Attempts {
			if o, known := all.OutcomeOf(x.Attempt); !known || o < x.Outcome {
				t.Fatalf("outcome %v became %v", x.Outcome, o)
			}
		}
		if all.MaySend() {
			for _, x := range all.Attempts {
				if x.Outcome != NeverRan {
					t.Fatalf("may be sent although attempt %v is %v", x.Attempt, x.Outcome)
				}
			}
		}
	})
}

func TestStatus(t *testing.T) {
	for name, x := range map[string]struct {
		outcomes    []Outcome
		resolutions []Resolution
		want        Status
	}{
		"no attempt":            {nil, nil, NeverSent},
		"in flight":             {[]Outcome{Intent}, nil, Unknown},
		"proven never":          {[]Outcome{NeverRan}, nil, NotRun},
		"one of two proven":     {[]Outcome{NeverRan, Intent}, nil, Unknown},
		"ran":                   {[]Outcome{NeverRan, Ran, Intent}, nil, DidRun},
		"settled: never":        {[]Outcome{Intent}, []Resolution{{By: "op"}}, NotRun},
		"settled: ran":          {[]Outcome{Intent}, []Resolution{{By: "op", Ran: true}}, DidRun},
		"settled twice":         {[]Outcome{Intent}, []Resolution{{By: "op"}, {By: "other", Ran: true}}, NotRun}, // the second resolution finds no unknown attempt
		"settled against a run": {[]Outcome{Ran}, []Resolution{{By: "op"}}, DidRun},
	} {
		var e Entry
		for i, o := range x.outcomes {
			e.Record(attempt(i), o)
		}
		for _, w := range x.resolutions {
			e.Settle(w)
		}
		if len(x.resolutions) > 0 { // a resolution does not apply to later attempts
			later := e.Clone()
			later.Record(attempt(9), Intent)
			if later.MaySend() {
				t.Errorf("%s: a repeat is allowed after a later attempt of unknown outcome", name)
			}
		}
		if e.Status() != x.want || e.MaySend() != (x.want == NeverSent || x.want == NotRun) {
			t.Errorf("%s: status %v, want %v", name, e.Status(), x.want)
		}
	}
}

// TestLimitsAreFair guards against a flood by one customer that evicts entries of another customer
// or takes all the room, and against entries that are forgotten before their retention time has
// passed.
func TestLimitsAreFair(t *testing.T) {
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
	if flood < 600 || flood > 700 { // about two thirds of the table, as Share is 2
		t.Errorf("the flooding customer holds %d entries, want 600 to 700", flood)
	}
	for i := range 100 {
		if err := table.RecordIntent(time.Minute, key(10000+i), "other", attempt(i)); err != nil {
			t.Fatalf("entry %d of the other customer: %v", i, err)
		}
	}
	e := table.Lookup(time.Hour-1, key(0))
	if e.Status() != Unknown || table.Len() != flood+100 {
		t.Errorf("status %v, %d entries", e.Status(), table.Len())
	}
	if err := table.RecordIntent(time.Hour-1, key(0), "flood", attempt(9)); err != nil {
		t.Errorf("refused although the instruction has an entry: %v", err)
	}
	if e := table.Lookup(time.Hour, key(1)); e.Status() != NeverSent {
		t.Errorf("kept beyond the retention time: %v", e.Status())
	}
	if e := table.Lookup(time.Hour, key(0)); e.Status() != Unknown || table.Len() != 101 {
		t.Errorf("forgotten before the retention time: status %v, %d entries left", e.Status(), table.Len())
	}
	// Merge is never refused, even beyond MaxEntries.
	for i := range 2000 {
		var e Entry
		e.Record(attempt(1), Ran)
		table.Merge(time.Hour, key(50000+i), "merged", e)
	}
	if table.Len() != 2101 || table.RecordIntent(time.Hour, key(99999), "new", attempt(1)) == nil {
		t.Errorf("%d entries", table.Len())
	}
}

// TestAtMostOneOwnerIsGranted checks that at most one of several dispatchers is allowed to send an
// instruction, whatever the holders answer and in whatever order. An instruction that a majority of
// complete holders does not know was never sent, and one that was recorded by a holder that lost
// its disk is still found.
func TestAtMostOneOwnerIsGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "holders")
		tables := make([]*Table, n)
		complete := make([]bool, n)
		for i := range tables {
			tables[i], complete[i] = NewTable(Limits{MaxEntries: 100, Retention: time.Hour, Share: 100}), true
		}
		do := func(op Op, lost string) *Tally {
			c := NewTally(n, op.Exclusive)
			for _, i := range rapid.Permutation(indexes(n)).Draw(t, "order") {
				if rapid.IntRange(0, 4).Draw(t, lost) == 0 {
					if rapid.Bool().Draw(t, "executed") { // the operation is done, but the reply is lost
						tables[i].Do(0, op)
					}
					c.Add(nil)
					continue
				}
				r, _ := tables[i].Do(0, op)
				r.Complete = complete[i]
				c.Add(&r)
			}
			return c
		}
		sent := 0
		for owner := range 3 {
			if rapid.IntRange(0, 3).Draw(t, "disk") == 0 { // a disk is lost and refilled from other holders
				i := rapid.IntRange(0, n-1).Draw(t, "index")
				if !slices.Contains(complete, false) {
					tables[i], complete[i] = NewTable(Limits{MaxEntries: 100, Retention: time.Hour, Share: 100}), false
					left := RefillQuorum(n)
					for _, j := range rapid.Permutation(indexes(n)).Draw(t, "from") {
						if j != i && left > 0 && rapid.IntRange(0, 5).Draw(t, "answers") > 0 {
							for k, r := range tables[j].rows {
								tables[i].Merge(0, k, r.customer, r.Clone())
							}
							left--
						}
					}
					complete[i] = left == 0
				}
			}
			seen := do(Op{Kind: Lookup, Key: key(1)}, "lookup")
			if sent > 0 && seen.Known() == Yes && seen.Entry.MaySend() {
				t.Fatal("a majority of complete holders does not know an instruction that was allowed")
			}
			if do(Op{Kind: RecordIntent, Key: key(1), Exclusive: true, Attempt: attempt(owner)}, "record").Granted() == Yes {
				if sent++; sent > 1 {
					t.Fatal("two dispatchers were allowed to send")
				}
			}
		}
	})
}

func indexes(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// TestRecordIntentUsesCallersKnowledge checks that a dispatcher whose attempt is proven never to
// have run may send another one, and that an attempt that was given up is not granted late.
func TestRecordIntentUsesCallersKnowledge(t *testing.T) {
	table := NewTable(Limits{MaxEntries: 100, Retention: time.Hour, Share: 100})
	record := func(n int, own ...AttemptRecord) Reply {
		r, learned := table.Do(0, Op{Kind: RecordIntent, Key: key(1), Exclusive: true, Attempt: attempt(n), Entry: Entry{Attempts: own}})
		if o, known := learned.OutcomeOf(attempt(n)); r.Granted != (known && o == Intent) {
			t.Errorf("granted %v, but %+v is to be written", r.Granted, learned)
		}
		return r
	}
	for range 2 { // a repeated RecordIntent is granted again
		if !record(1).Granted {
			t.Error("the first attempt was not granted")
		}
	}
	if record(2).Granted || !record(2, AttemptRecord{attempt(1), NeverRan}).Granted {
		t.Error("a second attempt must be granted only once the first is known never to have run")
	}
	if _, learned := table.Do(0, Op{Kind: Merge, Key: key(1), Entry: Entry{Attempts: []AttemptRecord{{attempt(3), NeverRan}}}}); len(learned.Attempts) != 1 {
		t.Error("a Merge returned nothing to write")
	}
	if record(3, AttemptRecord{attempt(2), NeverRan}).Granted {
		t.Error("an attempt that was given up was granted late")
	}
}

// TestManyAttemptsOfOneEntry guards against unbounded growth when one body is sent many times: the
// entry stays small and keeps its status, and new attempts are refused when too many have unknown
// outcomes.
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
		t.Error("attempts of unknown outcome are not bounded")
	}
	if o, known := table.rows[key(1)].OutcomeOf(attempt(2000)); !known || o != Intent {
		t.Error("an attempt of unknown outcome was dropped")
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
