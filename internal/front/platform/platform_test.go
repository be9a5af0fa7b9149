package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/internal/fake"
	"standpulley/internal/fronttest"
)

func start(t *testing.T, read func(*fake.Exchange), writes ...func(*fake.Exchange)) (*fronttest.Rig, string) {
	t.Helper()
	rig := fronttest.Start(t, read, writes...)
	return rig, rig.Serve(t, New(rig.Core, rig.Pool, fronttest.Settings(), nil).Server())
}

var ids int

// rawRequest returns the bytes of a request with a new ID.
func rawRequest(class, expires string) string {
	ids++
	return fmt.Sprintf("POST /v1/chat/completions?x=%%2F1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %016x\r\nX-Qos: %s\r\n"+
		"X-Object: 7f3a\r\nX-Expires-In: %s\r\nX-Props: prefix=5c0f,prompt_len=100,prefix_len=50,max_out=80\r\n"+
		"Content-Length: 4\r\n\r\n{  }", ids, class, expires)
}

// send opens a connection and writes a request to it.
func send(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// readAnswer reads one response; complete reports whether its body was received to the end.
func readAnswer(t *testing.T, c net.Conn) (resp *http.Response, body string, complete bool) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err == nil
}

func serve(x *fake.Exchange) { x.Answer("a", "b") }
func hang(x *fake.Exchange)  { x.WaitClosed() }

func TestServed(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, serve)
	resp, body, complete := readAnswer(t, send(t, addr, rawRequest("enquiry", "2000m")))
	if resp.StatusCode != 200 || !complete || !strings.HasSuffix(body, "data: [DONE]\n\n") || strings.Count(body, "data: ") != 5 {
		t.Errorf("%d %q %v", resp.StatusCode, body, complete)
	}
	call := rig.Writers[0].Calls("POST")[0]
	if call.Header["Host"] != "backend.local" || call.Body != "{  }" || call.Path != "/v1/chat/completions" ||
		!strings.HasSuffix(call.Header["X-Expires-In"], "u") {
		t.Errorf("the replica got call %+v", call)
	}
}

// Guards: a stream that breaks off must not look complete.
func TestBrokenStreamEndsWithoutTheLastChunk(t *testing.T) {
	for name, act := range map[string]func(*fake.Exchange){
		"broken":  func(x *fake.Exchange) { x.Head(); x.Token("a"); x.Break() },
		"stalled": func(x *fake.Exchange) { x.Head(); x.Token("a"); x.WaitClosed() },
	} {
		rig, addr := start(t, fronttest.HealthyReader, act)
		if resp, body, complete := readAnswer(t, send(t, addr, rawRequest("enquiry", "2000m"))); resp.StatusCode != 200 || complete ||
			!strings.Contains(body, `"a"`) {
			t.Errorf("%s: %d %q complete %v", name, resp.StatusCode, body, complete)
		}
		if n := rig.WriterRequests(); n != 1 {
			t.Errorf("%s: %d sends after the stream had begun", name, n)
		}
	}
}

// Guards: fasthttp does not report a client that disconnects while a handler waits.
func TestClientClosesWhileWaiting(t *testing.T) {
	gone := make(chan bool, 1)
	rig, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { x.WaitClosed(); gone <- true })
	c := send(t, addr, rawRequest("instruction", "3000m"))
	fronttest.WaitFor(t, "the send to the writer", func() bool { return rig.WriterRequests() == 1 })
	_ = c.Close()
	fronttest.WaitFor(t, "the client's close to be noticed", func() bool { return rig.CountVerdicts(dispatch.ClientLeft) == 1 })
	<-gone // the attempt was ended
	fronttest.WaitFor(t, "the release", func() bool {
		return len(rig.Reader.Calls("DELETE"))+len(rig.Writers[0].Calls("DELETE")) > 0
	})
}

// Guards: the watch for a client's close must not disconnect a client that sends its next request
// early.
func TestPipelinedRequests(t *testing.T) {
	_, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { time.Sleep(50 * time.Millisecond); serve(x) })
	c := send(t, addr, rawRequest("enquiry", "3000m")+rawRequest("enquiry", "3000m"))
	br := bufio.NewReader(c)
	for i := range 2 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(i, err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 {
			t.Errorf("%d: %d %v", i, resp.StatusCode, err)
		}
	}
}

// Guards: a final response is sent by the deadline even if no replica answers at all.
func TestHangingReplicas(t *testing.T) {
	for class, want := range map[string]int{"enquiry": 503, "instruction": 502} {
		_, addr := start(t, fronttest.HealthyReader, hang)
		from := time.Now()
		resp, _, _ := readAnswer(t, send(t, addr, rawRequest(class, "800m")))
		if took := time.Since(from); resp.StatusCode != want || took > 4*time.Second {
			t.Errorf("%s: %d after %v", class, resp.StatusCode, took)
		}
		if want == 503 && resp.Header.Get("Retry-After") == "" {
			t.Error("the refusal has no Retry-After")
		}
	}
}

