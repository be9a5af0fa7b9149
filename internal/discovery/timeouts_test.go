package discovery

import (
	"testing"
	"time"
)

// Guards: a watch that has fallen silent is opened anew before what it missed counts as told, 2 s after its wait is over, and not by
// all dispatchers at once.
func TestSilentWatchIsOpenedAnewInTime(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		w := Watcher{PushMode: pushed}
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			d := w.watchTimeout()
			least, most = min(least, d), max(most, d)
		}
		if least < w.watchWait() || most >= w.watchWait()+2*time.Second || most-least < 500*time.Millisecond {
			t.Errorf("pushed %v: from %v to %v after it was opened", pushed, least, most)
		}
	}
}

// Guards: each way in which a list may be missed was bounded below the time after which a change counts as told, and two in a row were
// not: a silent watch and a call after it that went wrong took up to 9 s. The sum is bounded, for any number of dispatchers and of calls
// that were turned away before; many don't ask at one time.
func TestEveryWayOfMissingAListIsBounded(t *testing.T) {
	const listDeadline = 6 * time.Second
	away := time.Duration(0)
	for _, siblings := range []int{0, 1, 4, 80, 300, 1 << 20} {
		for before := range 40 {
			w := Watcher{Siblings: siblings}
			least, most := time.Hour, time.Duration(0)
			for range 200 {
				d := w.backoff(before)
				least, most = min(least, d), max(most, d)
			}
			if least <= 0 || siblings > 1 && most-least < most/4 {
				t.Errorf("%d dispatchers, turned away %d times: from %v to %v", siblings, before, least, most)
			}
			away = max(away, most)
		}
	}
	for _, pushed := range []bool{true, false} {
		w := Watcher{PushMode: pushed}
		silent := w.watchWait() + maxStallDelay + reconnectDelay + dialTimeout
		for name, wrong := range map[string]time.Duration{
			"is not answered":  w.replyTimeout() + reconnectDelay + dialTimeout,
			"is turned away":   away + dialTimeout,
			"is reset":         reconnectDelay + dialTimeout,
			"does not come up": reconnectDelay + dialTimeout,
		} {
			if silent+wrong >= listDeadline {
				t.Errorf("pushed %v: %v around a watch that has fallen silent and a call that %s", pushed, silent+wrong, name)
			}
		}
	}
	if sum := dialTimeout + agentTimeout + reconnectDelay; sum >= time.Second {
		t.Errorf("an agent to which lists are pushed is asked every %v while it is silent", sum)
	}
}
