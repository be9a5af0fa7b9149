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

// scripted is an agent whose calls the test answers itself, one by one.
type scripted struct {
	addr  string
	calls chan call
}

type call struct {
	query string
	conn  net.Conn
}

func script(t *testing.T) *scripted {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &scripted{ln.Addr().String(), make(chan call, 64)}
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

// next waits for a call.
func (s *scripted) next(t *testing.T) call {
	t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(20 * time.Second):
		t.Fatal("no call comes")
		return call{}
	}
}

func (c call) answer(version int, state string) {
	text := fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","kind":"k","state":%q}]}`, version, state)
	c.say("200 OK", text)
}

func (c call) say(status, text string) {
	_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text) // one that has hung up hears nothing
}

func watch(t *testing.T, w *discovery.Watcher) chan dispatch.Update {
	t.Helper()
	told := make(chan dispatch.Update, 8)
	w.Kinds, w.OnUpdate = []logic.Kind{{Name: "k"}}, func(u dispatch.Update) { told <- u }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return told
}

const (
	listDeadline = 6 * time.Second // after discovery had a change and could be reached
	drainGrace   = time.Second     // and for a drain as much longer
)

// Guards: a watch that falls silent, right after it was opened, told of nothing for 11.5 s, and a drain that it missed was broken. What it
// missed is asked for in a call that does not wait, as a further watch could be silent too.
func TestSilentWatchIsAskedInTime(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		s := script(t)
		told := watch(t, &discovery.Watcher{Addr: s.addr, Siblings: 300, PushMode: pushed})
		s.next(t).answer(1, "in_service")
		<-told
		if q := s.next(t).query; !strings.HasPrefix(q, "index=1&wait=") { // and nothing more is said on it
			t.Fatalf("asked %q", q)
		}
		silent := time.Now()
		again := s.next(t)
		if again.query != "index=1&wait=0" {
			t.Errorf("after the silence: asked %q", again.query)
		}
		again.answer(2, "terminating")
		if u := <-told; u.Servers[0].Availability != logic.Draining {
			t.Errorf("told %+v", u)
		}
		if took := time.Since(silent); took > listDeadline {
			t.Errorf("pushed %v: told %v after the watch fell silent", pushed, took)
		}
		if q := s.next(t).query; !strings.HasPrefix(q, "index=2&wait=") || q == "index=2&wait=0" {
			t.Errorf("after it was told: asked %q", q)
		}
	}
}

// Guards: a call that went wrong behind a watch that had fallen silent put the two bounds one behind the other, some 9 s. Whatever goes wrong
// with the one call, the next is answered before what the watch missed counts as told.
func TestSilentWatchAndOneCallMoreAreWithinTheTime(t *testing.T) {
	t.Parallel()
	for name, wrong := range map[string]func(call){
		"not answered": func(call) {},
		"turned away":  func(c call) { c.say("503 Service Unavailable", "") },
		"reset":        func(c call) { _ = c.conn.(*net.TCPConn).SetLinger(0); _ = c.conn.Close() },
		"spoilt":       func(c call) { c.say("200 OK", `{"version":`) },
	} {
		for _, pushed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, pushed %v", name, pushed), func(t *testing.T) {
				t.Parallel()
				s := script(t)
				told := watch(t, &discovery.Watcher{Addr: s.addr, Siblings: 300, PushMode: pushed})
				s.next(t).answer(1, "in_service")
				<-told
				s.next(t) // the watch, on which nothing more is said
				silent := time.Now()
				wrong(s.next(t))
				s.next(t).answer(2, "terminating")
				if u := <-told; u.Servers[0].Availability != logic.Draining {
					t.Errorf("told %+v", u)
				}
				if took := time.Since(silent); took > listDeadline {
					t.Errorf("told %v after the watch fell silent", took)
				}
			})
		}
	}
}

// Guards: where lists are pushed, what the agent gets when discovery returns counts as told in that moment, and calls that it left without
// an answer were waited for up to 4 s. It is asked so often that a drain is kept.
func TestReturnOfAPushedAgentIsFound(t *testing.T) {
	t.Parallel()
	s := script(t)
	told := watch(t, &discovery.Watcher{Addr: s.addr, Siblings: 300, PushMode: true})
	s.next(t).answer(1, "in_service")
	<-told
	for range 4 { // the watch, and three calls that ask what it missed
		s.next(t)
	}
	returned := time.Now()
	s.next(t).answer(2, "terminating")
	<-told
	if took := time.Since(returned); took > drainGrace {
		t.Errorf("told %v after the agent came back", took)
	}
}

