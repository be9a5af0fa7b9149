package front

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
)

const maxID = 64

// ValidID tells whether an id can stand in a path and a header as it is.
func ValidID(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// RetryAfter tells the client in decimal seconds when to come back.
func RetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(max(after, 0).Seconds(), 'f', 3, 64))
}

// Ready answers whether the program takes requests: 200, or 503 with its phase.
func Ready(ctx *fasthttp.RequestCtx, core *dispatch.Dispatcher) {
	if phase := core.Phases.Now(); phase != dispatch.Ready {
		ctx.Error(phase.String(), fasthttp.StatusServiceUnavailable)
	}
}
