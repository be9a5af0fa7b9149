package replica

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/logic"
)

// probeTimeout bounds a probe. A later answer is of no use, as a read that is sent meanwhile would
// be queued behind the probe.
const probeTimeout = 300 * time.Millisecond

// Prober checks the health of replicas over the connections of a pool.
type Prober struct{ Pool *Pool }

// Probe checks one replica and passes the outcome to then, from another goroutine. A failed probe
// proves nothing about attempts.
func (p Prober) Probe(addr string, then func(logic.Outcome)) {
	go func() {
		status, err := p.Pool.do(context.Background(), call{addr: addr, method: fasthttp.MethodGet, path: "/-/healthy", timeout: probeTimeout})
		switch {
		case err != nil:
			then(logic.ConnectFailed)
		case status != fasthttp.StatusOK:
			then(logic.Full)
		default:
			then(logic.Delivered)
		}
	}()
}
