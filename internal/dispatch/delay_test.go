package dispatch

import (
	"testing"
	"time"
)

// slowStep holds the core up.
type slowStep time.Duration

func (s slowStep) apply(*Dispatcher) { time.Sleep(time.Duration(s)) }

// What waits for a core that is held up shows in its figures, message and timer alike.
func TestDelaysShowSlowCore(t *testing.T) {
	d, _ := newCore(t, 9)
	const held = 2 * lagThreshold
	d.after(0, func() {})
	d.post(slowStep(held))
	d.post(slowStep(0))
	processAll(d)
	d.runTimers()
	f, behind := d.Delays.Snapshot(time.Now().Add(delayWindow))
	if f.Message < held || f.Timer < held || f.Step < held || behind != 2 {
		t.Errorf("got %+v, %d behind", f, behind)
	}
	if f, _ := d.Delays.Snapshot(time.Now().Add(3 * delayWindow)); f.Message != 0 {
		t.Errorf("a window later: %+v", f)
	}
}
