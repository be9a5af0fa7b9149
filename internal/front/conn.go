// Package front holds what the fronts have in common: the listener, a watch for clients that leave, and the
// relay of a stream. The wires themselves are in its subpackages.
package front

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"standpulley/internal/dispatch"
)

// Conn is a client's connection. fasthttp does not notice a client that leaves while a handler runs; Watch does.
type Conn struct {
	net.Conn
	lastRead  time.Time // when bytes last came
	readAhead []byte    // what came behind the request that is being answered, and was read while its client was watched

	limiter      *ConnLimiter
	listener     *Listener     // that has it, guarded by the gate
	idleElem     *list.Element // among the waiting, guarded by the gate
	idleSince    time.Time     // it has been among them since, guarded by the gate
	requestBegun bool          // bytes of a request were read since the last answer, guarded by the gate
	served       bool          // a request was answered on it, guarded by the gate
	removed      bool          // guarded by the gate

	bodyElem  *list.Element // among those that read a body, guarded by the gate
	bodyBytes int           // bytes of it
}

const (
	lingerTimeout  = time.Second
	lingerMaxBytes = 4 << 20
	// So much of what a client sends behind its request is read to find out whether it leaves. Behind more than that the machine is asked.
	maxReadAhead       = 16 << 10
	readAheadStep      = 512
	hangupPollInterval = 40 * time.Millisecond // a client that has left is noticed within 100
)

// Close ends the connection. What was just answered has to reach the client, so it is told of the end first, and what it still sends is
// read: closing over unread bytes would reset the connection, and the answer might go with it.
func (c *Conn) Close() error {
	if c.requestHasBegun() {
		c.markIdle(true) // it may be closed sooner where its place is wanted
		linger(c.Conn)
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.removeAndClose(c)
	return nil
}

// linger reads for a while what nobody wants.
func linger(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // if it fails, so does the read
		_ = t.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, t, lingerMaxBytes) // its end is the point
	}
}

// Read gives back first what a watch has read.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.readAhead) > 0 && len(p) > 0 {
		n := copy(p, c.readAhead)
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.readAhead = nil
		}
		return n, nil
	}
	if !c.requestHasBegun() {
		return c.readFirst(p)
	}
	n, err := c.Conn.Read(p)
	c.recordRead(n)
	return n, err
}

// readFirst reads the first bytes of a request. Whoever ends a resting connection must know whether a request on it was read: it is owed
// an answer from then on. So the bytes are read and that is noted in one step, under the gate's lock. Where the time of a resting
// connection is over just as a request comes, it has come.
func (c *Conn) readFirst(p []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		n, err = c.Conn.Read(p)
		c.recordRead(n)
		return n, err
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	for {
		waited := raw.Read(func(fd uintptr) (come bool) { return readable(int(fd)) })
		if waited != nil && !errors.Is(waited, os.ErrDeadlineExceeded) {
			return 0, waited
		}
		n, err = c.readRequestStart(raw, p)
		c.recordRead(n)
		switch {
		case err != syscall.EAGAIN && err != syscall.EINTR:
			return n, err
		case waited != nil:
			return 0, waited
		}
	}
}

// peeked tells whether a read would not have to wait.
func readable(fd int) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// take reads what has come, without waiting, and notes that a request has begun. A connection that was ended gives nothing. The gate is
// locked before the descriptor is held, as whoever closes it waits under the lock until nobody holds it.
func (c *Conn) readRequestStart(raw syscall.RawConn, p []byte) (n int, err error) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.removed {
		return 0, net.ErrClosed
	}
	held := raw.Control(func(fd uintptr) { n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) })
	switch {
	case held != nil:
		return 0, held
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	c.requestBegun = true
	return n, nil
}

// waits tells whether bytes have come that nobody has read.
func (c *Conn) hasUnread() (some bool) {
	c.inspectFD(func(fd int) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = n > 0 && err == nil
		return false
	})
	return some
}

// look lets a client's descriptor be looked at, without waiting. It tells whether that, or the descriptor itself, shows that the client has
// ended the connection.
func (c *Conn) inspectFD(ended func(fd int) bool) (end bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) { end = ended(int(fd)) })
	return end
}

