package platform

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/fake"
	"standpulley/internal/fronttest"
)

// closedWithin reports whether the peer closes a connection within the given time.
func closedWithin(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, c)
	t, ok := err.(net.Error)
	return !ok || !t.Timeout()
}

// Guards: clients that send one request and keep their connection, and clients that send nothing,
// blocked all others.
func TestIdleConnectionsDoNotBlockOthers(t *testing.T) {
	_, addr := start(t, fronttest.HealthyReader, serve)
	var idle []net.Conn
	for i := range 100 { // more than the limiter's maximum
		text := ""
		if i%2 == 0 {
			text = rawRequest("enquiry", "2000m")
		}
		c := send(t, addr, text)
		if idle = append(idle, c); text == "" {
			continue
		}
		if resp, _, complete := readAnswer(t, c); resp.StatusCode != 200 || !complete {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
	}
	if !closedWithin(idle[0], time.Second) || !closedWithin(idle[1], time.Second) {
		t.Error("the first connections are still open")
	}
}

// Guards: a connection with an open request is not closed for another client; the other client gets
// 502.
func TestActiveConnectionsAreNotEvicted(t *testing.T) {
	proceed := make(chan bool)
	_, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { x.Head(); x.Token("a"); <-proceed; x.End() })
	var open []net.Conn
	for range fronttest.MaxConns {
		c := send(t, addr, rawRequest("enquiry", "2000m"))
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(c, make([]byte, 12)); err != nil { // the stream has begun
			t.Fatal(err)
		}
		open = append(open, c)
	}
	if resp, _, _ := readAnswer(t, send(t, addr, rawRequest("enquiry", "2000m"))); resp.StatusCode != 502 {
		t.Errorf("got %d", resp.StatusCode)
	}
	close(proceed)
	for _, c := range open {
		if text, err := io.ReadAll(io.LimitReader(c, 200)); err != nil || !strings.Contains(string(text), `"a"`) {
			t.Fatalf("%q, %v", text, err)
		}
	}
}

// Guards: a client is owed a response or a close within 3 s of connecting, whatever it leaves
// unsent.
func TestSilentClients(t *testing.T) {
	_, addr := start(t, fronttest.HealthyReader, serve)
	good := rawRequest("enquiry", "2000m")
	from := time.Now()
	conns := map[string]net.Conn{}
	for name, text := range map[string]string{"silent": "", "half a head": good[:40], "half a body": good[:len(good)-2]} {
		conns[name] = send(t, addr, text)
	}
	for name, c := range conns {
		if !closedWithin(c, 5*time.Second) || time.Since(from) > 4*time.Second {
			t.Errorf("%s: held for %v", name, time.Since(from))
		}
	}
}

// Guards: clients that sent half of a large body and stopped filled the memory. The connections
// whose bodies began first are evicted for others, and a client that sends a whole body meanwhile
// is served.
func TestPartialBodies(t *testing.T) {
	_, addr := start(t, fronttest.HealthyReader, serve)
	large := strings.Replace(rawRequest("enquiry", "2000m"), "Content-Length: 4\r\n\r\n{  }", "Content-Length: 262144\r\n\r\n{"+strings.Repeat(" ", 1<<17), 1)
	chunked := strings.Replace(large, "Content-Length: 262144\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n30000\r\n", 1)
	var halves []net.Conn
	from := time.Now()
	for i := range 12 { // the limit has room for four bodies
		text := large
		if i%2 == 0 {
			text = chunked
		}
		halves = append(halves, send(t, addr, text))
		time.Sleep(20 * time.Millisecond) // to keep them in order
	}
	complete := large + strings.Repeat(" ", 1<<17-2) + "}"
	if resp, _, ok := readAnswer(t, send(t, addr, complete)); resp.StatusCode != 200 || !ok {
		t.Errorf("a complete body: %d", resp.StatusCode)
	}
	for i, c := range halves[:7] {
		if !closedWithin(c, time.Second) || time.Since(from) > 2*time.Second {
			t.Errorf("half body %d is still open after %v", i, time.Since(from))
		}
	}
}

