package replica

import (
	"fmt"
	"time"
)

// eventPause is how long a replica may pause within an event once stallTimeout has passed since the
// event before it.
const eventPause = 1500 * time.Millisecond

// progress follows the events of a stream, to tell one that is being written from one that has
// stopped. Bytes of the framing do not count, as clients do not see them.
type progress struct {
	bytes      int       // of events
	inEvent    bool      // an event has begun and has not ended
	eventEnded bool      // an event has ended that was not passed on yet
	lineBegun  bool      // the present line has at least one byte
	lastData   time.Time // when bytes of an event last came
	lastEvent  time.Time // when the client had last taken an event
}

// record takes the next bytes of the events, which came at the given time. An empty line behind
// others ends an event.
func (p *progress) record(text []byte, at time.Time) {
	if len(text) == 0 {
		return
	}
	p.bytes += len(text)
	p.lastData = at
	for _, b := range text {
		switch {
		case b == '\r':
		case b != '\n':
			p.lineBegun, p.inEvent = true, true
		case p.lineBegun:
			p.lineBegun = false
		case p.inEvent:
			p.inEvent, p.eventEnded = false, true
		}
	}
}

// resume is called at the time at which the client has taken all events that have ended. Nothing was
// read meanwhile, however long that took, so waiting for the next event begins then.
func (p *progress) resume(at time.Time) {
	p.lastData = at
	if p.eventEnded {
		p.eventEnded, p.lastEvent = false, at
	}
}

// deadline returns when a stream has stopped that brings nothing more: stallTimeout after the last
// event that was passed on, later only while the replica writes the next one and the end of its
// chunk.
func (p *progress) deadline(stallTimeout time.Duration) time.Time {
	deadline := p.lastEvent.Add(stallTimeout)
	if !p.inEvent && !p.eventEnded {
		return deadline
	}
	if pauseEnd := p.lastData.Add(min(eventPause, stallTimeout)); pauseEnd.After(deadline) {
		return pauseEnd
	}
	return deadline
}

// String describes the progress for the log.
func (p *progress) String() string {
	return fmt.Sprintf("%d bytes of events, last event %d ms ago, last byte of one %d ms ago", p.bytes,
		time.Since(p.lastEvent).Milliseconds(), time.Since(p.lastData).Milliseconds())
}
