package front

import (
	"container/list"
	"io"
	"net"
	"sync"
	"time"

	"standpulley/internal/dispatch"
)

// ConnLimiter bounds the number of client connections over all fronts together. When the limit is
// reached, a new connection evicts the one that has been without an open request for the longest
// time: many clients keep their connection open without using it again, or send nothing at all, and
// they must not block other clients.
type ConnLimiter struct {
	mu          sync.Mutex
	maxConns    int
	open        int
	idle        list.List // *Conn without an open request, longest idle first
	lingering   int       // rejected connections that are not closed yet
	noKeepAlive bool      // close connections after each response

	// OnClose is called, with the limiter locked, for each connection that is closed before its
	// client closes it; may be nil.
	OnClose func(cause dispatch.Cause, client string)

	maxBodyBytes int
	bodyBytes    int       // bytes reserved for request bodies that are being read
	aheadBytes   int       // bytes reserved for data that was read ahead
	receiving    list.List // *Conn whose request body is being read, oldest first
}

// Use is what the connections of all clients take at present.
type Use struct {
	Connections int
	BodyBytes   int // of bodies that the core does not have yet
	AheadBytes  int // read ahead, beyond what each connection may keep
}

// Use returns what the connections of all clients take at present.
func (cl *ConnLimiter) Use() Use {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return Use{cl.open, cl.bodyBytes, cl.aheadBytes}
}

// Causes for closing a client's connection.
const (
	Evicted      dispatch.Cause = "evicted"       // another client needed the slot
	EvictedBegun dispatch.Cause = "evicted_begun" // the same while a request was arriving; answered 502
	NoPlace      dispatch.Cause = "no_place"      // new, but every slot had an open request; answered 502
	SentAway     dispatch.Cause = "sent_away"     // operators drain the dispatcher of its clients
	Leaving      dispatch.Cause = "leaving"       // its server shuts down and no request was on the connection
	Malformed    dispatch.Cause = "malformed"     // the request can't be read; answered 400
	TooLarge     dispatch.Cause = "too_large"     // the header or the body is too large; answered 431 or 413
	RequestLate  dispatch.Cause = "request_late"  // the request was not whole in time; answered 408
	Overrun      dispatch.Cause = "overrun"       // too much was sent behind a request; answered 502
)

// ReportClose calls OnClose for a connection that ends with an error response.
func (cl *ConnLimiter) ReportClose(cause dispatch.Cause, c net.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.reportClose(cause, c)
}

// reportClose calls OnClose. The limiter is locked.
func (cl *ConnLimiter) reportClose(cause dispatch.Cause, c net.Conn) {
	if cl.OnClose != nil {
		cl.OnClose(cause, c.RemoteAddr().String())
	}
}

const (
	// maxLingering bounds the rejected connections that are read until their client closes them, so
	// that data still in flight does not reset the connection and destroy the response.
	maxLingering = 8
	// The response fits into the send buffer of a connection on which nothing was sent yet.
	rejectWriteTimeout = 10 * time.Millisecond
	// The request has not been read. It may ask for the rest of an answer whose request has already
	// run, so the response is 502 and not 503, which would tell the client that a retry is harmless.
	rejectResponse = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// NewConnLimiter returns a limiter for at most maxConns connections and maxBodyBytes bytes of
// request bodies that are being read.
func NewConnLimiter(maxConns, maxBodyBytes int) *ConnLimiter {
	return &ConnLimiter{maxConns: maxConns, maxBodyBytes: maxBodyBytes}
}

// SetLimits changes the limits. Connections that are already open stay open.
func (cl *ConnLimiter) SetLimits(maxConns, maxBodyBytes int) {
	cl.mu.Lock()
	cl.maxConns, cl.maxBodyBytes = maxConns, maxBodyBytes
	cl.mu.Unlock()
}

// admit accepts a connection, evicting an idle one if necessary. It returns nil if every other
// connection has an open request; the client has then been answered with 502.
func (cl *ConnLimiter) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, limiter: cl}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for cl.open >= cl.maxConns && cl.idle.Len() > 0 {
		cl.evict(cl.longestIdle())
	}
	if cl.open < cl.maxConns {
		cl.open++
		c.enqueueIdle()
		return c
	}
	cl.reportClose(NoPlace, conn)
	cl.reject(conn)
	return nil
}

