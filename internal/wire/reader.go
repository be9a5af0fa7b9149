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

	"standpulley/internal/config"
	"standpulley/logic"
)

// Reader decodes messages. It keeps replica lists by number, as later messages refer to them.
type Reader struct {
	in     *bufio.Reader
	line   int
	lists  [16][]logic.ServerEntry
	names  map[string]string
	report logic.Report
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), names: map[string]string{}}
}

// intern returns one shared string for each server, class or tenant name.
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

// Next decodes the next message into m. At the end of the input it returns io.EOF.
func (r *Reader) Next(m *Message) error {
	for {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			continue
		}
		verb := line
		f := fields{line: r.line}
		if i := bytes.IndexByte(line, '\t'); i >= 0 {
			verb, f.rest = line[:i], line[i+1:]
		}
		*m = Message{Kind: Event, Instance: -1}
		switch string(verb) {
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
			if err := r.readList(&f); err != nil {
				return err
			}
			continue
		case "ATTACH":
			m.Kind = Attach
			r.parseAttach(&f, m)
		case "CRASH_NOW":
			m.Kind = Crash
			for f.next() {
				m.parseInstance(&f)
			}
		case "TARGETS":
			r.parseTargets(&f, m)
		case "JOB_IN":
			r.parseArrival(&f, m)
		case "FLOWING":
			m.Event.Kind = logic.StreamStarted
			r.parseAttempt(&f, m)
		case "COMPLETED":
			m.Event.Kind = logic.Ended
			r.parseAttempt(&f, m)
		case "CHECKED":
			m.Event.Kind = logic.Probed
			r.parseAttempt(&f, m)
		case "NOTE":
			m.Event.Kind = logic.PlaceAnswered
			r.parseAttempt(&f, m)
		case "LEFT":
			m.Event.Kind = logic.Departed
			r.parseAttempt(&f, m)
		case "WAKEUP":
			m.Event.Kind = logic.TimerFired
			for f.next() {
				if f.name == "tag" {
					m.Event.Tag = uint64(f.int())
				} else {
					m.parseInstance(&f)
				}
			}
		default:
			m.Kind = Ignore
			for f.next() {
				m.parseInstance(&f)
			}
		}
		if m.Instance < 0 && m.Kind != Ignore {
			f.fail("i", string(verb)+" names no instance")
		}
		if m.Event.RequestID == "" && m.Kind == Event {
			switch m.Event.Kind {
			case logic.Arrived, logic.StreamStarted, logic.Ended, logic.Departed:
				f.fail("corr", string(verb)+" names no request")
			}
		}
		return f.err
	}
}

func (m *Message) parseInstance(f *fields) {
	if f.name == "i" {
		m.Instance = int(f.int())
		if m.Instance < 0 {
			f.fail("i", "a negative instance")
		}
	}
}

func (r *Reader) parseAttach(f *fields, m *Message) {
	val := config.Values{}
	for f.next() {
		switch f.name {
		case "salt":
			m.Seed = uint64(f.int())
		default:
			val[f.name] = string(f.val)
			m.parseInstance(f)
		}
	}
	var fault *config.Fault
	var err error
	if m.Settings, err = config.Settings(val); errors.As(err, &fault) {
		f.fail(fault.Key, fault.Text)
	}
	m.Settings.CancelStopsWork = true // the simulator reports the end of each cancelled attempt as such
}

func (r *Reader) parseArrival(f *fields, m *Message) {
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
			q.Retried, q.Resumed = bits&2 != 0, bits&16 != 0
		case "size_hint_us":
			q.OutputHint = f.micros()
		case "remaining_us":
			q.Remaining = f.micros()
		default:
			m.parseInstance(f)
		}
	}
}

var outcomes = map[string]logic.Outcome{
	"delivered": logic.Delivered, "app_error": logic.ServerError, "shed": logic.Full,
	"expired": logic.TimedOut, "dial_failed": logic.ConnectFailed, "dropped": logic.ConnectionLost,
	"revoked": logic.Cancelled, "unused": logic.NotSent, "READ": logic.ReadDone,
}

func (r *Reader) parseAttempt(f *fields, m *Message) {
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
			m.Event.RequestEnded = f.bool()
		case "note":
			note = f.int()
		case "rc":
			o, ok := outcomes[string(f.val)]
			if !ok {
				f.fail("rc", fmt.Sprintf("%q is not known", f.val))
			}
			m.Event.Outcome = o
		case "usage":
			m.Event.Report = r.parseReport(f)
		default:
			m.parseInstance(f)
		}
	}
	if m.Event.Outcome == logic.Full {
		m.Event.NoState = note == 1
	} else {
		m.Event.Tokens = note
	}
}

func (r *Reader) parseReport(f *fields) *logic.Report {
	nan := math.NaN()
	r.report = logic.Report{MemoryHeld: nan, TokensWaiting: nan}
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
			r.report.MemoryHeld = v
		case "x1":
			r.report.TokensWaiting = v * 1000
		}
	}
	return &r.report
}
