package wire

import (
	"bufio"
	"fmt"
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

// verb is how an action of one kind is written: its name, and its fields in order.
type verb struct {
	name   string
	fields []field
}

// field writes one field of an action, or nothing if the field is optional and not set.
type field func(*Writer, *logic.Action)

// The fields of actions, by their names on the wire.
var (
	corr     field = func(w *Writer, a *logic.Action) { w.text("corr", a.RequestID) }
	host     field = func(w *Writer, a *logic.Action) { w.text("host", a.Server) }
	shot     field = func(w *Writer, a *logic.Action) { w.int("shot", int64(a.Attempt)) }
	delayUS  field = func(w *Writer, a *logic.Action) { w.int("delay_us", max(a.After.Microseconds(), 1)) }
	tag      field = func(w *Writer, a *logic.Action) { w.int("tag", int64(a.Tag)) }
	activeOn field = func(w *Writer, _ *logic.Action) { w.int("active", 1) }
	pauseUS  field = func(w *Writer, a *logic.Action) {
		if a.After > 0 {
			w.int("pause_us", a.After.Microseconds())
		}
	}
	notPastUS field = func(w *Writer, a *logic.Action) {
		if a.Until > 0 {
			w.int("not_past_us", a.Until.Microseconds())
		}
	}
)

// verbs has the verb of each kind of action. Its fields are those of the page on the wire, and no
// others are written, whatever else is set in an action: a timer has no request on the wire.
var verbs = [...]verb{
	logic.Send:    {"PASS_ON", []field{corr, host, notPastUS}},
	logic.Refuse:  {"BOUNCE", []field{corr, pauseUS}},
	logic.Fail:    {"REPORT_FAILURE", []field{corr}},
	logic.Release: {"DISCARD", []field{corr}},
	logic.Cancel:  {"REVOKE", []field{corr, shot}},
	logic.Wake:    {"WAKE_AT", []field{delayUS, tag}},
	logic.Watch:   {"LISTEN", []field{activeOn}},
	logic.Probe:   {"ASK_LOAD", []field{host}},
}

// Action writes one action of an instance.
func (w *Writer) Action(instance int, a *logic.Action) error {
	if int(a.Kind) >= len(verbs) {
		return fmt.Errorf("action %d has no verb on the wire", a.Kind)
	}
	v := &verbs[a.Kind]
	w.buf = append(w.buf[:0], v.name...)
	w.int("i", int64(instance))
	for _, write := range v.fields {
		write(w, a)
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
