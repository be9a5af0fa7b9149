package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/logic"
)

// scriptedAgent is an agent whose calls the test answers itself, one by one.
type scriptedAgent struct {
	addr  string
	calls chan call
}

type call struct {
	query string
	conn  net.Conn
}

func startAgent(t *testing.T) *scriptedAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &scriptedAgent{ln.Addr().String(), make(chan call, 64)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				for {
					var q fasthttp.Request
					if q.Read(br) != nil {
						return
					}
					s.calls <- call{string(q.URI().QueryString()), c}
				}
			}()
		}
	}()
	return s
}

// next waits for the next call.
func (s *scriptedAgent) next(t *testing.T) call {
	t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(20 * time.Second):
		t.Fatal("the watcher made no call within 20 s")
		return call{}
	}
}

func (c call) answer(version int, state string) {
	text := fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","kind":"k","state":%q}]}`, version, state)
	c.reply("200 OK", text)
}

func (c call) reply(status, text string) {
	// Fails if the watcher has closed the connection.
	_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
}

func startWatcher(t *testing.T, w *discovery.Watcher) chan dispatch.Update {
	t.Helper()
	updates := make(chan dispatch.Update, 8)
	w.Kinds, w.OnUpdate = []logic.Kind{{Name: "k"}}, func(u dispatch.Update) { updates <- u }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return updates
}

const (
	listDeadline = 6 * time.Second // a change must be known this long after discovery had it and could be reached
	drainGrace   = time.Second     // and a drain obeyed this long after that
)

// A watch that stalled right after it was opened reported nothing for 11.5 s, and a drain in that
// time was not obeyed. The watcher must ask for what it missed in a call that does not wait, as
// another watch could stall too.
func TestStalledWatchIsFollowedByCatchUp(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		s := startAgent(t)
		updates := startWatcher(t, &discovery.Watcher{Addr: s.addr, Siblings: 300, PushMode: pushed})
		s.next(t).answer(1, "in_service")
		<-updates
		if q := s.next(t).query; !strings.HasPrefix(q, "index=1&wait=") { // this watch is never answered
			t.Fatalf("asked %q", q)
		}
		stalled := time.Now()
		again := s.next(t)
		if again.query != "index=1&wait=0" {
			t.Errorf("after the stalled watch: asked %q", again.query)
		}
		again.answer(2, "terminating")
		if u := <-updates; u.Servers[0].Availability != logic.Draining {
			t.Errorf("got %+v", u)
		}
		if took := time.Since(stalled); took > listDeadline {
			t.Errorf("push mode %v: update %v after the watch stalled", pushed, took)
		}
		if q := s.next(t).query; !strings.HasPrefix(q, "index=2&wait=") || q == "index=2&wait=0" {
			t.Errorf("after the update: asked %q", q)
		}
	}
}

// A failed call after a stalled watch added the bounds of both, to some 9 s. However that call
// fails, the next one must be answered before the dispatcher is held to know what the watch missed.
func TestStalledWatchAndFailedCallWithinDeadline(t *testing.T) {
	t.Parallel()
	for name, failure := range map[string]func(call){
		"not answered": func(call) {},
		"rejected":     func(c call) { c.reply("503 Service Unavailable", "") },
		"reset":        func(c call) { _ = c.conn.(*net.TCPConn).SetLinger(0); _ = c.conn.Close() },
		"unreadable":   func(c call) { c.reply("200 OK", `{"version":`) },
	} {
		for _, pushed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, push mode %v", name, pushed), func(t *testing.T) {
				t.Parallel()
				s := startAgent(t)
				updates := startWatcher(t, &discovery.Watcher{Addr: s.addr, Siblings: 300, PushMode: pushed})
				s.next(t).answer(1, "in_service")
				<-updates
				s.next(t) // the watch, which is never answered
				stalled := time.Now()
				failure(s.next(t))
				s.next(t).answer(2, "terminating")
				if u := <-updates; u.Servers[0].Availability != logic.Draining {
					t.Errorf("got %+v", u)
				}
				if took := time.Since(stalled); took > listDeadline {
					t.Errorf("update %v after the watch stalled", took)
				}
			})
		}
	}
}

// In push mode a dispatcher is held to know a change as soon as the agent receives it when
// discovery returns, but unanswered calls to the agent took up to 4 s. The agent must be asked
// often enough that a drain is obeyed in time.
func TestReturningPushAgentIsNoticed(t *testing.T) {
	t.Parallel()
	s := startAgent(t)
	updates := startWatcher(t, &discovery.Watcher{Addr: s.addr, Siblings: 300, PushMode: true})
	s.next(t).answer(1, "in_service")
	<-updates
	for range 4 { // the watch, and three catch-up calls
		s.next(t)
	}
	returned := time.Now()
	s.next(t).answer(2, "terminating")
	<-updates
	if took := time.Since(returned); took > drainGrace {
		t.Errorf("update %v after the agent returned", took)
	}
}

