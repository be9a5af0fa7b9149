package main

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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

// requestsAtOnce is the number of requests whose fetches are lost at the same time.
const requestsAtOnce = 4

// warmUp leaves at least requestsAtOnce idle connections to each of two writers, so that later
// requests need no new one: the writers answer only when all requests of the warm-up have arrived.
type warmUp struct {
	arrived [2]atomic.Int32 // requests by writer
	answer  chan struct{}   // closed when the writers may answer
}

func newWarmUp() *warmUp { return &warmUp{answer: make(chan struct{})} }

// arrive is called by a writer for each request.
func (w *warmUp) arrive(writer int) {
	w.arrived[writer].Add(1)
	<-w.answer
}

func (w *warmUp) run(t *testing.T, addr string, request func(n int) string) {
	t.Helper()
	const total = 4 * requestsAtOnce
	var clients []net.Conn
	for n := range total {
		clients = append(clients, sendText(t, addr, request(n+1)))
	}
	waitFor(t, "the requests of the warm-up at the writers", func() bool { return w.arrived[0].Load()+w.arrived[1].Load() >= total })
	first, second := w.arrived[0].Load(), w.arrived[1].Load()
	close(w.answer)
	for _, c := range clients {
		if text := readAnswer(t, c); !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Fatalf("got %q", text)
		}
	}
	if min(first, second) < requestsAtOnce {
		t.Fatalf("%d and %d connections to the writers, want at least %d each", first, second, requestsAtOnce)
	}
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
		warm := newWarmUp()
		_, w1 := startReplica(t, "w1", "writer", func(x *fake.Exchange) { warm.arrive(0); x.Answer("one") })
		_, w2 := startReplica(t, "w2", "writer", func(x *fake.Exchange) { warm.arrive(1); x.Answer("two") })
		l1, w1 := behindLink(t, w1)
		l2, w2 := behindLink(t, w2)
		agent, addr, path := startAgent(t, r, w1, w2), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		_, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, settings, ""))
		waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		enquiry := func(n int) string { return strings.Replace(requestText(addr, n), "instruction", "enquiry", 1) }
		warm.run(t, addr, enquiry)
		time.Sleep(50 * time.Millisecond) // connections are reused only after 30 ms without a request
		l1.Blackhole()
		l2.Blackhole()
		l1.SetNew(newConns)
		l2.SetNew(newConns)
		for n := 100; n < 100+requestsAtOnce; n++ {
			sendText(t, addr, enquiry(n))
		}
		for n := 100; n < 100+requestsAtOnce; n++ {
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
