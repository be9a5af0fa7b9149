// Package platform is the front for the platform's protocol: it reads a request's headers into the core's form
// and writes the one final answer. It decides nothing.
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

	"standpulley/internal/bookkeeping"
	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/front/once"
	"standpulley/internal/replica"
	"standpulley/logic"
)

const (
	maxBody   = 256 << 10
	maxTokens = 1 << 40
	tokenSize = 4 // characters
	maxWait   = time.Hour

	longPrompt = 1 << 20 // tokens
)

// Front serves the platform's clients.
type Front struct {
	core   *dispatch.Dispatcher
	pool   *replica.Pool
	ledger once.Ledger // nil: off
	set    atomic.Pointer[settings]
}

// settings are those of logic.Settings that the front reads.
type settings struct {
	classes map[string]logic.Class
	movable bool // clients ask another dispatcher for the rest of a stream
}

// New makes the front of a core; its requests travel by the pool.
func New(core *dispatch.Dispatcher, pool *replica.Pool, set logic.Settings, l once.Ledger) *Front {
	f := &Front{core: core, pool: pool, ledger: l}
	f.UpdateSettings(set)
	return f
}

// UpdateSettings puts other settings in force for the requests to come.
func (f *Front) UpdateSettings(set logic.Settings) {
	s := &settings{classes: map[string]logic.Class{}, movable: set.CanResumeElsewhere()}
	for _, c := range set.Classes {
		s.classes[c.Name] = c
	}
	f.set.Store(s)
}

// Server gives the front's server.
func (f *Front) Server() *fasthttp.Server {
	return front.NewServer(f.core, f.serve, refuse, maxBody)
}

func refuse(ctx *fasthttp.RequestCtx, status int, text string) { ctx.Error(text, status) }

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
	q, err := f.request(&ctx.Request, body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		ctx.SetConnectionClose() // its next request may begin elsewhere than it seems
		return
	}
	q.Received, q.ClientGone = received, front.ClientGone(ctx)
	if f.ledger != nil && !q.Spec.Resumed && f.set.Load().classes[q.Spec.Class].Repeat == logic.Unsafe {
		q.Intents, err = once.Admit(f.ledger, &ctx.Request.Header, q.Spec.Tenant, body, q.Spec.Retried, received.Add(q.Spec.Remaining))
		if err != nil {
			unsent(ctx, err)
			return
		}
	}
	t := f.core.Submit(q)
	a, stop := front.AwaitAnswer(ctx, t)
	f.answer(ctx, t, a, stop)
}

// findAgain is the advice where it can't be found out now whether an instruction has run.
const findAgain = time.Second

// unsent answers an instruction that is not sent, as an earlier one of it may have run, or that can't be found out.
func unsent(ctx *fasthttp.RequestCtx, err error) {
	if bookkeeping.MayHaveRun(err) {
		ctx.Error(err.Error(), fasthttp.StatusFailedDependency)
		return
	}
	ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	front.SetRetryAfter(ctx, findAgain)
}

// answer writes the final answer: a stream as it comes, a refusal with the time to come back, else a failure.
func (f *Front) answer(ctx *fasthttp.RequestCtx, t *dispatch.Ticket, a dispatch.Answer, stop func()) {
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
		ctx.SetConnectionClose()
	}
	front.SetSettingsHeader(ctx, a)
}

// request reads what a client sent into the core's form. An error names the header at fault.
func (f *Front) request(in *fasthttp.Request, body []byte) (dispatch.Request, error) {
	q := dispatch.Request{ID: string(in.Header.Peek("X-Trace-Id"))}
	ask := &q.Spec
	if !front.ValidID(q.ID) {
		return q, fmt.Errorf("X-Trace-Id: %q is not an id", q.ID)
	}
	ask.Class = string(in.Header.Peek("X-Qos"))
	set := f.set.Load()
	class, ok := set.classes[ask.Class]
	if !ok {
		return q, fmt.Errorf("X-Qos: %q is not a class", ask.Class)
	}
	var err error
	if ask.Remaining, err = expiry(string(in.Header.Peek("X-Expires-In")), class.Deadline); err != nil {
		return q, fmt.Errorf("X-Expires-In: %w", err)
	}
	if ask.Session, err = key(string(in.Header.Peek("X-Object"))); err != nil {
		return q, fmt.Errorf("X-Object: %w", err)
	}
	ask.Tenant = string(in.Header.Peek("X-Customer"))
	if !jsoniter.Valid(body) {
		return q, errors.New("the body is not JSON, or not as long as it says")
	}
	ask.PromptTokens = int64(len(body) / tokenSize) // where no length is told
	if err := props(string(in.Header.Peek("X-Props")), ask); err != nil {
		return q, fmt.Errorf("X-Props: %w", err)
	}
	ask.Remaining = min(ask.Remaining, longest(class, ask.PromptTokens))
	try := string(in.Header.Peek("X-Second-Try"))
	ask.Retried, ask.Resumed = try == "1", try == "again"
	parcel := &replica.Request{Pool: f.pool, ID: q.ID, Method: string(in.Header.Method()),
		URI: string(in.RequestURI()), Host: string(in.Header.Host()), Body: body}
	parcel.Headers = front.ForwardedHeaders(&in.Header, "X-Trace-Id", "X-Expires-In")
	q.Payload, q.Size, q.Resumable = parcel, len(body), set.movable
	for _, h := range parcel.Headers {
		q.Size += len(h[0]) + len(h[1])
	}
	return q, nil
}

// expiry reads a number and its unit; where none is told the class's deadline holds.
func expiry(text string, without time.Duration) (time.Duration, error) {
	if text == "" {
		return without, nil
	}
	unit, ok := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[text[len(text)-1]]
	v, err := strconv.ParseFloat(text[:len(text)-1], 64)
	if !ok || err != nil || math.IsNaN(v) || v <= 0 {
		return 0, fmt.Errorf("%q is not a number and a unit, m or u", text)
	}
	return time.Duration(min(v*float64(unit), float64(maxWait))), nil
}

// longest bounds how long a request is kept, whatever its client says: its timers hold it for that time. Clients wait
// no longer than their class's deadline, which grows with the prompt.
func longest(class logic.Class, tokens int64) time.Duration {
	return 2 * (class.Deadline + 2*time.Duration(min(tokens, longPrompt))*class.AimPer1K/1000)
}

func key(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a key of hex digits", text)
	}
	return v, nil
}

func props(text string, ask *logic.Request) error {
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
			ask.Prefix, err = key(val)
		case "prompt_len":
			ask.PromptTokens, err = tokens(val)
		case "prefix_len":
			ask.PrefixTokens, err = tokens(val)
		case "max_out":
			ask.MaxOutput, err = tokens(val)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func tokens(text string) (int64, error) {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 || v > maxTokens {
		return 0, fmt.Errorf("%q is not a length in tokens", text)
	}
	return v, nil
}
