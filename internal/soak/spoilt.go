package soak

import (
	"fmt"
	"io"
	"strings"
	"time"

	"standpulley/internal/fake"
)

// A share of the answers deviates from the usual form at some event: most are spoilt there, some are
// sound and slow.

// deviation is a way in which an answer deviates from the usual form.
type deviation struct {
	name string
	// sound deviations go on with the rest of the stream; the others end it.
	sound bool
	write func(w *deviationWriter)
}

var deviations = []deviation{
	{"a size of gigabytes, then events", false, func(w *deviationWriter) { w.text("c0000000\r\n"); w.repeat("data: {}\n\n") }},
	{"a size that is none", false, func(w *deviationWriter) { w.text("zz\r\n"); w.repeat("data: {}\n\n") }},
	{"a size line that never ends", false, func(w *deviationWriter) { w.repeat("0") }},
	{"an extension that never ends", false, func(w *deviationWriter) { w.text("a;x="); w.repeat("x") }},
	{"a trailer that never ends", false, func(w *deviationWriter) { w.text("0\r\na: "); w.repeat("b") }},
	{"a part of a size line", false, func(w *deviationWriter) { w.pieces("c00000") }},
	{"a part of an event", false, func(w *deviationWriter) { w.pieces("ff\r\ndata: {") }},
	{"a chunk longer than what comes", false, func(w *deviationWriter) { w.text("ff00\r\n"); w.pieces(strings.Repeat("data: {}\n\n", 10)) }},
	{"an event in pieces", true, func(w *deviationWriter) { w.pieces(chunk("data: {}\n\n")) }},
	{"a long event", true, func(w *deviationWriter) { w.longEvent() }},
}

const (
	// spoiltEndMax is how long a client may wait after the last event of a stream that is not whole.
	spoiltEndMax = 5 * time.Second
	// spoiltLength is for how long a replica goes on with a spoilt answer.
	spoiltLength = 10 * time.Second
	piecePause   = 80 * time.Millisecond
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// deviationWriter writes texts as they are on the connection of an answer.
type deviationWriter struct {
	x       *fake.Exchange
	pace    time.Duration // between two events
	writing func()        // reports that a part of a long event is written
}

// text sends a text at once, unless the replica does not respond.
func (w *deviationWriter) text(text string) {
	if !w.x.Broken() {
		_, _ = io.WriteString(w.x.Conn, text) // the next wait sees a closed connection
	}
}

// pieces sends a text in pieces of two bytes.
func (w *deviationWriter) pieces(text string) {
	for ; len(text) > 0 && !w.x.Broken(); text = text[min(2, len(text)):] {
		w.text(text[:min(2, len(text))])
		w.x.WaitClosedFor(piecePause)
	}
}

// repeat sends a text again and again, at the pace of events.
func (w *deviationWriter) repeat(text string) {
	for end := time.Now().Add(spoiltLength); time.Now().Before(end) && !w.x.Broken(); w.x.WaitClosedFor(w.pace) {
		w.text(text)
	}
}

// longEvent sends an event that takes longer than a stream may pause.
func (w *deviationWriter) longEvent() {
	const size, pieces = 8 << 10, 64
	event := "data: {\"filler\":\"" + strings.Repeat("x", size) + "\"}\n\n"
	w.text(fmt.Sprintf("%x\r\n", len(event)))
	for step := len(event)/pieces + 1; len(event) > 0 && !w.x.Broken(); event = event[min(step, len(event)):] {
		w.text(event[:min(step, len(event))])
		w.writing()
		w.x.WaitClosedFor(piecePause)
	}
	w.text("\r\n")
}

// WithSpoiltAnswers returns the scenario with a share of answers that deviate from the usual form.
func (s Scenario) WithSpoiltAnswers() Scenario {
	s.SpoiltShare = 0.15
	return s
}

// drawDeviation returns how an answer deviates from the usual form, and at which of its events, or
// nil.
func (r *replica) drawDeviation(tokens int) (d *deviation, at int) {
	if r.cfg.SpoiltShare == 0 {
		return nil, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draw.Float64() >= r.cfg.SpoiltShare {
		return nil, 0
	}
	return &deviations[r.draw.IntN(len(deviations))], r.draw.IntN(tokens)
}

// deviate writes a deviation, and reports whether the stream goes on.
func (r *replica) deviate(x *fake.Exchange, d *deviation) (goesOn bool) {
	if !d.sound {
		r.reporter.report(Report{At: time.Now(), Replica: r.cfg.Name, Kind: Spoilt, ID: x.ID, Detail: d.name})
	}
	d.write(&deviationWriter{x, r.randDuration(tokenMin, tokenMax), func() { r.report(Writing, x.ID) }})
	if !d.sound && !x.Broken() {
		x.WaitClosed()
	}
	return d.sound && !x.Broken()
}

// checkLeftWaiting checks how long the client of a stream that is not whole waited after the last
// event, or the last part of one that was being written.
func (j *judge) checkLeftWaiting(a *Request, lost func(string, ...any)) {
	since := a.LastEvent
	for _, n := range j.byRequest[a.ID] {
		if n.Kind == Writing && n.At.After(since) {
			since = n.At
		}
	}
	if waited := a.Done.Sub(since); !a.Complete && waited > spoiltEndMax+pauseMax+j.slack {
		lost("the client was left waiting for %v after the last event; spoilt: %q", waited, j.spoiltAs(a))
	}
}

// spoiltAs returns in which way a replica spoilt an answer to a request, or nothing. That excuses a
// truncated stream.
func (j *judge) spoiltAs(a *Request) (way string) {
	for _, n := range j.byRequest[a.ID] {
		if n.Kind == Spoilt {
			way = n.Detail
		}
	}
	return way
}
