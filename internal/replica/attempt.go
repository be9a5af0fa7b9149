package replica

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"strconv"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
	"standpulley/logic"
)

const (
	headerID       = "X-Trace-Id"
	headerExpires  = "X-Expires-In"
	headerNeverRan = "X-Never-Ran"
	headerSettings = "X-Settings" // version of the settings under which the attempt is sent

	// After an attempt without an answer for this long the idle connections to the replica are
	// suspect.
	suspectAfter = 300 * time.Millisecond

	maxAnswer   = 64 << 10    // bytes of a body that is not a stream
	bodyTimeout = time.Second // for such a body; the status has told the outcome
)

// Request is a request for replicas. Its method, path, query, body and ID are sent unchanged.
type Request struct {
	Pool    *Pool
	ID      string
	Method  string
	URI     string // path and query
	Host    string
	Headers [][2]string // additional headers
	Body    []byte
}

// Send starts an attempt that reports its progress to the observer.
func (p *Request) Send(to dispatch.Target, observer dispatch.AttemptObserver) dispatch.Attempt {
	ctx, cancel := context.WithDeadline(context.Background(), to.Until)
	a := &attempt{req: p, to: to, observer: observer, ctx: ctx, cancel: cancel, startedAt: time.Now()}
	go a.run()
	return a
}

// attempt is one send of a request: it connects, writes the request, waits for the answer and, if a
// stream begins, streams.
type attempt struct {
	req           *Request
	to            dispatch.Target
	observer      dispatch.AttemptObserver
	ctx           context.Context // ends at the deadline or when the attempt is cancelled
	cancel        context.CancelFunc
	c             *conn
	resp          fasthttp.Response
	stopInterrupt func() bool
	startedAt     time.Time

	mu             sync.Mutex
	deadlineLifted bool // set once the stream is passed on: the attempt has no deadline any more
}

// interrupt ends a blocked read or write on the connection.
func (a *attempt) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.deadlineLifted {
		_ = a.c.SetDeadline(time.Now().Add(-time.Second)) // on a closed connection nothing is blocked
	}
}

// liftDeadline removes the deadline of the attempt from its connection.
func (a *attempt) liftDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadlineLifted = true
	_ = a.c.SetDeadline(time.Time{}) // an error recurs in the next read
}

// Cancel aborts the attempt, which closes its connection.
func (a *attempt) Cancel() { a.cancel() }

func (a *attempt) run() {
	res, stream := a.exchange()
	if stream != nil {
		a.observer.Began(stream) // whoever reads the stream ends the attempt
		return
	}
	a.cancel()
	a.observer.Ended(res)
}

// exchange runs the attempt up to its result or, if the answer is a stream, to the first event.
func (a *attempt) exchange() (dispatch.Result, *stream) {
	c, err := a.req.Pool.get(a.ctx, a.to.Addr, a.to.NoReuse)
	if err != nil {
		return a.failure(logic.ConnectFailed, err), nil
	}
	a.c = c
	_ = c.SetDeadline(a.to.Until) // an error recurs in the write
	a.stopInterrupt = context.AfterFunc(a.ctx, a.interrupt)
	if err := a.write(); err != nil {
		a.dropConn()
		return a.failure(logic.ConnectFailed, err), nil // it can't have run without its last byte
	}
	a.observer.Written()
	log.Printf("%s written to %s over %s", a.req.ID, a.to.Addr, c.age())
	if received, err := a.readHead(); err != nil {
		return a.brokenAnswer(received, err), nil
	}
	if a.resp.StatusCode() != fasthttp.StatusOK {
		return a.readAnswer(), nil
	}
	a.awaitUntilDeadline()
	s := newStream(a)
	if err = s.open(); err != nil {
		return a.brokenAnswer(true, err), nil
	}
	return dispatch.Result{}, s
}

// brokenAnswer returns the result of an attempt whose answer broke off before the end of its first
// event. If anything of the answer was received, the replica has run the attempt: it has taken the
// prefill state, so none is left to fetch, and the connection was not silent.
func (a *attempt) brokenAnswer(received bool, err error) dispatch.Result {
	a.dropConn()
	if !received && time.Since(a.startedAt) > suspectAfter {
		a.req.Pool.closeSuspects(a.to.Addr, a.startedAt)
	}
	res := a.failure(logic.ConnectionLost, err)
	if received && res.Outcome != logic.Cancelled {
		res.Outcome, res.NoState = logic.ConnectionLost, true
	}
	return res
}

