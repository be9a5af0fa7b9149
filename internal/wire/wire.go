// Package wire translates the simulator's dialect: lines of tab-separated name=value fields in batches.
// It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"standpulley/internal/config"
	"standpulley/logic"
)

// Error is malformed input: the line's number and the field at fault.
type Error struct {
	Line  int
	Field string
	Text  string
}

func (e *Error) Error() string { return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Text) }

// Kind names what a message means to the host of the instances.
type Kind uint8

// The kinds of message.
const (
	Begin  Kind = iota // a batch: Clock, Batch
	End                // of a batch: the reply is due
	Attach             // a new instance: Settings, Seed
	Crash              // the instance is gone
	Event              // Event is for the instance
	Ignore             // nothing for a decision module
)

// Message is what one line, or a list with its entries, says.
type Message struct {
	Kind     Kind
	Instance int
	Clock    time.Duration
	Batch    string
	Seed     uint64
	Settings logic.Settings
	Event    logic.Event
}

// Reader decodes messages. Entries of lists are kept by number, as the wire says.
type Reader struct {
	in    *bufio.Reader
	line  int
	pools [16][]logic.ServerEntry
	names map[string]string
	rep   logic.Report
}

// NewReader reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), names: map[string]string{}}
}

// fields walks over a line's name=value parts and keeps the first fault.
type fields struct {
	rest []byte
	line int
	name string
	val  []byte
	err  error
}

func (f *fields) next() bool {
	for len(f.rest) > 0 && f.err == nil {
		part := f.rest
		if i := bytes.IndexByte(f.rest, '\t'); i >= 0 {
			part, f.rest = f.rest[:i], f.rest[i+1:]
		} else {
			f.rest = nil
		}
		if len(part) == 0 {
			continue
		}
		i := bytes.IndexByte(part, '=')
		if i < 0 {
			f.fail(string(part), "no '=' in it")
			return false
		}
		f.name, f.val = string(part[:i]), part[i+1:]
		return true
	}
	return false
}

func (f *fields) fail(field, text string) {
	if f.err == nil {
		f.err = &Error{f.line, field, text}
	}
}

func (f *fields) int() int64 {
	v, err := strconv.ParseInt(string(f.val), 10, 64)
	if err != nil {
		u, uerr := strconv.ParseUint(string(f.val), 10, 64)
		if uerr == nil {
			return int64(min(u, math.MaxInt64))
		}
		f.fail(f.name, fmt.Sprintf("%q is not a whole number", f.val))
	}
	return v
}

func (f *fields) float() float64 {
	v, err := strconv.ParseFloat(string(f.val), 64)
	if err != nil {
		f.fail(f.name, fmt.Sprintf("%q is not a number", f.val))
	}
	return v
}

func (f *fields) micros() time.Duration {
	const most = math.MaxInt64 / int64(time.Microsecond) / 4
	return time.Duration(max(min(f.int(), most), -most)) * time.Microsecond
}

func (f *fields) key() uint64 {
	v, err := strconv.ParseUint(string(f.val), 16, 64)
	if err != nil {
		f.fail(f.name, fmt.Sprintf("%q is not a key of hex digits", f.val))
	}
	return v
}

func (f *fields) bool() bool {
	switch string(f.val) {
	case "1", "true":
		return true
	case "0", "false":
		return false
	}
	f.fail(f.name, fmt.Sprintf("%q is not a bool", f.val))
	return false
}

// intern keeps one string for each server, class and tenant name.
func (r *Reader) intern(b []byte) string {
	if s, ok := r.names[string(b)]; ok {
		return s
	}
	s := string(b)
	r.names[s] = s
	return s
}

func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		long := append([]byte(nil), line...)
		for err == bufio.ErrBufferFull {
			line, err = r.in.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err == io.EOF && len(line) > 0 {
		return nil, &Error{r.line + 1, "end", "the input ends within a line"}
	}
	if err != nil {
		return nil, err
	}
	r.line++
	return bytes.TrimRight(line, "\r\n"), nil
}

