// Package platform is the front for the platform's protocol: it translates a request's headers for
// the core and writes the one final response. It makes no decisions.
package platform

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/front/once"
	"standpulley/internal/intentlog"
	"standpulley/internal/replica"
	"standpulley/logic"
)

const (
	maxBody       = 256 << 10
	maxTokens     = 1 << 40
	charsPerToken = 4
	maxExpiry     = time.Hour

	longPromptTokens = 1 << 20 // caps the prompt length in maxRemaining
)

// Front serves the platform's clients.
type Front struct {
	core     *dispatch.Dispatcher
	pool     *replica.Pool
	ledger   once.Ledger // nil: disabled
	settings atomic.Pointer[settings]
}

// settings holds the parts of logic.Settings that the front reads.
type settings struct {
	classes   map[string]logic.Class
	resumable bool // clients request the rest of a stream from another dispatcher
}

// New returns the front of a core; its requests are sent over the pool's connections.
func New(core *dispatch.Dispatcher, pool *replica.Pool, set logic.Settings, l once.Ledger) *Front {
	f := &Front{core: core, pool: pool, ledger: l}
	f.UpdateSettings(set)
	return f
}

// UpdateSettings replaces the settings for subsequent requests.
func (f *Front) UpdateSettings(set logic.Settings) {
	s := &settings{classes: map[string]logic.Class{}, resumable: set.Resumable()}
	for _, c := range set.Classes {
		s.classes[c.Name] = c
	}
	f.settings.Store(s)
}

// Server returns the HTTP server of the front.
func (f *Front) Server() *fasthttp.Server {
	return front.NewServer(f.core, f.serve, writeError, maxBody)
}

func writeError(ctx *fasthttp.RequestCtx, status int, text string) { ctx.Error(text, status) }

