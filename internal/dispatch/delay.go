package dispatch

import (
	"log"
	"sync"
	"time"
)

// behindFrom is the wait of a message or a timer from which the core counts as behind.
const lagThreshold = 100 * time.Millisecond

// delayWindow is the time over which the longest waits are kept.
const delayWindow = time.Second

// Delays tells how far the core's goroutine is behind what is asked of it. Figures of a window are those of the last whole second.
type Delays struct {
	mu          sync.Mutex
	current     DelayMetrics // of the window that runs
	last        DelayMetrics // of the window before
	windowStart time.Time    // of the window that runs
	delayed     int          // messages and timers that waited for behindFrom or longer, since the start
	queued      func() int   // messages that wait now
}

// DelayMetrics are the longest waits and the longest step of a window.
type DelayMetrics struct {
	Message     time.Duration // that a message waited for the core
	Timer       time.Duration // that a timer went off late
	Step        time.Duration // that the core took for one message or timer
	stepMessage message       // what that was; nil: a timer
}

// book books that a message waited, or a timer where it is nil, and what the core then took for it.
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

// closeWindow begins another window, and logs one in which the core was behind. It needs mu.
func (y *Delays) closeWindow(now time.Time) {
	if f := y.current; max(f.Message, f.Timer) >= lagThreshold {
		log.Printf("core: behind: messages waited up to %v, timers %v; the longest step, %T, took %v; %d messages wait", f.Message, f.Timer,
			f.stepMessage, f.Step, y.queued())
	}
	y.last, y.current, y.windowStart = y.current, DelayMetrics{}, now
}

// Snapshot gives the figures of the last whole window, and how many messages and timers came late since the start.
func (y *Delays) Snapshot(now time.Time) (f DelayMetrics, delayed int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if now.Sub(y.windowStart) >= delayWindow {
		y.closeWindow(now)
	}
	return y.last, y.delayed
}
