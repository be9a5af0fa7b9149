package ledger

import (
	"slices"
	"testing"

	"standpulley/internal/golden"
)

// The JSON encodings of this package are those of earlier versions, which other processes and stored
// files still use. The test guards against a renamed field, which a dispatcher of another version would
// ignore, and which would be lost from stored data.
func TestEncodings(t *testing.T) {
	golden.Check(t, map[string]any{
		"entry": Entry{},
		"op":    Op{},
		"reply": Reply{},
	})
}

// Operations and outcomes are numbers in messages and in the ledger file. The test guards against a
// changed order of the constants, with which a holder would do something else than it is asked.
func TestNumbersOutsideTheProcess(t *testing.T) {
	if got, want := []OpKind{Lookup, RecordIntent, Merge}, []OpKind{0, 1, 2}; !slices.Equal(got, want) {
		t.Errorf("operations %v, want %v", got, want)
	}
	if got, want := []Outcome{Intent, NeverRan, Ran}, []Outcome{0, 1, 2}; !slices.Equal(got, want) {
		t.Errorf("outcomes %v, want %v", got, want)
	}
}
