package chat

import (
	"sync"
	"time"
)

// ledger remembers the instructions that have run, may have run or may still run. Client libraries
// resend a request by themselves when a connection breaks or their own timeout expires; such a
// repeat must not run a second time.
type ledger struct {
	mu      sync.Mutex
	entries map[uint64]entry
	now     func() time.Time
}

type entry struct {
	pending int       // requests with this key that are not answered yet
	lastRan time.Time // when the last one that may have run ended
}

func (e entry) retained(now time.Time) bool {
	return e.pending > 0 || now.Sub(e.lastRan) < ledgerRetention
}

const (
	ledgerRetention  = 15 * time.Minute // longer than the default timeouts of client libraries
	ledgerMaxEntries = 4096
)

func newLedger() *ledger { return &ledger{entries: map[uint64]entry{}, now: time.Now} }

// begin records an instruction that is accepted. It reports whether one with the same key may have
// run. That is checked only for a repeat or for a request with a client key, because two requests
// with the same content may both be intended.
func (l *ledger) begin(key uint64, repeat bool) (mayHaveRun, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	e := l.entries[key]
	if repeat && e.retained(now) {
		return true, false
	}
	if len(l.entries) >= ledgerMaxEntries {
		for k, e := range l.entries {
			if !e.retained(now) {
				delete(l.entries, k)
			}
		}
		if len(l.entries) >= ledgerMaxEntries {
			return false, true
		}
	}
	e.pending++
	l.entries[key] = e
	return false, false
}

// finish records the end of an instruction. Only one that has provably not run may be sent again.
func (l *ledger) finish(key uint64, mayHaveRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[key]
	e.pending--
	if mayHaveRun {
		e.lastRan = l.now()
	}
	if l.entries[key] = e; !e.retained(l.now()) {
		delete(l.entries, key)
	}
}