// Next decodes the next message into m. io.EOF tells the end of the input.
func (r *Reader) Next(m *Message) error {
	for {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			continue
		}
		word := line
		f := fields{line: r.line}
		if i := bytes.IndexByte(line, '\t'); i >= 0 {
			word, f.rest = line[:i], line[i+1:]
		}
		*m = Message{Kind: Event, Instance: -1}
		switch string(word) {
		case "BEGIN_BATCH":
			m.Kind = Begin
			for f.next() {
				switch f.name {
				case "clock_us":
					m.Clock = f.micros()
				case "n":
					f.int()
					m.Batch = string(f.val)
				}
			}
			if m.Batch == "" {
				f.fail("n", "the batch has no number")
			}
			return f.err
		case "EOF_BATCH":
			m.Kind = End
			return nil
		case "POOL":
			if err := r.pool(&f); err != nil {
				return err
			}
			continue
		case "ATTACH":
			m.Kind = Attach
			r.attach(&f, m)
		case "CRASH_NOW":
			m.Kind = Crash
			for f.next() {
				m.common(&f)
			}
		case "TARGETS":
			r.targets(&f, m)
		case "JOB_IN":
			r.arrived(&f, m)
		case "FLOWING":
			m.Event.Kind = logic.StreamStarted
			r.attempt(&f, m)
		case "COMPLETED":
			m.Event.Kind = logic.Ended
			r.attempt(&f, m)
		case "CHECKED":
			m.Event.Kind = logic.Probed
			r.attempt(&f, m)
		case "NOTE":
			m.Event.Kind = logic.PlaceAnswered
			r.attempt(&f, m)
		case "LEFT":
			m.Event.Kind = logic.Departed
			r.attempt(&f, m)
		case "WAKEUP":
			m.Event.Kind = logic.TimerFired
			for f.next() {
				if f.name == "tag" {
					m.Event.Tag = uint64(f.int())
				} else {
					m.common(&f)
				}
			}
		default:
			m.Kind = Ignore
			for f.next() {
				m.common(&f)
			}
		}
		if m.Instance < 0 && m.Kind != Ignore {
			f.fail("i", string(word)+" names no instance")
		}
		if m.Event.RequestID == "" && m.Kind == Event {
			switch m.Event.Kind {
			case logic.Arrived, logic.StreamStarted, logic.Ended, logic.Departed:
				f.fail("corr", string(word)+" names no request")
			}
		}
		return f.err
	}
}

func (m *Message) common(f *fields) {
	if f.name == "i" {
		m.Instance = int(f.int())
		if m.Instance < 0 {
			f.fail("i", "a negative instance")
		}
	}
}

func (r *Reader) pool(f *fields) error {
	ref, rows := -1, int64(0)
	for f.next() {
		switch f.name {
		case "ref":
			ref = int(f.int())
		case "rows_in":
			rows = f.int()
		}
	}
	if f.err == nil && (ref < 0 || ref >= len(r.pools)) {
		f.fail("ref", "list numbers range from 0 to 15")
	}
	if f.err == nil && rows < 0 {
		f.fail("rows_in", "a negative count")
	}
	if f.err != nil {
		return f.err
	}
	var list []logic.ServerEntry
	for ; rows > 0; rows-- {
		line, err := r.readLine()
		if err == io.EOF {
			return &Error{r.line, "rows_in", "the input ends within a list"}
		}
		if err != nil {
			return err
		}
		e, err := r.entry(line)
		if err != nil {
			return err
		}
		list = append(list, e)
	}
	r.pools[ref] = list
	return nil
}

func (r *Reader) entry(line []byte) (logic.ServerEntry, error) {
	e := logic.ServerEntry{Weight: 1}
	f := fields{line: r.line}
	rest, ok := bytes.CutPrefix(line, []byte("M\t"))
	if !ok {
		f.fail("rows_in", "a list entry does not begin with M")
		return e, f.err
	}
	f.rest = rest
	for f.next() {
		switch f.name {
		case "host":
			e.ID = r.intern(f.val)
		case "campus":
			e.Zone = r.intern(f.val)
		case "generation_hw":
			e.Kind = r.intern(f.val)
		case "pod":
			e.Cell = f.int()
		case "availability":
			switch string(f.val) {
			case "ready":
				e.Availability = logic.Ready
			case "draining":
				e.Availability = logic.Draining
			case "gone":
				e.Availability = logic.Gone
			default:
				f.fail(f.name, fmt.Sprintf("%q is not known", f.val))
			}
		case "weight":
			e.Weight = f.float()
		case "launched_us":
			e.Started = f.micros()
		}
	}
	if e.ID == "" {
		f.fail("host", "a list entry without an address")
	}
	return e, f.err
}

func (r *Reader) targets(f *fields, m *Message) {
	ref, mode := -1, ""
	for f.next() {
		switch f.name {
		case "ref":
			ref = int(f.int())
		case "mode":
			mode = string(f.val)
		default:
			m.common(f)
		}
	}
	switch mode {
	case "D":
		m.Event.Kind = logic.ListChanged
	case "F", "C":
		m.Event.Kind = logic.ListComplete
	case "X":
		m.Event.Kind = logic.ListFailed
		return
	default:
		f.fail("mode", fmt.Sprintf("%q is not known", mode))
		return
	}
	if ref < 0 || ref >= len(r.pools) {
		f.fail("ref", "list numbers range from 0 to 15")
		return
	}
	m.Event.Servers = r.pools[ref]
}

