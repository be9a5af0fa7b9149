package front

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp/tcplisten"
)

// Port is an address that is listened on. Its connections go to the Listener that was attached last, so that one
// server can take over from another without closing the address.
type Port struct {
	tcp     *net.TCPListener
	limiter *ConnLimiter

	mu      sync.Mutex
	current *Listener
	closing bool
	done    chan struct{} // closed when nothing is accepted any more
}

// Listen opens an address, whose connections pass the gate. They wait until a Listener is attached. Where the address
// is shared, another process may listen there too, as this program does when a new version takes over.
func Listen(addr string, limiter *ConnLimiter, shared bool) (*Port, error) {
	ln, err := listen(addr, shared)
	if err != nil {
		return nil, err
	}
	return &Port{tcp: ln.(*net.TCPListener), limiter: limiter, done: make(chan struct{})}, nil
}

func listen(addr string, shared bool) (net.Listener, error) {
	if !shared {
		return net.Listen("tcp", addr)
	}
	network := "tcp4"
	if a, err := net.ResolveTCPAddr("tcp", addr); err == nil && a.IP != nil && a.IP.To4() == nil {
		network = "tcp6"
	}
	return (&tcplisten.Config{ReusePort: true}).NewListener(network, addr)
}

// Addr is the address that is listened on.
func (p *Port) Addr() string { return p.tcp.Addr().String() }

// Attach makes a Listener that gets every connection from now on. The one before it, if any, ends.
func (p *Port) Attach() *Listener {
	l := &Listener{limiter: p.limiter, addr: p.tcp.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.current
	p.current = l
	if before != nil {
		before.Close()
	} else {
		go p.accept()
	}
	return l
}

const (
	// At the end the machine may have accepted connections that nobody has taken yet, with requests on them: closing the address would
	// reset them. So they are taken until none has come for a moment, but no longer than a time.
	drainQuietPeriod = 20 * time.Millisecond
	drainMaxTime     = 200 * time.Millisecond
)

func (p *Port) accept() {
	defer close(p.done)
	for {
		c, err := p.tcp.Accept()
		if err == nil {
			p.deliver(c)
			continue
		}
		p.mu.Lock()
		gone := p.closing
		p.mu.Unlock()
		if gone {
			break
		}
		time.Sleep(5 * time.Millisecond) // out of descriptors, most likely: others will be closed
	}
	for last := time.Now().Add(drainMaxTime); ; {
		moment := time.Now().Add(drainQuietPeriod)
		if last.Before(moment) {
			moment = last
		}
		_ = p.tcp.SetDeadline(moment) // if it fails, so does the next Accept
		c, err := p.tcp.Accept()
		if err != nil {
			return
		}
		p.deliver(c)
	}
}

// deliver gives a connection that passes the gate to the Listener that is attached.
func (p *Port) deliver(c net.Conn) {
	conn := p.limiter.admit(c)
	if conn == nil {
		return
	}
	var before *Listener
	for {
		p.mu.Lock()
		l := p.current
		p.mu.Unlock()
		if l == before {
			_ = conn.Close() // the program is at its end
			return
		}
		if l.offer(conn) {
			return
		}
		before = l // it has ended since: another is attached
	}
}

// Shutdown accepts for wait longer, then what the machine has accepted by then, and closes the address.
func (p *Port) Shutdown(wait time.Duration) {
	p.mu.Lock()
	p.closing = true
	attached := p.current
	p.mu.Unlock()
	_ = p.tcp.SetDeadline(time.Now().Add(wait)) // if it fails, the close below ends the accepting
	if attached != nil {
		select {
		case <-p.done:
		case <-time.After(max(wait, 0) + time.Second):
		}
		attached.Close()
	}
	_ = p.tcp.Close()
}

// Listener hands a server the connections of a Port.
type Listener struct {
	limiter   *ConnLimiter
	openConns int  // connections that it has handed out, guarded by the gate
	draining  bool // each ends with its present request, guarded by the gate

	addr      net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *Listener) offer(c *Conn) bool {
	l.limiter.assign(c, l)
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Accept waits for a connection. At the end it says io.EOF, which fasthttp takes as a plain stop.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

// Close ends the Listener, not its Port.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

const drainPollInterval = 10 * time.Millisecond

// DrainConns ends the connections that the Listener has handed out, each behind its present request and those that have come by then, and
// returns when none is open.
func (l *Listener) DrainConns() {
	for l.limiter.drain(l) > 0 {
		time.Sleep(drainPollInterval)
	}
}

// Addr is the Port's address.
func (l *Listener) Addr() net.Addr { return l.addr }
