package membership

import "testing"

// The states of replicas and the kinds of overrides are stored in the record and sent to other
// dispatchers. The test guards against an override or a state of an earlier build that has no effect.
func TestStoredStates(t *testing.T) {
	for _, c := range []struct{ got, want string }{{InService, "in_service"}, {Terminating, "terminating"}, {Terminated, "terminated"},
		{Drain, "drain"}, {Hold, "hold"}} {
		if c.got != c.want {
			t.Errorf("%q has become %q", c.want, c.got)
		}
	}
}
