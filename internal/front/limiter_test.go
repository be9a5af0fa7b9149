package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// dialAndSend connects clients to a listener and sends a text from each. The text has arrived
// before the limiter sees the connections.
func dialAndSend(t *testing.T, clients int, text string) (clientConns, serverConns []net.Conn) {
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
		clientConns, serverConns = append(clientConns, client), append(serverConns, tcp)
	}
	return clientConns, serverConns
}

// wantBadGateway checks that a client gets status 502, followed by the end of the connection.
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

// Guards: a request that had arrived got no response when its connection was evicted before a
// handler started.
func TestEvictedRequestIsAnswered(t *testing.T) {
	clientConns, serverConns := dialAndSend(t, 2, wholeRequest)
	cl := NewConnLimiter(1, 1)
	c := cl.admit(serverConns[0])
	head := make([]byte, len(wholeRequest))
	if _, err := io.ReadFull(c, head); err != nil {
		t.Fatal(err)
	}
	c.markIdle(true) // read by the server, but no handler has started
	if next := cl.admit(serverConns[1]); next == nil {
		t.Fatal("the second connection is not admitted")
	}
	if c.markBusy() {
		t.Error("the evicted connection is served")
	}
	wantBadGateway(t, "the evicted client", clientConns[0])
}

// Guards: when more than maxLingering connections were rejected at once, further clients were
// closed without a response, and closing with unread data reset the connection.
func TestConnectionsOverTheLimitAreAnswered(t *testing.T) {
	const clients = 4 * maxLingering
	clientConns, serverConns := dialAndSend(t, clients+1, strings.Repeat(wholeRequest, 50))
	cl := NewConnLimiter(1, 1)
	if !cl.admit(serverConns[0]).markBusy() {
		t.Fatal("the first connection is not admitted")
	}
	for _, tcp := range serverConns[1:] {
		if cl.admit(tcp) != nil {
			t.Fatal("a further connection is admitted")
		}
	}
	cl.mu.Lock()
	waiting := cl.lingering
	cl.mu.Unlock()
	if waiting > maxLingering {
		t.Errorf("%d rejected connections are lingering", waiting)
	}
	for _, client := range clientConns[1:] {
		wantBadGateway(t, "a rejected client", client)
	}
}

// Guards: the close of a client must be detected even if data that it sent before is still unread.
func TestClientCloseIsDetectedBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"close":      func(c net.Conn) { _ = c.Close() },
		"half close": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		"reset":      func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		for _, text := range []string{"", "P", strings.Repeat(wholeRequest, 2000)} {
			clientConns, serverConns := dialAndSend(t, 1, text)
			c := NewConnLimiter(1, 1).admit(serverConns[0])
			if c.hungUp() {
				t.Errorf("%s: closed before the client closed it", name)
			}
			end(clientConns[0])
			from := time.Now()
			for !c.hungUp() && time.Since(from) < 5*time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(from); took > 100*time.Millisecond {
				t.Errorf("%s behind %d bytes is detected after %v", name, len(text), took)
			}
		}
	}
}

// Guards: requestBegun was set some time after the first bytes of a request had been read. In
// between the connection counted as idle and was closed without a response: for another client, by
// operators, or at the server's shutdown. The same happened if the bytes had arrived and were still
// unread.
func TestConnectionWithRequestIsNotTreatedAsIdle(t *testing.T) {
	ends := map[string]func(cl *ConnLimiter, l *Listener, other net.Conn){
		"eviction":   func(cl *ConnLimiter, _ *Listener, other net.Conn) { cl.admit(other) },
		"idle close": func(cl *ConnLimiter, _ *Listener, _ net.Conn) { cl.CloseIdle(0) },
		"shutdown":   func(cl *ConnLimiter, l *Listener, _ net.Conn) { cl.drain(l) },
	}
	for name, end := range ends {
		for _, read := range []int{0, 1, len(wholeRequest)} {
			clientConns, serverConns := dialAndSend(t, 2, wholeRequest)
			cl := NewConnLimiter(1, 1)
			c, l := cl.admit(serverConns[0]), &Listener{limiter: cl}
			cl.assign(c, l)
			c.served = true
			if n, err := io.ReadFull(c, make([]byte, read)); err != nil {
				t.Fatal(n, err)
			}
			end(cl, l, serverConns[1])
			if name == "eviction" {
				wantBadGateway(t, name, clientConns[0])
				continue
			}
			if rest, err := io.ReadAll(io.LimitReader(c, int64(len(wholeRequest)-read))); err != nil || len(rest) != len(wholeRequest)-read || !c.markBusy() {
				t.Errorf("%s after %d bytes: the request could not be read: %v", name, read, err)
			}
		}
	}
}

// Idle connections close when their server shuts down, immediately if they have served a request;
// nothing more is read from them.
func TestIdleConnectionsCloseWithTheirServer(t *testing.T) {
	clientConns, serverConns := dialAndSend(t, 3, "")
	cl := NewConnLimiter(4, 1)
	served, fresh, another := cl.admit(serverConns[0]), cl.admit(serverConns[1]), cl.admit(serverConns[2])
	l := &Listener{limiter: cl}
	cl.assign(served, l)
	cl.assign(fresh, l)
	cl.assign(another, &Listener{limiter: cl})
	served.served = true
	if open := cl.drain(l); open != 1 {
		t.Errorf("%d connections are open", open)
	}
	if _, err := clientConns[0].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection that has served a request: %v", err)
	}
	if _, err := served.Read(make([]byte, 1)); err == nil {
		t.Error("it can be read after it was closed")
	}
	time.Sleep(firstRequestTimeout)
	if open := cl.drain(l); open != 0 {
		t.Errorf("%d connections are open", open)
	}
	if fresh.markBusy() || !another.markBusy() {
		t.Error("another server's connection was closed, or its own was not")
	}
}

// Guards: a close under the limiter's lock waits until nobody holds the connection's descriptor. A
// reader that held the descriptor and waited for the lock deadlocked the program.
func TestReadsAndEvictionsDoNotDeadlock(t *testing.T) {
	const rounds, clients = 50, 8
	finished := make(chan bool)
	go func() {
		defer close(finished)
		for range rounds {
			clientConns, serverConns := dialAndSend(t, clients, "")
			cl := NewConnLimiter(1, 1)
			var readers sync.WaitGroup
			for i, tcp := range serverConns {
				c := cl.admit(tcp)
				if c == nil {
					continue
				}
				readers.Go(func() {
					for b := make([]byte, 1); ; {
						if _, err := c.Read(b); err != nil {
							return
						}
						c.markIdle(false)
					}
				})
				readers.Go(func() { _, _ = io.WriteString(clientConns[i], wholeRequest); _ = clientConns[i].Close() })
			}
			readers.Wait()
		}
	}()
	select {
	case <-finished:
	case <-time.After(30 * time.Second):
		t.Fatal("reads and evictions deadlock")
	}
}
