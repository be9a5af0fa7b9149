package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/internal/fake"
	"standpulley/internal/front"
	"standpulley/internal/fronttest"
)

// clientCloses lists the ways in which a client closes its connection.
var clientCloses = map[string]func(net.Conn){
	"close":      func(c net.Conn) { _ = c.Close() },
	"half close": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	"reset":      func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
}

// Guards: when the first byte of its next request had already arrived, a client's close was not
// noticed until the end of its current request, and attempts continued. Later the same happened
// with more data than is read ahead. The client closes while it waits for the answer of its first
// attempt, after sending nothing more, the first byte of a further request, the whole of it, or
// many requests.
func TestClientClosesWithNextRequestSent(t *testing.T) {
	for name, end := range clientCloses {
		for _, behind := range []string{"", "P", rawRequest("enquiry", "3000m"), strings.Repeat(rawRequest("enquiry", "3000m"), 8), strings.Repeat(rawRequest("enquiry", "3000m"), 200)} {
			rig, addr := start(t, func(x *fake.Exchange) { x.WaitClosed() }, serve)
			c := send(t, addr, rawRequest("enquiry", "3000m"))
			fronttest.WaitFor(t, "the send to the reader", func() bool { return len(rig.Reader.Calls("POST")) == 1 })
			if _, err := io.WriteString(c, behind); err != nil {
				t.Fatal(err)
			}
			end(c)
			fronttest.WaitFor(t, name+" to be noticed", func() bool { return rig.CountVerdicts(dispatch.ClientLeft) == 1 })
			fronttest.WaitFor(t, "the release", func() bool {
				return len(rig.Reader.Calls("DELETE"))+len(rig.Writers[0].Calls("DELETE")) > 0
			})
			if n := rig.WriterRequests(); n != 0 {
				t.Errorf("%s behind %d bytes: %d sends to the writer", name, len(behind), n)
			}
		}
	}
}

// Guards: a client that had closed before its request was read was served all the same, because its
// request was sent before the watch saw the close. Here the whole request and the close have
// arrived before the connection is accepted.
func TestClosedClientIsNotServed(t *testing.T) {
	for name, end := range clientCloses {
		rig := fronttest.Start(t, fronttest.HealthyReader, serve)
		port, err := front.Listen("127.0.0.1:0", front.NewConnLimiter(fronttest.MaxConns, fronttest.MaxBodyBytes), false)
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			end(send(t, port.Addr(), rawRequest("instruction", "3000m")))
			end(send(t, port.Addr(), rawRequest("enquiry", "3000m")+rawRequest("enquiry", "3000m")))
			// More than is read together with the first request.
			end(send(t, port.Addr(), strings.Repeat(rawRequest("enquiry", "3000m"), 40)))
		}
		last := send(t, port.Addr(), rawRequest("enquiry", "3000m"))
		server := New(rig.Core, rig.Pool, fronttest.Settings(), nil).Server()
		ln := port.Attach()
		go func() { _ = server.Serve(ln) }() // ends when the port shuts down
		t.Cleanup(func() { port.Shutdown(0) })
		if resp, _, complete := readAnswer(t, last); resp.StatusCode != 200 || !complete {
			t.Errorf("the client that stays: %d", resp.StatusCode)
		}
		port.Shutdown(0)
		if err := server.Shutdown(); err != nil { // returns when all connections are closed
			t.Fatal(err)
		}
		if n := len(rig.Reader.Calls("POST")); n != 1 {
			t.Errorf("%s: %d attempts, want 1, of the client that stays", name, n)
		}
	}
}

// Guards: the response to a request was held back while the next request, which had arrived with
// it, was being served. Here only the first is answered until the writer proceeds.
func TestAnswerIsNotDelayedByNextRequest(t *testing.T) {
	proceed := make(chan bool)
	_, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { <-proceed; serve(x) })
	c := send(t, addr, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"+rawRequest("enquiry", "3000m"))
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // the second request may take 3 s
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the first response: %v %v", resp, err)
	}
	close(proceed)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if resp, err = http.ReadResponse(br, nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the second response: %v %v", resp, err)
	}
}

// Guards: when a connection was closed after a response while data behind the request was still
// unread, a reset followed and destroyed the response. A reset would show as an error at the end of
// the response.
func TestLastAnswerIsNotReset(t *testing.T) {
	rig, addr := start(t, func(x *fake.Exchange) { x.Status(500, false, "") }, serve)
	if err := rig.Core.Phases.Enter(dispatch.Leaving); err != nil { // each response closes its connection
		t.Fatal(err)
	}
	for _, first := range []string{rawRequest("enquiry", "3000m"), strings.Replace(rawRequest("enquiry", "3000m"), "X-Qos: enquiry", "X-Qos: none", 1),
		strings.Replace(rawRequest("enquiry", "3000m"), "X-Qos", "Transfer-Encoding: chunked\r\nX-Qos", 1)} {
		for range 10 {
			c := send(t, addr, first+strings.Repeat("more than is read ", 4<<10))
			time.Sleep(time.Millisecond) // the test must pass with any order of reading and closing
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			text, err := io.ReadAll(c)
			if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 ") {
				t.Fatalf("after %.20q: %v", text, err)
			}
		}
	}
}

