package program

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// blockedWriter is a log output that accepts nothing until it is unblocked.
type blockedWriter struct {
	bytes.Buffer // read after the log writer has ended
	unblock      chan bool
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(p)
}

// TestLogNeverBlocks guards against a log that nobody reads blocking the core, and with it every
// request.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan bool)}
	w := newLogWriter(out)
	for i := range 3 * logLines {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	close(out.unblock)
	w.Close()
	<-w.done
	if text := out.String(); !strings.HasPrefix(text, "line 0\n") || !strings.Contains(text, "log lines were dropped") {
		t.Errorf("got %.200s", text)
	}
}
