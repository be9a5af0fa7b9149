package dispatch

import (
	"log"
	"sync"
	"time"
)

// lagThreshold is the wait of a message or a timer from which the core counts as lagging.
const lagThreshold = 100 * time.Millisecond

// delayWindow is the time over which the longest waits are kept.
const delayWindow = time.Second

// Delays measures how far the core's goroutine lags behind. Snapshot gives the figures of the last
// completed window.
type Delays struct {
	mu          sync.Mutex
	current     DelayMetrics // the current window
	last        DelayMetrics // the previous window
	windowStart time.Time    // start of the current window
	// delayed counts the messages and timers that waited for lagThreshold or longer, since the
	// start.
	delayed int
	queued  func() int // returns the number of queued messages
}

// DelayMetrics are the longest waits and the longest step of a window.
type DelayMetrics struct {
	Message     time.Duration // longest wait of a message
	Timer       time.Duration // longest delay of a timer
	Step        time.Duration // longest time that the core took for one message or timer
	stepMessage message       // the message of that step; nil: a timer
}

// record records how long a message (or a timer if m is nil) waited, and how long the core took for
// it.
func (y *Delays) record(m message, wait, took time.Duration, now time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if now.Sub(y.windowStart) >= delayWindow {
		y.closeWindow(now)
	}
	if wait >= lagThreshold {
		y.delayed++
	}
	if m == nil {
		y.current.Timer = max(y.current.Timer, wait)
	} else {
		y.current.Message = max(y.current.Message, wait)
	}
	if took > y.current.Step {
		y.current.Step, y.current.stepMessage = took, m
	}
}

// closeWindow starts a new window, and logs the previous one if the core lagged. The caller must
// hold mu.
func (y *Delays) closeWindow(now time.Time) {
	if f := y.current; max(f.Message, f.Timer) >= lagThreshold {
		log.Printf("core: lagging: messages waited up to %v, timers up to %v; longest step %T took %v; %d messages queued", f.Message, f.Timer,
			f.stepMessage, f.Step, y.queued())
	}
	y.last, y.current, y.windowStart = y.current, DelayMetrics{}, now
}

// Snapshot returns the figures of the last completed window, and how many messages and timers were
// delayed since the start.
func (y *Delays) Snapshot(now time.Time) (f DelayMetrics, delayed int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if now.Sub(y.windowStart) >= delayWindow {
		y.closeWindow(now)
	}
	return y.last, y.delayed
}
