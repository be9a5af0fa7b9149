// Package once is the stage of the fronts that keeps instructions from running twice, where dispatchers remember them together:
// before a request is handed to the core, a repeat asks what is known of it, and its attempts are to be noted.
package once

import (
	"crypto/sha256"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
	"standpulley/internal/ledger"
)

// Ledger is what dispatchers remember together.
type Ledger interface {
	// CheckRepeat says why a repeat of an instruction may not be taken.
	CheckRepeat(key ledger.Key, until time.Time) error
	// Note gives what notes the attempts of an instruction.
	IntentRecorder(key ledger.Key, customer string, named bool) dispatch.IntentRecorder
}

// KeyHeader is the header by which a client names an instruction (draft-ietf-httpapi-idempotency-key-header).
const KeyHeader = "Idempotency-Key"

// Admit gives what notes the attempts of an instruction, or why it must not be taken. The customer is who asks; again tells that
// the client marks it as a repeat. It waits for what others know of a repeat, within a bound and until the deadline.
func Admit(l Ledger, h *fasthttp.RequestHeader, customer string, words []byte, again bool, until time.Time) (dispatch.IntentRecorder, error) {
	key, named := Key(h, customer, words)
	named = named || again
	if named {
		if err := l.CheckRepeat(key, until); err != nil {
			return nil, err
		}
	}
	return l.IntentRecorder(key, customer, named), nil
}

// Key names an instruction: by the client's key if it gave one, else by its words. All dispatchers give it the same.
func Key(h *fasthttp.RequestHeader, customer string, words []byte) (key ledger.Key, named bool) {
	kind, text := "words", words
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
