package discovery_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/standin"
	"standpulley/logic"
)

func TestDecodeNamesTheFault(t *testing.T) {
	l, err := discovery.Decode([]byte(`{"version":43,"full":false,"servers":[{"id":"s","addr":"a:1","zone":"z","kind":"k","cell":3,
		"state":"terminating","weight":2.5,"started_ms":1500}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := logic.ServerEntry{ID: "s", Zone: "z", Kind: "k", Cell: 3, Availability: logic.Draining, Weight: 2.5, Started: 1500 * time.Millisecond}
	if u := l.Update(); u.Full || u.Servers[0].ServerEntry != want || u.Servers[0].Addr != "a:1" || l.Version != 43 {
		t.Errorf("got %+v", u)
	}
	for text, word := range map[string]string{
		`{"servers":[{"id":"s","addr":"a:1","state":"lost"}]}`: "servers[0].state",
		`{"servers":[{"addr":"a:1","state":"in_service"}]}`:    "servers[0]",
		`{"servers":[{"id":"s","state":"in_service"}]}`:        "servers[0]",
		`{"servers":7}`: "list of replicas",
	} {
		if _, err := discovery.Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Guards: the watch begins with the whole list, goes on from the version it knows, and survives an agent that
// ends its connection or says what can't be read.
func TestWatch(t *testing.T) {
	entry := standin.Entry{ID: "s", Addr: "127.0.0.1:1", State: "in_service"}
	a, err := standin.StartAgent("127.0.0.1:0", entry)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	told := make(chan dispatch.Update, 8)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	w := &discovery.Watcher{Addr: a.Addr, Tell: func(u dispatch.Update) { told <- u }}
	go func() { w.Run(ctx); close(ended) }()
	if u := <-told; !u.Full || len(u.Servers) != 1 {
		t.Errorf("got %+v", u)
	}
	a.Set(standin.Entry{ID: "s", State: "nonsense"})
	entry.State = "terminating"
	for { // the agent's nonsense is passed over, and the list after it is heard
		a.Set(entry)
		if u := <-told; u.Servers[0].Availability == logic.Draining {
			break
		}
	}
	if q := a.Asked(); q[0] != "" || !strings.HasPrefix(q[1], "index=1&wait=") {
		t.Errorf("asked %q", q)
	}
	cancel()
	<-ended
}
