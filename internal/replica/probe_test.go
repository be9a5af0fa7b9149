package replica

import (
	"testing"
	"time"

	"standpulley/internal/fake"
	"standpulley/logic"
)

// A probe must return the right outcome in time, whatever the replica does, and must not leak
// connections.
func TestProbes(t *testing.T) {
	closed := startReplica(t, func(*fake.Exchange) {})
	closed.Close()
	for name, c := range map[string]struct {
		act  func(*fake.Exchange)
		want logic.Outcome
	}{
		"healthy": {func(x *fake.Exchange) { x.Status(200, false, "") }, logic.Delivered},
		"busy":    {func(x *fake.Exchange) { x.Status(503, false, "") }, logic.Full},
		"unknown": {func(x *fake.Exchange) { x.Status(404, false, "") }, logic.Full},
		"silent":  {func(x *fake.Exchange) { x.WaitClosed() }, logic.ConnectFailed},
		"broken":  {func(x *fake.Exchange) { x.Break() }, logic.ConnectFailed},
		"dead":    {nil, logic.ConnectFailed},
	} {
		r := closed
		if c.act != nil {
			r = startReplica(t, c.act)
		}
		pool := NewPool(1, 0, 0)
		outcomes := make(chan logic.Outcome, 2)
		start := time.Now()
		Prober{Pool: pool}.Probe(r.Addr, func(o logic.Outcome) { outcomes <- o })
		if got := <-outcomes; got != c.want || time.Since(start) > probeTimeout+200*time.Millisecond {
			t.Errorf("%s: %v after %v, want %v", name, got, time.Since(start), c.want)
		}
		if c.act != nil {
			if calls := r.Calls("GET"); len(calls) != 1 || calls[0].Path != "/-/healthy" || calls[0].ID != "" {
				t.Errorf("%s: calls at the replica: %+v", name, calls)
			}
		}
		pool.mu.Lock()
		if kept := c.want == logic.Delivered || c.want == logic.Full; (pool.open == 1) != kept {
			t.Errorf("%s: %d connections are open", name, pool.open)
		}
		pool.mu.Unlock()
	}
}
