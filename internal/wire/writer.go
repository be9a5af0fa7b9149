package wire

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"standpulley/logic"
)

// Writer encodes replies.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, 1<<16)} }

func (w *Writer) text(name, v string) {
	w.buf = append(append(append(append(w.buf, '\t'), name...), '='), v...)
}

func (w *Writer) int(name string, v int64) {
	w.buf = strconv.AppendInt(append(append(append(w.buf, '\t'), name...), '='), v, 10)
}

// Action writes one action of an instance.
func (w *Writer) Action(instance int, a *logic.Action) error {
	verbs := [...]string{logic.Send: "PASS_ON", logic.Refuse: "BOUNCE", logic.Fail: "REPORT_FAILURE",
		logic.Release: "DISCARD", logic.Cancel: "REVOKE", logic.Wake: "WAKE_AT", logic.Watch: "LISTEN", logic.Probe: "ASK_LOAD"}
	w.buf = append(w.buf[:0], verbs[a.Kind]...)
	w.int("i", int64(instance))
	if a.RequestID != "" {
		w.text("corr", a.RequestID)
	}
	switch a.Kind {
	case logic.Send:
		w.text("host", a.Server)
		if a.Until > 0 {
			w.int("not_past_us", a.Until.Microseconds())
		}
	case logic.Probe:
		w.text("host", a.Server)
	case logic.Refuse:
		if a.After > 0 {
			w.int("pause_us", a.After.Microseconds())
		}
	case logic.Cancel:
		w.int("shot", int64(a.Attempt))
	case logic.Wake:
		w.int("delay_us", max(a.After.Microseconds(), 1))
		w.int("tag", int64(a.Tag))
	case logic.Watch:
		w.int("active", 1)
	}
	return w.line()
}

// InternalError reports that the adapter can't continue.
func (w *Writer) InternalError(instance int, text string) error {
	w.buf = append(w.buf[:0], "INTERNAL_ERROR"...)
	w.int("i", int64(instance))
	w.text("reason_text", strings.NewReplacer("\t", " ", "\n", " ").Replace(text))
	return w.line()
}

// EndBatch ends the reply to a batch and flushes it.
func (w *Writer) EndBatch(batch string) error {
	w.buf = append(w.buf[:0], "YIELD"...)
	w.text("n", batch)
	if err := w.line(); err != nil {
		return err
	}
	return w.out.Flush()
}

func (w *Writer) line() error {
	w.buf = append(w.buf, '\n')
	_, err := w.out.Write(w.buf)
	return err
}
