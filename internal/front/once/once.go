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
	// Find says why a repeat of an instruction may not be taken.
	Find(key ledger.Key, deadline time.Time) error
	// Note gives what notes the attempts of an instruction.
	Note(key ledger.Key, customer string, named bool) dispatch.IntentRecorder
}

// KeyHeader is the header by which a client names an instruction (draft-ietf-httpapi-idempotency-key-header).
const KeyHeader = "Idempotency-Key"

// Admit gives what notes the attempts of an instruction, or why it must not be taken. The customer is who asks; again tells that
// the client marks it as a repeat. It waits for what others know of a repeat, within a bound and until the deadline.
func Admit(l Ledger, h *fasthttp.RequestHeader, customer string, content []byte, repeat bool, deadline time.Time) (dispatch.IntentRecorder, error) {
	key, named := Key(h, customer, content)
	named = named || repeat
	if named {
		if err := l.Find(key, deadline); err != nil {
			return nil, err
		}
	}
	return l.Note(key, customer, named), nil
}

// Key names an instruction: by the client's key if it gave one, else by its words. All dispatchers give it the same.
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
