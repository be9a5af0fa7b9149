package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"standpulley/internal/soak"
	"standpulley/internal/standin"
)

// heldMost is how long a state may be held after the read: the settings' 500 ms and the 300 ms of the protocol page.
const heldMost = 800 * time.Millisecond

// behindLink puts a replica behind a link, and gives the entry that leads there.
func behindLink(t *testing.T, e standin.Entry) (*soak.Link, standin.Entry) {
	t.Helper()
	l, err := soak.NewLink("127.0.0.1:0", e.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	e.Addr = l.Addr
	return l, e
}

// reads notes when the reads of requests ended, and when replicas were told to let go of them.
type reads struct {
	mu   sync.Mutex
	done map[string]time.Time
}

func (r *reads) read(x *standin.Exchange) {
	r.mu.Lock()
	r.done[x.ID] = time.Now()
	r.mu.Unlock()
	x.Read(0)
}

func (r *reads) doneAt(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.done[id]
	return at, ok
}

// Guards, from the incident in pre-production: a request's read has ended, and its fetch is sent over an open connection that has fallen
// silent. The bytes leave and come to nobody, no error shows. What the reader holds was let go only with the request, seconds later. With
// kept connections that fall silent once, with new ones that are silent too, and with several requests at once.
func TestHeldStateIsLetGoWhenTheFetchDoesNotArrive(t *testing.T) {
	for _, fresh := range []soak.NewConnections{soak.Carried, soak.Silent} {
		done := &reads{done: map[string]time.Time{}}
		reader, r := replicaOf(t, "reader", "reader", done.read)
		_, w1 := replicaOf(t, "w1", "writer", func(x *standin.Exchange) { x.Answer("one") })
		_, w2 := replicaOf(t, "w2", "writer", func(x *standin.Exchange) { x.Answer("two") })
		l1, w1 := behindLink(t, w1)
		l2, w2 := behindLink(t, w2)
		agent, addr, path := agentOf(t, r, w1, w2), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		_, out := start(t, configure(t, path, addr, agent.Addr, settings, ""))
		wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		enquiry := func(n int) string { return strings.Replace(request(addr, n), "instruction", "enquiry", 1) }
		for n := range 8 { // so that connections to both writers stand idle
			if text := answered(t, say(t, addr, enquiry(n+1))); !strings.HasSuffix(text, "[DONE]\n\n") {
				t.Fatalf("got %q", text)
			}
		}
		time.Sleep(50 * time.Millisecond) // they have rested
		l1.Silence()
		l2.Silence()
		l1.SetNew(fresh)
		l2.SetNew(fresh)
		for n := 100; n < 104; n++ {
			say(t, addr, enquiry(n))
		}
		for n := 100; n < 104; n++ {
			id := fmt.Sprintf("%016x", n)
			wait(t, "the read of "+id, func() bool { _, ok := done.doneAt(id); return ok })
			at, _ := done.doneAt(id)
			released := func() bool {
				for _, c := range reader.Calls("DELETE") {
					if strings.HasSuffix(c.Path, id) {
						return true
					}
				}
				return false
			}
			for !released() && time.Since(at) < heldMost {
				time.Sleep(5 * time.Millisecond)
			}
			if !released() {
				t.Errorf("new connections %v: what the read of %s left is held after %v", fresh, id, heldMost)
			}
		}
	}
}
