// Package replica sends attempts, probes and release calls to replicas over a pool of connections.
// It never repeats an attempt by itself: each send is one attempt with one exact outcome.
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

// stallTimeout is the usual StallTimeout. A client may wait for at most 5 s after the last event of
// an incomplete stream; a stream that pauses for less goes on. The rest is for the end to reach the
// client.
const stallTimeout = 4750 * time.Millisecond

// Pool is a pool of connections to replicas. A connection carries one request at a time.
type Pool struct {
	// StallTimeout ends a stream without an event for this long.
	StallTimeout time.Duration

	mu          sync.Mutex
	maxOpen     int           // connections that may be open at once
	maxIdleTime time.Duration // a connection that has been idle for longer is not reused
	dialTimeout time.Duration
	open        int
	counts      PoolCounts
	idle        map[string][]*conn // by address, the most recently used last
}

// PoolCounts holds the counts of a pool since its start. Open is the current number of connections.
type PoolCounts struct{ Made, Failed, Reused, Evicted, Open int }

// Counts returns the counts so far.
func (p *Pool) Counts() PoolCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Open = p.open
	return c
}

// conn is a connection with its read buffer, which is kept across requests.
type conn struct {
	net.Conn
	br         *bufio.Reader
	addr       string
	idledAt    time.Time
	beforeRead func() // called before each read from the network, to set its deadline; may be nil
}

// Read reads from the network. The buffer br calls it when it is empty.
func (c *conn) Read(p []byte) (int, error) {
	if c.beforeRead != nil {
		c.beforeRead()
	}
	return c.Conn.Read(p)
}

// age describes for the log whether a connection is new, or how long it has been idle since its
// previous request.
func (c *conn) age() string {
	if c.idledAt.IsZero() {
		return "a new connection"
	}
	return "a connection idle for " + time.Since(c.idledAt).String()
}

const (
	// The pool closes a connection after this share of the replicas' idle timeout, before they do.
	retireShare       = 0.8
	maxIdlePerReplica = 8                    // an idle connection also uses up a place at the replica
	settleTime        = 2 * time.Millisecond // a few round trips
	// minRest is how long a connection must have been idle before it is reused. A replica may send
	// an unexpected second answer some milliseconds after the first. It must be noticed before the
	// next request is sent, or it would be taken for the answer to that one.
	minRest = 30 * time.Millisecond
	// maxExtra is how many connections beyond the bound urgent calls may open, so that they don't
	// wait behind attempts. They use descriptors that the process keeps free.
	maxExtra = 8
	// A pool of at least reserveFrom connections reserves one in reserveShare of them for urgent
	// calls.
	reserveFrom  = 32
	reserveShare = 32
	readBuffer   = 4 << 10
	writeBuffer  = 16 << 10
)

var (
	errPoolExhausted = errors.New("every connection is in use")
	errClosedAtOnce  = errors.New("the new connection was closed at once")
)

// NewPool returns a pool of at most maxOpen connections to replicas that close connections after
// the given idle timeout. Defaults replace timeouts that are not positive.
func NewPool(maxOpen int, idle, dialTimeout time.Duration) *Pool {
	p := &Pool{StallTimeout: stallTimeout, idle: map[string][]*conn{}}
	p.SetLimits(maxOpen, idle, dialTimeout)
	return p
}

