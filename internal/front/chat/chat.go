// Package chat is the front that speaks an OpenAI-style chat completion API. It reads a request into the core's
// form and writes the one final answer as the API words it. It decides nothing but how an answer is worded so
// that client libraries, which retry by themselves, repeat only what is harmless.
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

	"standpulley/internal/bookkeeping"
	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/front/once"
	"standpulley/internal/replica"
	"standpulley/logic"
)

const (
	maxBody = 256 << 10
	path    = "/v1/chat/completions"
	models  = "/v1/models"

	// statusMayHaveRun answers an instruction that may have run. The common libraries retry 408, 409, 429 and
	// everything from 500 on by themselves, and broken connections; they leave this one alone, and
	// X-Should-Retry says so once more to those that read it.
	statusMayHaveRun = fasthttp.StatusFailedDependency
)

// Options are what an operator sets.
type Options struct {
	Models    map[string]string // class by model
	MaxOutput int64             // tokens, where a request names no limit
	Ledger    once.Ledger       // what dispatchers remember together; nil: each remembers for itself
}

// Front serves clients of the chat API.
type Front struct {
	core    *dispatch.Dispatcher
	pool    *replica.Pool
	set     Options
	classes atomic.Pointer[map[string]logic.Class] // by model
	ledger  *ledger
	json    jsoniter.API
}

// New makes the front of a core; its requests travel by the pool.
func New(core *dispatch.Dispatcher, pool *replica.Pool, classes []logic.Class, set Options) (*Front, error) {
	f := &Front{core: core, pool: pool, set: set, ledger: newLedger(), json: jsoniter.ConfigCompatibleWithStandardLibrary}
	return f, f.UpdateClasses(classes)
}

// UpdateClasses puts other classes in force for the requests to come, or says which model lacks its own.
func (f *Front) UpdateClasses(classes []logic.Class) error {
	byModel := map[string]logic.Class{}
	for model, name := range f.set.Models {
		for _, c := range classes {
			if c.Name == name {
				byModel[model] = c
			}
		}
		if _, ok := byModel[model]; !ok {
			return fmt.Errorf("key chat.models.%s: %q is not a class", model, name)
		}
	}
	f.classes.Store(&byModel)
	return nil
}

// Server gives the front's server.
func (f *Front) Server() *fasthttp.Server {
	return front.NewServer(f.core, f.serve, func(ctx *fasthttp.RequestCtx, status int, text string) {
		f.fail(ctx, &fault{status, "invalid_request", "", text})
	}, maxBody)
}

func (f *Front) serve(ctx *fasthttp.RequestCtx, body []byte) {
	received := front.ReceivedAt(ctx)
	switch p := string(ctx.Path()); {
	case p == path && ctx.IsPost():
		if err := f.complete(ctx, body, received); err != nil {
			f.fail(ctx, err)
		}
	case p == models && ctx.IsGet():
		f.list(ctx)
	case p == "/-/ready":
		front.ServeReadiness(ctx, f.core)
	case p == path || p == models:
		f.fail(ctx, &fault{fasthttp.StatusMethodNotAllowed, "method_not_allowed", "", "the method is not allowed here"})
	default:
		f.fail(ctx, &fault{fasthttp.StatusNotFound, "unknown_url", "", "no such path"})
	}
}

