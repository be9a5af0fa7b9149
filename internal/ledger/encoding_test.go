package ledger

import (
	"testing"

	"standpulley/internal/golden"
)

// The JSON encodings of this package are those of earlier versions, which other processes and stored
// files still use.
func TestEncodings(t *testing.T) {
	golden.Check(t, map[string]any{
		"entry": Entry{},
		"op":    Op{},
		"reply": Reply{},
	})
}