// evict closes a connection to make room for another. A request may have begun to arrive on it, or
// may have arrived completely by now; then the client is answered with 502. Only a connection that
// has served a request and has no sign of a further one is closed without a response. The limiter
// is locked.
func (cl *ConnLimiter) evict(c *Conn) {
	if c.served && !c.requestBegun && !c.hasUnread() {
		cl.reportClose(Evicted, c.Conn)
		cl.removeAndClose(c)
		return
	}
	if cl.remove(c) {
		cl.reportClose(EvictedBegun, c.Conn)
		cl.reject(c.Conn)
	}
}

// reject answers a client whose request will not be read, and closes its connection. The limiter is
// locked, so nothing here blocks.
func (cl *ConnLimiter) reject(tcp net.Conn) {
	_ = tcp.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_, _ = io.WriteString(tcp, rejectResponse) // a client that can't receive it has gone
	if t, ok := tcp.(*net.TCPConn); ok {
		_ = t.CloseWrite() // the response must be the last data on the connection
	}
	if cl.lingering >= maxLingering {
		discardReceived(tcp)
		_ = tcp.Close()
		return
	}
	cl.lingering++
	go func() {
		linger(tcp)
		_ = tcp.Close()
		cl.mu.Lock()
		cl.lingering--
		cl.mu.Unlock()
	}()
}

// discardReceived reads, without blocking, the data that has arrived on a connection: closing it
// with unread data would send a reset, which could destroy the response.
func discardReceived(tcp net.Conn) {
	c := Conn{Conn: tcp}
	var piece [4 << 10]byte
	for range lingerMaxBytes / len(piece) {
		if n, closed := c.readNonblocking(piece[:]); n == 0 || closed {
			return
		}
	}
}

// longestIdle returns the connection that has been idle for the longest time. One whose request has
// begun to arrive is returned only if there is no other. The limiter is locked, and the idle list
// is not empty.
func (cl *ConnLimiter) longestIdle() *Conn {
	for e := cl.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.requestBegun {
			return c
		}
	}
	return cl.idle.Front().Value.(*Conn)
}

// removeAndClose closes a connection and frees its slot. The limiter is locked.
func (cl *ConnLimiter) removeAndClose(c *Conn) {
	if cl.remove(c) {
		_ = c.Conn.Close() // its reader gets an error
	}
}

// remove frees the slot of a connection and reports whether it had one. The limiter is locked.
func (cl *ConnLimiter) remove(c *Conn) bool {
	if c.removed {
		return false
	}
	c.removed = true
	cl.open--
	if c.listener != nil {
		c.listener.openConns--
		c.listener = nil
	}
	if c.idleElem != nil {
		cl.idle.Remove(c.idleElem)
		c.idleElem = nil
	}
	c.releaseBodyLocked()
	cl.aheadBytes -= c.aheadBytes
	c.aheadBytes = 0
	return true
}

// aheadShare is the memory for data that is read ahead, as a share of that for request bodies. Both
// are reserved apart, so that neither takes the room of the other.
const aheadShare = 0.5

// reserveAhead makes the bytes that are reserved for a connection's data that was read ahead enough
// for so much data, and reports whether there was room for it. A small part needs no reservation.
func (cl *ConnLimiter) reserveAhead(c *Conn, bytes int) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.removed {
		return false
	}
	bytes = max(bytes-freeReadAhead, 0)
	total := cl.aheadBytes - c.aheadBytes + bytes
	if bytes > c.aheadBytes && total > int(aheadShare*float64(cl.maxBodyBytes)) {
		return false
	}
	cl.aheadBytes, c.aheadBytes = total, bytes
	return true
}

// reserveBody reserves further bytes for the body that is read from a connection. When the limit is
// exceeded, the connections whose bodies have been arriving for the longest time are evicted:
// clients that send half of a body and stop must not block others. Bodies that are complete count
// until the core has them. reserveBody reports false if this connection itself was evicted.
func (c *Conn) reserveBody(bytes int) bool {
	cl := c.limiter
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.removed {
		return false
	}
	if c.bodyElem == nil {
		c.bodyElem = cl.receiving.PushBack(c)
	}
	c.bodyBytes += bytes
	for cl.bodyBytes += bytes; cl.bodyBytes > cl.maxBodyBytes; {
		cl.evict(cl.receiving.Front().Value.(*Conn))
	}
	return !c.removed
}

