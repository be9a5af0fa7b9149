package replica

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/logic"
)

// probeTimeout is how long a probe may take: later than that its answer is of no use, as a read that is sent meanwhile would stand behind it.
const probeTimeout = 300 * time.Millisecond

// Prober asks replicas whether they are well, over the connections of a pool.
type Prober struct{ Pool *Pool }

// Probe asks one replica. Whatever goes wrong with a probe proves nothing of any attempt.
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
