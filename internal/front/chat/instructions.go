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
	now     func() time.Time
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
	maxInstructions      = 4096
)

// NewInstructions returns an empty memory of instructions.
func NewInstructions() *Instructions {
	return &Instructions{entries: map[uint64]instruction{}, now: time.Now}
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
	if len(m.entries) >= maxInstructions {
		for k, e := range m.entries {
			if !e.retained(now) {
				delete(m.entries, k)
			}
		}
		if len(m.entries) >= maxInstructions {
			return false, true
		}
	}
	e.pending++
	m.entries[key] = e
	return false, false
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
	}
}
