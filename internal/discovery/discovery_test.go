package discovery_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/fake"
	"standpulley/logic"
)

func TestDecodeNamesInvalidEntry(t *testing.T) {
	l, err := discovery.Decode([]byte(`{"version":43,"full":false,"servers":[{"id":"s","addr":"a:1","zone":"z","kind":"k","cell":3,
		"state":"terminating","weight":2.5,"started_ms":1500}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := logic.ServerEntry{ID: "s", Zone: "z", Kind: "k", Cell: 3, Availability: logic.Draining, Weight: 2.5}
	if u := l.Update(); u.Full || u.Servers[0].ServerEntry != want || u.Servers[0].Addr != "a:1" || l.Version != 43 ||
		!u.Servers[0].LastBoot.Equal(time.UnixMilli(1500)) {
		t.Errorf("got %+v", u)
	}
	for text, substring := range map[string]string{
		`{"servers":[{"id":"s","addr":"a:1","state":"lost"}]}`: "servers[0].state",
		`{"servers":[{"addr":"a:1","state":"in_service"}]}`:    "servers[0]",
		`{"servers":[{"id":"s","state":"in_service"}]}`:        "servers[0]",
		`{"servers":7}`: "list of replicas",
		`{"servers":[{"id":"s","addr":"a:1","state":"in_service"},{"id":"s","addr":"b:1","state":"in_service"}]}`: "servers[1].id",
	} {
		if _, err := discovery.Decode([]byte(text)); err == nil || !strings.Contains(err.Error(), substring) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// TestWatch checks that the watch begins with the full list, continues from the version it has, and
// survives an agent that closes its connection or sends an unreadable list.
func TestWatch(t *testing.T) {
	entry := fake.Entry{ID: "s", Addr: "127.0.0.1:1", Kind: "k", State: "in_service"}
	a, err := fake.StartAgent("127.0.0.1:0", entry)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	updates := make(chan dispatch.Update, 8)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	w := &discovery.Watcher{Addr: a.Addr, Kinds: []logic.Kind{{Name: "k"}}, OnUpdate: func(u dispatch.Update) { updates <- u }}
	go func() { w.Run(ctx); close(ended) }()
	if u := <-updates; !u.Full || len(u.Servers) != 1 {
		t.Errorf("got %+v", u)
	}
	a.Set(fake.Entry{ID: "s", State: "nonsense"})
	entry.State = "terminating"
	for { // the invalid list is ignored, and the next one is passed on
		a.Set(entry)
		if u := <-updates; u.Servers[0].Availability == logic.Draining {
			break
		}
	}
	if q := a.Queries(); q[0] != "" || !strings.HasPrefix(q[1], "index=1&wait=") {
		t.Errorf("asked %q", q)
	}
	cancel()
	<-ended
}

// TestCheckKinds checks that lists that no dispatcher can use are rejected, with an error that
// names the cause.
func TestCheckKinds(t *testing.T) {
	kinds := []logic.Kind{{Name: "k"}}
	entry := discovery.Entry{ID: "s", Addr: "a:1", Kind: "k", State: "in_service"}
	unknownKind := entry
	unknownKind.Kind = "unheard"
	gone := unknownKind
	gone.State = "terminated"
	for i, c := range []struct {
		list      discovery.List
		substring string // of the error; "" for none
	}{
		{discovery.List{Full: true, Servers: []discovery.Entry{entry}}, ""},
		{discovery.List{Servers: []discovery.Entry{gone}}, ""},
		{discovery.List{}, ""},
		{discovery.List{Full: true}, "no replica"},
		{discovery.List{Servers: []discovery.Entry{entry, unknownKind}}, `servers[1].kind: "unheard"`},
	} {
		if err := c.list.CheckKinds(kinds); (err == nil) != (c.substring == "") || err != nil && !strings.Contains(err.Error(), c.substring) {
			t.Errorf("case %d: %v, want %q", i, err, c.substring)
		}
	}
}

// TestBackoffFromOverloadedDiscovery checks that each of many dispatchers pauses for seconds when
// discovery rejects calls: 80 dispatchers that retried every 50 ms kept discovery from answering
// any of them for a whole day. A dispatcher that is one of few must notice the end of the overload
// soon.
func TestBackoffFromOverloadedDiscovery(t *testing.T) {
	watch := func(siblings int) (*fake.Agent, chan dispatch.Update, func()) {
		a, err := fake.StartAgent("127.0.0.1:0", fake.Entry{ID: "s", Addr: "127.0.0.1:1", Kind: "k", State: "in_service"})
		if err != nil {
			t.Fatal(err)
		}
		a.SetOverloaded(true)
		updates := make(chan dispatch.Update, 8)
		ctx, cancel := context.WithCancel(context.Background())
		w := &discovery.Watcher{Addr: a.Addr, Siblings: siblings, Kinds: []logic.Kind{{Name: "k"}}, OnUpdate: func(u dispatch.Update) { updates <- u }}
		ended := make(chan struct{})
		go func() { w.Run(ctx); close(ended) }()
		return a, updates, func() { cancel(); <-ended; a.Close() }
	}
	few, updates, stop := watch(1)
	defer stop()
	many, _, stopMany := watch(80)
	defer stopMany()
	for len(many.Queries()) == 0 || len(few.Queries()) < 2 {
		time.Sleep(time.Millisecond)
	}
	few.SetOverloaded(false)
	if u := <-updates; len(u.Servers) != 1 {
		t.Errorf("got %+v", u)
	}
	if n := len(many.Queries()); n != 1 {
		t.Errorf("one of 80 dispatchers made %d calls while discovery rejected them, want 1 in four seconds", n)
	}
}
