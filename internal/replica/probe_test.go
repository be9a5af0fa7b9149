package replica

import (
	"testing"
	"time"

	"standpulley/internal/standin"
	"standpulley/logic"
)

// Guards: a probe tells in time whether a replica is well, whatever the replica does, and keeps no connection too many.
func TestProbes(t *testing.T) {
	closed := replicaOf(t, func(*standin.Exchange) {})
	closed.Close()
	for name, c := range map[string]struct {
		act  func(*standin.Exchange)
		want logic.Outcome
	}{
		"well":    {func(x *standin.Exchange) { x.Status(200, false, "") }, logic.Delivered},
		"busy":    {func(x *standin.Exchange) { x.Status(503, false, "") }, logic.Full},
		"unknown": {func(x *standin.Exchange) { x.Status(404, false, "") }, logic.Full},
		"silent":  {func(x *standin.Exchange) { x.WaitClosed() }, logic.ConnectFailed},
		"broken":  {func(x *standin.Exchange) { x.Break() }, logic.ConnectFailed},
		"dead":    {nil, logic.ConnectFailed},
	} {
		r := closed
		if c.act != nil {
			r = replicaOf(t, c.act)
		}
		pool := NewPool(1, 0, 0)
		told := make(chan logic.Outcome, 2)
		from := time.Now()
		Prober{Pool: pool}.Probe(r.Addr, func(o logic.Outcome) { told <- o })
		if got := <-told; got != c.want || time.Since(from) > probeTime+200*time.Millisecond {
			t.Errorf("%s: %v after %v, want %v", name, got, time.Since(from), c.want)
		}
		if c.act != nil {
			if calls := r.Calls("GET"); len(calls) != 1 || calls[0].Path != "/-/healthy" || calls[0].ID != "" {
				t.Errorf("%s: the replica got %+v", name, calls)
			}
		}
		pool.mu.Lock()
		if kept := c.want == logic.Delivered || c.want == logic.Full; (pool.open == 1) != kept {
			t.Errorf("%s: %d connections are open", name, pool.open)
		}
		pool.mu.Unlock()
	}
}
