package dispatch

import (
	"container/heap"
	"time"
)

// timer runs a function on the core's goroutine at a given time.
type timer struct {
	at    time.Time
	run   func()
	index int // in the heap; notQueued once it has run or was stopped
}

const notQueued = -1

// timerHeap orders timers by time.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = notQueued
	return t
}

// after runs a function once the time has passed.
func (d *Dispatcher) after(wait time.Duration, do func()) *timer {
	t := &timer{at: d.clock().Add(wait), run: do}
	heap.Push(&d.timers, t)
	return t
}

// afterFor is like after, but the function does not run once the request is forgotten. A client may
// announce to wait for long and is answered at once: its timers must not be kept for all that time.
func (d *Dispatcher) afterFor(r *request, wait time.Duration, do func()) {
	r.timers = append(r.timers, d.after(wait, do))
}

// stopTimers stops the timers of a request.
func (d *Dispatcher) stopTimers(r *request) {
	for _, t := range r.timers {
		if t.index != notQueued {
			heap.Remove(&d.timers, t.index)
		}
	}
	r.timers = nil
}

// runTimers runs the timers that are due, at most maxPerIteration of them, and reports whether
// there were any.
func (d *Dispatcher) runTimers() (busy bool) {
	for range maxPerIteration {
		if len(d.timers) == 0 || d.timers[0].at.After(d.clock()) {
			return busy
		}
		due, began := heap.Pop(&d.timers).(*timer), time.Now()
		due.run()
		now := time.Now()
		d.Delays.record(nil, began.Sub(due.at), now.Sub(began), now)
		busy = true
	}
	return busy
}