// Guards: a replica may close idle connections at any time; a request written to one would count as
// a connection reset.
func TestIdleConnectionClosedByReplica(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { serve(x); x.Break() })
	c := send(t, addr, "")
	for range 3 {
		if _, err := io.WriteString(c, rawRequest("instruction", "2000m")); err != nil {
			t.Fatal(err)
		}
		if resp, _, complete := readAnswer(t, c); resp.StatusCode != 200 || !complete {
			t.Errorf("%d complete %v", resp.StatusCode, complete)
		}
	}
	if totals, _ := rig.Core.Counts.Snapshot(); totals.Outcomes["connection-lost"] != 0 {
		t.Errorf("outcomes %v", totals.Outcomes)
	}
}

// Guards: a refused connection proves that nothing has run, so an instruction is sent to another
// writer.
func TestInstructionIsRetriedWhereItNeverRan(t *testing.T) {
	full := func(x *fake.Exchange) { x.Status(503, true, "") }
	rig, addr := start(t, fronttest.HealthyReader, full, serve)
	rig.Writers[0].Close()
	for range 4 {
		if resp, _, complete := readAnswer(t, send(t, addr, rawRequest("instruction", "2000m"))); resp.StatusCode != 200 || !complete {
			t.Errorf("%d complete %v", resp.StatusCode, complete)
		}
	}
	if n := len(rig.Writers[1].Calls("POST")); n != 4 {
		t.Errorf("%d sends to the healthy writer", n)
	}
}

// Guards: a read that broke off may have succeeded, so the state that it may have left at the
// replica is released.
func TestBrokenReadIsReleased(t *testing.T) {
	rig, addr := start(t, func(x *fake.Exchange) { x.Break() }, serve)
	if resp, _, _ := readAnswer(t, send(t, addr, rawRequest("instruction", "1000m"))); resp.StatusCode != 503 {
		t.Errorf("got %d", resp.StatusCode)
	}
	fronttest.WaitFor(t, "the release", func() bool {
		return len(rig.Reader.Calls("DELETE"))+len(rig.Writers[0].Calls("DELETE")) > 0
	})
}

// Guards: invalid requests get a 4xx status and never reach a replica.
func TestBadInput(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, serve)
	good := rawRequest("enquiry", "2000m")
	for _, c := range []struct {
		old, new string
		want     int
	}{
		{"X-Trace-Id: ", "X-Other: ", 400}, {"X-Qos: enquiry", "X-Qos: none", 400}, {"2000m", "soon", 400}, {"2000m", "-1m", 400},
		{"X-Object: 7f3a", "X-Object: zz", 400}, {"prompt_len=100", "prompt_len=-1", 400}, {"prefix=5c0f", "prefix", 400},
		{"X-Trace-Id: 0", "X-Trace-Id: ../0", 400}, {"/v1/chat", "/v2/chat", 404}, {"POST", "GET", 405},
		{"Content-Length: 4", "Content-Length: 300000", 413}, {"HTTP/1.1", "HTTP", 400},
	} {
		if resp, _, _ := readAnswer(t, send(t, addr, strings.Replace(good, c.old, c.new, 1))); resp.StatusCode != c.want {
			t.Errorf("%s: %d, want %d", c.new, resp.StatusCode, c.want)
		}
	}
	if n := len(rig.Reader.Calls("")) + rig.WriterRequests(); n != 0 {
		t.Errorf("%d calls reached replicas", n)
	}
}

func TestReadinessReportsPhase(t *testing.T) {
	rig, addr := start(t, fronttest.HealthyReader, serve)
	get := "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	if resp, _, _ := readAnswer(t, send(t, addr, get)); resp.StatusCode != 200 {
		t.Errorf("ready: %d", resp.StatusCode)
	}
	if err := rig.Core.Phases.Enter(dispatch.Draining); err != nil {
		t.Fatal(err)
	}
	if resp, _, _ := readAnswer(t, send(t, addr, get)); resp.StatusCode != 503 || resp.Close {
		t.Errorf("draining: %d, close %v", resp.StatusCode, resp.Close)
	}
	if err := rig.Core.Phases.Enter(dispatch.Leaving); err != nil {
		t.Fatal(err)
	}
	if resp, _, _ := readAnswer(t, send(t, addr, get)); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("leaving: %d, close %v", resp.StatusCode, resp.Close)
	}
	if err := rig.Core.Phases.Enter(dispatch.Ready); err == nil {
		t.Error("a phase was entered twice")
	}
}

// Guards: a program that knew no replicas reported that it was ready and refused every request.
func TestNotReadyWithoutUsableReplicas(t *testing.T) {
	get := "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	rig, addr := start(t, fronttest.HealthyReader, serve)
	list := rig.Core.List()
	for _, c := range []struct {
		listed []string
		want   int
	}{{nil, 503}, {[]string{"r"}, 503}, {[]string{"a"}, 503}, {[]string{"r", "a"}, 200}} {
		u := dispatch.Update{Full: true}
		for _, s := range list.Servers {
			if slices.Contains(c.listed, s.ID) {
				u.Servers = append(u.Servers, s)
			}
		}
		rig.Core.UpdateServers(u)
		rig.Core.List() // returns after the update above was applied
		if resp, _, _ := readAnswer(t, send(t, addr, get)); resp.StatusCode != c.want {
			t.Errorf("with %v: %d, want %d", c.listed, resp.StatusCode, c.want)
		}
	}
}
