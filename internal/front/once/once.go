// Package once keeps instructions from running twice where the dispatchers share a ledger. Before
// the fronts hand a request to the core, the ledger is asked about repeats, and the request is
// given a recorder for its attempts.
package once

import (
	"crypto/sha256"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
	"standpulley/internal/ledger"
)

// Ledger is the record of instructions that the dispatchers share.
type Ledger interface {
	// CheckRepeat returns an error if a repeat of an instruction must not be accepted.
	CheckRepeat(key ledger.Key, deadline time.Time) error
	// IntentRecorder returns the recorder for the attempts of an instruction.
	IntentRecorder(key ledger.Key, customer string, named bool) dispatch.IntentRecorder
}

// KeyHeader is the header in which a client sends the key of an instruction
// (draft-ietf-httpapi-idempotency-key-header).
const KeyHeader = "Idempotency-Key"

// Admit returns the recorder for the attempts of an instruction, or an error if the instruction
// must not be accepted. customer identifies the caller; repeat is true if the client marks the
// request as a repeat. For a repeat, or a request with a client key, Admit waits for what the other
// dispatchers know of the instruction, for a bounded time and at most until the deadline.
func Admit(l Ledger, h *fasthttp.RequestHeader, customer string, content []byte, repeat bool, deadline time.Time) (dispatch.IntentRecorder, error) {
	key, named := Key(h, customer, content)
	named = named || repeat
	if named {
		if err := l.CheckRepeat(key, deadline); err != nil {
			return nil, err
		}
	}
	return l.IntentRecorder(key, customer, named), nil
}

// Key returns the ledger key of an instruction: derived from the client's key if it sent one, else
// from the content. All dispatchers derive the same key. named reports whether the client sent
// one.
func Key(h *fasthttp.RequestHeader, customer string, content []byte) (key ledger.Key, named bool) {
	kind, text := "words", content
	if k := h.Peek(KeyHeader); len(k) > 0 {
		kind, text, named = "key", k, true
	}
	d := sha256.New()
	for _, part := range [][]byte{[]byte(kind), []byte(customer)} {
		_, _ = d.Write(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(text)
	copy(key[:], d.Sum(nil))
	return key, named
}