// Guards: the pause after a call that was turned away grew to 8 s, and to 30 s where there were many dispatchers. Together with the call
// before it, whatever became of that, it is under the time after which a change counts as told; it is drawn, so that those who were
// turned away together don't come back together.
func TestTurnedAwayIsAskedAgainInTime(t *testing.T) {
	t.Parallel()
	s := script(t)
	watch(t, &discovery.Watcher{Addr: s.addr, Siblings: 300})
	first := s.next(t)
	for range 2 {
		first.say("503 Service Unavailable", "")
		away := time.Now()
		first = s.next(t)
		if took := time.Since(away); took > listDeadline-drainGrace {
			t.Errorf("asked again after %v", took)
		}
	}
}

// Guards: a watch that was turned away was followed by a call that does not wait, and a watch after it: two calls at a service that had no
// time for one.
func TestWatchThatIsTurnedAwayIsOpenedAgain(t *testing.T) {
	t.Parallel()
	s := script(t)
	told := watch(t, &discovery.Watcher{Addr: s.addr, Siblings: 3})
	s.next(t).answer(1, "in_service")
	<-told
	first := s.next(t)
	first.say("503 Service Unavailable", "")
	if again := s.next(t); again.query != first.query || !strings.HasPrefix(again.query, "index=1&wait=") {
		t.Errorf("asked %q, then %q", first.query, again.query)
	}
}

// Guards: where lists are asked for, each of many dispatchers asked for the whole list as it started, at one service that answers by the
// line: it turned away the watches that followed, and drains came too late. Who knows a list asks what has changed of it, and is told also
// that nothing has.
func TestWhoKnowsAListAsksWhatHasChanged(t *testing.T) {
	t.Parallel()
	s, version := script(t), int64(7)
	told := watch(t, &discovery.Watcher{Addr: s.addr, Siblings: 300, KnownVersion: &version})
	c := s.next(t)
	if c.query != "index=7&wait=0" {
		t.Errorf("asked %q", c.query)
	}
	c.say("503 Service Unavailable", "")
	if c = s.next(t); c.query != "index=7&wait=0" {
		t.Errorf("asked %q after it was turned away", c.query)
	}
	c.say("200 OK", `{"version":7,"full":false,"servers":[]}`)
	if u := <-told; u.Full || len(u.Servers) > 0 {
		t.Errorf("told %+v", u)
	}
	s.next(t).answer(9, "terminating")
	if u := <-told; u.Servers[0].Availability != logic.Draining {
		t.Errorf("told %+v", u)
	}
}

// A list comes indented, in pieces and late, whole and lacking an entry, and from a version that has gone back: each is told as it is, and
// the next call goes on from what was told last.
func TestListsInEveryForm(t *testing.T) {
	t.Parallel()
	s := script(t)
	told := watch(t, &discovery.Watcher{Addr: s.addr, Siblings: 3})
	entry := func(id, state string) string {
		return fmt.Sprintf("\n    {\n      \"id\": %q,\n      \"addr\": \"127.0.0.1:1\",\n      \"kind\": \"k\",\n      \"state\": %q\n    }", id, state)
	}
	pieces := func(c call, text string) {
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		for len(text) > 0 {
			n := min(7, len(text))
			if _, err := c.conn.Write([]byte(text[:n])); err != nil {
				return // seen by what is told
			}
			text = text[n:]
		}
	}
	for _, x := range []struct {
		text  string
		full  bool
		ids   int
		query string // of the call after it
	}{
		{"{\n  \"version\": 7,\n  \"full\": true,\n  \"servers\": [" + entry("a", "in_service") + "," + entry("b", "in_service") + "\n  ]\n}\n", true, 2, "index=7&"},
		{"{\n  \"version\": 9,\n  \"full\": false,\n  \"servers\": [" + entry("a", "terminating") + "\n  ]\n}", false, 1, "index=9&"},
		{`{"version":10,"full":true,"servers":[` + entry("b", "in_service") + `]}`, true, 1, "index=10&"},
		{`{"version":4,"full":true,"servers":[` + entry("a", "in_service") + `]}`, true, 1, "index=4&"},
	} {
		pieces(s.next(t), x.text)
		u := <-told
		if u.Full != x.full || len(u.Servers) != x.ids {
			t.Errorf("told %+v of %q", u, x.text)
		}
		next := s.next(t)
		if !strings.HasPrefix(next.query, x.query) {
			t.Errorf("after %q: asked %q", x.text, next.query)
		}
		s.calls <- next // it is answered by the next list
	}
}
