package discovery

import (
	"testing"
	"time"
)

// A stalled watch must be reopened less than 2 s after its wait ended, before the dispatcher is held
// to know what it missed, and not by all dispatchers at once.
func TestStalledWatchIsReopenedInTime(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		w := Watcher{PushMode: pushed}
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			d := w.watchTimeout()
			least, most = min(least, d), max(most, d)
		}
		if least < w.watchWait() || most >= w.watchWait()+2*time.Second || most-least < 500*time.Millisecond {
			t.Errorf("push mode %v: watch times out after %v to %v", pushed, least, most)
		}
	}
}

// Each single failure was bounded below the 6 s in which a dispatcher must know a change, but two
// in a row were not: a stalled watch followed by a failed call took up to 9 s. The sum must be
// bounded for any number of dispatchers and of earlier rejections, and many dispatchers must not
// retry at the same time.
func TestFailuresTogetherAreBounded(t *testing.T) {
	const listDeadline = 6 * time.Second
	maxPause := time.Duration(0)
	for _, siblings := range []int{0, 1, 4, 80, 300, 1 << 20} {
		for before := range 40 {
			w := Watcher{Siblings: siblings}
			least, most := time.Hour, time.Duration(0)
			for range 200 {
				d := w.backoff(before)
				least, most = min(least, d), max(most, d)
			}
			if least <= 0 || siblings > 1 && most-least < most/4 {
				t.Errorf("%d dispatchers, rejected %d times: backoff from %v to %v", siblings, before, least, most)
			}
			maxPause = max(maxPause, most)
		}
	}
	for _, pushed := range []bool{true, false} {
		w := Watcher{PushMode: pushed}
		stalled := w.watchWait() + maxStallDelay + reconnectDelay + dialTimeout
		for name, failure := range map[string]time.Duration{
			"is not answered":  w.replyTimeout() + reconnectDelay + dialTimeout,
			"is rejected":      maxPause + dialTimeout,
			"is reset":         reconnectDelay + dialTimeout,
			"does not come up": reconnectDelay + dialTimeout,
		} {
			if stalled+failure >= listDeadline {
				t.Errorf("push mode %v: %v for a stalled watch and a call that %s", pushed, stalled+failure, name)
			}
		}
	}
	if sum := dialTimeout + agentTimeout + reconnectDelay; sum >= time.Second {
		t.Errorf("in push mode a silent agent is asked only every %v", sum)
	}
}