func (f *Front) serve(ctx *fasthttp.RequestCtx, body []byte) {
	received := front.ReceivedAt(ctx)
	switch string(ctx.Path()) {
	case "/-/ready":
		front.ServeReadiness(ctx, f.core)
		return
	case "/v1/chat/completions":
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	if !ctx.IsPost() {
		ctx.Error("POST is wanted", fasthttp.StatusMethodNotAllowed)
		return
	}
	q, err := f.parseRequest(&ctx.Request, body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		ctx.SetConnectionClose() // the body may not end where its header says, so the next request can't be located
		return
	}
	q.Received, q.ClientGone = received, front.ClientGone(ctx)
	if f.ledger != nil && !q.Spec.Resumed && f.settings.Load().classes[q.Spec.Class].Repeat == logic.Unsafe {
		q.Intents, err = once.Admit(f.ledger, &ctx.Request.Header, q.Spec.Tenant, body, q.Spec.Retried, received.Add(q.Spec.Remaining))
		if err != nil {
			rejectUnsent(ctx, err)
			return
		}
	}
	t := f.core.Submit(q)
	a, stop := front.AwaitAnswer(ctx, t)
	f.writeAnswer(ctx, t, a, stop)
}

// lookupRetryAfter is the Retry-After of the response if the dispatcher can't find out at present
// whether an instruction has run.
const lookupRetryAfter = time.Second

// rejectUnsent answers an instruction that is not sent because an earlier attempt at it may have
// run, or because that can't be found out at present.
func rejectUnsent(ctx *fasthttp.RequestCtx, err error) {
	if intentlog.MayHaveRun(err) {
		ctx.Error(err.Error(), fasthttp.StatusFailedDependency)
		return
	}
	ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	front.SetRetryAfter(ctx, lookupRetryAfter)
}

// writeAnswer writes the final response: a stream as it arrives, a refusal with Retry-After, or a
// failure.
func (f *Front) writeAnswer(ctx *fasthttp.RequestCtx, t *dispatch.Ticket, a dispatch.Answer, stop func()) {
	switch a.Verdict {
	case dispatch.Served:
		ctx.SetContentType("text/event-stream")
		ctx.Response.SetBodyStream(&front.StreamBody{Stream: a.Stream, Ticket: t, StopWatch: stop}, -1)
	case dispatch.Refused:
		ctx.Error(a.Reason, fasthttp.StatusServiceUnavailable)
		front.SetRetryAfter(ctx, a.RetryAfter)
	case dispatch.Failed:
		ctx.Error(a.Reason, fasthttp.StatusBadGateway)
	case dispatch.ClientLeft:
		front.EndWithoutResponse(ctx)
	}
	front.SetSettingsHeader(ctx, a)
}

// parseRequest translates a client's request for the core. An error names the offending header.
func (f *Front) parseRequest(in *fasthttp.Request, body []byte) (dispatch.Request, error) {
	q := dispatch.Request{ID: string(in.Header.Peek("X-Trace-Id"))}
	spec := &q.Spec
	if !front.ValidID(q.ID) {
		return q, fmt.Errorf("X-Trace-Id: %q is not an id", q.ID)
	}
	spec.Class = string(in.Header.Peek("X-Qos"))
	set := f.settings.Load()
	class, ok := set.classes[spec.Class]
	if !ok {
		return q, fmt.Errorf("X-Qos: %q is not a class", spec.Class)
	}
	var err error
	if spec.Remaining, err = parseExpiry(string(in.Header.Peek("X-Expires-In")), class.Deadline); err != nil {
		return q, fmt.Errorf("X-Expires-In: %w", err)
	}
	if spec.Session, err = parseKey(string(in.Header.Peek("X-Object"))); err != nil {
		return q, fmt.Errorf("X-Object: %w", err)
	}
	spec.Tenant = string(in.Header.Peek("X-Customer"))
	if !jsoniter.Valid(body) {
		return q, errors.New("the body is not JSON, or not as long as it says")
	}
	spec.PromptTokens = int64(len(body) / charsPerToken) // unless X-Props gives a length
	if err := parseProps(string(in.Header.Peek("X-Props")), spec); err != nil {
		return q, fmt.Errorf("X-Props: %w", err)
	}
	spec.Remaining = min(spec.Remaining, maxRemaining(class, spec.PromptTokens))
	secondTry := string(in.Header.Peek("X-Second-Try"))
	spec.Retried, spec.Resumed = secondTry == "1", secondTry == "again"
	parcel := &replica.Request{Pool: f.pool, ID: q.ID, Method: string(in.Header.Method()),
		URI: string(in.RequestURI()), Host: string(in.Header.Host()), Body: body}
	parcel.Headers = front.ForwardedHeaders(&in.Header, "X-Trace-Id", "X-Expires-In")
	q.Payload, q.Size, q.Resumable = parcel, len(body)+front.HeaderBytes(parcel.Headers), set.resumable
	return q, nil
}

// parseExpiry parses a number with its unit. If the text is empty, it returns the fallback, the
// deadline of the class.
func parseExpiry(text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	unit, ok := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[text[len(text)-1]]
	v, err := strconv.ParseFloat(text[:len(text)-1], 64)
	if !ok || err != nil || math.IsNaN(v) || v <= 0 {
		return 0, fmt.Errorf("%q is not a number and a unit, m or u", text)
	}
	return time.Duration(min(v*float64(unit), float64(maxExpiry))), nil
}

// maxRemaining bounds how long a request is kept whatever its client says, because its timers hold
// it in memory for that time. Clients wait no longer than the deadline of their class, which grows
// with the prompt.
func maxRemaining(class logic.Class, promptTokens int64) time.Duration {
	return 2 * (class.Deadline + 2*time.Duration(min(promptTokens, longPromptTokens))*class.AimPer1K/1000)
}

func parseKey(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a key of hex digits", text)
	}
	return v, nil
}

func parseProps(text string, spec *logic.Request) error {
	for text != "" {
		var part string
		part, text, _ = strings.Cut(text, ",")
		name, val, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return fmt.Errorf("%q is not name=value", part)
		}
		var err error
		switch name {
		case "prefix":
			spec.Prefix, err = parseKey(val)
		case "prompt_len":
			spec.PromptTokens, err = parseTokens(val)
		case "prefix_len":
			spec.PrefixTokens, err = parseTokens(val)
		case "max_out":
			spec.MaxOutput, err = parseTokens(val)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func parseTokens(text string) (int64, error) {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 || v > maxTokens {
		return 0, fmt.Errorf("%q is not a length in tokens", text)
	}
	return v, nil
}
