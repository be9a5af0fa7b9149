package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"standpulley/internal/fake"
	"standpulley/internal/soak"
)

// maxHeldTime is how long state may be held after the read: the 500 ms of the settings plus the 300
// ms that the protocol allows.
const maxHeldTime = 800 * time.Millisecond

// behindLink puts a replica behind a network link that can be silenced, and returns the entry that
// leads there.
func behindLink(t *testing.T, e fake.Entry) (*soak.Link, fake.Entry) {
	t.Helper()
	l, err := soak.NewLink("127.0.0.1:0", e.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	e.Addr = l.Addr
	return l, e
}

// readTimes records when the read of each request ended.
type readTimes struct {
	mu    sync.Mutex
	ended map[string]time.Time
}

func (r *readTimes) onRead(x *fake.Exchange) {
	r.mu.Lock()
	r.ended[x.ID] = time.Now()
	r.mu.Unlock()
	x.Read(0)
}

func (r *readTimes) endedAt(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.ended[id]
	return at, ok
}

// TestStateIsReleasedWhenTheFetchIsLost guards against a failure seen in pre-production. The read
// of a request has ended, and its fetch is sent over an open connection that has stopped
// responding: the bytes leave but arrive nowhere, and no error shows. The state at the reader was
// released only with the request, seconds later. Covers kept connections that go silent while new
// ones work, new connections that are silent too, and several requests at once.
func TestStateIsReleasedWhenTheFetchIsLost(t *testing.T) {
	for _, newConns := range []soak.NewConnectionMode{soak.Forwarded, soak.Blackholed} {
		times := &readTimes{ended: map[string]time.Time{}}
		reader, r := startReplica(t, "reader", "reader", times.onRead)
		_, w1 := startReplica(t, "w1", "writer", func(x *fake.Exchange) { x.Answer("one") })
		_, w2 := startReplica(t, "w2", "writer", func(x *fake.Exchange) { x.Answer("two") })
		l1, w1 := behindLink(t, w1)
		l2, w2 := behindLink(t, w2)
		agent, addr, path := startAgent(t, r, w1, w2), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		_, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, settings, ""))
		waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		enquiry := func(n int) string { return strings.Replace(requestText(addr, n), "instruction", "enquiry", 1) }
		for n := range 8 { // opens connections to both writers, which are idle afterwards
			if text := readAnswer(t, sendText(t, addr, enquiry(n+1))); !strings.HasSuffix(text, "[DONE]\n\n") {
				t.Fatalf("got %q", text)
			}
		}
		time.Sleep(50 * time.Millisecond) // connections are reused only after 30 ms without a request
		l1.Blackhole()
		l2.Blackhole()
		l1.SetNew(newConns)
		l2.SetNew(newConns)
		for n := 100; n < 104; n++ {
			sendText(t, addr, enquiry(n))
		}
		for n := 100; n < 104; n++ {
			id := fmt.Sprintf("%016x", n)
			waitFor(t, "the read of "+id, func() bool { _, ok := times.endedAt(id); return ok })
			readAt, _ := times.endedAt(id)
			released := func() bool {
				for _, c := range reader.Calls("DELETE") {
					if strings.HasSuffix(c.Path, id) {
						return true
					}
				}
				return false
			}
			for !released() && time.Since(readAt) < maxHeldTime {
				time.Sleep(5 * time.Millisecond)
			}
			if !released() {
				t.Errorf("new connections %v: the state of request %s is still held after %v", newConns, id, maxHeldTime)
			}
		}
	}
}
