package dispatch

import (
	"sync"
	"time"
)

// A turn of the core does what waits for it in the order in which a core that has fallen behind owes it:
//
//  1. messages that tell of requests which were taken: attempts that began or ended, clients that left, releases that were confirmed,
//     and lists. A timer must not judge by a state that such a message has already changed.
//  2. timers that are due: releases of what is held, deadlines, attempts that take too long.
//  3. one new request. Nothing of it has been sent, so it alone may be refused for want of time.
//
// No part may keep the next from its turn, so each is bounded.
const maxPerIteration = 32 // messages, and timers, of one turn

// inbox holds what was posted to the core. Posting never blocks: whoever ends an attempt passes its stream's end on to the client, and
// must not wait for a core that is behind. What can be posted is bounded by the connections of clients and by the attempts that are out.
type inbox struct {
	wake chan struct{} // holds a token when something may wait

	mu        sync.Mutex
	followUps queue
	arrivals  queue
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

// put takes a message in.
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

// nextOwed gives the message that has waited the longest of those that are no new requests.
func (b *inbox) nextFollowUp() (queuedMessage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.followUps.pop()
}

// nextArrival gives the new request that has waited the longest.
func (b *inbox) nextArrival() (queuedMessage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals.pop()
}

// waiting counts the messages.
func (b *inbox) queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.followUps.len() + b.arrivals.len()
}

// posted is a message with the time at which it was handed in.
type queuedMessage struct {
	message
	at time.Time
}

// queueKept is the length up to which an empty queue keeps its memory.
const maxKeptCapacity = 1024

// queue is first in, first out. Its memory follows what waits.
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

// turn does what waits for the core, and tells whether anything did.
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

// take applies a message and books how long it had waited and what it took.
func (d *Dispatcher) process(m queuedMessage) {
	began := time.Now()
	if a, isNew := m.message.(arrival); isNew {
		a.r.waitedTooLong = d.overload.mustRefuse(began.Sub(m.at), began)
	}
	m.apply(d)
	now := time.Now()
	d.Delays.record(m.message, began.Sub(m.at), now.Sub(began), now)
}

const (
	// refuseAfter is the wait of a new request from which it may be refused unseen.
	refuseAfter = 250 * time.Millisecond
	// refuseSustained is for how long all new requests must have waited for behindFrom or longer: a core that was held up once catches up.
	refuseSustained = 250 * time.Millisecond
)

// overload tells a core that can't keep up from one that was held up for a moment.
type overload struct {
	since time.Time // when new requests began to wait for behindFrom or longer; zero: the last one did not
}

// late books the wait of a new request, and tells whether it is to be refused.
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