// endReceiving ends the reading of the connection's body: the connection is not evicted for the sake
// of other bodies any more.
func (c *Conn) endReceiving() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.bodyElem != nil {
		c.limiter.receiving.Remove(c.bodyElem)
		c.bodyElem = nil
	}
}

// releaseBody releases what reserveBody has reserved.
func (c *Conn) releaseBody() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.releaseBodyLocked()
}

// releaseBodyLocked releases the bytes reserved for the connection's body. The limiter is locked.
func (c *Conn) releaseBodyLocked() {
	if c.bodyElem != nil {
		c.limiter.receiving.Remove(c.bodyElem)
		c.bodyElem = nil
	}
	c.limiter.bodyBytes -= c.bodyBytes
	c.bodyBytes = 0
}

// DisableKeepAlives sets whether each connection is closed after its current response.
func (cl *ConnLimiter) DisableKeepAlives(disable bool) {
	cl.mu.Lock()
	cl.noKeepAlive = disable
	cl.mu.Unlock()
}

// CloseIdle closes the connections that have been idle for at least the given time, unless a
// request has begun to arrive.
func (cl *ConnLimiter) CloseIdle(minIdle time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for e := cl.idle.Front(); e != nil; {
		c := e.Value.(*Conn)
		if e = e.Next(); time.Since(c.idleSince) >= minIdle {
			cl.closeIfIdle(c, SentAway)
		}
	}
}

// closeIfIdle closes a connection unless a request has begun to arrive on it. The limiter is
// locked.
func (cl *ConnLimiter) closeIfIdle(c *Conn, cause dispatch.Cause) {
	if !c.requestBegun && !c.hasUnread() {
		cl.reportClose(cause, c.Conn)
		cl.removeAndClose(c)
	}
}

// firstRequestTimeout is how long a newly connected client has to begin its first request before
// the shutdown of its server closes the connection.
const firstRequestTimeout = 200 * time.Millisecond

// drain closes the idle connections of a Listener that shuts down and returns how many of its
// connections are open.
func (cl *ConnLimiter) drain(l *Listener) (open int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	l.draining = true
	for e := cl.idle.Front(); e != nil; {
		c := e.Value.(*Conn)
		if e = e.Next(); c.listener == l && (c.served || time.Since(c.idleSince) >= firstRequestTimeout) {
			cl.closeIfIdle(c, Leaving)
		}
	}
	return l.openConns
}

// assign records that a Listener owns a connection.
func (cl *ConnLimiter) assign(c *Conn, l *Listener) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.listener != nil {
		c.listener.openConns--
	}
	c.listener = l
	if c.removed {
		c.listener = nil
	} else {
		l.openConns++
	}
}

// markBusy takes the connection off the idle list. It reports false if the connection was already
// closed.
func (c *Conn) markBusy() bool {
	cl := c.limiter
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.idleElem != nil {
		cl.idle.Remove(c.idleElem)
		c.idleElem = nil
	}
	return !c.removed
}

// isRetired reports whether the connection belongs to a Listener that was retired.
func (c *Conn) isRetired() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.listener != nil && c.listener.retired
}

// requestHasBegun reports whether bytes of a request have been read since the last response.
func (c *Conn) requestHasBegun() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return !c.removed && c.requestBegun
}

// markIdle appends the connection to the idle list; began is true if a request has begun to arrive.
// It reports whether the caller must close the connection: keep-alives are disabled or the server
// shuts down, and the response may have been started too early to carry "Connection: close". A
// request that was read ahead or has already arrived is answered first.
func (c *Conn) markIdle(began bool) (ends bool) {
	cl := c.limiter
	began = began || c.ahead.hasData()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.removed {
		return false
	}
	c.enqueueIdle()
	if began {
		c.requestBegun = true
		return false
	}
	c.served = true
	if ends = (cl.noKeepAlive || c.listener != nil && c.listener.draining) && !c.hasUnread(); !ends {
		c.requestBegun = false
	}
	return ends
}

// enqueueIdle moves a connection to the end of the idle list. The limiter is locked.
func (c *Conn) enqueueIdle() {
	if c.idleElem != nil {
		c.limiter.idle.Remove(c.idleElem)
	}
	c.idleElem, c.idleSince = c.limiter.idle.PushBack(c), time.Now()
}
