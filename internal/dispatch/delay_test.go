package dispatch

import (
	"testing"
	"time"
)

// slowStep is a message that blocks the core for a while.
type slowStep time.Duration

func (s slowStep) apply(*Dispatcher) { time.Sleep(time.Duration(s)) }

// A blocked core shows in the delays of both messages and timers.
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
		t.Errorf("got %+v, %d delayed", f, behind)
	}
	if f, _ := d.Delays.Snapshot(time.Now().Add(3 * delayWindow)); f.Message != 0 {
		t.Errorf("figures are kept for more than a window: %+v", f)
	}
}
