package clusterstate

import "testing"

// The states of a version are stored in the record and sent to other dispatchers. The test guards against a
// voter that takes a version of an earlier build to be in a state that it does not know.
func TestStoredStates(t *testing.T) {
	for want, got := range map[State]State{"pending": Pending, "canary": Canary, "in force": InForce, "superseded": Superseded,
		"turned down": TurnedDown, "withdrawn": Withdrawn} {
		if got != want {
			t.Errorf("%q has become %q", want, got)
		}
	}
}
