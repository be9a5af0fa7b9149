package clusterstate

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"standpulley/internal/membership"
)

// TestPartsConvergeToTheList checks that a copy that is updated in bounded parts reaches the agreed
// list from any earlier state, while the list goes on changing and some answers are lost.
func TestPartsConvergeToTheList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rec Record
		var pager membership.Pager
		var c membership.Copy
		change := func(most int) {
			n := rapid.IntRange(1, most).Draw(rt, "entries")
			change := membership.Change{Number: rec.List.Number + 1}
			for range n {
				e := membership.Entry{ID: fmt.Sprint("s", rapid.IntRange(0, 1500).Draw(rt, "id")), Weight: float64(rec.List.Number), State: membership.InService}
				if rapid.IntRange(0, 3).Draw(rt, "ends") == 0 {
					e.State = membership.Terminated
				}
				change.Entries = append(change.Entries, e)
			}
			if err := rec.applyChange(change); err != nil {
				rt.Fatal(err)
			}
		}
		first := membership.Change{Number: 1}
		for i := range rapid.IntRange(0, 1500).Draw(rt, "first") {
			first.Entries = append(first.Entries, membership.Entry{ID: fmt.Sprint("s", i), State: membership.InService})
		}
		if err := rec.applyChange(first); err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(rt, "answers") {
			for range rapid.SampledFrom([]int{0, 0, 1, 2, 300}).Draw(rt, "changes") {
				change(5)
			}
			part := rec.Part(c.Cursor(), &pager)
			if n := len(part.Changes); n > 1 {
				entries := 0
				for _, x := range part.Changes {
					entries += len(x.Entries)
				}
				if entries > membership.MaxPartEntries {
					rt.Fatalf("%d entries in one part", entries)
				}
			}
			if part.Page != nil && len(part.Page.Entries) > membership.MaxPartEntries {
				rt.Fatalf("%d entries in one page", len(part.Page.Entries))
			}
			if rapid.IntRange(0, 5).Draw(rt, "lost") == 0 {
				continue
			}
			whole, err := c.Apply(part)
			if err != nil {
				rt.Fatal(err)
			}
			if whole && (c.List.Number != rec.List.Number || !maps.Equal(c.List.Entries, rec.List.Entries)) {
				rt.Fatalf("copy has version %d with %d entries, agreed is %d with %d", c.List.Number, len(c.List.Entries), rec.List.Number, len(rec.List.Entries))
			}
		}
		for range 12 {
			if whole, err := c.Apply(rec.Part(c.Cursor(), &pager)); err != nil {
				rt.Fatal(err)
			} else if whole {
				return
			}
		}
		rt.Fatal("the copy does not reach the agreed list")
	})
}

// TestCopyRestartsAfterAGap checks that a copy rejects changes with a gap and a page that does not
// continue it, and that it then starts again and reaches the agreed list.
func TestCopyRestartsAfterAGap(t *testing.T) {
	var rec Record
	var pager membership.Pager
	var c membership.Copy
	for i := range 3 {
		if err := rec.applyChange(membership.Change{Number: uint64(i + 1), Entries: []membership.Entry{{ID: fmt.Sprint("s", i), State: membership.InService}}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, bad := range []membership.Part{{Number: 3, Changes: rec.Changes[1:]}, {Number: 3, Page: &membership.Page{Number: 3, After: "s1"}}} {
		if _, err := c.Apply(bad); err == nil {
			t.Errorf("accepted: %+v", bad)
		}
	}
	if whole, err := c.Apply(rec.Part(c.Cursor(), &pager)); err != nil || !whole || len(c.List.Entries) != 3 {
		t.Errorf("%v %v %+v", whole, err, c.List)
	}
}

// TestKeptChangesAreBounded checks that the kept changes are bounded by the number of their
// entries.
func TestKeptChangesAreBounded(t *testing.T) {
	var rec Record
	for n := range 40 {
		c := membership.Change{Number: uint64(n + 1)}
		for i := range 500 {
			c.Entries = append(c.Entries, membership.Entry{ID: fmt.Sprint("s", i), Weight: float64(n), State: membership.InService})
		}
		if err := rec.applyChange(c); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(rec.Changes); n != maxKeptChangeEntries/500 || rec.Changes[n-1].Number != 40 {
		t.Errorf("%d changes are kept after 40 large ones", n)
	}
}
