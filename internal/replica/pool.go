// Package replica carries attempts and release calls to replicas, over connections that its pool owns. Nothing
// here is sent twice by itself: each send is one attempt with one exact outcome.
package replica

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Pool keeps connections to replicas. A connection carries one request at a time.
type Pool struct {
	// StallTimeout ends a stream that brings no event for so long. A client may be left waiting for at most 5 s after the
	// last event of a stream that is not whole.
	StallTimeout time.Duration

	mu          sync.Mutex
	maxOpen     int           // connections open at once
	maxIdleTime time.Duration // a connection that has stood idle for longer is not used again
	dialTimeout time.Duration
	open        int
	counts      PoolCounts
	idle        map[string][]*conn // by address, the latest used last
}

// PoolCounts are what a pool has done since its start; Open is the present number of connections.
type PoolCounts struct{ Made, Failed, Reused, Evicted, Open int }

// Counts gives the counts so far.
func (p *Pool) Counts() PoolCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Open = p.open
	return c
}

// conn is a connection with its read buffer, which outlives a request on it.
type conn struct {
	net.Conn
	br      *bufio.Reader
	addr    string
	idledAt time.Time
}

// age says for the log whether a connection is new, or how long it had stood idle before its present use.
func (c *conn) age() string {
	if c.idledAt.IsZero() {
		return "a new connection"
	}
	return "one idle for " + time.Since(c.idledAt).String()
}

const (
	retireShare       = 0.8                  // part of the replica's idle time after which we close first
	maxIdlePerReplica = 8                    // connections to a replica that idle at once: each takes a place there too
	settleTime        = 2 * time.Millisecond // some round trips
	// A replica may say a further answer some milliseconds after the one that was read. It must be seen before the next request is sent,
	// whose answer it would be taken for.
	minRest = 30 * time.Millisecond
	// Connections beyond the bound for calls that must not wait behind attempts. They come out of what the process keeps free.
	maxExtra     = 8
	reserveFrom  = 32 // a pool of so many connections keeps one in reserveShare of them for such calls
	reserveShare = 32
	readBuffer   = 8 << 10
	writeBuffer  = 16 << 10
)

var (
	errPoolExhausted = errors.New("every connection is in use")
	errClosedAtOnce  = errors.New("the new connection was closed at once")
)

// NewPool makes a pool of at most `most` open connections. Replicas close what has stood idle for idle.
func NewPool(most int, idle, dialTimeout time.Duration) *Pool {
	p := &Pool{StallTimeout: 4 * time.Second, idle: map[string][]*conn{}}
	p.SetLimits(most, idle, dialTimeout)
	return p
}