// Guards: when keep-alives were disabled while a response was being sent, the connection was closed
// right behind it with unread data, and the response was reset.
func TestAnswerIsNotResetWhenKeepAlivesAreDisabled(t *testing.T) {
	for range 10 {
		proceed := make(chan bool)
		rig := fronttest.Start(t, fronttest.HealthyReader, func(x *fake.Exchange) { <-proceed; serve(x) })
		limiter := front.NewConnLimiter(fronttest.MaxConns, fronttest.MaxBodyBytes)
		port, err := front.Listen("127.0.0.1:0", limiter, false)
		if err != nil {
			t.Fatal(err)
		}
		server, ln := New(rig.Core, rig.Pool, fronttest.Settings(), nil).Server(), port.Attach()
		go func() { _ = server.Serve(ln) }() // ends when the port shuts down
		t.Cleanup(func() { port.Shutdown(0) })
		c := send(t, port.Addr(), rawRequest("enquiry", "3000m")+strings.Repeat("more than is read ", 4<<10))
		fronttest.WaitFor(t, "the send to the writer", func() bool { return rig.WriterRequests() == 1 })
		limiter.DisableKeepAlives(true)
		close(proceed)
		fronttest.WaitFor(t, "the answer", func() bool { return rig.CountVerdicts(dispatch.Served) == 1 })
		time.Sleep(5 * time.Millisecond) // the test must pass with any order of reading and closing
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		// The response, and one to the data read behind it, which is not a valid request.
		text, err := io.ReadAll(c)
		first, rest, complete := strings.Cut(string(text), "\r\n0\r\n\r\n")
		if err != nil || !complete || !strings.Contains(first, "[DONE]") || rest != "" && !strings.HasPrefix(rest, "HTTP/1.1 4") {
			t.Fatalf("%v after %d bytes, then %.40q", err, len(first), rest)
		}
	}
}

// A request that keeps arriving a little at a time has the same time limit as any other: a response
// is owed within 3 s of connecting.
func TestTricklingRequestIsAnsweredInTime(t *testing.T) {
	_, addr := start(t, fronttest.HealthyReader, serve)
	for name, c := range map[string]struct{ head, again string }{
		"a body": {strings.Replace(rawRequest("enquiry", "2000m"), "Content-Length: 4\r\n\r\n{  }", "Transfer-Encoding: chunked\r\n\r\n", 1), "1\r\n \r\n"},
		"a head": {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Filler: ", "x"},
	} {
		conn := send(t, addr, c.head)
		stop := make(chan bool)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
					if _, err := io.WriteString(conn, c.again); err != nil {
						return
					}
				}
			}
		}()
		from := time.Now()
		resp, _, _ := readAnswer(t, conn)
		close(stop)
		if took := time.Since(from); resp.StatusCode < 400 || took > 4*time.Second {
			t.Errorf("%s: %d after %v", name, resp.StatusCode, took)
		}
	}
}

// Guards: a request that was read during the stream before it was dropped when its server had begun
// to shut down meanwhile, because the server's loop ends after the current response. The request
// must be answered, and the connection closes after that.
func TestPipelinedRequestIsAnsweredAtShutdown(t *testing.T) {
	proceed := make(chan bool)
	rig := fronttest.Start(t, fronttest.HealthyReader, func(x *fake.Exchange) {
		x.Head()
		x.Token("one")
		<-proceed
		x.End()
	})
	port, err := front.Listen("127.0.0.1:0", front.NewConnLimiter(fronttest.MaxConns, fronttest.MaxBodyBytes), false)
	if err != nil {
		t.Fatal(err)
	}
	server, ln := New(rig.Core, rig.Pool, fronttest.Settings(), nil).Server(), port.Attach()
	go func() { _ = server.Serve(ln) }() // ends when the port shuts down
	c := send(t, port.Addr(), rawRequest("enquiry", "3000m"))
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the stream: %v %v", resp, err)
	}
	if _, err := io.WriteString(c, rawRequest("enquiry", "3000m")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the watch for the client's close reads it
	if err := rig.Core.Phases.Enter(dispatch.Leaving); err != nil {
		t.Fatal(err)
	}
	rig.Core.StopAdmission()
	port.Shutdown(0)
	drained := make(chan bool)
	go func() { ln.DrainConns(); close(drained) }()
	close(proceed)
	if text, err := io.ReadAll(resp.Body); err != nil || !strings.HasSuffix(string(text), "[DONE]\n\n") {
		t.Fatalf("the stream: %q %v", text, err)
	}
	if resp, err = http.ReadResponse(br, nil); err != nil || resp.StatusCode != 503 || !resp.Close {
		t.Fatalf("the pipelined request: %v %v", resp, err)
	}
	select {
	case <-drained:
	case <-time.After(5 * time.Second):
		t.Error("the server did not shut down")
	}
	if rig.WriterRequests() != 1 {
		t.Errorf("%d requests reached writers", rig.WriterRequests())
	}
}
