package membership

import (
	"testing"

	"standpulley/internal/golden"
)

// The JSON encodings of this package are those of earlier versions, which other processes and stored
// files still use.
func TestEncodings(t *testing.T) {
	golden.Check(t, map[string]any{
		"list":    List{},
		"change":  Change{},
		"part":    Part{},
		"page":    Page{},
		"cursor":  Cursor{},
		"reading": Reading{},
		"census":  Census{},
		"order":   Order{},
		"orders":  Orders{},
		"held":    Held{},
		"entry":   Entry{},
	})
}