// arrived reads what has come already, without waiting. It tells whether the client has ended the connection.
func (c *Conn) readNonblocking(p []byte) (n int, end bool) {
	end = c.inspectFD(func(fd int) bool {
		var err error
		n, _, err = syscall.Recvfrom(fd, p, syscall.MSG_DONTWAIT)
		return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	c.recordRead(n)
	return max(n, 0), end
}

// came notes when bytes were read from the client.
func (c *Conn) recordRead(n int) {
	if n > 0 {
		c.lastRead = time.Now()
	}
}

// ClientClosed tells whether the client has ended the connection, whatever it sent before that. Nothing else may read meanwhile.
func (c *Conn) ClientClosed() bool {
	for len(c.readAhead) < maxReadAhead {
		n, end := c.readNonblocking(c.readAheadSpace())
		c.readAhead = c.readAhead[:len(c.readAhead)+n]
		if end || n == 0 {
			return end
		}
	}
	return c.hungUp()
}

// ReceivedAt is when the last byte of the request that is being answered came, at the latest: it may have waited behind the one before. Its
// client's time runs from then.
func ReceivedAt(ctx *fasthttp.RequestCtx) time.Time {
	if c, ok := ctx.Conn().(*Conn); ok && !c.lastRead.IsZero() {
		return c.lastRead
	}
	return time.Now()
}

// ClientGone gives what tells whether the client of a request has ended its connection. It may be asked from any goroutine.
func ClientGone(ctx *fasthttp.RequestCtx) func() bool {
	if c, ok := ctx.Conn().(*Conn); ok {
		return c.hungUp
	}
	return nil
}

// hungUp tells whether the machine has heard that the client has ended the connection, whatever it sent before that and is not read yet.
func (c *Conn) hungUp() bool {
	return c.inspectFD(func(fd int) bool {
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(ask, 0)
		return err == nil && n > 0 && ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
}

// room gives space behind what was read ahead.
func (c *Conn) readAheadSpace() []byte {
	if cap(c.readAhead) == len(c.readAhead) {
		c.readAhead = slices.Grow(c.readAhead, max(len(c.readAhead), readAheadStep))
	}
	return c.readAhead[len(c.readAhead):min(cap(c.readAhead), maxReadAhead)]
}

// Write gives each write a time of its own: a stream may go on for long, but a client that takes nothing has gone.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// WatchClose calls gone once if the client ends the connection before stop is called. Nothing else may read the
// connection in between. After stop has returned, gone is not called any more.
func (c *Conn) WatchClose(gone func()) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex                       // held while it is found out whether it is too late
	_ = c.Conn.SetReadDeadline(time.Time{}) // the server's, for the request that has been read
	go func() {
		defer close(done)
		for {
			left := false
			if len(c.readAhead) < maxReadAhead {
				n, err := c.Conn.Read(c.readAheadSpace())
				c.recordRead(n)
				c.readAhead = c.readAhead[:len(c.readAhead)+n]
				left = err != nil
			} else if left = c.hungUp(); !left {
				select {
				case <-stopped:
				case <-time.After(hangupPollInterval):
				}
			}
			mu.Lock()
			select {
			case <-stopped:
				mu.Unlock()
				return
			default:
			}
			if left {
				gone()
			}
			mu.Unlock()
			if left {
				return
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			mu.Lock()
			close(stopped)
			mu.Unlock()
			_ = c.Conn.SetReadDeadline(time.Now().Add(-time.Second)) // wakes the read
			<-done
			_ = c.Conn.SetReadDeadline(time.Time{})
		})
	}
}

// AwaitAnswer waits for the answer to a ticket. A client that leaves meanwhile ends the request. While a stream is
// relayed the watch goes on until stop is called.
func AwaitAnswer(ctx *fasthttp.RequestCtx, t *dispatch.Ticket) (a dispatch.Answer, stop func()) {
	stop = func() {}
	left := make(chan struct{})
	if c, ok := ctx.Conn().(*Conn); ok {
		stop = c.WatchClose(func() { close(left) })
	}
	select {
	case a = <-t.Answer():
	case <-left:
		t.Abandon()
		a = <-t.Answer()
	}
	if a.Stream == nil {
		stop()
		t.Finish()
		return a, stop
	}
	s := a.Stream
	go func() { // a client that leaves during the stream closes it, also while no event comes
		select {
		case <-left:
			s.Close()
		case <-t.Finished():
		}
	}()
	return a, stop
}

// StreamBody relays a stream as fasthttp reads it: each piece is flushed as it comes. If the stream is not whole, Read
// returns an error and fasthttp closes the connection without the last chunk.
type StreamBody struct {
	Stream    dispatch.Stream
	Ticket    *dispatch.Ticket
	StopWatch func() // ends the watch
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

// Close is called by fasthttp when the answer is written, or can't be.
func (b *StreamBody) Close() error {
	b.StopWatch()
	b.Stream.Close()
	b.Ticket.Finish()
	return nil
}

// DiscardLogger drops fasthttp's lines on connections that ended: the core's book has the outcomes.
type DiscardLogger struct{}

// Printf drops a line.
func (DiscardLogger) Printf(string, ...any) {}

// Handler answers a request, whose body is its own: attempts may outlive it.
type Handler func(ctx *fasthttp.RequestCtx, body []byte)

// readBody reads the readBody of a request within the gate's bound. fasthttp by itself would make room for as much as a head
// says, whatever comes.
func (c *Conn) readBody(ctx *fasthttp.RequestCtx, most int) ([]byte, error) {
	stream, size := ctx.RequestBodyStream(), ctx.Request.Header.ContentLength()
	switch {
	case stream == nil:
		return nil, nil
	case size > most:
		return nil, fasthttp.ErrBodyTooLarge
	}
	defer c.releaseBody()
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
		if had := cap(body); len(body) == had { // in chunks: who knows how many
			body = slices.Grow(body, bodyGrowStep)
			if !c.reserveBody(cap(body) - had) {
				return nil, net.ErrClosed
			}
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > most:
			return nil, fasthttp.ErrBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// NewServer makes the server of a front within its bounds. What can't be read as a request is answered by refuse.
// While the program leaves, each answer is the last on its connection.
func NewServer(core *dispatch.Dispatcher, handler Handler, refuse func(ctx *fasthttp.RequestCtx, status int, text string),
	maxBody int) *fasthttp.Server {
	handleReadError := func(ctx *fasthttp.RequestCtx, err error) {
		var small *fasthttp.ErrSmallBuffer
		var late net.Error
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			refuse(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is too large")
		case errors.As(err, &small):
			refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large")
		case errors.As(err, &late) && late.Timeout():
			refuse(ctx, fasthttp.StatusRequestTimeout, "the request did not come in time")
		default:
			refuse(ctx, fasthttp.StatusBadRequest, "malformed request")
		}
	}
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			c := ctx.Conn().(*Conn)
			if err := checkFraming(ctx.Request.Header.RawHeaders()); err != nil {
				refuse(ctx, fasthttp.StatusBadRequest, "malformed request: "+err.Error())
				ctx.SetConnectionClose()
				return
			}
			body, err := c.readBody(ctx, maxBody)
			if err != nil {
				handleReadError(ctx, err)
				ctx.SetConnectionClose()
				return
			}
			if !c.markBusy() || c.ClientClosed() {
				ctx.SetConnectionClose() // nobody hears it
				return
			}
			handler(ctx, body)
			if !core.Phases.KeepAlive() && len(c.readAhead) == 0 { // what was read behind it is owed an answer too
				ctx.SetConnectionClose()
			}
		},
		ConnState: func(c net.Conn, s fasthttp.ConnState) {
			if c, ok := c.(*Conn); ok && (s == fasthttp.StateActive || s == fasthttp.StateIdle) && c.markIdle(s == fasthttp.StateActive) {
				_ = c.Close() // the server finds out
			}
		},
		Concurrency: maxConns, StreamRequestBody: true, MaxRequestBodySize: bodyPrefetch, ReadTimeout: readTimeout,
		ReduceMemoryUsage: true, // also: no answer waits for the request behind it
		IdleTimeout:       idleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: DiscardLogger{}, CloseOnShutdown: true, ReadBufferSize: 8 << 10, WriteBufferSize: 4 << 10,
		ErrorHandler: handleReadError,
	}
}

const (
	// An answer or a close is owed within 3 s of connecting, also to a client that says nothing or half of a request.
	readTimeout  = 2500 * time.Millisecond // for a request, from connecting or its first byte to its last
	idleTimeout  = 10 * time.Second        // between requests; sooner where the place is wanted
	writeTimeout = 15 * time.Second        // a client that takes nothing for so long has gone
	maxConns     = 1 << 14                 // the gate bounds them
	bodyPrefetch = 1                       // byte of a body that fasthttp reads itself; the rest is for Conn.body
	bodyGrowStep = 16 << 10                // of a body in chunks, the room that is made at once
)
