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
	mu      sync.Mutex
	most    int
	open    int
	waiting list.List // of *Conn that have no open request, the longest first
	refused int       // connections that were answered unread and are not closed yet
	away    bool      // none is kept after an answer

	OnClose func(cause dispatch.Cause, client string) // told of each connection that is ended before its client ends it; may be nil

	mostBytes int
	bytes     int       // of bodies that are being read
	coming    list.List // of *Conn that read one, the longest first
}

// Why a client's connection was ended.
const (
	Evicted      dispatch.Cause = "evicted"       // another client wanted its place
	EvictedBegun dispatch.Cause = "evicted_begun" // the same, while a request was coming: it was answered 502
	NoPlace      dispatch.Cause = "no_place"      // it was new, and every place had a request: it was answered 502
	SentAway     dispatch.Cause = "sent_away"     // operators empty the program
	Leaving      dispatch.Cause = "leaving"       // its server ends, and no request was on it
)

// closed tells of a connection that is ended. The gate is locked.
func (g *ConnLimiter) closed(cause dispatch.Cause, c net.Conn) {
	if g.OnClose != nil {
		g.OnClose(cause, c.RemoteAddr().String())
	}
}

const (
	refusedMost = 8 // that are waited for at once, so that nothing they still send resets their answer
	// The answer fits into the send buffer of a connection on which nothing was answered yet.
	dismissTime = 10 * time.Millisecond
	// Nobody has read what the client asks for. It may be the rest of what has run already, so this is no 503, which
	// says that trying again is harmless.
	refusal = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// NewConnLimiter makes a gate for at most `most` connections and so many bytes of bodies that are being read.
func NewConnLimiter(most, bytes int) *ConnLimiter { return &ConnLimiter{most: most, mostBytes: bytes} }

// SetLimits sets the bounds anew. Connections that are open stay so.
func (g *ConnLimiter) SetLimits(most, bytes int) {
	g.mu.Lock()
	g.most, g.mostBytes = most, bytes
	g.mu.Unlock()
}

// enter lets a connection in, in the place of another if it must. It gives nil where every other has a request
// open; then the client has been told to come back.
func (g *ConnLimiter) enter(tcp net.Conn) *Conn {
	c := &Conn{Conn: tcp, gate: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.open >= g.most && g.waiting.Len() > 0 {
		g.evict(g.idlest())
	}
	if g.open < g.most {
		g.open++
		c.wait()
		return c
	}
	g.closed(NoPlace, tcp)
	g.dismiss(tcp)
	return nil
}

// evict closes a connection in favor of another. A request may have begun to come on it, or have come whole by now: then its client is
// answered. The gate is locked.
func (g *ConnLimiter) evict(c *Conn) {
	if c.served && !c.began && !c.waits() {
		g.closed(Evicted, c.Conn)
		g.leave(c)
		return
	}
	if g.forget(c) {
		g.closed(EvictedBegun, c.Conn)
		g.dismiss(c.Conn)
	}
}

// dismiss answers a client whose request nobody will read, and closes its connection. The gate is locked, so nothing here waits.
func (g *ConnLimiter) dismiss(tcp net.Conn) {
	_ = tcp.SetWriteDeadline(time.Now().Add(dismissTime))
	_, _ = io.WriteString(tcp, refusal) // a client that can't read it has gone
	if t, ok := tcp.(*net.TCPConn); ok {
		_ = t.CloseWrite() // nothing else may follow the answer
	}
	if g.refused >= refusedMost {
		discardArrived(tcp)
		_ = tcp.Close()
		return
	}
	g.refused++
	go func() {
		linger(tcp)
		_ = tcp.Close()
		g.mu.Lock()
		g.refused--
		g.mu.Unlock()
	}()
}

// discardArrived reads, without waiting, what has come on a connection: closing over unread bytes would reset it, and the answer might go
// with it.
func discardArrived(tcp net.Conn) {
	c := Conn{Conn: tcp}
	var piece [4 << 10]byte
	for range lingerMost / len(piece) {
		if n, end := c.arrived(piece[:]); n == 0 || end {
			return
		}
	}
}

// idlest gives the connection that has waited the longest, one whose request has begun to come only if there is no other. The gate is
// locked, and some wait.
func (g *ConnLimiter) idlest() *Conn {
	for e := g.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.began {
			return c
		}
	}
	return g.waiting.Front().Value.(*Conn)
}

// leave closes a connection and gives its place free. The gate is locked.
func (g *ConnLimiter) leave(c *Conn) {
	if g.forget(c) {
		_ = c.Conn.Close() // whoever reads it finds out
	}
}

// forget gives a connection's place free, and tells whether it had one. The gate is locked.
func (g *ConnLimiter) forget(c *Conn) bool {
	if c.gone {
		return false
	}
	c.gone = true
	g.open--
	if c.owner != nil {
		c.owner.open--
		c.owner = nil
	}
	if c.place != nil {
		g.waiting.Remove(c.place)
		c.place = nil
	}
	c.letGo()
	return true
}

// hold books further bytes for the body that a connection brings. Beyond the bound, connections whose bodies have been
// coming for the longest are closed: half of a body, held back, must not keep others out. It reports false where that
// is this one.
func (c *Conn) hold(bytes int) bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone {
		return false
	}
	if c.coming == nil {
		c.coming = g.coming.PushBack(c)
	}
	c.held += bytes
	for g.bytes += bytes; g.bytes > g.mostBytes; {
		g.evict(g.coming.Front().Value.(*Conn))
	}
	return !c.gone
}

