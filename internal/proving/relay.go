package proving

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkConditions says what a link does to the bytes that are sent over it in one direction.
type LinkConditions struct {
	Drop   bool          // bytes are dropped; the connection stays open and idle
	Delay  time.Duration // added to each chunk
	Jitter time.Duration // random addition to Delay, from 0 to this
	Rate   int           // bytes per second; 0 for no limit
}

// Relay forwards the connections of one dispatcher to one voter. The conditions of both directions
// can be set while it runs.
type Relay struct {
	Addr string

	target     string
	ln         net.Listener
	mu         sync.Mutex
	conditions [2]LinkConditions // to the voter, from the voter
	refusing   bool              // new connections are refused
	conns      map[net.Conn]bool
	Bytes      [2]int64 // bytes received for each direction, to and from the voter
}

const (
	toVoter   = 0
	fromVoter = 1
)

// NewRelay listens on a free loopback port and forwards connections to target.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Set changes the conditions in one direction.
func (r *Relay) Set(dir int, c LinkConditions) {
	r.mu.Lock()
	r.conditions[dir] = c
	r.mu.Unlock()
}

// Reset resets all connections; new ones are refused if refuse is set.
func (r *Relay) Reset(refuse bool) {
	r.mu.Lock()
	r.refusing = refuse
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // the connection may have ended already
		_ = conn.Close()
	}
	r.mu.Unlock()
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Reset(true)
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.proxy(c)
	}
}

// proxy forwards one connection until either side ends it.
func (r *Relay) proxy(downstream net.Conn) {
	defer downstream.Close()
	r.mu.Lock()
	refusing := r.refusing
	r.mu.Unlock()
	if refusing {
		_ = downstream.(*net.TCPConn).SetLinger(0)
		return
	}
	upstream, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	r.mu.Lock()
	r.conns[downstream], r.conns[upstream] = true, true
	r.mu.Unlock()
	done := make(chan bool, 2)
	go r.copyStream(downstream, upstream, toVoter, done)
	go r.copyStream(upstream, downstream, fromVoter, done)
	<-done
	r.mu.Lock()
	delete(r.conns, downstream)
	delete(r.conns, upstream)
	r.mu.Unlock()
}

// copyStream forwards one direction of a connection, chunk by chunk, under the conditions of the
// moment. Once bytes were dropped, nothing more of that connection is forwarded: the stream would
// have a gap.
func (r *Relay) copyStream(from, to net.Conn, dir int, done chan<- bool) {
	defer func() { done <- true }()
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r.mu.Lock()
			c := r.conditions[dir]
			r.Bytes[dir] += int64(n)
			r.mu.Unlock()
			dropped = dropped || c.Drop
			wait := c.Delay
			if c.Jitter > 0 {
				wait += rand.N(c.Jitter)
			}
			if c.Rate > 0 {
				wait += time.Duration(n) * time.Second / time.Duration(c.Rate)
			}
			if wait > 0 {
				time.Sleep(wait)
			}
			if !dropped {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if dropped && err == io.EOF {
				_, _ = io.Copy(io.Discard, to) // half-open connection: the other side is not notified
			}
			return
		}
	}
}