// SetLimits sets the bounds of NewPool anew. Connections that are open stay so.
func (p *Pool) SetLimits(most int, idle, dialTimeout time.Duration) {
	if idle <= 0 {
		idle = 30 * time.Second
	}
	if dialTimeout <= 0 {
		dialTimeout = 250 * time.Millisecond
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen, p.maxIdleTime, p.dialTimeout = most, time.Duration(retireShare*float64(idle)), dialTimeout
}

// get gives an idle connection that the replica has not closed, or a new one. An idle one may be reset by the next
// request, or be silent as its machine is cut off, and what is written to it may have run: what must not run twice goes
// out on a new one, which fails before that. As a replica may reset one that its machine has accepted, a moment is
// waited for that.
func (p *Pool) get(ctx context.Context, addr string, once bool) (*conn, error) {
	if once {
		c, err := p.dial(ctx, addr, 0)
		if err != nil {
			return nil, err
		}
		if time.Sleep(settleTime); !isQuiet(c.Conn) {
			p.drop(c)
			return nil, errClosedAtOnce
		}
		return c, nil
	}
	for {
		c, fresh := p.takeIdle(addr)
		if c == nil {
			return p.dial(ctx, addr, 0)
		}
		if fresh && isQuiet(c.Conn) {
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle gives the idle connection that was used last, of those that have rested, if there is one, and tells whether the replica keeps
// it.
func (p *Pool) takeIdle(addr string) (c *conn, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[addr]
	for i, c := range slices.Backward(all) {
		if rested := time.Since(c.idledAt); rested >= minRest {
			p.idle[addr] = slices.Delete(all, i, i+1)
			p.counts.Reused++
			return c, rested < p.maxIdleTime
		}
	}
	return nil, false
}

// dial makes a connection, which may be one of so many beyond the bound.
func (p *Pool) dial(ctx context.Context, addr string, beyond int) (*conn, error) {
	limit, err := p.reserve(beyond)
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: limit, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.counts.Failed++
		return nil, err
	}
	p.counts.Made++
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer), addr: addr}, nil
}

// reserve takes the place of a connection, if need be that of the idle one that was used the longest ago. A call that may be one of so many
// beyond the bound finds places also where attempts, which wait for long, have taken what is theirs.
func (p *Pool) reserve(beyond int) (limit time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bound := p.maxOpen + beyond
	if beyond == 0 {
		bound = p.maxAttemptConns()
	}
	if p.open < bound {
		p.open++
		return p.dialTimeout, nil
	}
	var oldest *conn
	for _, all := range p.idle {
		if len(all) > 0 && (oldest == nil || all[0].idledAt.Before(oldest.idledAt)) {
			oldest = all[0]
		}
	}
	if oldest == nil {
		return 0, errPoolExhausted
	}
	p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	_ = oldest.Close() // nothing more is wanted of it
	p.counts.Evicted++
	return p.dialTimeout, nil
}

// maxAttemptConns bounds the connections of attempts: some of the pool's are kept for calls that must not wait behind them. It needs mu.
func (p *Pool) maxAttemptConns() int {
	if p.maxOpen < reserveFrom {
		return p.maxOpen
	}
	return p.maxOpen - p.maxOpen/reserveShare
}

func (p *Pool) free() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put takes back a connection whose answer has been read to its end. One beyond those of attempts is closed: kept idle, it would be taken by
// an attempt, and with it the place of a call that must not wait.
func (p *Pool) put(c *conn) {
	if c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.idledAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.maxAttemptConns() {
		_ = c.Close() // nothing more is wanted of it
		p.open--
		return
	}
	all := append(p.idle[c.addr], c)
	if len(all) > maxIdlePerReplica {
		_ = all[0].Close() // nothing more is wanted of it
		all = slices.Delete(all, 0, 1)
		p.open--
	}
	p.idle[c.addr] = all
}

// drop closes a connection for good.
func (p *Pool) drop(c *conn) {
	_ = c.Close() // nothing more is wanted of it
	p.free()
}

// closeSuspects closes the idle connections to a replica that has been silent since a time, but for those used after it.
func (p *Pool) closeSuspects(addr string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = slices.DeleteFunc(p.idle[addr], func(c *conn) bool {
		old := c.idledAt.Before(since)
		if old {
			_ = c.Close() // nothing more is wanted of it
			p.open--
		}
		return old
	})
}

const sweepInterval = time.Second

// Sweep closes connections that have stood idle for long, until ctx ends.
func (p *Pool) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, c := range p.takeExpired() {
			p.drop(c)
		}
	}
}

// takeExpired takes out the idle connections that nobody will use again.
func (p *Pool) takeExpired() (old []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, all := range p.idle {
		for len(all) > 0 && time.Since(all[0].idledAt) >= p.maxIdleTime {
			old, all = append(old, all[0]), all[1:]
		}
		if p.idle[addr] = all; len(all) == 0 {
			delete(p.idle, addr)
		}
	}
	return old
}

// isQuiet tells whether the other side of an idle connection has neither closed it nor sent anything. What is
// written to a closed one would end as a reset, which proves nothing of whether it ran.
func isQuiet(c net.Conn) bool {
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
