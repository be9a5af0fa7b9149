package front_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/fake"
	"standpulley/internal/front"
	"standpulley/internal/front/chat"
	"standpulley/internal/front/platform"
	"standpulley/internal/fronttest"
)

// rawPost returns the bytes of a POST.
func rawPost(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
}

// halfClosedRequests are the forms of requests behind which a client ends its sending.
func halfClosedRequests(n int) map[string]string {
	const path, headers = "/v1/chat/completions", "X-Trace-Id: %016x\r\nX-Qos: %s\r\nX-Expires-In: 3000m\r\n"
	return map[string]string{
		"instruction":           rawPost(path, fmt.Sprintf(headers, n, "instruction"), `{"model":"act","messages":[{"role":"user","content":"pay"}]}`),
		"streamed enquiry":      rawPost(path, fmt.Sprintf(headers, n+1, "enquiry"), `{"model":"ask","stream":true,"messages":[{"role":"user","content":"pay"}]}`),
		"class that is unknown": rawPost(path, fmt.Sprintf(headers, n+2, "none"), `{"model":"none","messages":[{"role":"user","content":"pay"}]}`),
		"no id":                 rawPost(path, "", `{}`),
		"another path":          rawPost("/else", "", `{}`),
		"readiness":             "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n",
		"half a body":           strings.TrimSuffix(rawPost(path, fmt.Sprintf(headers, n+3, "enquiry"), `{"model":"ask"}`), `"ask"}`),
	}
}

// startFronts serves both fronts of a core and returns their ports, to which nothing is attached
// yet, and a function that attaches the fronts.
func startFronts(t *testing.T, rig *fronttest.Rig) (ports map[string]*front.Port, attach func()) {
	t.Helper()
	set := fronttest.Settings()
	c, err := chat.New(rig.Core, rig.Pool, set.Classes, chat.Shared{Instructions: chat.NewInstructions(), Decoding: &chat.DecodeBudget{}}, chat.Options{Models: map[string]string{"ask": "enquiry", "act": "instruction"}, MaxOutput: 400})
	if err != nil {
		t.Fatal(err)
	}
	servers := map[string]*fasthttp.Server{"platform": platform.New(rig.Core, rig.Pool, set, nil).Server(), "chat": c.Server()}
	ports = map[string]*front.Port{}
	for name := range servers {
		if ports[name], err = front.Listen("127.0.0.1:0", front.NewConnLimiter(fronttest.MaxConns, fronttest.MaxBodyBytes), false); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ports[name].Shutdown(0) })
	}
	return ports, func() {
		for name, server := range servers {
			ln := ports[name].Attach()
			go func() { _ = server.Serve(ln) }() // ends when the port shuts down
		}
	}
}

// sendAndHalfClose sends a text on a new connection and ends the sending after wait.
func sendAndHalfClose(t *testing.T, addr, text string, wait time.Duration) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	time.Sleep(wait)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestHalfClosedClientHearsNoEmpty200 guards against the server's default response: a client that
// ends its sending behind a request, and stays to read, heard 200 with an empty body whatever it had
// asked for, also for an instruction that was not sent on.
func TestHalfClosedClientHearsNoEmpty200(t *testing.T) {
	for when, wait := range map[string]time.Duration{"before the request is read": 0, "while a reader works": 100 * time.Millisecond} {
		rig := fronttest.Start(t, func(x *fake.Exchange) { x.WaitClosed() }, func(x *fake.Exchange) { x.Answer("done") })
		ports, attach := startFronts(t, rig)
		conns := map[string]net.Conn{}
		if wait > 0 {
			attach()
		}
		n := 1
		for frontName, port := range ports {
			for form, text := range halfClosedRequests(n) {
				conns[frontName+", "+form] = sendAndHalfClose(t, port.Addr(), text, wait)
			}
			n += 10
		}
		if wait == 0 {
			time.Sleep(50 * time.Millisecond) // for the ends to arrive
			attach()
		}
		for name, c := range conns {
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			answer, err := io.ReadAll(c)
			ready := strings.HasSuffix(name, "readiness") && wait > 0 // answered before the client's end
			if err != nil || !ready && strings.HasPrefix(string(answer), "HTTP/1.1 200") {
				t.Errorf("%s, end of sending %s: heard %q, %v", name, when, answer, err)
			}
		}
		if n := rig.WriterRequests(); n != 0 {
			t.Errorf("end of sending %s: %d requests were sent to the writer", when, n)
		}
	}
}
