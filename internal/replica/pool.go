// Package replica carries attempts and release calls to replicas, over connections that its pool owns. Nothing
// here is sent twice by itself: each send is one attempt with one exact outcome.
package replica

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Pool keeps connections to replicas. A connection carries one request at a time.
type Pool struct {
	// Stall ends a stream that brings no event for so long. A client may be left waiting for at most 5 s after the
	// last event of a stream that is not whole.
	Stall time.Duration

	idleMost    time.Duration // a connection that has stood idle for longer is not used again
	dialTimeout time.Duration
	room        chan struct{} // a place for each connection that may be open

	mu   sync.Mutex
	idle map[string][]*conn // by address, the latest used last
}

// conn is a connection with its read buffer, which outlives a request on it.
type conn struct {
	net.Conn
	br      *bufio.Reader
	addr    string
	idledAt time.Time
}

const (
	retireAt    = 0.8 // part of the replica's idle time after which we close first
	readBuffer  = 8 << 10
	writeBuffer = 16 << 10
)

var errNoRoom = errors.New("every connection is in use")

// NewPool makes a pool of at most `most` open connections. Replicas close what has stood idle for idle.
func NewPool(most int, idle, dialTimeout time.Duration) *Pool {
	if idle <= 0 {
		idle = 30 * time.Second
	}
	if dialTimeout <= 0 {
		dialTimeout = 250 * time.Millisecond
	}
	return &Pool{Stall: 4 * time.Second, idleMost: time.Duration(retireAt * float64(idle)), dialTimeout: dialTimeout,
		room: make(chan struct{}, most), idle: map[string][]*conn{}}
}

// get gives an idle connection that the replica has not closed, or a new one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if time.Since(c.idledAt) < p.idleMost && quiet(c.Conn) {
			return c, nil
		}
		p.drop(c)
	}
}

func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[addr]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	all[len(all)-1] = nil
	p.idle[addr] = all[:len(all)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	select {
	case p.room <- struct{}{}:
	default:
		if !p.evict() {
			return nil, errNoRoom
		}
		select {
		case p.room <- struct{}{}:
		case <-ctx.Done():
			return nil, errNoRoom
		}
	}
	d := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		<-p.room
		return nil, err
	}
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer), addr: addr}, nil
}

// put takes back a connection whose answer has been read to its end.
func (p *Pool) put(c *conn) {
	if c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.idledAt = time.Now()
	p.mu.Lock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.mu.Unlock()
}

// drop closes a connection for good.
func (p *Pool) drop(c *conn) {
	_ = c.Close() // nothing more is wanted of it
	<-p.room
}

// evict closes the idle connection that was used the longest ago.
func (p *Pool) evict() bool {
	p.mu.Lock()
	var oldest *conn
	for _, all := range p.idle {
		if len(all) > 0 && (oldest == nil || all[0].idledAt.Before(oldest.idledAt)) {
			oldest = all[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	p.drop(oldest)
	return true
}

// Sweep closes connections that have stood idle for long, until ctx ends.
func (p *Pool) Sweep(ctx context.Context) {
	tick := time.NewTicker(p.idleMost / 8)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var old []*conn
		p.mu.Lock()
		for addr, all := range p.idle {
			for len(all) > 0 && time.Since(all[0].idledAt) >= p.idleMost {
				old, all = append(old, all[0]), all[1:]
			}
			if p.idle[addr] = all; len(all) == 0 {
				delete(p.idle, addr)
			}
		}
		p.mu.Unlock()
		for _, c := range old {
			p.drop(c)
		}
	}
}

// quiet tells whether the other side of an idle connection has neither closed it nor sent anything. What is
// written to a closed one would end as a reset, which proves nothing of whether it ran.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && still
}
