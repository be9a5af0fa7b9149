// Package chat is the front for an OpenAI-style chat completion API. It translates requests for the
// core and writes the one final response in the API's format. Its only decision is which status an
// outcome gets, so that client libraries, which retry by themselves, repeat only what is harmless.
package chat

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
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
	maxBody         = 256 << 10
	completionsPath = "/v1/chat/completions"
	modelsPath      = "/v1/models"

	// statusMayHaveRun answers an instruction that may have run. The common client libraries
	// automatically retry 408, 409, 429, everything from 500 on, and broken connections. They do
	// not retry this status, and X-Should-Retry repeats that for libraries that read it.
	statusMayHaveRun = fasthttp.StatusFailedDependency

	// decodeRetryAfter is the retry advice where too many bodies are being decoded. Each takes some
	// milliseconds.
	decodeRetryAfter = time.Second
)

// Options are set by the operator.
type Options struct {
	Models    map[string]string // class name by model
	MaxOutput int64             // in tokens, for requests without a limit
}

// Front serves clients of the chat API.
type Front struct {
	core   *dispatch.Dispatcher
	pool   *replica.Pool
	shared Shared
	models atomic.Pointer[models]
	json   jsoniter.API
}

// Shared is what all chat fronts of a process share.
type Shared struct {
	Instructions *Instructions
	Decoding     *DecodeBudget
	Ledger       once.Ledger // shared by the dispatchers, in place of Instructions; nil: none
}

// models are what the front takes from the configuration in force.
type models struct {
	classes   map[string]logic.Class // by model
	maxOutput int64                  // in tokens, for requests without a limit
}

// New returns the front of a core; its requests are sent over the pool's connections.
func New(core *dispatch.Dispatcher, pool *replica.Pool, classes []logic.Class, shared Shared, set Options) (*Front, error) {
	f := &Front{core: core, pool: pool, shared: shared, json: jsoniter.ConfigCompatibleWithStandardLibrary}
	return f, f.Update(classes, set)
}

// Update replaces the classes and options for subsequent requests. It returns an error that names a
// model whose class is missing; the previous ones then stay in force.
func (f *Front) Update(classes []logic.Class, set Options) error {
	next := &models{classes: map[string]logic.Class{}, maxOutput: set.MaxOutput}
	for model, name := range set.Models {
		for _, c := range classes {
			if c.Name == name {
				next.classes[model] = c
			}
		}
		if _, ok := next.classes[model]; !ok {
			return fmt.Errorf("key chat.models.%s: %q is not a class", model, name)
		}
	}
	f.models.Store(next)
	return nil
}

// Server returns the HTTP server of the front.
func (f *Front) Server() *fasthttp.Server {
	return front.NewServer(f.core, f.serve, func(ctx *fasthttp.RequestCtx, status int, text string) {
		f.writeError(ctx, &requestError{status, "invalid_request", "", text})
	}, maxBody)
}

func (f *Front) serve(ctx *fasthttp.RequestCtx, body []byte) {
	received := front.ReceivedAt(ctx)
	switch p := string(ctx.Path()); {
	case p == completionsPath && ctx.IsPost():
		if err := f.complete(ctx, body, received); err != nil {
			f.writeError(ctx, err)
		}
	case p == modelsPath && ctx.IsGet():
		f.listModels(ctx)
	case p == "/-/ready":
		front.ServeReadiness(ctx, f.core)
	case p == completionsPath || p == modelsPath:
		f.writeError(ctx, &requestError{fasthttp.StatusMethodNotAllowed, "method_not_allowed", "", "the method is not allowed here"})
	default:
		f.writeError(ctx, &requestError{fasthttp.StatusNotFound, "unknown_url", "", "no such path"})
	}
}

