package chat

import (
	"sync"
	"time"
)

// ledger remembers the instructions that have run, may have, or may yet. Client libraries send a request anew by
// themselves when a connection breaks or their own time is over; such a repeat must not run a second time.
type ledger struct {
	mu      sync.Mutex
	entries map[uint64]entry
	now     func() time.Time
}

type entry struct {
	pending int       // of these words, so many are not answered yet
	lastRan time.Time // when one ended last that may have run
}

func (m entry) retained(now time.Time) bool {
	return m.pending > 0 || now.Sub(m.lastRan) < ledgerRetention
}

const (
	ledgerRetention  = 15 * time.Minute // longer than libraries wait by default
	ledgerMaxEntries = 4096
)

func newLedger() *ledger { return &ledger{entries: map[uint64]entry{}, now: time.Now} }

// begin notes an instruction that is taken in; it tells whether one with the same mark may have run. Only a
// repeat, or a request that names itself by a key, can be known again: the same words may well be meant twice.
func (l *ledger) begin(key uint64, repeat bool) (mayHaveRun, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	m := l.entries[key]
	if repeat && m.retained(now) {
		return true, false
	}
	if len(l.entries) >= ledgerMaxEntries {
		for k, m := range l.entries {
			if !m.retained(now) {
				delete(l.entries, k)
			}
		}
		if len(l.entries) >= ledgerMaxEntries {
			return false, true
		}
	}
	m.pending++
	l.entries[key] = m
	return false, false
}

// finish notes how it ended: only what is proven never to have run may come again.
func (l *ledger) finish(key uint64, mayHaveRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.entries[key]
	m.pending--
	if mayHaveRun {
		m.lastRan = l.now()
	}
	if l.entries[key] = m; !m.retained(l.now()) {
		delete(l.entries, key)
	}
}