// Guards: a request that HTTP implementations may frame differently could hide a second request;
// none must reach a replica.
func TestAmbiguousFraming(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, serve)
	for name, c := range map[string][2]string{
		"both":              {"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"},
		"both, reversed":    {"Content-Length: 4", "Transfer-Encoding: chunked\r\nContent-Length: 4"},
		"both, identity":    {"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: identity"},
		"identity":          {"Content-Length: 4", "Transfer-Encoding: identity"},
		"obfuscated":        {"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: xchunked"},
		"space in the name": {"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding : chunked"},
		"folded":            {"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding:\r\n chunked"},
		"gzip, chunked":     {"Content-Length: 4", "Transfer-Encoding: gzip, chunked"},
		"repeated":          {"Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4"},
		"two lengths":       {"Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"},
		"list of lengths":   {"Content-Length: 4", "Content-Length: 4, 4"},
		"signed":            {"Content-Length: 4", "Content-Length: +4"},
		"negative":          {"Content-Length: 4", "Content-Length: -4"},
		"hex":               {"Content-Length: 4", "Content-Length: 0x4"},
		"empty length":      {"Content-Length: 4", "Content-Length:"},
		"huge":              {"Content-Length: 4", "Content-Length: 99999999999999999999"},
		"bad chunk":         {"Content-Length: 4\r\n\r\n{  }", "Transfer-Encoding: chunked\r\n\r\nzz\r\n{  }\r\n0\r\n\r\n"},
		"short chunk":       {"Content-Length: 4\r\n\r\n{  }", "Transfer-Encoding: chunked\r\n\r\n2\r\n{  }\r\n0\r\n\r\n"},
		"huge chunk":        {"Content-Length: 4\r\n\r\n{  }", "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n{  }\r\n0\r\n\r\n"},
		"bare LF chunk":     {"Content-Length: 4\r\n\r\n{  }", "Transfer-Encoding: chunked\r\n\r\n4\nbody\n0\n\n"},
		"no length":         {"Content-Length: 4\r\n", ""},
		"too short":         {"Content-Length: 4", "Content-Length: 3"},
		"not JSON":          {"{  }", "body"},
	} {
		text := strings.Replace(rawRequest("enquiry", "2000m"), c[0], c[1], 1)
		conn := send(t, addr, text+"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, _, _ := readAnswer(t, conn)
		if resp.StatusCode < 400 || !resp.Close || !closedWithin(conn, 2*time.Second) {
			t.Errorf("%s: %d, close %v", name, resp.StatusCode, resp.Close)
		}
	}
	if n := len(rig.Reader.Calls("")) + rig.WriterRequests(); n != 0 {
		t.Errorf("%d calls reached replicas", n)
	}
	chunked := strings.Replace(rawRequest("enquiry", "2000m"), "Content-Length: 4\r\n\r\n{  }", "Transfer-Encoding: chunked\r\n\r\n4\r\n{  }\r\n0\r\n\r\n", 1)
	if resp, _, complete := readAnswer(t, send(t, addr, chunked)); resp.StatusCode != 200 || !complete {
		t.Errorf("valid chunks: %d", resp.StatusCode)
	}
}

// Guards: a head of very many short fields took many times its size in memory, and each field was
// sent on.
func TestHeaderWithTooManyFieldsIsRejected(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, serve)
	for fields, status := range map[string]int{
		strings.Repeat("a:\r\n", 80): 200, strings.Repeat("a:\r\n", 150): 431, strings.Repeat("a:\r\n", 1900): 431,
		"Cookie: " + strings.Repeat("a;", 300) + "\r\n": 200, "Cookie: " + strings.Repeat("a;", 3500) + "\r\n": 431,
	} {
		text := strings.Replace(rawRequest("enquiry", "2000m"), "X-Qos", fields+"X-Qos", 1)
		c := send(t, addr, text)
		if resp, _, _ := readAnswer(t, c); resp.StatusCode != status {
			t.Errorf("%d bytes of %.12q: %d, want %d", len(fields), fields, resp.StatusCode, status)
		}
		if status == 431 && !closedWithin(c, time.Second) {
			t.Errorf("%d bytes of %.12q: the connection is still open", len(fields), fields)
		}
	}
	if n := rig.WriterRequests(); n != 2 {
		t.Errorf("%d requests reached a writer, want 2", n)
	}
	// A header that goes on after so many is not read to its end.
	from := time.Now()
	endless := send(t, addr, strings.Replace(rawRequest("enquiry", "2000m"), "X-Qos", strings.Repeat("a:\r\n", 1900)+"X-Qos", 1)[:4000])
	if resp, _, _ := readAnswer(t, endless); resp.StatusCode != 431 || time.Since(from) > time.Second {
		t.Errorf("an incomplete header: %d after %v", resp.StatusCode, time.Since(from))
	}
}

// Guards: a client that names very many fields in Connection held the program up for milliseconds
// with each request.
func TestFieldsNamedInConnectionAreNotForwarded(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, serve)
	named := "Connection: " + strings.Repeat("b,", 300) + " X-Mine \r\nx-mine: 1\r\nX-Other: 2\r\nX-Qos"
	if resp, _, _ := readAnswer(t, send(t, addr, strings.Replace(rawRequest("enquiry", "2000m"), "X-Qos", named, 1))); resp.StatusCode != 200 {
		t.Fatalf("got %d", resp.StatusCode)
	}
	for _, call := range rig.Reader.Calls("POST") {
		if call.Header["X-Other"] != "2" || call.Header["X-Mine"] != "" || call.Header["Connection"] != "" {
			t.Errorf("forwarded: %v", call.Header)
		}
	}
}

// Guards: timers hold a request in memory until the time that its client announces, which could be
// arbitrarily late.
func TestClientExpiryIsCapped(t *testing.T) {
	rig := fronttest.Start(t, fronttest.HealthyReader, serve)
	f := New(rig.Core, rig.Pool, fronttest.Settings(), nil)
	for _, expires := range []string{"99999999999m", "1e300u"} {
		var in fasthttp.Request
		if err := in.Read(bufio.NewReader(strings.NewReader(rawRequest("enquiry", expires)))); err != nil {
			t.Fatal(err)
		}
		q, err := f.parseRequest(&in, in.Body())
		if limit := 2 * fronttest.Settings().Classes[0].Deadline; err != nil || q.Spec.Remaining <= 0 || q.Spec.Remaining > limit {
			t.Errorf("%s: %v, %v", expires, q.Spec.Remaining, err)
		}
	}
}
