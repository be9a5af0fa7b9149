package front

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// While a request is open, its connection is read to notice that the client closes it. The close
// arrives behind everything that the client has sent before. What comes behind the request is kept
// up to a limit, to be served next, and beyond that it is discarded: a close would not be seen behind
// data that is left unread.

const (
	readAheadStep = 512
	freeReadAhead = 4 << 10 // bytes that each connection may keep
	maxReadAhead  = 1 << 20 // bytes that a connection may keep where the limiter has memory
	discardStep   = 16 << 10
	// Beyond discardBurst bytes, the reading pauses after each step, so that a client that sends at
	// full speed does not take the processor's time. The burst is more than the network holds of a
	// connection.
	discardBurst = 8 << 20
	discardPause = 500 * time.Microsecond
)

// errOverrun ends a connection whose client has sent more behind a request than was kept.
var errOverrun = errors.New("too much was sent behind a request")

// readAhead is what a connection has received behind its current request. One goroutine at a time
// reads from the connection and changes it; mu is for others that look.
type readAhead struct {
	mu        sync.Mutex
	data      []byte
	discarded int // bytes; if any were discarded, the connection ends behind data
}

// hasData reports whether there is data that the server has not read.
func (a *readAhead) hasData() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.data) > 0
}

// isOverrun reports whether data was discarded.
func (a *readAhead) isOverrun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.discarded > 0
}

// extend adds bytes that were read into the space behind data.
func (a *readAhead) extend(bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data = a.data[:len(a.data)+bytes]
}

// put keeps a copy of text for the next read. There must be no data.
func (a *readAhead) put(text []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data = slices.Clone(text)
}

// take moves data to p, no more lines than the server may get at once.
func (a *readAhead) take(p []byte) (n, lines int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, lines = cutLines(a.data[:min(len(p), len(a.data))])
	copy(p, a.data[:n])
	if a.data = a.data[n:]; len(a.data) == 0 {
		a.data = nil
	}
	return n, lines
}

// takeAhead returns data that was read ahead.
func (c *Conn) takeAhead(p []byte) (n, lines int) {
	n, lines = c.ahead.take(p)
	if !c.ahead.hasData() {
		c.limiter.reserveAhead(c, 0)
	}
	return n, lines
}

// aheadSpace returns free space behind the data that was read ahead, or nil if no more may be kept.
func (c *Conn) aheadSpace() []byte {
	a := &c.ahead
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.discarded > 0 {
		return nil
	}
	size := len(a.data)
	if size == cap(a.data) {
		next := max(2*size, readAheadStep)
		if next > maxReadAhead || !c.limiter.reserveAhead(c, next) {
			return nil
		}
		a.data = append(make([]byte, 0, next), a.data...)
	}
	return a.data[size:cap(a.data)]
}

// discardBuffers holds buffers for data that is thrown away.
var discardBuffers = sync.Pool{New: func() any { return new([discardStep]byte) }}

// readAvailable reads data that has arrived, without blocking. It reports whether there was any, and
// whether the client has closed the connection.
func (c *Conn) readAvailable() (received, closed bool) {
	if space := c.aheadSpace(); space != nil {
		n, closed := c.readNonblocking(space)
		c.ahead.extend(n)
		return n > 0, closed
	}
	buffer := discardBuffers.Get().(*[discardStep]byte)
	defer discardBuffers.Put(buffer)
	n, closed := c.readNonblocking(buffer[:])
	c.ahead.mu.Lock()
	c.ahead.discarded += n
	c.ahead.mu.Unlock()
	return n > 0, closed
}

// ClientClosed reports whether the client has closed the connection, whatever it sent before that.
// Nothing else may read from the connection meanwhile.
func (c *Conn) ClientClosed() bool {
	for range discardBurst / discardStep {
		received, closed := c.readAvailable()
		if closed || !received {
			return closed
		}
	}
	return c.hungUp()
}

// awaitClose reads from the connection until the client has closed it, or until the read deadline,
// and reports whether it has closed it.
func (c *Conn) awaitClose() bool {
	raw, err := c.descriptor()
	if err != nil || raw == nil {
		return err != nil
	}
	for {
		if err := raw.Read(func(fd uintptr) bool { return readable(int(fd)) }); err != nil {
			return !isTimeout(err)
		}
		if _, closed := c.readAvailable(); closed {
			return true
		}
		if c.ahead.discarded > discardBurst {
			time.Sleep(discardPause)
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// endOverrun answers the client whose data was discarded and ends the reading. If a part of a
// request was kept, the server answers that one.
func (c *Conn) endOverrun() error {
	if c.requestHasBegun() {
		return errOverrun
	}
	c.markIdle(true) // to be closed only after the client has read the response
	_, _ = c.Write([]byte(rejectResponse))
	return io.EOF
}

// hungUp reports whether the kernel has seen the client's close, even if data sent before it is
// still unread.
func (c *Conn) hungUp() bool {
	return c.inspectFD(func(fd int) bool {
		pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(pollFDs, 0)
		return err == nil && n > 0 && pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
}

// WatchClose calls gone once if the client closes the connection before stop is called. Nothing
// else may read from the connection in between. After stop has returned, gone is not called any
// more.
func (c *Conn) WatchClose(gone func()) (stop func()) {
	done := make(chan struct{})
	var mu sync.Mutex // serializes gone with stop
	stopped := false
	_ = c.SetReadDeadline(time.Time{}) // clears the server's deadline for reading this request
	go func() {
		defer close(done)
		closed := c.awaitClose()
		mu.Lock()
		defer mu.Unlock()
		if closed && !stopped {
			gone()
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			mu.Lock()
			stopped = true
			mu.Unlock()
			_ = c.SetReadDeadline(time.Now().Add(-time.Second)) // ends awaitClose
			<-done
			_ = c.SetReadDeadline(time.Time{})
		})
	}
}
