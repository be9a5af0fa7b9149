package ledgerstore

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"standpulley/internal/ledger"
)

// Record is what is written at once about one instruction: what was learned of it or, after
// compaction, all that is known. The records of one key are merged when the file is loaded.
type Record struct {
	Key      ledger.Key
	Customer string
	At       time.Duration // on the holder's clock, which advances only while the process runs
	Entry    ledger.Entry
}

// The field numbers of a record, in the protocol buffers wire format. Unknown fields are skipped
// when a record is read, so that later versions may add some. docs/ledger.md has the message
// definition.
const (
	fieldKey        protowire.Number = 1
	fieldCustomer   protowire.Number = 2
	fieldAt         protowire.Number = 3 // milliseconds
	fieldAttempt    protowire.Number = 4
	fieldResolution protowire.Number = 5

	attemptOwner   protowire.Number = 1
	attemptBoot    protowire.Number = 2
	attemptN       protowire.Number = 3
	attemptOutcome protowire.Number = 4

	resolutionRan  protowire.Number = 1
	resolutionBy   protowire.Number = 2
	resolutionWhy  protowire.Number = 3
	resolutionWall protowire.Number = 4
)

// Append appends the encoded record to b.
func (r *Record) Append(b []byte) []byte {
	b = appendBytes(b, fieldKey, r.Key[:])
	b = appendBytes(b, fieldCustomer, []byte(r.Customer))
	b = appendVarint(b, fieldAt, uint64(r.At.Milliseconds()))
	for _, t := range r.Entry.Attempts {
		var m []byte
		m = appendBytes(m, attemptOwner, []byte(t.Owner))
		m = appendVarint(m, attemptBoot, t.Boot)
		m = appendVarint(m, attemptN, t.N)
		m = appendVarint(m, attemptOutcome, uint64(t.Outcome))
		b = appendBytes(b, fieldAttempt, m)
	}
	for _, w := range r.Entry.Resolutions {
		var m []byte
		ran := uint64(0)
		if w.Ran {
			ran = 1
		}
		m = appendVarint(m, resolutionRan, ran)
		m = appendBytes(m, resolutionBy, []byte(w.By))
		m = appendBytes(m, resolutionWhy, []byte(w.Why))
		m = appendBytes(m, resolutionWall, []byte(w.Wall))
		b = appendBytes(b, fieldResolution, m)
	}
	return b
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func appendVarint(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

var errField = errors.New("a field of a wrong type")

// fields calls f for each field of a message: with v for a number, with text for a byte field.
// Fields of other types come from later versions and are skipped.
func fields(b []byte, f func(n protowire.Number, v uint64, text []byte, isText bool) error) error {
	for len(b) > 0 {
		n, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		var v uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			text, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, kind, b)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		if kind != protowire.VarintType && kind != protowire.BytesType {
			continue // written by a later version
		}
		if err := f(n, v, text, kind == protowire.BytesType); err != nil {
			return err
		}
	}
	return nil
}

// Parse decodes a record. A record without a key, or with an outcome that this version does not
// know, is an error: skipping it could let an instruction run twice.
func Parse(b []byte) (r Record, err error) {
	keyed := false
	err = fields(b, func(n protowire.Number, v uint64, text []byte, isText bool) error {
		if n <= fieldResolution && isText != (n != fieldAt) {
			return errField
		}
		switch n {
		case fieldKey:
			if len(text) != len(r.Key) {
				return fmt.Errorf("a key of %d bytes", len(text))
			}
			keyed = true
			copy(r.Key[:], text)
		case fieldCustomer:
			r.Customer = string(text)
		case fieldAt:
			if v > uint64(maxAt.Milliseconds()) {
				return fmt.Errorf("a time of %d ms", v)
			}
			r.At = time.Duration(v) * time.Millisecond
		case fieldAttempt:
			t, err := parseAttempt(text)
			if err != nil {
				return err
			}
			r.Entry.Record(t.Attempt, t.Outcome)
		case fieldResolution:
			w, err := parseResolution(text)
			if err != nil {
				return err
			}
			r.Entry.Merge(ledger.Entry{Resolutions: []ledger.Resolution{w}})
		}
		return nil
	})
	if err == nil && !keyed {
		err = errors.New("no key")
	}
	return r, err
}

const maxAt = 100 * 365 * 24 * time.Hour

func parseAttempt(b []byte) (t ledger.AttemptRecord, err error) {
	err = fields(b, func(n protowire.Number, v uint64, text []byte, isText bool) error {
		if n <= attemptOutcome && isText != (n == attemptOwner) {
			return errField
		}
		switch n {
		case attemptOwner:
			t.Owner = string(text)
		case attemptBoot:
			t.Boot = v
		case attemptN:
			t.N = v
		case attemptOutcome:
			if v > uint64(ledger.Ran) {
				return fmt.Errorf("outcome %d is not known", v)
			}
			t.Outcome = ledger.Outcome(v)
		}
		return nil
	})
	return t, err
}

func parseResolution(b []byte) (w ledger.Resolution, err error) {
	err = fields(b, func(n protowire.Number, v uint64, text []byte, isText bool) error {
		if n <= resolutionWall && isText != (n != resolutionRan) {
			return errField
		}
		switch n {
		case resolutionRan:
			w.Ran = v != 0
		case resolutionBy:
			w.By = string(text)
		case resolutionWhy:
			w.Why = string(text)
		case resolutionWall:
			w.Wall = string(text)
		}
		return nil
	})
	return w, err
}
