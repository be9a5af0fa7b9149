// Package front holds what the fronts share: the listener, the connection limiter, the detection of
// clients that close their connection, and the relay of a stream. The protocols are in its
// subpackages.
package front

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
)

// Conn is a client's connection. fasthttp does not notice that a client closes the connection while
// a handler runs; WatchClose does.
type Conn struct {
	net.Conn
	lastRead time.Time // when data was last received
	ahead    readAhead
	head     headLines

	limiter      *ConnLimiter
	listener     *Listener     // owner of the connection; guarded by the limiter
	idleElem     *list.Element // position in the idle list; guarded by the limiter
	idleSince    time.Time     // when it was put there; guarded by the limiter
	requestBegun bool          // bytes of a request were read since the last response; guarded by the limiter
	served       bool          // a request was answered on it; guarded by the limiter
	removed      bool          // its slot was freed; guarded by the limiter

	bodyElem  *list.Element // position in the list of bodies being read; guarded by the limiter
	bodyBytes int           // bytes reserved for that body

	aheadBytes int // bytes reserved for data that was read ahead; guarded by the limiter
}

const (
	lingerTimeout  = time.Second
	lingerMaxBytes = 4 << 20
)

// Close ends the connection. The response must reach the client, so the write side is closed first
// and data that the client still sends is read: closing with unread data would send a reset, which
// could destroy the response.
func (c *Conn) Close() error {
	if c.requestHasBegun() {
		c.markIdle(true) // may be evicted while it lingers
		linger(c.Conn)
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.removeAndClose(c)
	return nil
}

// linger closes the write side and discards incoming data until the client closes the connection,
// for a bounded time and number of bytes.
func linger(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // if it fails, so does the read
		_ = t.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, t, lingerMaxBytes) // only waits for the client's close
	}
}

// Read returns the data that was read ahead before it reads from the connection. It returns no more
// than maxHeaderFields lines at once: the server parses the part of a header that comes with the
// first read before the rest has arrived, and keeps what it has parsed while it waits.
func (c *Conn) Read(p []byte) (int, error) {
	if c.head.areTooMany() {
		return 0, errTooManyFields
	}
	if c.ahead.hasData() {
		n, lines := c.takeAhead(p)
		c.head.count += lines
		return n, nil
	}
	n, err := c.readNetwork(p)
	end, lines := cutLines(p[:n])
	c.head.count += lines
	if end < n {
		c.ahead.put(p[end:n])
	}
	return end, err
}

// headLines counts the lines that the server has read of a request whose header is not complete. A
// header of too many fields is not read to its end, as it would be parsed then.
type headLines struct {
	expected bool // the server reads a header
	count    int
}

func (h *headLines) areTooMany() bool { return h.expected && h.count > maxHeaderFields }

// cutLines returns how much of a text the server may get at once, and how many lines that are.
func cutLines(text []byte) (end, lines int) {
	for lines < maxHeaderFields {
		length := bytes.IndexByte(text[end:], '\n') + 1
		if length == 0 {
			return len(text), lines
		}
		end += length
		lines++
	}
	return end, lines
}

// readNetwork reads from the connection, of which nothing is left that was read ahead.
func (c *Conn) readNetwork(p []byte) (int, error) {
	if c.ahead.isOverrun() {
		return 0, c.endOverrun()
	}
	if !c.requestHasBegun() {
		return c.readFirst(p)
	}
	n, err := c.Conn.Read(p)
	c.recordRead(n)
	return n, err
}

// readFirst reads the first bytes of a request. Whoever closes an idle connection must know whether
// a request was read from it, because from then on the client is owed a response. So the bytes are
// read and requestBegun is set in one step, under the limiter's lock. If the idle timeout expires
// just as a request arrives, the request is read.
func (c *Conn) readFirst(p []byte) (n int, err error) {
	raw, err := c.descriptor()
	switch {
	case err != nil:
		return 0, err
	case raw == nil:
		n, err = c.Conn.Read(p)
		c.recordRead(n)
		return n, err
	}
	for {
		waitErr := raw.Read(func(fd uintptr) (ready bool) { return readable(int(fd)) })
		if waitErr != nil && !errors.Is(waitErr, os.ErrDeadlineExceeded) {
			return 0, waitErr
		}
		n, err = c.readRequestStart(raw, p)
		c.recordRead(n)
		switch {
		case err != syscall.EAGAIN && err != syscall.EINTR:
			return n, err
		case waitErr != nil:
			return 0, waitErr
		}
	}
}

// descriptor returns access to the connection's descriptor, or nil if it has none. Each connection
// that a Port accepts has one.
func (c *Conn) descriptor() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, nil
}

