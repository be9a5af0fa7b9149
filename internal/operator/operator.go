// Package operator is the admin endpoint. At an address of its own, operators ask whether the
// program is ready, fetch its metrics, drain it and resume it. Each connection serves one call, and
// calls are answered at once whatever clients do.
package operator

import (
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/front"
)

// Program is the program behind the admin endpoint. Its methods are called from the endpoint's own
// goroutines and must not block.
type Program interface {
	Ready() bool     // reports whether it can serve
	Metrics() []byte // returns one metric per line
	Drain()          // sends clients away
	Resume()         // accepts clients again
}

const (
	callTimeout = 500 * time.Millisecond // for reading a call and for writing its answer; some callers connect and send nothing
	// Connections served at once. A further one closes the connection that has been open longest.
	maxCalls     = 16
	maxBodyBytes = 4 << 10 // request bodies are ignored
)

// Listen opens the address of the admin endpoint.
func Listen(addr string) (*front.Port, error) {
	return front.Listen(addr, front.NewConnLimiter(maxCalls, maxBodyBytes), false)
}

// Server returns the HTTP server of the admin endpoint.
func Server(p Program) *fasthttp.Server {
	calls := map[string]func(ctx *fasthttp.RequestCtx){
		"GET /-/ready": func(ctx *fasthttp.RequestCtx) {
			if !p.Ready() {
				ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
			}
		},
		"GET /-/metrics": func(ctx *fasthttp.RequestCtx) { ctx.SetBody(p.Metrics()) },
		"PUT /-/drain":   func(*fasthttp.RequestCtx) { p.Drain() },
		"PUT /-/resume":  func(*fasthttp.RequestCtx) { p.Resume() },
	}
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if call := calls[string(ctx.Method())+" "+string(ctx.Path())]; call != nil {
				call(ctx)
			} else {
				ctx.Error("no such call", fasthttp.StatusNotFound)
			}
		},
		DisableKeepalive: true, ReadTimeout: callTimeout, WriteTimeout: callTimeout, ReadBufferSize: 4 << 10,
		MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true,
		Logger: front.DiscardLogger{},
	}
}
