package front

import (
	"container/list"
	"io"
	"net"
	"sync"
	"time"

	"standpulley/internal/dispatch"
)

// ConnLimiter bounds the clients' connections of all fronts together. Where a further one comes, the one that has waited
// the longest without an open request is closed: many clients keep their connection and never ask again, or say
// nothing at all, and none of them may keep the others out.
type ConnLimiter struct {
	mu          sync.Mutex
	maxConns    int
	open        int
	idle        list.List // of *Conn that have no open request, the longest first
	lingering   int       // connections that were answered unread and are not closed yet
	noKeepAlive bool      // none is kept after an answer

	OnClose func(cause dispatch.Cause, client string) // told of each connection that is ended before its client ends it; may be nil

	maxBodyBytes int
	bodyBytes    int       // of bodies that are being read
	receiving    list.List // of *Conn that read one, the longest first
}

// Why a client's connection was ended.
const (
	Evicted      dispatch.Cause = "evicted"       // another client wanted its place
	EvictedBegun dispatch.Cause = "evicted_begun" // the same, while a request was coming: it was answered 502
	NoPlace      dispatch.Cause = "no_place"      // it was new, and every place had a request: it was answered 502
	SentAway     dispatch.Cause = "sent_away"     // operators empty the program
	Leaving      dispatch.Cause = "leaving"       // its server ends, and no request was on it
)

// reportClose tells of a connection that is ended. The gate is locked.
func (cl *ConnLimiter) reportClose(cause dispatch.Cause, c net.Conn) {
	if cl.OnClose != nil {
		cl.OnClose(cause, c.RemoteAddr().String())
	}
}

const (
	maxLingering = 8 // that are waited for at once, so that nothing they still send resets their answer
	// The answer fits into the send buffer of a connection on which nothing was answered yet.
	rejectWriteTimeout = 10 * time.Millisecond
	// Nobody has read what the client asks for. It may be the rest of what has run already, so this is no 503, which
	// says that trying again is harmless.
	rejectResponse = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// NewConnLimiter makes a gate for at most `most` connections and so many bytes of bodies that are being read.
func NewConnLimiter(most, bytes int) *ConnLimiter {
	return &ConnLimiter{maxConns: most, maxBodyBytes: bytes}
}

// SetLimits sets the bounds anew. Connections that are open stay so.
func (cl *ConnLimiter) SetLimits(most, bytes int) {
	cl.mu.Lock()
	cl.maxConns, cl.maxBodyBytes = most, bytes
	cl.mu.Unlock()
}

// admit lets a connection in, in the place of another if it must. It gives nil where every other has a request
// open; then the client has been told to come back.
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

// evict closes a connection in favor of another. A request may have begun to come on it, or have come whole by now: then its client is
// answered. The gate is locked.
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

// dismiss answers a client whose request nobody will read, and closes its connection. The gate is locked, so nothing here waits.
func (cl *ConnLimiter) reject(tcp net.Conn) {
	_ = tcp.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_, _ = io.WriteString(tcp, rejectResponse) // a client that can't read it has gone
	if t, ok := tcp.(*net.TCPConn); ok {
		_ = t.CloseWrite() // nothing else may follow the answer
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

// discardArrived reads, without waiting, what has come on a connection: closing over unread bytes would reset it, and the answer might go
// with it.
func discardReceived(tcp net.Conn) {
	c := Conn{Conn: tcp}
	var piece [4 << 10]byte
	for range lingerMaxBytes / len(piece) {
		if n, end := c.readNonblocking(piece[:]); n == 0 || end {
			return
		}
	}
}

// idlest gives the connection that has waited the longest, one whose request has begun to come only if there is no other. The gate is
// locked, and some wait.
func (cl *ConnLimiter) longestIdle() *Conn {
	for e := cl.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.requestBegun {
			return c
		}
	}
	return cl.idle.Front().Value.(*Conn)
}

// removeAndClose closes a connection and gives its place free. The gate is locked.
func (cl *ConnLimiter) removeAndClose(c *Conn) {
	if cl.remove(c) {
		_ = c.Conn.Close() // whoever reads it finds out
	}
}

// remove gives a connection's place free, and tells whether it had one. The gate is locked.
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
	return true
}

// reserveBody books further bytes for the body that a connection brings. Beyond the bound, connections whose bodies have been
// coming for the longest are closed: half of a body, held back, must not keep others out. It reports false where that
// is this one.
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

// releaseBody ends what hold has begun.
func (c *Conn) releaseBody() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.releaseBodyLocked()
}

// letGo gives back what the connection's body held. The gate is locked.
func (c *Conn) releaseBodyLocked() {
	if c.bodyElem != nil {
		c.limiter.receiving.Remove(c.bodyElem)
		c.limiter.bodyBytes -= c.bodyBytes
		c.bodyElem, c.bodyBytes = nil, 0
	}
}

// DisableKeepAlives closes connections as soon as their requests have ended, or keeps them again.
func (cl *ConnLimiter) DisableKeepAlives(away bool) {
	cl.mu.Lock()
	cl.noKeepAlive = away
	cl.mu.Unlock()
}

// CloseIdle closes the connections that have said nothing for so long. A request that has begun to come may go on.
func (cl *ConnLimiter) CloseIdle(silent time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for e := cl.idle.Front(); e != nil; {
		c := e.Value.(*Conn)
		if e = e.Next(); time.Since(c.idleSince) >= silent {
			cl.closeIfIdle(c, SentAway)
		}
	}
}

// closeResting closes a connection on which no request has come. The gate is locked.
func (cl *ConnLimiter) closeIfIdle(c *Conn, cause dispatch.Cause) {
	if !c.requestBegun && !c.hasUnread() {
		cl.reportClose(cause, c.Conn)
		cl.removeAndClose(c)
	}
}

// firstComes is how long a client that has connected has to begin its first request before its server's end closes the connection.
const firstRequestTimeout = 200 * time.Millisecond

// drain closes the resting connections of a Listener that is at its drain, and tells how many are open.
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

// assign books that a Listener has a connection.
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

// busy takes the connection out of those that may be closed. It reports false if it is closed already.
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

// hasBegun tells whether bytes of a request were read since the last answer.
func (c *Conn) requestHasBegun() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return !c.removed && c.requestBegun
}

// markIdle puts it back as the one that has waited the least; began tells that a request has begun to come. It tells whether the connection is
// to end, as clients are sent away or its server ends: its answer may have begun before it could say that it is the last. Then Close is
// owed. A request that was read behind the one before, or has come, is answered first.
func (c *Conn) markIdle(began bool) (ends bool) {
	cl := c.limiter
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.removed {
		return false
	}
	c.enqueueIdle()
	if began || len(c.readAhead) > 0 {
		c.requestBegun = true
		return false
	}
	c.served = true
	if ends = (cl.noKeepAlive || c.listener != nil && c.listener.draining) && !c.hasUnread(); !ends {
		c.requestBegun = false
	}
	return ends
}

// enqueueIdle puts a connection behind all that enqueueIdle. The gate is locked.
func (c *Conn) enqueueIdle() {
	if c.idleElem != nil {
		c.limiter.idle.Remove(c.idleElem)
	}
	c.idleElem, c.idleSince = c.limiter.idle.PushBack(c), time.Now()
}