// complete takes a request from its body to its final answer. An error is one that the core never saw.
func (f *Front) complete(ctx *fasthttp.RequestCtx, text []byte, received time.Time) error {
	b, err := parse(text)
	if err != nil {
		return err
	}
	class, ok := (*f.classes.Load())[b.Model]
	if !ok {
		return &fault{fasthttp.StatusNotFound, "model_not_found", "model", fmt.Sprintf("the model %q does not exist", b.Model)}
	}
	ask, err := b.ask(class, f.set.MaxOutput)
	if err != nil {
		return err
	}
	h := &ctx.Request.Header
	ask.Remaining = patience(h, class, ask.PromptTokens)
	ask.Retried = repeated(h)
	if !b.Stream {
		if text, err = streamed(text); err != nil {
			return invalid("", err.Error())
		}
	}
	id := newID()
	ctx.Response.Header.Set("X-Request-Id", id)

	done := func(mayHaveRun bool) {}
	var noted dispatch.IntentRecorder
	switch {
	case class.Repeat == logic.Unsafe && f.set.Ledger != nil:
		noted, err = once.Admit(f.set.Ledger, h, customer(h, b), text, ask.Retried, received.Add(ask.Remaining))
		if bookkeeping.MayHaveRun(err) {
			f.mayHaveRun(ctx, err.Error())
			return nil
		} else if err != nil {
			f.overloaded(ctx, time.Second, err.Error())
			return nil
		}
	case class.Repeat != logic.Safe:
		key, named := f.mark(h, b, text)
		known, full := f.ledger.enter(key, named || ask.Retried)
		switch {
		case known:
			f.mayHaveRun(ctx, "this instruction was taken before and may have run: it is not sent again")
			return nil
		case full:
			f.overloaded(ctx, time.Second, "too many instructions are remembered")
			return nil
		}
		done = func(mayHaveRun bool) { f.ledger.close(key, mayHaveRun) }
	}
	t := f.core.Submit(dispatch.Request{ID: id, Spec: ask, Received: received, ClientGone: front.ClientGone(ctx), Size: len(text), Intents: noted, Payload: &replica.Request{
		Pool: f.pool, ID: id, Method: fasthttp.MethodPost, URI: path, Host: string(h.Host()), Body: text,
		Headers: headers(ask, h)}})
	a, stop := front.AwaitAnswer(ctx, t)
	done(a.MayRun || a.Verdict == dispatch.Served)
	f.answer(ctx, t, a, stop, b, class)
	front.SetSettingsHeader(ctx, a)
	return nil
}

// answer words the final answer.
func (f *Front) answer(ctx *fasthttp.RequestCtx, t *dispatch.Ticket, a dispatch.Answer, stop func(), b *body, class logic.Class) {
	unsafe := class.Repeat != logic.Safe
	switch a.Verdict {
	case dispatch.Served:
		relay := &front.StreamBody{Stream: a.Stream, Ticket: t, StopWatch: stop}
		if b.Stream {
			ctx.SetContentType("text/event-stream")
			ctx.Response.Header.Set("Cache-Control", "no-cache")
			ctx.Response.SetBodyStream(&events{StreamBody: relay}, -1)
			return
		}
		defer relay.Close() //nolint:errcheck // it has no error
		c := &completion{ID: "chatcmpl-" + string(ctx.Response.Header.Peek("X-Request-Id")), Object: "chat.completion",
			Created: time.Now().Unix(), Model: b.Model}
		err := collect(a.Stream, c)
		switch {
		case err == nil:
			f.write(ctx, fasthttp.StatusOK, c)
		case unsafe:
			f.mayHaveRun(ctx, "the answer broke off; the instruction may have run")
		default:
			f.fail(ctx, &fault{fasthttp.StatusBadGateway, "upstream_error", "", "the answer broke off"})
		}
	case dispatch.Refused:
		f.overloaded(ctx, a.RetryAfter, a.Reason)
	case dispatch.Failed:
		if unsafe && a.MayRun {
			f.mayHaveRun(ctx, "no answer came; the instruction may have run")
		} else {
			f.fail(ctx, &fault{fasthttp.StatusBadGateway, "upstream_error", "", a.Reason})
		}
	case dispatch.ClientLeft:
		ctx.SetConnectionClose()
	}
}

// events passes a stream's events on unchanged. A stream that breaks off ends with an error event and without
// the last chunk: libraries raise either, and none sends the request anew once events have come.
type events struct {
	*front.StreamBody
	tail   [64]byte // the last bytes passed on
	n      int
	broken error
}

var doneEvent = []byte("data: [DONE]\n\n")

func (e *events) Read(p []byte) (int, error) {
	if e.broken != nil {
		return 0, e.broken
	}
	n, err := e.StreamBody.Read(p)
	e.keep(p[:n])
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && bytes.Contains(e.tail[:e.n], []byte("[DONE]")):
		return 0, io.EOF
	case err == io.EOF:
		e.keep(doneEvent)
		return copy(p, doneEvent), nil
	}
	e.broken = err
	return copy(p, "\n\ndata: {\"error\":{\"message\":\"the answer broke off\",\"type\":\"server_error\",\"param\":null,\"code\":\"stream_broken\"}}\n\n"), nil
}

