package config

import (
	"fmt"
	"time"

	"standpulley/internal/bookkeeping"
	"standpulley/internal/ledger"
)

// Ledger sets up what dispatchers that agree remember together of what must not run twice. It is off where the operator's file has
// none.
type Ledger struct {
	Keep    string                 `json:"keep"`    // for so long after its last attempt; 24h if not set
	Entries int                    `json:"entries"` // at most; a million if not set
	Share   float64                `json:"share"`   // of the room that is free, a customer may hold so many times as much; 2 if not set
	Find    string                 `json:"find"`    // that an intent or a repeat may take; 200ms if not set
	Survive bookkeeping.Durability `json:"survive"` // process, site, disk; site if not set
}

// The defaults, and bounds.
const (
	ledgerKeep    = 24 * time.Hour
	ledgerEntries = 1_000_000
	ledgerShare   = 2
	ledgerFind    = 200 * time.Millisecond

	ledgerKeepLeast = time.Minute
	ledgerFindLeast = 20 * time.Millisecond
	ledgerFindMost  = 5 * time.Second
)

func (l *Ledger) check() error {
	if l.Keep == "" {
		l.Keep = ledgerKeep.String()
	}
	if l.Entries == 0 {
		l.Entries = ledgerEntries
	}
	if l.Share == 0 {
		l.Share = ledgerShare
	}
	if l.Find == "" {
		l.Find = ledgerFind.String()
	}
	if l.Survive == "" {
		l.Survive = bookkeeping.DurabilitySite
	}
	keep, err := time.ParseDuration(l.Keep)
	if err != nil || keep < ledgerKeepLeast {
		return &Fault{"ledger.keep", fmt.Sprintf("%q is no time of %v or more", l.Keep, ledgerKeepLeast)}
	}
	find, err := time.ParseDuration(l.Find)
	switch {
	case err != nil || find < ledgerFindLeast || find > ledgerFindMost:
		return &Fault{"ledger.find", fmt.Sprintf("%q is no time from %v to %v", l.Find, ledgerFindLeast, ledgerFindMost)}
	case l.Entries < 0:
		return &Fault{"ledger.entries", "a negative figure"}
	case l.Share < 0:
		return &Fault{"ledger.share", "a negative figure"}
	case !l.Survive.Valid():
		return &Fault{"ledger.survive", fmt.Sprintf("%q is none of process, site, disk", l.Survive)}
	}
	return nil
}

// Limits are those of its table.
func (l *Ledger) Limits() ledger.Limits {
	return ledger.Limits{MaxEntries: l.Entries, Retention: checked(l.Keep), Share: l.Share}
}

// FindTimeout bounds what an intent or a repeat may take.
func (l *Ledger) FindTimeout() time.Duration { return checked(l.Find) }
