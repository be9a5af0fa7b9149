package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// NewConnections says what a Link does to connections that are made from now on.
type NewConnectionMode int

// The modes of a Link for new connections.
const (
	Forwarded  NewConnectionMode = iota // they lead to the server
	Blackholed                          // they come up, and what is sent on them vanishes
	Pending                             // they do not come up until the mode changes
	Reset                               // they are reset
)

// Link carries the connections of dispatchers to one server, and does to them what a network does: connections fall silent with no
// error, are reset, or never come up. Its methods may be called from any goroutine.
type Link struct {
	Addr string // where dispatchers connect

	to string
	ln *net.TCPListener

	mu          sync.Mutex
	cond        *sync.Cond
	mode        NewConnectionMode
	open        map[*conn]bool
	onUnseenEnd func(id string)
	fillers     []net.Conn // they take the places of connections that may wait
	ended       bool
}

// carried is one connection with its two ends.
type conn struct {
	near, far net.Conn // far is nil where it never led anywhere
	silent    bool     // guarded by the link
	id        string   // of the last attempt that was sent on it; the goroutine that carries there has it
}

// NewLink listens at addr, which leads to the server at to.
func NewLink(addr, to string) (*Link, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", to, err)
	}
	l := &Link{Addr: ln.Addr().String(), to: to, ln: ln.(*net.TCPListener), open: map[*conn]bool{}}
	l.cond = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Unheard has the link tell of each attempt that its dispatcher ends on a connection that is silent, as its server hears nothing of that.
func (l *Link) OnUnseenEnd(report func(id string)) {
	l.mu.Lock()
	l.onUnseenEnd = report
	l.mu.Unlock()
}

// Silence has all open connections fall silent in both directions. They stay open, and no error shows.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent = true
	}
}

// Reset breaks all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.reset()
	}
}

// SetNew changes what happens to new connections.
func (l *Link) SetNew(mode NewConnectionMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.mode
	l.mode = mode
	switch {
	case mode == Pending && before != Pending:
		_ = l.ln.SetDeadline(time.Now().Add(-time.Second)) // wakes the goroutine that accepts
		l.listen(0)
		l.fillBacklog()
	case mode != Pending && before == Pending:
		for _, c := range l.fillers {
			_ = c.Close()
		}
		l.fillers = nil
		l.listen(backlog)
		_ = l.ln.SetDeadline(time.Time{})
	}
	l.cond.Broadcast()
}

// Close ends the link and resets its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.ended = true
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.cond.Broadcast()
	_ = l.ln.Close()
	l.Reset()
}

const (
	backlog     = 128
	fillTimeout = 20 * time.Millisecond // a connection that takes so long has found no place
	fillersMax  = 8
)

// listen sets how many connections may wait to be accepted.
func (l *Link) listen(most int) {
	if raw, err := l.ln.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), most) })
	}
}

// takePlaces connects until no further connection comes up: those of dispatchers find no place either, and the machine drops what they
// send first.
func (l *Link) fillBacklog() {
	for range fillersMax {
		c, err := net.DialTimeout("tcp", l.Addr, fillTimeout)
		if err != nil {
			return
		}
		l.fillers = append(l.fillers, c)
	}
}

func (l *Link) accept() {
	for {
		l.mu.Lock()
		for l.mode == Pending && !l.ended {
			l.cond.Wait()
		}
		ended := l.ended
		l.mu.Unlock()
		if ended {
			return
		}
		c, err := l.ln.Accept()
		if err != nil {
			continue // woken, or closed
		}
		go l.carry(&conn{near: c})
	}
}

// carry leads one connection to the server until either side ends it.
func (l *Link) carry(c *conn) {
	l.mu.Lock()
	mode := l.mode
	c.silent = mode == Blackholed
	l.open[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.open, c)
		l.mu.Unlock()
		c.close()
	}()
	switch mode {
	case Reset:
		c.reset()
		return
	case Blackholed:
		done := make(chan bool, 1)
		l.pump(c, c.near, nil, done) // its end is the point
		return
	}
	far, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		c.reset()
		return
	}
	l.mu.Lock()
	c.far = far
	l.mu.Unlock()
	done := make(chan bool, 2)
	go l.pump(c, c.near, far, done)
	go l.pump(c, far, c.near, done)
	<-done
	if l.isSilent(c) { // the end of one side does not come to the other
		<-done
	}
}

func (l *Link) isSilent(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.silent
}

// pump carries one direction. What comes once the connection has fallen silent vanishes, and so does its end.
func (l *Link) pump(c *conn, from, to net.Conn, done chan<- bool) {
	defer func() { done <- true }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && from == c.near {
			c.id = attemptID(buf[:n], c.id)
		}
		if n > 0 && !l.isSilent(c) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if l.isSilent(c) && from == c.near && c.id != "" {
			l.reportUnseenEnd(c.id)
		}
		if err == io.EOF && !l.isSilent(c) {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // a half close passes on
			}
		}
		return
	}
}

func (l *Link) reportUnseenEnd(id string) {
	l.mu.Lock()
	report := l.onUnseenEnd
	l.mu.Unlock()
	if report != nil {
		report(id)
	}
}

// attemptID gives the id of the attempt that begins in a text; one in which none does goes on with the last.
func attemptID(text []byte, last string) string {
	const header = "X-Trace-Id: "
	if bytes.HasPrefix(text, []byte("DELETE ")) {
		return ""
	}
	if _, rest, ok := bytes.Cut(text, []byte(header)); ok {
		id, _, _ := bytes.Cut(rest, []byte("\r\n"))
		return string(id)
	}
	return last
}

func (c *conn) reset() {
	for _, side := range []net.Conn{c.near, c.far} {
		if t, ok := side.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // without it the end is a plain one
			_ = t.Close()
		}
	}
}

func (c *conn) close() {
	_ = c.near.Close()
	if c.far != nil {
		_ = c.far.Close()
	}
}
