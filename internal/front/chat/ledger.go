package chat

import (
	"sync"
	"time"
)

// ledger remembers the instructions that have run, may have, or may yet. Client libraries send a request anew by
// themselves when a connection breaks or their own time is over; such a repeat must not run a second time.
type ledger struct {
	mu    sync.Mutex
	marks map[uint64]mark
	clock func() time.Time
}

type mark struct {
	open int       // of these words, so many are not answered yet
	ran  time.Time // when one ended last that may have run
}

func (m mark) live(now time.Time) bool { return m.open > 0 || now.Sub(m.ran) < ledgerLife }

const (
	ledgerLife = 15 * time.Minute // longer than libraries wait by default
	ledgerMost = 4096
)

func newLedger() *ledger { return &ledger{marks: map[uint64]mark{}, clock: time.Now} }

// enter notes an instruction that is taken in; it tells whether one with the same mark may have run. Only a
// repeat, or a request that names itself by a key, can be known again: the same words may well be meant twice.
func (l *ledger) enter(key uint64, repeat bool) (mayHaveRun, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	m := l.marks[key]
	if repeat && m.live(now) {
		return true, false
	}
	if len(l.marks) >= ledgerMost {
		for k, m := range l.marks {
			if !m.live(now) {
				delete(l.marks, k)
			}
		}
		if len(l.marks) >= ledgerMost {
			return false, true
		}
	}
	m.open++
	l.marks[key] = m
	return false, false
}

// close notes how it ended: only what is proven never to have run may come again.
func (l *ledger) close(key uint64, mayHaveRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.marks[key]
	m.open--
	if mayHaveRun {
		m.ran = l.clock()
	}
	if l.marks[key] = m; !m.live(l.clock()) {
		delete(l.marks, key)
	}
}
