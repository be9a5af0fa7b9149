package ledger

import "testing"

// Guards: once two of three holders gave no answer, it was unclear whether an instruction had run, and the third, which knew, was not heard
// any more. In every order of the replies the one that forbids a repeat counts; without one it is unclear only when all were heard.
func TestOneHolderThatKnowsIsHeard(t *testing.T) {
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
					t.Errorf("the one that answers is number %d and forbids it: %v; after %d replies %v, want %v", at+1, forbids, i+1, got, want)
				}
			}
		}
	}
}
