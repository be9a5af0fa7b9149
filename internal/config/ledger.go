package config

import (
	"fmt"
	"time"

	"standpulley/internal/intentlog"
	"standpulley/internal/ledger"
)

// Ledger configures the ledger in which the dispatchers of a cluster record requests that must not
// run twice. It is off if the operator's file lacks it.
type Ledger struct {
	Keep    string               `json:"keep"`    // how long an entry is kept after its last attempt; 24h if not set
	Entries int                  `json:"entries"` // most entries; a million if not set
	Share   float64              `json:"share"`   // a customer may hold up to this multiple of the free room; 2 if not set
	Find    string               `json:"find"`    // how long recording an intent or looking up a repeat may take; 200ms if not set
	Survive intentlog.Durability `json:"survive"` // which loss entries survive: process, site or disk; site if not set
}

// Defaults and bounds.
const (
	defaultLedgerKeep    = 24 * time.Hour
	defaultLedgerEntries = 1_000_000
	defaultLedgerShare   = 2
	defaultLedgerFind    = 200 * time.Millisecond

	minLedgerKeep = time.Minute
	minLedgerFind = 20 * time.Millisecond
	maxLedgerFind = 5 * time.Second
)

func (l *Ledger) check() error {
	if l.Keep == "" {
		l.Keep = defaultLedgerKeep.String()
	}
	if l.Entries == 0 {
		l.Entries = defaultLedgerEntries
	}
	if l.Share == 0 {
		l.Share = defaultLedgerShare
	}
	if l.Find == "" {
		l.Find = defaultLedgerFind.String()
	}
	if l.Survive == "" {
		l.Survive = intentlog.DurabilitySite
	}
	keep, err := time.ParseDuration(l.Keep)
	if err != nil || keep < minLedgerKeep {
		return &Fault{"ledger.keep", fmt.Sprintf("%q is not a duration of %v or more", l.Keep, minLedgerKeep)}
	}
	find, err := time.ParseDuration(l.Find)
	switch {
	case err != nil || find < minLedgerFind || find > maxLedgerFind:
		return &Fault{"ledger.find", fmt.Sprintf("%q is not a duration from %v to %v", l.Find, minLedgerFind, maxLedgerFind)}
	case l.Entries < 0:
		return &Fault{"ledger.entries", "must not be negative"}
	case l.Share < 0:
		return &Fault{"ledger.share", "must not be negative"}
	case !l.Survive.Valid():
		return &Fault{"ledger.survive", fmt.Sprintf("%q is not one of process, site and disk", l.Survive)}
	}
	return nil
}

// Limits returns the limits of the ledger's table.
func (l *Ledger) Limits() ledger.Limits {
	return ledger.Limits{MaxEntries: l.Entries, Retention: durationOf(l.Keep), Share: l.Share}
}

// FindTimeout returns how long recording an intent or looking up a repeat may take.
func (l *Ledger) FindTimeout() time.Duration { return durationOf(l.Find) }