// SetLimits changes the limits that were passed to NewPool. Open connections stay open.
func (p *Pool) SetLimits(maxOpen int, idle, dialTimeout time.Duration) {
	if idle <= 0 {
		idle = 30 * time.Second
	}
	if dialTimeout <= 0 {
		dialTimeout = 250 * time.Millisecond
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen, p.maxIdleTime, p.dialTimeout = maxOpen, time.Duration(retireShare*float64(idle)), dialTimeout
}

// get returns an idle connection that the replica has not closed, or a new one. An idle connection
// may be reset by the next request, or be dead because the machine of the replica is cut off.
// Either way a request that was written to it may have run. With noReuse, for requests that must
// not run twice, get returns a new connection, as dialing fails in these cases before anything is
// sent. It also waits for settleTime, because a replica may reset a connection that its machine has
// accepted.
func (p *Pool) get(ctx context.Context, addr string, noReuse bool) (*conn, error) {
	if noReuse {
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
		c, usable := p.takeIdle(addr)
		if c == nil {
			return p.dial(ctx, addr, 0)
		}
		if usable && isQuiet(c.Conn) {
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle removes and returns the most recently used connection that has been idle for at least
// minRest, if there is one. It is usable unless the replica may be about to close it for its idle
// timeout.
func (p *Pool) takeIdle(addr string) (c *conn, usable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[addr]
	for i, c := range slices.Backward(all) {
		if idleFor := time.Since(c.idledAt); idleFor >= minRest {
			p.idle[addr] = slices.Delete(all, i, i+1)
			p.counts.Reused++
			return c, idleFor < p.maxIdleTime
		}
	}
	return nil, false
}

// dial opens a connection. If extra is positive, the call is urgent and may exceed the bound of the
// pool by that many connections.
func (p *Pool) dial(ctx context.Context, addr string, extra int) (*conn, error) {
	timeout, err := p.reserve(extra)
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.counts.Failed++
		return nil, err
	}
	p.counts.Made++
	pc := &conn{Conn: c, addr: addr}
	pc.br = bufio.NewReaderSize(pc, readBuffer)
	return pc, nil
}

// reserve counts a connection that is about to be opened, and evicts the least recently used idle
// connection if the bound is reached. With extra the bound is higher than that of attempts, so that
// urgent calls get connections even if attempts, which wait for a long time, use all of theirs.
func (p *Pool) reserve(extra int) (dialTimeout time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bound := p.maxOpen + extra
	if extra == 0 {
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
	_ = oldest.Close() // errors don't matter on a discarded connection
	p.counts.Evicted++
	return p.dialTimeout, nil
}

// maxAttemptConns returns the bound for attempts: some connections of the pool are reserved for
// urgent calls, which must not wait behind attempts. The caller holds mu.
func (p *Pool) maxAttemptConns() int {
	if p.maxOpen < reserveFrom {
		return p.maxOpen
	}
	return p.maxOpen - p.maxOpen/reserveShare
}

// free uncounts a connection that is closed.
func (p *Pool) free() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put returns a connection whose answer has been read to its end to the pool. If more connections
// are open than attempts may use, it is closed instead: an attempt would take it from the idle ones
// and so occupy a connection that is reserved for urgent calls.
func (p *Pool) put(c *conn) {
	c.beforeRead = nil
	if c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.idledAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.maxAttemptConns() {
		_ = c.Close() // errors don't matter on a discarded connection
		p.open--
		return
	}
	all := append(p.idle[c.addr], c)
	if len(all) > maxIdlePerReplica {
		_ = all[0].Close() // errors don't matter on a discarded connection
		all = slices.Delete(all, 0, 1)
		p.open--
	}
	p.idle[c.addr] = all
}

// drop closes a connection and uncounts it.
func (p *Pool) drop(c *conn) {
	_ = c.Close() // errors don't matter on a discarded connection
	p.free()
}

// closeSuspects closes the idle connections to a replica that has been silent since the given time,
// except those used after it.
func (p *Pool) closeSuspects(addr string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = slices.DeleteFunc(p.idle[addr], func(c *conn) bool {
		suspect := c.idledAt.Before(since)
		if suspect {
			_ = c.Close() // errors don't matter on a discarded connection
			p.open--
		}
		return suspect
	})
}

const sweepInterval = time.Second

// Sweep closes connections that have been idle for too long, until ctx ends.
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

// takeExpired removes and returns the connections that have been idle for too long.
func (p *Pool) takeExpired() (expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, all := range p.idle {
		for len(all) > 0 && time.Since(all[0].idledAt) >= p.maxIdleTime {
			expired, all = append(expired, all[0]), all[1:]
		}
		if p.idle[addr] = all; len(all) == 0 {
			delete(p.idle, addr)
		}
	}
	return expired
}

// isQuiet reports whether the replica has neither closed an idle connection nor sent anything on
// it. A request written to a closed connection would end in a reset, which doesn't tell whether it
// ran.
func isQuiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
