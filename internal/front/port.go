package front

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp/tcplisten"
)

// Port is a listening address. Its connections go to the Listener that was attached last, so that a
// new server can take over without closing the address.
type Port struct {
	tcp     *net.TCPListener
	limiter *ConnLimiter

	mu      sync.Mutex
	current *Listener
	closing bool
	done    chan struct{} // closed when no more connections are accepted
}

// Listen opens an address whose connections are subject to the limiter. They wait until a Listener
// is attached. If shared is true, another process may listen on the same address, as this program
// does while a new version of it takes over.
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

// Addr returns the listening address.
func (p *Port) Addr() string { return p.tcp.Addr().String() }

// Attach returns a Listener that receives every connection from now on. The previous Listener, if
// any, is closed.
func (p *Port) Attach() *Listener {
	l := &Listener{limiter: p.limiter, addr: p.tcp.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.current
	p.current = l
	if previous != nil {
		previous.Close()
	} else {
		go p.accept()
	}
	return l
}

const (
	// At shutdown the kernel may hold accepted connections, with requests on them, that the program
	// has not taken yet; closing the address would reset them. So connections are accepted until
	// none has arrived for drainQuietPeriod, but for no longer than drainMaxTime.
	drainQuietPeriod = 20 * time.Millisecond
	drainMaxTime     = 70 * time.Millisecond
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
		closing := p.closing
		p.mu.Unlock()
		if closing {
			break
		}
		time.Sleep(5 * time.Millisecond) // most likely out of file descriptors: others will be closed
	}
	for limit := time.Now().Add(drainMaxTime); ; {
		deadline := time.Now().Add(drainQuietPeriod)
		if limit.Before(deadline) {
			deadline = limit
		}
		_ = p.tcp.SetDeadline(deadline) // if it fails, so does the next Accept
		c, err := p.tcp.Accept()
		if err != nil {
			return
		}
		p.deliver(c)
	}
}

// deliver passes a connection that the limiter admits to the attached Listener.
func (p *Port) deliver(c net.Conn) {
	conn := p.limiter.admit(c)
	if conn == nil {
		return
	}
	var previous *Listener
	for {
		p.mu.Lock()
		l := p.current
		p.mu.Unlock()
		if l == previous {
			_ = conn.Close() // no new Listener follows: the program shuts down
			return
		}
		if l.offer(conn) {
			return
		}
		previous = l // closed meanwhile: another Listener is attached
	}
}

// Shutdown accepts connections for the given time, then those that the kernel has accepted by then,
// and closes the address.
func (p *Port) Shutdown(wait time.Duration) {
	p.mu.Lock()
	p.closing = true
	attached := p.current
	p.mu.Unlock()
	_ = p.tcp.SetDeadline(time.Now().Add(wait)) // if it fails, the close below ends the accept loop
	if attached != nil {
		select {
		case <-p.done:
		case <-time.After(max(wait, 0) + time.Second):
		}
		attached.Close()
	}
	_ = p.tcp.Close()
}

// Listener hands the connections of a Port to one server.
type Listener struct {
	limiter   *ConnLimiter
	openConns int  // connections that it has handed out; guarded by the limiter
	retired   bool // each response is the last on its connection; guarded by the limiter
	draining  bool // idle connections are closed too; guarded by the limiter

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

// Accept waits for a connection. After Close it returns io.EOF, which fasthttp treats as a regular
// stop.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

// Close closes the Listener, but not its Port.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Retire makes each response the last on its connection. Idle connections stay open, as a client may
// be about to send a request.
func (l *Listener) Retire() {
	l.limiter.mu.Lock()
	l.retired = true
	l.limiter.mu.Unlock()
}

const drainPollInterval = 10 * time.Millisecond

// DrainConns closes the connections that the Listener has handed out, each after its current
// request and those that have arrived by then, and returns when none is open.
func (l *Listener) DrainConns() {
	for l.limiter.drain(l) > 0 {
		time.Sleep(drainPollInterval)
	}
}

// Addr returns the address of the Port.
func (l *Listener) Addr() net.Addr { return l.addr }
