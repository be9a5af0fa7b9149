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

// NewConnectionMode says what a Link does to connections that are opened from now on.
type NewConnectionMode int

// The modes for new connections.
const (
	Forwarded  NewConnectionMode = iota // they are forwarded to the server
	Blackholed                          // they are accepted, but all data sent on them is dropped
	Pending                             // they hang in connect until the mode changes
	Reset                               // they are reset
)

// Link is a TCP proxy between dispatchers and one server that imitates network faults: connections
// that stop responding without an error, are reset, or hang in connect. Its methods may be called
// from any goroutine.
type Link struct {
	Addr string // address that dispatchers connect to

	to string
	ln *net.TCPListener

	mu          sync.Mutex
	cond        *sync.Cond
	mode        NewConnectionMode
	open        map[*conn]bool
	onUnseenEnd func(id string)
	fillers     []net.Conn // connections that occupy the places of the accept queue
	ended       bool
}

// conn is one proxied connection with its two sides.
type conn struct {
	near, far net.Conn // far is nil if the connection was never forwarded
	silent    bool     // drops all data; guarded by Link.mu
	id        string   // of the last attempt sent on the connection; used only by the goroutine that reads near
}

// NewLink listens at addr and forwards connections to the server at to.
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

// OnUnseenEnd sets a function that is called with the ID of each attempt that its dispatcher ends
// on a connection that drops all data. The server does not notice the end of such an attempt.
func (l *Link) OnUnseenEnd(report func(id string)) {
	l.mu.Lock()
	l.onUnseenEnd = report
	l.mu.Unlock()
}

// Blackhole makes all open connections drop all data in both directions. They stay open, and
// neither side gets an error.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent = true
	}
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.reset()
	}
}

// SetNew changes the mode for new connections.
func (l *Link) SetNew(mode NewConnectionMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.mode
	l.mode = mode
	switch {
	case mode == Pending && before != Pending:
		_ = l.ln.SetDeadline(time.Now().Add(-time.Second)) // wakes the accept loop
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

// Close closes the link and resets its connections.
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
	fillTimeout = 20 * time.Millisecond // a connection that takes longer has found the accept queue full
	fillersMax  = 8
)

// listen sets the length of the accept queue.
func (l *Link) listen(queueLen int) {
	if raw, err := l.ln.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), queueLen) })
	}
}

// fillBacklog opens connections until the accept queue is full. The kernel then drops the SYN
// packets of dispatchers.
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
			continue // the deadline passed or the listener was closed
		}
		go l.carry(&conn{near: c})
	}
}

// carry forwards one connection to the server until either side closes it.
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
		l.pump(c, c.near, nil, done) // returns when the dispatcher closes its side
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
	if l.isSilent(c) { // the close of one side is not passed on to the other
		<-done
	}
}

func (l *Link) isSilent(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.silent
}

// pump copies one direction. On a connection that has become silent it drops the data, and does not
// pass on the close.
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
				_ = t.CloseWrite() // passes on a half close
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

// attemptID returns the ID of the attempt whose request head is in text, or last if text holds no
// head. For a DELETE, which is not an attempt, it returns "".
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
			_ = t.SetLinger(0) // makes Close send RST in place of FIN
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
