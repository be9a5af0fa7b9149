package discovery

import (
	"testing"
	"time"
)

// Guards: a watch that has fallen silent is opened anew before what it missed counts as told, 2 s after its wait is over, and not by
// all dispatchers at once.
func TestSilentWatchIsOpenedAnewInTime(t *testing.T) {
	var w Watcher
	least, most := time.Hour, time.Duration(0)
	for range 1000 {
		d := w.silence()
		least, most = min(least, d), max(most, d)
	}
	if least < watchWait || most >= watchWait+2*time.Second || most-least < 500*time.Millisecond {
		t.Errorf("from %v to %v after it was opened", least, most)
	}
}

// Guards: no way in which a list may be missed takes longer than the time after which a change counts as told, for any number of
// dispatchers and of calls that were turned away before; many don't ask at one time.
func TestEveryWayOfMissingAListIsBounded(t *testing.T) {
	const countsAsTold = 6 * time.Second
	for _, siblings := range []int{0, 1, 4, 80, 300, 1 << 20} {
		for before := range 40 {
			w := Watcher{Siblings: siblings}
			least, most := time.Hour, time.Duration(0)
			for range 200 {
				d := w.backoff(before)
				least, most = min(least, d), max(most, d)
			}
			if least <= 0 || most+dialLimit >= countsAsTold || siblings > 1 && most-least < most/4 {
				t.Errorf("%d dispatchers, turned away %d times: from %v to %v", siblings, before, least, most)
			}
		}
	}
	for _, pushed := range []bool{true, false} {
		w := Watcher{Pushed: pushed}
		if sum := dialLimit + w.replyLimit() + reconnectAfter + dialLimit; sum >= countsAsTold {
			t.Errorf("pushed %v: %v around a call without an answer", pushed, sum)
		}
		if sum := watchWait + silentMost + reconnectAfter + dialLimit + agentLimit; sum >= countsAsTold {
			t.Errorf("%v around a watch that has fallen silent", sum)
		}
	}
	if sum := dialLimit + agentLimit + reconnectAfter; sum >= time.Second {
		t.Errorf("an agent to which lists are pushed is asked every %v while it is silent", sum)
	}
}