// complete processes a completion request from its body to its final response. It returns an error
// for a request that is rejected before it reaches the core.
func (f *Front) complete(ctx *fasthttp.RequestCtx, text []byte, received time.Time) error {
	decoded, ok := f.shared.Decoding.reserve(len(text))
	if !ok {
		f.writeOverloaded(ctx, decodeRetryAfter, "too many bodies are being decoded")
		return nil
	}
	defer decoded()
	b, err := parse(text)
	if err != nil {
		return err
	}
	served := f.models.Load()
	class, ok := served.classes[b.Model]
	if !ok {
		return &requestError{fasthttp.StatusNotFound, "model_not_found", "model", fmt.Sprintf("the model %q does not exist", b.Model)}
	}
	spec, err := b.toRequest(class, served.maxOutput)
	if err != nil {
		return err
	}
	b.Messages = nil // takes several times the memory of the body, and is not needed any more
	h := &ctx.Request.Header
	spec.Remaining = clientTimeout(h, class, spec.PromptTokens)
	spec.Retried = isRetry(h)
	if !b.Stream {
		if text, err = withStreaming(text); err != nil {
			return invalid("", err.Error())
		}
	}
	id := newRequestID()
	ctx.Response.Header.Set("X-Request-Id", id)

	identity := ""
	done := func(mayHaveRun bool) {}
	var recorder dispatch.IntentRecorder
	switch {
	case class.Repeat == logic.Unsafe && f.shared.Ledger != nil:
		recorder, err = once.Admit(f.shared.Ledger, h, customerOf(h, b), text, spec.Retried, received.Add(spec.Remaining))
		if intentlog.MayHaveRun(err) {
			f.writeMayHaveRun(ctx, err.Error())
			return nil
		} else if err != nil {
			f.writeOverloaded(ctx, time.Second, err.Error())
			return nil
		}
	case class.Repeat != logic.Safe:
		key, named := f.instructionKey(h, b, text)
		known, full := f.shared.Instructions.begin(key, named || spec.Retried)
		switch {
		case known:
			f.writeMayHaveRun(ctx, "this instruction was taken before and may have run: it is not sent again")
			return nil
		case full:
			f.writeOverloaded(ctx, time.Second, "too many instructions are remembered")
			return nil
		}
		done = func(mayHaveRun bool) { f.shared.Instructions.finish(key, mayHaveRun) }
		if named { // a new version beside this process knows what is claimed
			identity = fmt.Sprintf("key %016x", key)
		}
	}
	size := len(text)
	if !b.Stream {
		size += answerBytes(spec)
	}
	t := f.core.Submit(dispatch.Request{ID: id, Identity: identity, Spec: spec, Received: received, ClientGone: front.ClientGone(ctx), Size: size, Intents: recorder, Payload: &replica.Request{
		Pool: f.pool, ID: id, Method: fasthttp.MethodPost, URI: completionsPath, Host: string(h.Host()), Body: text,
		Headers: upstreamHeaders(spec, h)}})
	decoded()
	a, stop := front.AwaitAnswer(ctx, t)
	done(a.MayRun || a.Verdict == dispatch.Served)
	f.writeAnswer(ctx, t, a, stop, b, class)
	front.SetSettingsHeader(ctx, a)
	return nil
}

// writeAnswer writes the final response.
func (f *Front) writeAnswer(ctx *fasthttp.RequestCtx, t *dispatch.Ticket, a dispatch.Answer, stop func(), b *body, class logic.Class) {
	unsafe := class.Repeat != logic.Safe
	switch a.Verdict {
	case dispatch.Served:
		relay := &front.StreamBody{Stream: a.Stream, Ticket: t, StopWatch: stop}
		if b.Stream {
			ctx.SetContentType("text/event-stream")
			ctx.Response.Header.Set("Cache-Control", "no-cache")
			ctx.Response.SetBodyStream(&eventRelay{StreamBody: relay}, -1)
			return
		}
		defer relay.Close() //nolint:errcheck // always nil
		c := &completion{ID: "chatcmpl-" + string(ctx.Response.Header.Peek("X-Request-Id")), Object: "chat.completion",
			Created: time.Now().Unix(), Model: b.Model}
		err := collect(a.Stream, c)
		switch {
		case err == nil:
			f.writeJSON(ctx, fasthttp.StatusOK, c)
		case unsafe:
			f.writeMayHaveRun(ctx, "the answer broke off; the instruction may have run")
		default:
			f.writeError(ctx, &requestError{fasthttp.StatusBadGateway, "upstream_error", "", "the answer broke off"})
		}
	case dispatch.Refused:
		f.writeOverloaded(ctx, a.RetryAfter, a.Reason)
	case dispatch.Failed:
		if unsafe && a.MayRun {
			f.writeMayHaveRun(ctx, "no answer came; the instruction may have run")
		} else {
			f.writeError(ctx, &requestError{fasthttp.StatusBadGateway, "upstream_error", "", a.Reason})
		}
	case dispatch.ClientLeft:
		front.EndWithoutResponse(ctx)
	}
}

// eventRelay passes the events of a stream on unchanged. A stream that breaks off ends with an
// error event and without the last chunk: libraries report either as an error, and none retries the
// request once events have arrived.
type eventRelay struct {
	*front.StreamBody
	tail      [64]byte // the last bytes passed on
	tailLen   int
	streamErr error // returned after the error event
}

var doneEvent = []byte("data: [DONE]\n\n")

