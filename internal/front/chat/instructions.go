package chat

import (
	"sync"
	"time"
)

// Instructions remembers the instructions that have run, may have run or may still run. Client
// libraries resend a request by themselves when a connection breaks or their own timeout expires;
// such a repeat must not run a second time, whichever front takes it. So there is one for the
// process, which all of its chat fronts use. It is safe for concurrent use.
type Instructions struct {
	mu      sync.Mutex
	entries map[uint64]instruction
	limit   int // entries
	// fullUntil is when the first entry may expire, as of the last time that all were in use.
	fullUntil time.Time
	now       func() time.Time
}

type instruction struct {
	pending int       // requests with this key that are not answered yet
	lastRan time.Time // when the last one that may have run ended
}

func (e instruction) retained(now time.Time) bool {
	return e.pending > 0 || now.Sub(e.lastRan) < instructionRetention
}

const (
	instructionRetention = 15 * time.Minute // longer than the default timeouts of client libraries
	leastInstructions    = 4096
	instructionBytes     = 64 // memory of an entry
)

// NewInstructions returns an empty memory of instructions.
func NewInstructions() *Instructions {
	return &Instructions{entries: map[uint64]instruction{}, limit: leastInstructions, now: time.Now}
}

// SetLimit changes the memory of the entries, in bytes. Entries that are in use stay.
func (m *Instructions) SetLimit(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit, m.fullUntil = max(bytes/instructionBytes, leastInstructions), time.Time{}
}

// begin records an instruction that is accepted. It reports whether one with the same key may have
// run. That is checked only for a repeat or for a request with a client key, because two requests
// with the same content may both be intended.
func (m *Instructions) begin(key uint64, repeat bool) (mayHaveRun, full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	e := m.entries[key]
	if repeat && e.retained(now) {
		return true, false
	}
	if _, known := m.entries[key]; !known && !m.makeRoom(now) {
		return false, true
	}
	e.pending++
	m.entries[key] = e
	return false, false
}

// makeRoom deletes expired entries if there are as many as the limit allows, and reports whether
// there is room for another one. The caller holds mu.
func (m *Instructions) makeRoom(now time.Time) bool {
	if len(m.entries) < m.limit {
		return true
	}
	if now.Before(m.fullUntil) {
		return false
	}
	m.fullUntil = now.Add(instructionRetention)
	for k, e := range m.entries {
		if !e.retained(now) {
			delete(m.entries, k)
		} else if expires := e.lastRan.Add(instructionRetention); e.pending == 0 && expires.Before(m.fullUntil) {
			m.fullUntil = expires
		}
	}
	return len(m.entries) < m.limit
}

// finish records the end of an instruction. Only one that has provably not run may be sent again.
func (m *Instructions) finish(key uint64, mayHaveRun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[key]
	e.pending--
	if mayHaveRun {
		e.lastRan = m.now()
	}
	if m.entries[key] = e; !e.retained(m.now()) {
		delete(m.entries, key)
		m.fullUntil = time.Time{}
	}
}
