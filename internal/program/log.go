package program

import (
	"fmt"
	"io"
	"log"
	"os"
	"sync/atomic"
	"time"
)

// logWriter writes the log from its own goroutine. The core logs too and must not wait for whatever
// consumes the log, so lines that do not fit into the buffer are dropped and counted.
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
			_, _ = out.Write(line) // a failure to write the log cannot be logged
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(out, "%d log lines were dropped\n", n)
			}
		}
	}()
	return w
}

// Write queues a line. It never blocks.
func (w *logWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines, for at most logFlush. Write must not be called after it.
func (w *logWriter) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(logFlush):
	}
}

// WithAsyncLog runs a server with a log that never blocks it.
func WithAsyncLog(run func() error) error {
	w := newLogWriter(os.Stderr)
	log.SetOutput(w)
	err := run()
	log.SetOutput(os.Stderr)
	w.Close()
	return err
}
