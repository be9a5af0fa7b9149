package discovery

import (
	"testing"

	"standpulley/internal/golden"
)

// The JSON encodings of this package are those of earlier versions, which other processes and stored
// files still use. The test guards against a renamed field, which a dispatcher of another version would
// ignore, and which would be lost from stored data.
func TestEncodings(t *testing.T) {
	golden.Check(t, map[string]any{
		"list": List{},
	})
}