// write sends the request. If it returns no error, the last byte has been handed to the network.
func (a *attempt) write() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(a.req.Method)
	req.Header.SetRequestURI(a.req.URI) // unparsed, as parsing would normalize it and replace the host
	req.Header.SetHost(cmp.Or(a.req.Host, a.to.Addr))
	for _, h := range a.req.Headers {
		req.Header.Add(h[0], h[1])
	}
	req.Header.Set(headerID, a.req.ID)
	req.Header.Set(headerExpires, strconv.FormatInt(max(time.Until(a.to.Until).Microseconds(), 1), 10)+"u")
	req.SetBodyRaw(a.req.Body)
	if a.to.SettingsVersion != "" {
		req.Header.Set(headerSettings, a.to.SettingsVersion)
	}
	bw := bufio.NewWriterSize(&sendGuard{Conn: a.c, ctx: a.ctx, beforeSend: a.to.BeforeSend}, writeBuffer)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// sendGuard checks right before the first byte of an attempt is written that the attempt has not
// been cancelled and that beforeSend permits it.
type sendGuard struct {
	net.Conn
	ctx        context.Context
	beforeSend func() error
	passed     bool
}

var errSendNotAllowed = errors.New("no leave to send")

func (g *sendGuard) Write(p []byte) (int, error) {
	if !g.passed {
		if err := g.ctx.Err(); err != nil {
			return 0, errors.Join(errSendNotAllowed, err)
		}
		if g.beforeSend != nil {
			if err := g.beforeSend(); err != nil {
				return 0, errors.Join(errSendNotAllowed, err)
			}
		}
		g.passed = true
	}
	return g.Conn.Write(p)
}

// failure returns the result of an attempt without an answer: the given outcome, unless the attempt
// was cancelled or timed out. An attempt that was not sent for reasons within this dispatcher says
// nothing about the replica.
func (a *attempt) failure(outcome logic.Outcome, err error) dispatch.Result {
	switch {
	case outcome == logic.ConnectFailed && (a.ctx.Err() != nil || localShortage(err) || errors.Is(err, errSendNotAllowed)):
		outcome = logic.NotSent
	case outcome == logic.ConnectFailed:
	case errors.Is(a.ctx.Err(), context.Canceled):
		outcome = logic.Cancelled
	case a.ctx.Err() != nil || isTimeout(err):
		outcome = logic.TimedOut
	}
	return dispatch.Result{Outcome: outcome, NoLease: errors.Is(err, dispatch.ErrNoLease), ClientGone: errors.Is(err, dispatch.ErrClientGone), Detail: err.Error()}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &t) && t.Timeout()
}

// readAnswer reads an answer that is not a stream and returns the connection to the pool.
func (a *attempt) readAnswer() dispatch.Result {
	status := a.resp.StatusCode()
	res := dispatch.Result{Outcome: logic.ServerError, Detail: strconv.Itoa(status)}
	neverRan := string(a.resp.Header.Peek(headerNeverRan)) == "1"
	switch {
	case status == fasthttp.StatusAccepted:
		res.Outcome = logic.ReadDone
	case status == fasthttp.StatusGone && neverRan:
		res.Outcome, res.NoState = logic.Full, true
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) && neverRan:
		res.Outcome = logic.Full
	}
	a.c.beforeRead = nil
	a.setReadTimeout(bodyTimeout)
	body := bodyReader(&a.resp.Header, a.c.br, func([]byte) {})
	text, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if res.Outcome == logic.ReadDone && err == nil {
		var read struct {
			CachedTokens int64 `json:"cached_tokens"`
		}
		if jsoniter.Unmarshal(text, &read) == nil { // without a count no cached tokens are assumed
			res.Tokens = read.CachedTokens
		}
	}
	a.releaseConn(err == nil && len(text) < maxAnswer)
	return res
}

// releaseConn ends the attempt's use of its connection. The connection is reused only if the answer
// was read to its end and neither side wants it closed.
func (a *attempt) releaseConn(complete bool) {
	if complete && a.stopInterrupt() && !a.resp.ConnectionClose() {
		a.req.Pool.put(a.c)
		return
	}
	a.dropConn()
}

// dropConn closes the connection of the attempt.
func (a *attempt) dropConn() {
	a.stopInterrupt()
	a.req.Pool.drop(a.c)
}
