// Package operator is the door for operators: an address of its own at which they ask whether the program serves, fetch
// its figures, empty it and put it back to work. One call per connection; whatever clients do, it answers at once.
package operator

import (
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/front"
)

// Program is what the door leads to. Its methods are called from the door's own goroutines and must not block.
type Program interface {
	Ready() bool     // it can serve
	Metrics() []byte // one a line
	Drain()          // send clients away
	Resume()         // and take them again
}

const (
	callTimeout = 500 * time.Millisecond // for a call to come; some callers say nothing
	// Calls at once. The one that has been open for the longest makes room for another.
	maxCalls = 16
	maxBodyBytes = 4 << 10 // of bodies, which mean nothing here
)

// Listen opens the door's address.
func Listen(addr string) (*front.Port, error) {
	return front.Listen(addr, front.NewConnLimiter(maxCalls, maxBodyBytes), false)
}

// Server gives the door's server.
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
