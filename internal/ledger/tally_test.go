package ledger

import "testing"

// TestLookupWaitsForAllHolders guards against a lookup that gives up early: once two of three
// holders had failed to answer, the verdict became Unclear, and the reply of the third holder,
// which knew the instruction, was ignored. In every order of the replies, a reply that forbids a
// repeat must decide the verdict. If no reply forbids it, the verdict becomes Unclear only after
// all holders have answered or failed to.
func TestLookupWaitsForAllHolders(t *testing.T) {
	a := Attempt{Owner: "a", Boot: 1, N: 1}
	knows := &Reply{Complete: true}
	knows.Entry.Record(a, Intent)
	for at := range 3 {
		for _, forbids := range []bool{true, false} {
			c := NewTally(3, false)
			for i := range 3 {
				switch {
				case i != at:
					c.Add(nil)
				case forbids:
					c.Add(knows)
				default:
					c.Add(&Reply{Complete: true})
				}
				want := Pending
				if forbids && i >= at {
					want = Yes
				} else if i == 2 {
					want = Unclear
				}
				if got := c.Known(); got != want {
					t.Errorf("holder %d answers, forbids a repeat: %v; after %d replies the verdict is %v, want %v", at+1, forbids, i+1, got, want)
				}
			}
		}
	}
}
