package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// fill has clients connect to a listener and send a text each, which has come before the gate sees their connections.
func fill(t *testing.T, clients int, text string) (sent, accepted []net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for range clients {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(client, text); err != nil {
			t.Fatal(err)
		}
		tcp, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _, _ = client.Close(), tcp.Close() })
		sent, accepted = append(sent, client), append(accepted, tcp)
	}
	return sent, accepted
}

// wantBadGateway reads the answer of who is turned away, and the end behind it.
func wantBadGateway(t *testing.T, what string, client net.Conn) {
	t.Helper()
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(client)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Errorf("%s: no answer: %v", what, err)
		return
	}
	if rest, err := io.ReadAll(br); resp.StatusCode != http.StatusBadGateway || len(rest) > 0 || err != nil {
		t.Errorf("%s: %d, then %d bytes and %v", what, resp.StatusCode, len(rest), err)
	}
}

const wholeRequest = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"

// Guards: a request that had come, and whose connection was closed for another before anybody took it, got no answer.
func TestRequestThatIsEvictedIsAnswered(t *testing.T) {
	sent, accepted := fill(t, 2, wholeRequest)
	g := NewGate(1, 1)
	c := g.enter(accepted[0])
	head := make([]byte, len(wholeRequest))
	if _, err := io.ReadFull(c, head); err != nil {
		t.Fatal(err)
	}
	c.rest(true) // it has been read, and nobody has taken it yet
	if next := g.enter(accepted[1]); next == nil {
		t.Fatal("the further one has no place")
	}
	if c.busy() {
		t.Error("the one that is evicted is served")
	}
	wantBadGateway(t, "the one that is evicted", sent[0])
}

// Guards: beyond the few that are lingered for, clients with a request on a new connection were closed without an answer, and the close
// over unread bytes reset them.
func TestAllWhoFindNoPlaceAreAnswered(t *testing.T) {
	const clients = 4 * refusedMost
	sent, accepted := fill(t, clients+1, strings.Repeat(wholeRequest, 50))
	g := NewGate(1, 1)
	if !g.enter(accepted[0]).busy() {
		t.Fatal("the first has no place")
	}
	for _, tcp := range accepted[1:] {
		if g.enter(tcp) != nil {
			t.Fatal("there is a place for a further one")
		}
	}
	g.mu.Lock()
	waiting := g.refused
	g.mu.Unlock()
	if waiting > refusedMost {
		t.Errorf("%d wait to be closed", waiting)
	}
	for _, client := range sent[1:] {
		wantBadGateway(t, "one without a place", client)
	}
}

// Guards: whether a client has ended its connection shows whatever it sent before that and nobody has read.
func TestEndShowsBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"close":      func(c net.Conn) { _ = c.Close() },
		"half close": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		"reset":      func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		for _, text := range []string{"", "P", strings.Repeat(wholeRequest, 2000)} {
			sent, accepted := fill(t, 1, text)
			c := NewGate(1, 1).enter(accepted[0])
			if c.hungUp() {
				t.Errorf("%s: gone before the end", name)
			}
			end(sent[0])
			from := time.Now()
			for !c.hungUp() && time.Since(from) < 5*time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(from); took > 100*time.Millisecond {
				t.Errorf("%s behind %d bytes shows after %v", name, len(text), took)
			}
		}
	}
}
