package program

import (
	"fmt"
	"io"
	"log"
	"os"
	"sync/atomic"
	"time"
)

// logWriter writes the log from a goroutine of its own. The core logs too, and must not wait for whoever reads the
// log: lines for which there is no room are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

const (
	logLines = 1024
	logFlush = 200 * time.Millisecond
)

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = out.Write(line) // a log that can't be written can't be told of either
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(out, "%d lines of the log were dropped\n", n)
			}
		}
	}()
	return w
}

// Write never blocks.
func (w *logWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what waits, if that takes no longer than a moment. Nothing may be written after it.
func (w *logWriter) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(logFlush):
	}
}

// WithAsyncLog runs a server whose log never makes it wait.
func WithAsyncLog(run func() error) error {
	w := newLogWriter(os.Stderr)
	log.SetOutput(w)
	err := run()
	log.SetOutput(os.Stderr)
	w.Close()
	return err
}