func (e *eventRelay) Read(p []byte) (int, error) {
	if e.streamErr != nil {
		return 0, e.streamErr
	}
	n, err := e.StreamBody.Read(p)
	e.recordTail(p[:n])
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && bytes.Contains(e.tail[:e.tailLen], []byte("[DONE]")):
		return 0, io.EOF
	case err == io.EOF:
		e.recordTail(doneEvent)
		return copy(p, doneEvent), nil
	}
	e.streamErr = err
	return copy(p, "\n\ndata: {\"error\":{\"message\":\"the answer broke off\",\"type\":\"server_error\",\"param\":null,\"code\":\"stream_broken\"}}\n\n"), nil
}

func (e *eventRelay) recordTail(p []byte) {
	if len(p) >= len(e.tail) {
		e.tailLen = copy(e.tail[:], p[len(p)-len(e.tail):])
		return
	}
	if over := e.tailLen + len(p) - len(e.tail); over > 0 {
		e.tailLen = copy(e.tail[:], e.tail[over:e.tailLen])
	}
	e.tailLen += copy(e.tail[e.tailLen:], p)
}

// instructionKey returns the key of an instruction: derived from the customer and the client's key
// if it sent one, else from the request body. Two customers may use the same key.
func (f *Front) instructionKey(h *fasthttp.RequestHeader, b *body, text []byte) (key uint64, named bool) {
	if k := h.Peek(once.KeyHeader); len(k) > 0 {
		return hash("key", customerOf(h, b), string(k)), true
	}
	return hash("words", string(h.Peek("Authorization")), string(text)), false
}

// customerOf identifies the caller: by the request's user, or by its Authorization header.
func customerOf(h *fasthttp.RequestHeader, b *body) string {
	if b.User != "" {
		return b.User
	}
	return fmt.Sprintf("%016x", hash("who", string(h.Peek("Authorization"))))
}

// isRetry reports whether the client library marks the request as a retry.
func isRetry(h *fasthttp.RequestHeader) bool {
	n, err := strconv.Atoi(string(h.Peek("X-Stainless-Retry-Count")))
	return err == nil && n > 0
}

func upstreamHeaders(q logic.Request, h *fasthttp.RequestHeader) [][2]string {
	props := fmt.Sprintf("prompt_len=%d,max_out=%d", q.PromptTokens, q.MaxOutput)
	if q.Prefix != 0 {
		props = fmt.Sprintf("prefix=%016x,prefix_len=%d,", q.Prefix, q.PrefixTokens) + props
	}
	all := [][2]string{{"Content-Type", "application/json"}, {"X-Qos", q.Class},
		{"X-Object", fmt.Sprintf("%016x", q.Session)}, {"X-Props", props}}
	if key := h.Peek(once.KeyHeader); len(key) > 0 { // replicas may use it to discard repeats
		all = append(all, [2]string{once.KeyHeader, string(key)})
	}
	return all
}

func newRequestID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// ---- responses ----

// apiError is the error object of the API.
type apiError struct {
	Error struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    string  `json:"code"`
	} `json:"error"`
}

func (f *Front) writeError(ctx *fasthttp.RequestCtx, err error) {
	var x *requestError
	if !errors.As(err, &x) {
		x = &requestError{fasthttp.StatusInternalServerError, "internal_error", "", err.Error()}
	}
	var e apiError
	e.Error.Message, e.Error.Code, e.Error.Type = x.text, x.code, "invalid_request_error"
	if x.status >= fasthttp.StatusInternalServerError {
		e.Error.Type = "server_error"
	}
	if x.param != "" {
		e.Error.Param = &x.param
	}
	f.writeJSON(ctx, x.status, &e)
}

func (f *Front) writeMayHaveRun(ctx *fasthttp.RequestCtx, text string) {
	f.writeError(ctx, &requestError{statusMayHaveRun, "may_have_run", "", text})
	ctx.Response.Header.Set("X-Should-Retry", "false")
}

// writeOverloaded writes a refusal: nothing has run, and the client is told when to retry.
// Retry-After is in whole seconds, as most clients parse it; Retry-After-Ms is exact.
func (f *Front) writeOverloaded(ctx *fasthttp.RequestCtx, after time.Duration, text string) {
	f.writeError(ctx, &requestError{fasthttp.StatusServiceUnavailable, "overloaded", "", text})
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	ctx.Response.Header.Set("Retry-After-Ms", strconv.FormatInt(after.Milliseconds(), 10))
	ctx.Response.Header.Set("X-Should-Retry", "true")
}

func (f *Front) writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	text, err := f.json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

// listModels writes the list of models.
func (f *Front) listModels(ctx *fasthttp.RequestCtx) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	all := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", []model{}}
	for name := range f.models.Load().classes {
		all.Data = append(all.Data, model{name, "model", 0, "standpulley"})
	}
	sort.Slice(all.Data, func(i, j int) bool { return all.Data[i].ID < all.Data[j].ID })
	f.writeJSON(ctx, fasthttp.StatusOK, &all)
}