// readable reports whether a read would return without blocking.
func readable(fd int) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// readRequestStart reads the available bytes without blocking and records that a request has begun.
// It returns an error if the connection was closed. The limiter is locked before the descriptor is
// held, because a close under that lock waits until nobody holds the descriptor.
func (c *Conn) readRequestStart(raw syscall.RawConn, p []byte) (n int, err error) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.removed {
		return 0, net.ErrClosed
	}
	controlErr := raw.Control(func(fd uintptr) { n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) })
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	c.requestBegun = true
	return n, nil
}

// hasUnread reports whether data has arrived that was not read yet.
func (c *Conn) hasUnread() (unread bool) {
	c.inspectFD(func(fd int) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0 && err == nil
		return false
	})
	return unread
}

// inspectFD calls check with the connection's descriptor, without blocking. It reports whether the
// result, or the state of the descriptor itself, shows that the client has closed the connection.
func (c *Conn) inspectFD(check func(fd int) bool) (closed bool) {
	raw, err := c.descriptor()
	if err != nil || raw == nil {
		return err != nil
	}
	_ = raw.Control(func(fd uintptr) { closed = check(int(fd)) })
	return closed
}

// readNonblocking reads the data that has already arrived. It also reports whether the client has
// closed the connection.
func (c *Conn) readNonblocking(p []byte) (n int, closed bool) {
	closed = c.inspectFD(func(fd int) bool {
		var err error
		n, _, err = syscall.Recvfrom(fd, p, syscall.MSG_DONTWAIT)
		return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	c.recordRead(n)
	return max(n, 0), closed
}

// recordRead records the time at which data was read from the client.
func (c *Conn) recordRead(n int) {
	if n > 0 {
		c.lastRead = time.Now()
	}
}

// ReceivedAt returns an upper bound of the time at which the last byte of the current request
// arrived: the request may have waited behind the one before it. The client's time limit runs from
// then.
func ReceivedAt(ctx *fasthttp.RequestCtx) time.Time {
	if c, ok := ctx.Conn().(*Conn); ok && !c.lastRead.IsZero() {
		return c.lastRead
	}
	return time.Now()
}

// ClientGone returns a function that reports whether the client of a request has closed its
// connection. The function is safe for concurrent use.
func ClientGone(ctx *fasthttp.RequestCtx) func() bool {
	if c, ok := ctx.Conn().(*Conn); ok {
		return c.hungUp
	}
	return nil
}

// EndWithoutResponse closes the connection of a request whose client has gone. The client may still
// be reading, if it has only ended its sending. It must not take the server's default response,
// which is 200, for an answer.
func EndWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	_ = ctx.Conn().Close() // the server's write of the response fails
}

// Write sets a new deadline for each write: a stream may last long, but a client that accepts no
// data until the deadline is considered gone.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// AwaitAnswer waits for the answer to a ticket. If the client closes the connection meanwhile, the
// request ends. While a stream is relayed, the connection is watched until stop is called. The
// header of the request is not available any more.
func AwaitAnswer(ctx *fasthttp.RequestCtx, t *dispatch.Ticket) (a dispatch.Answer, stop func()) {
	stop = func() {}
	clientClosed := make(chan struct{})
	releaseHeader(ctx)
	if c, ok := ctx.Conn().(*Conn); ok {
		c.releaseBody() // the core has it by now
		stop = c.WatchClose(func() { close(clientClosed) })
	}
	select {
	case a = <-t.Answer():
	case <-clientClosed:
		t.Abandon()
		a = <-t.Answer()
	}
	if a.Stream == nil {
		stop()
		t.Finish()
		return a, stop
	}
	s := a.Stream
	// A client's close during the stream closes the stream, also while no event arrives.
	go func() {
		select {
		case <-clientClosed:
			s.Close()
		case <-t.Finished():
		}
	}()
	return a, stop
}

// StreamBody relays a stream as fasthttp reads it: each piece is flushed as it arrives. If the
// stream breaks off, Read returns an error and fasthttp closes the connection without the last
// chunk.
type StreamBody struct {
	Stream    dispatch.Stream
	Ticket    *dispatch.Ticket
	StopWatch func() // stops watching for the client's close
	pending   []byte
}

func (b *StreamBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		piece, err := b.Stream.Next()
		if err != nil {
			return 0, err
		}
		b.pending = piece
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close is called by fasthttp after the response was written or has failed.
func (b *StreamBody) Close() error {
	b.StopWatch()
	b.Stream.Close()
	b.Ticket.Finish()
	return nil
}

// DiscardLogger drops fasthttp's log lines about closed connections: the core counts the outcomes.
type DiscardLogger struct{}

// Printf drops a line.
func (DiscardLogger) Printf(string, ...any) {}

// Handler answers a request. It owns body, because attempts may outlive the handler.
type Handler func(ctx *fasthttp.RequestCtx, body []byte)

// readBody reads the body of a request within the limiter's bound. fasthttp itself would allocate
// as much as the header announces, whatever arrives. The body counts until releaseBody.
func (c *Conn) readBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, error) {
	stream, size := ctx.RequestBodyStream(), ctx.Request.Header.ContentLength()
	switch {
	case stream == nil:
		return nil, nil
	case size > limit:
		return nil, fasthttp.ErrBodyTooLarge
	}
	defer c.endReceiving()
	if size >= 0 {
		if !c.reserveBody(size) {
			return nil, net.ErrClosed
		}
		body := make([]byte, size)
		_, err := io.ReadFull(stream, body)
		return body, err
	}
	var body []byte
	for {
		if oldCap := cap(body); len(body) == oldCap { // chunked: the size is unknown
			body = slices.Grow(body, bodyGrowStep)
			if !c.reserveBody(cap(body) - oldCap) {
				return nil, net.ErrClosed
			}
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, fasthttp.ErrBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// NewServer returns the server of a front with its limits. Requests that can't be parsed are
// answered by refuse. While the program shuts down, or once the connection's Listener is retired,
// each response is the last on its connection.
func NewServer(core *dispatch.Dispatcher, handler Handler, refuse func(ctx *fasthttp.RequestCtx, status int, text string),
	maxBody int) *fasthttp.Server {
	reject := func(ctx *fasthttp.RequestCtx, cause dispatch.Cause, status int, text string) {
		if c, ok := ctx.Conn().(*Conn); ok {
			c.limiter.ReportClose(cause, c)
		}
		refuse(ctx, status, text)
		ctx.SetConnectionClose()
	}
	handleReadError := func(ctx *fasthttp.RequestCtx, err error) {
		var headerErr *fasthttp.ErrSmallBuffer
		switch {
		case errors.Is(err, net.ErrClosed): // evicted and answered before
			refuse(ctx, fasthttp.StatusBadRequest, "the connection is closed")
		case errors.Is(err, errOverrun):
			reject(ctx, Overrun, fasthttp.StatusBadGateway, errOverrun.Error())
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			reject(ctx, TooLarge, fasthttp.StatusRequestEntityTooLarge, "the body is too large")
		case errors.Is(err, errTooManyFields):
			reject(ctx, TooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge, errTooManyFields.Error())
		case errors.As(err, &headerErr):
			reject(ctx, TooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large")
		case isTimeout(err):
			reject(ctx, RequestLate, fasthttp.StatusRequestTimeout, "the request did not come in time")
		default:
			reject(ctx, Malformed, fasthttp.StatusBadRequest, "malformed request")
		}
	}
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			c := ctx.Conn().(*Conn)
			c.head = headLines{}
			if hasTooManyFields(ctx.Request.Header.RawHeaders()) {
				releaseHeader(ctx)
				reject(ctx, TooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge, errTooManyFields.Error())
				return
			}
			if err := checkFraming(ctx.Request.Header.RawHeaders()); err != nil {
				reject(ctx, Malformed, fasthttp.StatusBadRequest, "malformed request: "+err.Error())
				return
			}
			defer c.releaseBody()
			body, err := c.readBody(ctx, maxBody)
			if err != nil {
				handleReadError(ctx, err)
				return
			}
			if !c.markBusy() || c.ClientClosed() {
				EndWithoutResponse(ctx) // the client has gone, or the connection was evicted
				return
			}
			handler(ctx, body)
			// Requests that were read ahead are answered first.
			if (!core.Phases.KeepAlive() || c.isRetired() || c.ahead.isOverrun()) && !c.ahead.hasData() {
				ctx.SetConnectionClose()
			}
		},
		ConnState: func(netConn net.Conn, s fasthttp.ConnState) {
			c, ok := netConn.(*Conn)
			if !ok || s != fasthttp.StateActive && s != fasthttp.StateIdle {
				return
			}
			c.head = headLines{expected: s == fasthttp.StateActive}
			if c.markIdle(s == fasthttp.StateActive) {
				_ = c.Close() // the server's next read fails
			}
		},
		Concurrency: maxConns, StreamRequestBody: true, MaxRequestBodySize: bodyPrefetch, ReadTimeout: readTimeout,
		ReduceMemoryUsage: true, // also flushes each response before the next request is read
		IdleTimeout:       idleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: DiscardLogger{}, CloseOnShutdown: true, ReadBufferSize: 8 << 10, WriteBufferSize: 4 << 10,
		ErrorHandler: handleReadError,
	}
}

const (
	// A client is owed a response or a close within 3 s of connecting, also if it sends nothing or
	// half of a request.
	readTimeout  = 2500 * time.Millisecond // for a request, from connecting or its first byte to its last
	idleTimeout  = 10 * time.Second        // between requests; shorter if the slot is needed
	writeTimeout = 15 * time.Second        // a client that accepts no data for so long is considered gone
	maxConns     = 1 << 14                 // for fasthttp; ConnLimiter sets the actual limit
	bodyPrefetch = 1                       // bytes that fasthttp reads itself; readBody reads the rest
	bodyGrowStep = 16 << 10                // allocation step for chunked bodies
)