// whole ends what hold has begun.
func (c *Conn) whole() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.letGo()
}

// letGo gives back what the connection's body held. The gate is locked.
func (c *Conn) letGo() {
	if c.coming != nil {
		c.gate.coming.Remove(c.coming)
		c.gate.bytes -= c.held
		c.coming, c.held = nil, 0
	}
}

// DisableKeepAlives closes connections as soon as their requests have ended, or keeps them again.
func (g *ConnLimiter) DisableKeepAlives(away bool) {
	g.mu.Lock()
	g.away = away
	g.mu.Unlock()
}

// CloseIdle closes the connections that have said nothing for so long. A request that has begun to come may go on.
func (g *ConnLimiter) CloseIdle(silent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for e := g.waiting.Front(); e != nil; {
		c := e.Value.(*Conn)
		if e = e.Next(); time.Since(c.since) >= silent {
			g.closeResting(c, SentAway)
		}
	}
}

// closeResting closes a connection on which no request has come. The gate is locked.
func (g *ConnLimiter) closeResting(c *Conn, cause dispatch.Cause) {
	if !c.began && !c.waits() {
		g.closed(cause, c.Conn)
		g.leave(c)
	}
}

// firstComes is how long a client that has connected has to begin its first request before its server's end closes the connection.
const firstComes = 200 * time.Millisecond

// end closes the resting connections of a Listener that is at its end, and tells how many are open.
func (g *ConnLimiter) end(l *Listener) (open int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l.leaving = true
	for e := g.waiting.Front(); e != nil; {
		c := e.Value.(*Conn)
		if e = e.Next(); c.owner == l && (c.served || time.Since(c.since) >= firstComes) {
			g.closeResting(c, Leaving)
		}
	}
	return l.open
}

// own books that a Listener has a connection.
func (g *ConnLimiter) own(c *Conn, l *Listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.owner != nil {
		c.owner.open--
	}
	c.owner = l
	if c.gone {
		c.owner = nil
	} else {
		l.open++
	}
}

// busy takes the connection out of those that may be closed. It reports false if it is closed already.
func (c *Conn) busy() bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.place != nil {
		g.waiting.Remove(c.place)
		c.place = nil
	}
	return !c.gone
}

// hasBegun tells whether bytes of a request were read since the last answer.
func (c *Conn) hasBegun() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return !c.gone && c.began
}

// rest puts it back as the one that has waited the least; began tells that a request has begun to come. It tells whether the connection is
// to end, as clients are sent away or its server ends: its answer may have begun before it could say that it is the last. Then Close is
// owed. A request that was read behind the one before, or has come, is answered first.
func (c *Conn) rest(began bool) (ends bool) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone {
		return false
	}
	c.wait()
	if began || len(c.ahead) > 0 {
		c.began = true
		return false
	}
	c.served = true
	if ends = (g.away || c.owner != nil && c.owner.leaving) && !c.waits(); !ends {
		c.began = false
	}
	return ends
}

// wait puts a connection behind all that wait. The gate is locked.
func (c *Conn) wait() {
	if c.place != nil {
		c.gate.waiting.Remove(c.place)
	}
	c.place, c.since = c.gate.waiting.PushBack(c), time.Now()
}
