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
	headerSettings = "X-Settings" // of what the attempt is sent by

	silenceTime = 300 * time.Millisecond // after so long without a word the other idle connections are doubtful too

	maxSmallAnswer = 64 << 10 // bodies other than streams
	piece          = 16 << 10 // of a stream, at most so much at once
)

// Request is a request on its way to replicas: method, path, query, body and id pass on unchanged.
type Request struct {
	Pool    *Pool
	ID      string
	Method  string
	URI     string // path and query
	Host    string
	Headers [][2]string // further ones
	Body    []byte
}

// Send starts an attempt.
func (p *Request) Send(to dispatch.Target, tell dispatch.AttemptObserver) dispatch.Attempt {
	ctx, cancel := context.WithDeadline(context.Background(), to.Until)
	a := &attempt{req: p, to: to, observer: tell, ctx: ctx, cancel: cancel, startedAt: time.Now()}
	go a.run()
	return a
}

// attempt is one send. It goes through connecting, writing, waiting and, where an answer begins, streaming.
type attempt struct {
	req           *Request
	to            dispatch.Target
	observer      dispatch.AttemptObserver
	ctx           context.Context // ends at the attempt's time, or when it is given up
	cancel        context.CancelFunc
	c             *conn
	resp          fasthttp.Response
	stopInterrupt func() bool
	startedAt     time.Time

	mu             sync.Mutex
	deadlineLifted bool // the attempt is the client's: its time no longer runs
}

// interrupt wakes what waits on the connection.
func (a *attempt) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.deadlineLifted {
		_ = a.c.SetDeadline(time.Now().Add(-time.Second)) // on a connection that is closed there is none to wake
	}
}

// liftDeadline takes the attempt's time off its connection.
func (a *attempt) liftDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadlineLifted = true
	_ = a.c.SetDeadline(time.Time{}) // a failure shows in the next read
}

// Cancel gives the attempt up by closing its connection.
func (a *attempt) Cancel() { a.cancel() }

func (a *attempt) run() {
	res, stream := a.exchange()
	if stream != nil {
		a.observer.Began(stream) // its holder ends the attempt
		return
	}
	a.cancel()
	a.observer.Ended(res)
}

// exchange takes the attempt to its outcome, or to the first event of its answer.
func (a *attempt) exchange() (dispatch.Result, *stream) {
	c, err := a.req.Pool.get(a.ctx, a.to.Addr, a.to.NoReuse)
	if err != nil {
		return a.failure(logic.ConnectFailed, err), nil
	}
	a.c = c
	_ = c.SetDeadline(a.to.Until) // a failure shows in the write
	a.stopInterrupt = context.AfterFunc(a.ctx, a.interrupt)
	if err := a.write(); err != nil {
		a.dropConn()
		return a.failure(logic.ConnectFailed, err), nil // the last byte was not written: it can't have run
	}
	a.observer.Written()
	log.Printf("%s written to %s on %s", a.req.ID, a.to.Addr, c.age())
	if spoilt, err := a.readHead(); err != nil {
		return a.brokenAnswer(spoilt, err), nil
	}
	body := bodyReader(&a.resp.Header, c.br)
	if a.resp.StatusCode() != fasthttp.StatusOK {
		return a.readAnswer(body), nil
	}
	a.setReadTimeout(time.Until(a.to.Until))
	s := &stream{a: a, body: body, buf: make([]byte, piece)}
	if err = s.open(); err != nil {
		return a.brokenAnswer(true, err), nil
	}
	return dispatch.Result{}, s
}

// brokenAnswer is how an attempt ends whose answer did not come to its first event. Where something came of it, the
// replica has run it: it has taken the state, and what it said is no silenceTime.
func (a *attempt) brokenAnswer(came bool, err error) dispatch.Result {
	a.dropConn()
	if !came && time.Since(a.startedAt) > silenceTime {
		a.req.Pool.closeSuspects(a.to.Addr, a.startedAt)
	}
	res := a.failure(logic.ConnectionLost, err)
	if came && res.Outcome != logic.Cancelled {
		res.Outcome, res.NoState = logic.ConnectionLost, true
	}
	return res
}

// write sends the request. Without an error the last byte has been handed to the network.
func (a *attempt) write() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(a.req.Method)
	req.Header.SetRequestURI(a.req.URI) // as it is: a parsed one would be normalized and take the host's place
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

// sendGuard stands right before the first byte of an attempt leaves: it asks for leave, and whether the attempt has been given up since.
type sendGuard struct {
	net.Conn
	ctx        context.Context
	beforeSend func() error
	passed     bool
}

var errSendNotAllowed = errors.New("no leave to send")

func (f *sendGuard) Write(p []byte) (int, error) {
	if !f.passed {
		if err := f.ctx.Err(); err != nil {
			return 0, errors.Join(errSendNotAllowed, err)
		}
		if f.beforeSend != nil {
			if err := f.beforeSend(); err != nil {
				return 0, errors.Join(errSendNotAllowed, err)
			}
		}
		f.passed = true
	}
	return f.Conn.Write(p)
}

