package dispatch

import (
	"testing"
	"time"
)

// slowStep is a message that blocks the core for a while.
type slowStep time.Duration

func (s slowStep) apply(*Dispatcher) { time.Sleep(time.Duration(s)) }

// TestDelaysShowSlowCore checks that a blocked core shows in the delays of both messages and
// timers.
func TestDelaysShowSlowCore(t *testing.T) {
	d, _ := newCore(t, 9)
	const blocked = 2 * lagThreshold
	d.after(0, func() {})
	d.post(slowStep(blocked))
	d.post(slowStep(0))
	processAll(d)
	d.runTimers()
	f, delayed := d.Delays.Snapshot(time.Now().Add(delayWindow))
	if f.Message < blocked || f.Timer < blocked || f.Step < blocked || delayed != 2 {
		t.Errorf("got %+v, %d delayed", f, delayed)
	}
	if f, _ := d.Delays.Snapshot(time.Now().Add(3 * delayWindow)); f.Message != 0 {
		t.Errorf("figures are kept for more than a window: %+v", f)
	}
}
