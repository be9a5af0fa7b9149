package proving

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Weather is what a link does to what is sent over it in one direction.
type LinkConditions struct {
	Drop   bool          // bytes vanish; the connection stays open and silent
	Delay  time.Duration // of each piece
	Jitter time.Duration // added, drawn from 0 to this
	Rate   int           // bytes a second; 0 for no limit
}

// Relay carries the connections of one dispatcher to one voter. There and Back may be set while it runs.
type Relay struct {
	Addr string

	target     string
	ln         net.Listener
	mu         sync.Mutex
	conditions [2]LinkConditions // there, back
	refusing   bool              // connections are refused
	conns      map[net.Conn]bool
	Bytes      [2]int64 // bytes, there and back
}

const (
	toVoter   = 0
	fromVoter = 1
)

// NewRelay listens on a free loopback port and leads to an address.
func NewRelay(to string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: ln.Addr().String(), target: to, ln: ln, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Set changes the weather in one direction.
func (r *Relay) Set(dir int, c LinkConditions) {
	r.mu.Lock()
	r.conditions[dir] = c
	r.mu.Unlock()
}

// Reset breaks all connections, and refuses new ones while down.
func (r *Relay) Reset(refuse bool) {
	r.mu.Lock()
	r.refusing = refuse
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // it may have ended by itself
		_ = conn.Close()
	}
	r.mu.Unlock()
}

// Close ends the relay.
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

// pump carries one direction, piece by piece, by the weather at the time. What was lost once leaves a hole, so nothing
// more of that connection gets through.
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
				_, _ = io.Copy(io.Discard, to) // half open: the other side learns of nothing
			}
			return
		}
	}
}
