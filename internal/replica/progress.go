package replica

import (
	"fmt"
	"time"
)

// progress follows the events of a stream. Bytes of the framing do not count, as clients do not see
// them.
type progress struct {
	bytes     int       // of events
	inEvent   bool      // an event has begun and has not ended
	lineBegun bool      // the present line has at least one byte
	lastData  time.Time // when bytes of an event last came
	lastEvent time.Time // when an event last ended
}

// record takes the next bytes of the events. An empty line ends an event.
func (p *progress) record(text []byte) {
	if len(text) == 0 {
		return
	}
	p.bytes += len(text)
	p.lastData = time.Now()
	for _, b := range text {
		switch {
		case b == '\r':
		case b != '\n':
			p.lineBegun, p.inEvent = true, true
		case p.lineBegun:
			p.lineBegun = false
		default:
			p.inEvent, p.lastEvent = false, p.lastData
		}
	}
}

// String describes the progress for the log.
func (p *progress) String() string {
	return fmt.Sprintf("%d bytes of events, last event %d ms ago, last byte of one %d ms ago", p.bytes,
		time.Since(p.lastEvent).Milliseconds(), time.Since(p.lastData).Milliseconds())
}