// The pause after a rejected call grew to 8 s, and to 30 s with many dispatchers. Together with the
// call before it, however that ended, it must be shorter than the time in which a change must be
// known. It is random, so that dispatchers that were rejected together do not return together.
func TestRejectedCallIsRetriedInTime(t *testing.T) {
	t.Parallel()
	s := startAgent(t)
	startWatcher(t, &discovery.Watcher{Addr: s.addr, Siblings: 300})
	first := s.next(t)
	for range 2 {
		first.reply("503 Service Unavailable", "")
		rejected := time.Now()
		first = s.next(t)
		if took := time.Since(rejected); took > listDeadline-drainGrace {
			t.Errorf("asked again after %v", took)
		}
	}
}

// A rejected watch was followed by a call that does not wait and then by another watch: two calls
// to a service that had no time for one. It must be followed by a watch.
func TestRejectedWatchIsRetriedAsWatch(t *testing.T) {
	t.Parallel()
	s := startAgent(t)
	updates := startWatcher(t, &discovery.Watcher{Addr: s.addr, Siblings: 3})
	s.next(t).answer(1, "in_service")
	<-updates
	first := s.next(t)
	first.reply("503 Service Unavailable", "")
	if again := s.next(t); again.query != first.query || !strings.HasPrefix(again.query, "index=1&wait=") {
		t.Errorf("asked %q, then %q", first.query, again.query)
	}
}

// Without push mode, each of many dispatchers fetched the full list when it started. The service
// queues its callers, so it rejected the watches that followed, and drains arrived too late. A
// watcher that has a list must ask only for the changes since, and report the answer even if
// nothing changed.
func TestKnownVersionAsksForChanges(t *testing.T) {
	t.Parallel()
	s, version := startAgent(t), int64(7)
	updates := startWatcher(t, &discovery.Watcher{Addr: s.addr, Siblings: 300, KnownVersion: &version})
	c := s.next(t)
	if c.query != "index=7&wait=0" {
		t.Errorf("asked %q", c.query)
	}
	c.reply("503 Service Unavailable", "")
	if c = s.next(t); c.query != "index=7&wait=0" {
		t.Errorf("asked %q after the rejection", c.query)
	}
	c.reply("200 OK", `{"version":7,"full":false,"servers":[]}`)
	if u := <-updates; u.Full || len(u.Servers) > 0 {
		t.Errorf("got %+v", u)
	}
	s.next(t).answer(9, "terminating")
	if u := <-updates; u.Servers[0].Availability != logic.Draining {
		t.Errorf("got %+v", u)
	}
}

// Lists may be indented, arrive in pieces, be full lists that lack an entry, or have a version that
// went back. Each must be passed on as it is, and the next call must continue from its version.
func TestListForms(t *testing.T) {
	t.Parallel()
	s := startAgent(t)
	updates := startWatcher(t, &discovery.Watcher{Addr: s.addr, Siblings: 3})
	entry := func(id, state string) string {
		return fmt.Sprintf("\n    {\n      \"id\": %q,\n      \"addr\": \"127.0.0.1:1\",\n      \"kind\": \"k\",\n      \"state\": %q\n    }", id, state)
	}
	replyInPieces := func(c call, text string) {
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		for len(text) > 0 {
			n := min(7, len(text))
			if _, err := c.conn.Write([]byte(text[:n])); err != nil {
				return // the missing update fails the test
			}
			text = text[n:]
		}
	}
	for _, x := range []struct {
		text  string
		full  bool
		ids   int
		query string // of the next call
	}{
		{"{\n  \"version\": 7,\n  \"full\": true,\n  \"servers\": [" + entry("a", "in_service") + "," + entry("b", "in_service") + "\n  ]\n}\n", true, 2, "index=7&"},
		{"{\n  \"version\": 9,\n  \"full\": false,\n  \"servers\": [" + entry("a", "terminating") + "\n  ]\n}", false, 1, "index=9&"},
		{`{"version":10,"full":true,"servers":[` + entry("b", "in_service") + `]}`, true, 1, "index=10&"},
		{`{"version":4,"full":true,"servers":[` + entry("a", "in_service") + `]}`, true, 1, "index=4&"},
	} {
		replyInPieces(s.next(t), x.text)
		u := <-updates
		if u.Full != x.full || len(u.Servers) != x.ids {
			t.Errorf("got %+v for %q", u, x.text)
		}
		next := s.next(t)
		if !strings.HasPrefix(next.query, x.query) {
			t.Errorf("after %q: asked %q", x.text, next.query)
		}
		s.calls <- next // the next iteration answers it
	}
}
