package dispatch

import (
	"sync"
	"time"
)

// maxPerIteration bounds the messages, and also the timers, that one iteration of the core handles.
// An iteration handles queued work in the following order, so that a lagging core does the most
// urgent work first:
//
//  1. Messages about accepted requests (attempts that began or ended, clients that left, confirmed
//     releases) and list updates. A timer must not decide on state that such a message has changed.
//  2. Timers that are due: releases of held state, deadlines, overdue attempts.
//  3. One new request. Nothing has been sent for it, so only new requests may be refused for lack of
//     time.
//
// Each part is bounded so that it cannot starve the next one.
const maxPerIteration = 32

// inbox holds the messages posted to the core. Posting never blocks, because the goroutine that
// ends an attempt also passes the end of the stream on to the client and must not wait for a
// lagging core. The number of messages is bounded by the client connections and the attempts in
// flight.
type inbox struct {
	wake chan struct{} // holds a token when messages may be queued

	mu        sync.Mutex
	followUps queue
	arrivals  queue
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

// put queues a message.
func (b *inbox) put(m message) {
	b.mu.Lock()
	if _, isNew := m.(arrival); isNew {
		b.arrivals.push(queuedMessage{m, time.Now()})
	} else {
		b.followUps.push(queuedMessage{m, time.Now()})
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// nextFollowUp removes and returns the oldest message that is not a new request.
func (b *inbox) nextFollowUp() (queuedMessage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.followUps.pop()
}

// nextArrival removes and returns the oldest new request.
func (b *inbox) nextArrival() (queuedMessage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals.pop()
}

// queued returns the number of queued messages.
func (b *inbox) queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.followUps.len() + b.arrivals.len()
}

// queuedMessage is a message with the time at which it was posted.
type queuedMessage struct {
	message
	at time.Time
}

// maxKeptCapacity is the largest capacity that an empty queue keeps.
const maxKeptCapacity = 1024

// queue is a FIFO queue. It frees memory as messages are removed.
type queue struct {
	items []queuedMessage
	head  int
}

func (q *queue) len() int { return len(q.items) - q.head }

func (q *queue) push(m queuedMessage) { q.items = append(q.items, m) }

func (q *queue) pop() (m queuedMessage, ok bool) {
	if q.len() == 0 {
		return queuedMessage{}, false
	}
	m = q.items[q.head]
	q.items[q.head] = queuedMessage{}
	q.head++
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
		if cap(q.items) > maxKeptCapacity {
			q.items = nil
		}
	} else if q.head > len(q.items)/2 {
		q.items, q.head = append([]queuedMessage(nil), q.items[q.head:]...), 0
	}
	return m, true
}

// iterate runs one iteration of the core and reports whether there was any work.
func (d *Dispatcher) iterate() (busy bool) {
	for range maxPerIteration {
		m, ok := d.inbox.nextFollowUp()
		if !ok {
			break
		}
		d.process(m)
		busy = true
	}
	busy = d.runTimers() || busy
	if m, ok := d.inbox.nextArrival(); ok {
		d.process(m)
		busy = true
	}
	return busy
}

// process applies a message, and records how long it had waited and how long it took.
func (d *Dispatcher) process(m queuedMessage) {
	began := time.Now()
	if a, isNew := m.message.(arrival); isNew {
		a.request.waitedTooLong = d.overload.mustRefuse(began.Sub(m.at), began)
	}
	m.apply(d)
	now := time.Now()
	d.Delays.record(m.message, began.Sub(m.at), now.Sub(began), now)
}

const (
	// refuseAfter is the wait from which a new request may be refused before it is decided.
	refuseAfter = 250 * time.Millisecond
	// refuseSustained is how long all new requests must have waited for lagThreshold or longer
	// before any is refused: a core that was delayed once catches up by itself.
	refuseSustained = 250 * time.Millisecond
)

// overload distinguishes a core that is permanently too slow from one that was delayed for a
// moment.
type overload struct {
	// since is when new requests began to wait for lagThreshold or longer; zero means that the last
	// one did not.
	since time.Time
}

// mustRefuse records the wait of a new request and reports whether it must be refused.
func (o *overload) mustRefuse(wait time.Duration, now time.Time) bool {
	if wait < lagThreshold {
		o.since = time.Time{}
		return false
	}
	if o.since.IsZero() {
		o.since = now
	}
	return wait >= refuseAfter && now.Sub(o.since) >= refuseSustained
}