func (e *events) keep(p []byte) {
	if len(p) >= len(e.tail) {
		e.n = copy(e.tail[:], p[len(p)-len(e.tail):])
		return
	}
	if over := e.n + len(p) - len(e.tail); over > 0 {
		e.n = copy(e.tail[:], e.tail[over:e.n])
	}
	e.n += copy(e.tail[e.n:], p)
}

// mark names an instruction: by the client's key if it gave one, else by its words.
func (f *Front) mark(h *fasthttp.RequestHeader, b *body, text []byte) (key uint64, named bool) {
	if k := h.Peek(once.KeyHeader); len(k) > 0 {
		return hash("key", b.User, string(k)), true
	}
	return hash("words", string(h.Peek("Authorization")), string(text)), false
}

// customer names who asks: as the request's user, or by what it authorises itself with.
func customer(h *fasthttp.RequestHeader, b *body) string {
	if b.User != "" {
		return b.User
	}
	return fmt.Sprintf("%016x", hash("who", string(h.Peek("Authorization"))))
}

// repeated tells whether a library says that it sends the request anew.
func repeated(h *fasthttp.RequestHeader) bool {
	n, err := strconv.Atoi(string(h.Peek("X-Stainless-Retry-Count")))
	return err == nil && n > 0
}

func headers(q logic.Request, h *fasthttp.RequestHeader) [][2]string {
	props := fmt.Sprintf("prompt_len=%d,max_out=%d", q.PromptTokens, q.MaxOutput)
	if q.Prefix != 0 {
		props = fmt.Sprintf("prefix=%016x,prefix_len=%d,", q.Prefix, q.PrefixTokens) + props
	}
	all := [][2]string{{"Content-Type", "application/json"}, {"X-Qos", q.Class},
		{"X-Object", fmt.Sprintf("%016x", q.Session)}, {"X-Props", props}}
	if key := h.Peek(once.KeyHeader); len(key) > 0 { // replicas may throw repeats away by it
		all = append(all, [2]string{once.KeyHeader, string(key)})
	}
	return all
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// ---- wording ----

// apiError is the API's error object.
type apiError struct {
	Error struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    string  `json:"code"`
	} `json:"error"`
}

func (f *Front) fail(ctx *fasthttp.RequestCtx, err error) {
	var x *fault
	if !errors.As(err, &x) {
		x = &fault{fasthttp.StatusInternalServerError, "internal_error", "", err.Error()}
	}
	var e apiError
	e.Error.Message, e.Error.Code, e.Error.Type = x.text, x.code, "invalid_request_error"
	if x.status >= fasthttp.StatusInternalServerError {
		e.Error.Type = "server_error"
	}
	if x.param != "" {
		e.Error.Param = &x.param
	}
	f.write(ctx, x.status, &e)
}

func (f *Front) mayHaveRun(ctx *fasthttp.RequestCtx, text string) {
	f.fail(ctx, &fault{statusMayHaveRun, "may_have_run", "", text})
	ctx.Response.Header.Set("X-Should-Retry", "false")
}

// overloaded refuses: nothing has run, and the client learns when to come back. Retry-After is in whole seconds,
// as most clients read it; Retry-After-Ms is exact.
func (f *Front) overloaded(ctx *fasthttp.RequestCtx, after time.Duration, text string) {
	f.fail(ctx, &fault{fasthttp.StatusServiceUnavailable, "overloaded", "", text})
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	ctx.Response.Header.Set("Retry-After-Ms", strconv.FormatInt(after.Milliseconds(), 10))
	ctx.Response.Header.Set("X-Should-Retry", "true")
}

func (f *Front) write(ctx *fasthttp.RequestCtx, status int, v any) {
	text, err := f.json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

// list names the models.
func (f *Front) list(ctx *fasthttp.RequestCtx) {
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
	for name := range *f.classes.Load() {
		all.Data = append(all.Data, model{name, "model", 0, "standpulley"})
	}
	sort.Slice(all.Data, func(i, j int) bool { return all.Data[i].ID < all.Data[j].ID })
	f.write(ctx, fasthttp.StatusOK, &all)
}