func (r *Reader) attach(f *fields, m *Message) {
	val := config.Values{}
	for f.next() {
		switch f.name {
		case "salt":
			m.Seed = uint64(f.int())
		default:
			val[f.name] = string(f.val)
			m.common(f)
		}
	}
	var fault *config.Fault
	var err error
	if m.Settings, err = config.Settings(val); errors.As(err, &fault) {
		f.fail(fault.Key, fault.Text)
	}
	m.Settings.CancelEnds = true // here each attempt that was called off is told of as such
}

func (r *Reader) arrived(f *fields, m *Message) {
	m.Event.Kind = logic.Arrived
	q := &m.Event.Request
	for f.next() {
		switch f.name {
		case "corr":
			m.Event.RequestID = string(f.val)
		case "lane":
			q.Class = r.intern(f.val)
		case "account":
			if string(f.val) != "0" {
				q.Tenant = r.intern(f.val)
			}
		case "talk":
			q.Session = f.key()
		case "prefix":
			q.Prefix = f.key()
		case "prefix_tokens":
			q.PrefixTokens = f.int()
		case "prompt_tokens":
			q.PromptTokens = f.int()
		case "output_cap":
			q.MaxOutput = f.int()
		case "bits":
			bits := f.int()
			q.Again, q.Resumed = bits&2 != 0, bits&16 != 0
		case "size_hint_us":
			q.OutputHint = f.micros()
		case "remaining_us":
			q.Remaining = f.micros()
		default:
			m.common(f)
		}
	}
}

var outcomes = map[string]logic.Outcome{
	"delivered": logic.Delivered, "app_error": logic.ServerError, "shed": logic.Full,
	"expired": logic.TimedOut, "dial_failed": logic.ConnectFailed, "dropped": logic.ConnectionLost,
	"revoked": logic.Cancelled, "unused": logic.NotSent, "READ": logic.ReadDone,
}

func (r *Reader) attempt(f *fields, m *Message) {
	note := int64(0)
	for f.next() {
		switch f.name {
		case "corr":
			m.Event.RequestID = string(f.val)
		case "host":
			m.Event.Server = r.intern(f.val)
		case "shot":
			m.Event.Attempt = int(f.int())
		case "duration_us":
			m.Event.Took = f.micros()
		case "over":
			m.Event.Over = f.bool()
		case "note":
			note = f.int()
		case "rc":
			o, ok := outcomes[string(f.val)]
			if !ok {
				f.fail("rc", fmt.Sprintf("%q is not known", f.val))
			}
			m.Event.Outcome = o
		case "usage":
			m.Event.Report = r.report(f)
		default:
			m.common(f)
		}
	}
	if m.Event.Outcome == logic.Full {
		m.Event.NoState = note == 1
	} else {
		m.Event.Tokens = note
	}
}

func (r *Reader) report(f *fields) *logic.Report {
	nan := math.NaN()
	r.rep = logic.Report{MemoryHeld: nan, TokensWaiting: nan}
	for rest := string(f.val); rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ",")
		name, val, ok := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(val, 64)
		if !ok || err != nil {
			f.fail("usage", fmt.Sprintf("%q is not a named number", part))
			return nil
		}
		switch name {
		case "x0":
			r.rep.MemoryHeld = v
		case "x1":
			r.rep.TokensWaiting = v * 1000
		}
	}
	return &r.rep
}

// Writer encodes a reply.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, 1<<16)} }

func (w *Writer) text(name, v string) {
	w.buf = append(append(append(append(w.buf, '\t'), name...), '='), v...)
}

func (w *Writer) int(name string, v int64) {
	w.buf = strconv.AppendInt(append(append(append(w.buf, '\t'), name...), '='), v, 10)
}

// Action writes one action of an instance.
func (w *Writer) Action(instance int, a *logic.Action) error {
	words := [...]string{logic.Send: "PASS_ON", logic.Refuse: "BOUNCE", logic.Fail: "REPORT_FAILURE",
		logic.Release: "DISCARD", logic.Cancel: "REVOKE", logic.Wake: "WAKE_AT", logic.Watch: "LISTEN", logic.Probe: "ASK_LOAD"}
	w.buf = append(w.buf[:0], words[a.Kind]...)
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

// Fault reports that the adapter cannot go on.
func (w *Writer) Fault(instance int, text string) error {
	w.buf = append(w.buf[:0], "INTERNAL_ERROR"...)
	w.int("i", int64(instance))
	w.text("reason_text", strings.NewReplacer("\t", " ", "\n", " ").Replace(text))
	return w.line()
}

// Yield ends the reply to a batch and sends it off.
func (w *Writer) Yield(batch string) error {
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
