package replica

import (
	"fmt"
	"time"
)

// eventPause is how long a replica may pause within an event once stallTimeout has passed since the
// event before it.
const eventPause = 3 * time.Second

// progress follows the events of a stream, to tell one that is being written from one that has
// stopped. Bytes of the framing do not count, as clients do not see them.
type progress struct {
	bytes     int       // of events
	inEvent   bool      // an event has begun and has not ended
	lineBegun bool      // the present line has at least one byte
	lastData  time.Time // when bytes of an event last came
	lastEvent time.Time // when an event last ended
	resumedAt time.Time // when reading last went on
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
			p.inEvent, p.lastEvent = false, p.lastData
		}
	}
}

// resume is called when the client has taken what came since the previous call. Nothing was read
// meanwhile, however long that took, so waiting for the next event begins now.
func (p *progress) resume() {
	now := time.Now()
	if p.lastData.After(p.resumedAt) {
		p.lastData = now
	}
	if p.lastEvent.After(p.resumedAt) {
		p.lastEvent = now
	}
	p.resumedAt = now
}

// deadline returns when a stream has stopped that brings nothing more: stallTimeout after its last
// event, later only while the replica writes the next one.
func (p *progress) deadline(stallTimeout time.Duration) time.Time {
	deadline := p.lastEvent.Add(stallTimeout)
	if pauseEnd := p.lastData.Add(min(eventPause, stallTimeout)); p.inEvent && pauseEnd.After(deadline) {
		return pauseEnd
	}
	return deadline
}

// String describes the progress for the log.
func (p *progress) String() string {
	return fmt.Sprintf("%d bytes of events, last event %d ms ago, last byte of one %d ms ago", p.bytes,
		time.Since(p.lastEvent).Milliseconds(), time.Since(p.lastData).Milliseconds())
}
