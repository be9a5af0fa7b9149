package program

import (
	"testing"

	"standpulley/internal/config"
)

// TestEveryDispatcherWatchesItsAgentWherePushed guards against a dispatcher that stops to watch its
// own agent, because others read discovery for it, and so misses drains that the agent has.
func TestEveryDispatcherWatchesItsAgentWherePushed(t *testing.T) {
	for _, c := range []struct {
		name    string
		namedBy string
		pushed  bool
		reader  bool
		want    bool
	}{
		{"pushed, another dispatcher reads", config.ByAgreed, true, false, true},
		{"pushed, reader", config.ByAgreed, true, true, true},
		{"on request, another dispatcher reads", config.ByAgreed, false, false, false},
		{"on request, reader", config.ByAgreed, false, true, true},
		{"on request, the own list names replicas", config.ByOwn, false, false, true},
	} {
		l := &listMerger{adapter: &agreementAdapter{p: &program{}}, cfg: config.Lists{NamedBy: c.namedBy}, watchOrders: make(chan bool, 1), isReader: true}
		l.setPushed(c.pushed)
		l.setReader(c.reader)
		if l.isWatching() != c.want || len(l.watchOrders) > 0 && <-l.watchOrders != c.want {
			t.Errorf("%s: watching %v, wanted %v", c.name, l.isWatching(), c.want)
		}
	}
}

// TestWatchOrdersFollowTheMode guards against settings that make discovery push its lists, or stop
// it, and a watch that goes on as before.
func TestWatchOrdersFollowTheMode(t *testing.T) {
	l := &listMerger{adapter: &agreementAdapter{p: &program{}}, cfg: config.Lists{NamedBy: config.ByAgreed}, watchOrders: make(chan bool, 1), isReader: true}
	for i, step := range []struct {
		change func()
		order  []bool // that the main goroutine gets; empty for none
	}{
		{func() { l.setReader(false) }, []bool{false}},
		{func() { l.setPushed(true) }, []bool{true}},
		{func() { l.setReader(true) }, nil},
		{func() { l.setReader(false) }, nil},
		{func() { l.setPushed(false) }, []bool{false}},
		{func() { l.setPushed(false) }, nil},
	} {
		step.change()
		var got []bool
		for len(l.watchOrders) > 0 {
			got = append(got, <-l.watchOrders)
		}
		if len(got) != len(step.order) || len(got) > 0 && got[0] != step.order[0] {
			t.Errorf("step %d: orders %v, wanted %v", i, got, step.order)
		}
	}
}
