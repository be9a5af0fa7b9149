package replica

import (
	"bytes"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// A replica sends a head at once, and a first event soon behind it. Those that are silent for so
	// long in the middle of either never go on.
	headSilence  = 400 * time.Millisecond
	eventSilence = time.Second
	maxInterim   = 100 // interim (1xx) answers before the final one
)

// readHead reads the head of the final answer and skips interim answers. If that fails, received
// reports whether the replica had sent a part of a head, or too many interim answers.
func (a *attempt) readHead() (received bool, err error) {
	for range maxInterim {
		if _, err := a.c.br.Peek(1); err != nil {
			return false, err
		}
		a.allowSilence(headSilence)
		if err := a.resp.Header.Read(a.c.br); err != nil {
			return true, err
		}
		if s := a.resp.StatusCode(); s >= fasthttp.StatusOK || s == fasthttp.StatusSwitchingProtocols {
			return false, nil
		}
		a.awaitUntilDeadline()
	}
	return true, fmt.Errorf("%w: too many interim answers", errBadFraming)
}

// allowSilence bounds the time for which each of the connection's next reads waits for data. A
// replica that goes on sending is waited for, however slowly it sends.
func (a *attempt) allowSilence(limit time.Duration) {
	a.c.beforeRead = func() { a.setReadTimeout(limit) }
}

// awaitUntilDeadline lets the connection's next reads wait for data until the attempt's deadline.
func (a *attempt) awaitUntilDeadline() {
	a.c.beforeRead = nil
	a.setReadTimeout(time.Until(a.to.Until))
}

// setReadTimeout bounds the time of the connection's next reads, within the deadline of the
// attempt. It does nothing once the attempt is cancelled or its deadline is lifted.
func (a *attempt) setReadTimeout(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() == nil && !a.deadlineLifted {
		until := time.Now().Add(timeout)
		if a.to.Until.Before(until) {
			until = a.to.Until
		}
		_ = a.c.SetReadDeadline(until) // an error recurs in the read
	}
}

// hasEvent reports whether text holds a complete event: lines up to an empty one, at least one of
// them with data.
func hasEvent(text []byte) bool {
	data := false
	for line := range bytes.Lines(text) {
		switch end := bytes.TrimRight(line, "\r\n"); {
		case bytes.HasPrefix(line, []byte("data")):
			data = true
		case len(end) == 0 && data && line[len(line)-1] == '\n':
			return true
		}
	}
	return false
}