// failure says how an attempt ended that brought no answer: what broke, or that its time was over. What never
// left for reasons of our own tells nothing of the replica.
func (a *attempt) failure(as logic.Outcome, err error) dispatch.Result {
	switch {
	case as == logic.ConnectFailed && (a.ctx.Err() != nil || localShortage(err) || errors.Is(err, errSendNotAllowed)):
		as = logic.NotSent
	case as == logic.ConnectFailed:
	case errors.Is(a.ctx.Err(), context.Canceled):
		as = logic.Cancelled
	case a.ctx.Err() != nil || isTimeout(err):
		as = logic.TimedOut
	}
	return dispatch.Result{Outcome: as, NoLease: errors.Is(err, dispatch.ErrNoLease), ClientGone: errors.Is(err, dispatch.ErrClientGone), Detail: err.Error()}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &t) && t.Timeout()
}

// readAnswer reads an answer that is no stream and gives back the connection.
func (a *attempt) readAnswer(body io.Reader) dispatch.Result {
	status := a.resp.StatusCode()
	res := dispatch.Result{Outcome: logic.ServerError, Detail: strconv.Itoa(status)}
	never := string(a.resp.Header.Peek(headerNeverRan)) == "1"
	switch {
	case status == fasthttp.StatusAccepted:
		res.Outcome = logic.ReadDone
	case status == fasthttp.StatusGone && never:
		res.Outcome, res.NoState = logic.Full, true
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) && never:
		res.Outcome = logic.Full
	}
	text, err := io.ReadAll(io.LimitReader(body, maxSmallAnswer))
	if res.Outcome == logic.ReadDone && err == nil {
		var read struct {
			CachedTokens int64 `json:"cached_tokens"`
		}
		if jsoniter.Unmarshal(text, &read) == nil { // without the count nothing was found kept
			res.Tokens = read.CachedTokens
		}
	}
	a.releaseConn(err == nil && len(text) < maxSmallAnswer)
	return res
}

// releaseConn ends the attempt's use of its connection. A connection is used again only if its answer was read to
// the end and neither side wants it closed.
func (a *attempt) releaseConn(whole bool) {
	if whole && a.stopInterrupt() && !a.resp.ConnectionClose() {
		a.req.Pool.put(a.c)
		return
	}
	a.dropConn()
}

func (a *attempt) dropConn() {
	a.stopInterrupt()
	a.req.Pool.drop(a.c)
}

// stream is an answer that has begun.
type stream struct {
	a       *attempt
	body    io.Reader
	buf     []byte
	pending int // bytes of buf that were read already
	err     error

	mu    sync.Mutex
	ended bool
}

// open reads the answer up to the end of its first event, which may come in pieces. Until then nothing is passed on: one that breaks off
// sooner is no answer.
func (s *stream) open() error {
	if _, err := s.a.c.br.Peek(1); err != nil {
		return err
	}
	s.a.setReadTimeout(headTimeout)
	for s.pending < len(s.buf) && !hasEvent(s.buf[:s.pending]) {
		n, err := s.body.Read(s.buf[s.pending:])
		s.pending += n
		if err == io.EOF && s.pending > 0 { // all that there is
			s.err = err
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

var errStalled = errors.New("no event for too long")

// Next gives the next bytes as they come. A live stream is never cut: only silenceTime ends it.
func (s *stream) Next() ([]byte, error) {
	if s.pending > 0 {
		n := s.pending
		s.pending = 0
		s.a.liftDeadline()
		return s.buf[:n], nil
	}
	if s.err == nil {
		var n int
		_ = s.a.c.SetReadDeadline(time.Now().Add(s.a.req.Pool.StallTimeout)) // a failure shows in the read
		n, s.err = s.body.Read(s.buf)
		if n > 0 {
			return s.buf[:n], nil
		}
	}
	if s.err == io.EOF {
		s.end(dispatch.Result{Outcome: logic.Delivered}, true)
		return nil, io.EOF
	}
	err := s.err
	if isTimeout(err) {
		err = errStalled
	}
	s.end(dispatch.Result{Outcome: logic.ConnectionLost, Detail: err.Error()}, false)
	return nil, err
}

// Close gives up a stream that is not read to its end.
func (s *stream) Close() {
	s.end(dispatch.Result{Outcome: logic.Cancelled, Detail: "stream closed"}, false)
}

func (s *stream) end(res dispatch.Result, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	if whole && !s.a.resp.ConnectionClose() {
		s.a.stopInterrupt()
		s.a.req.Pool.put(s.a.c)
	} else {
		s.a.dropConn()
	}
	s.a.cancel()
	s.a.observer.Ended(res)
}
