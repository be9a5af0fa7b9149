package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"standpulley/internal/fake"
)

// call calls an operator endpoint and returns the status and body; the status is 0 if there is no
// answer.
func call(method, addr, path string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// withAdmin writes a configuration and returns the environment that starts the program with it and
// with an admin endpoint.
func withAdmin(t *testing.T, agent, addr, admin string) []string {
	t.Helper()
	return append(writeConfig(t, filepath.Join(t.TempDir(), "config.json"), addr, agent, settings, ""), "EDGE_OPERATOR="+admin)
}

func readyAt(admin string) func() bool {
	return func() bool { code, _ := call("GET", admin, "/-/ready"); return code == 200 }
}

// TestNewVersionBesideTheOld guards against a new version that starts beside the old one, finds the
// client address in use and exits. Both must listen until the old one has left. Requests that run
// at the old one must finish, and no client may be refused.
func TestNewVersionBesideTheOld(t *testing.T) {
	act, started, finish := heldWriter()
	agent, err := fake.StartAgent("127.0.0.1:0", startFleet(t, act)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	addr, admin, secondAdmin := freeAddr(t), freeAddr(t), freeAddr(t)
	old, _ := startProgram(t, withAdmin(t, agent.Addr, addr, admin))
	waitFor(t, "the old version", readyAt(admin))
	first := sendRequest(t, addr, 1)
	<-started
	_, out := startProgram(t, withAdmin(t, agent.Addr, addr, secondAdmin))
	waitFor(t, "the new version", readyAt(secondAdmin))
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(finish)
	go func() {
		for range started { // drain the channel, its values are not needed
		}
	}()
	for i := range 60 { // while the old version shuts down
		c := sendRequest(t, addr, 2+i)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		br := bufio.NewReader(c)
		// The old version closed the connection as the request arrived: retry once, as clients do.
		if _, err := br.Peek(1); err != nil && !isTimeout(err) {
			br = bufio.NewReader(sendRequest(t, addr, 1000+i))
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); err != nil || !strings.HasSuffix(string(text), "[DONE]\n\n") {
			t.Errorf("request %d: %d %q, %v", i, resp.StatusCode, text, err)
		}
		time.Sleep(15 * time.Millisecond)
	}
	if text := readAnswer(t, first); !strings.HasSuffix(text, "[DONE]\n\n") {
		t.Errorf("stream at the old version: %q", text)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("exit of the old version: %v", err)
	}
	if !strings.Contains(out.String(), "enquiry") && !strings.Contains(out.String(), "instruction") {
		t.Error("the new version has served nothing")
	}
}

// TestAdminEndpoint checks that an operator can drain the program under load and resume it while
// other callers hold connections to the admin endpoint.
func TestAdminEndpoint(t *testing.T) {
	act, started, finish := heldWriter()
	agent, err := fake.StartAgent("127.0.0.1:0", startFleet(t, act)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	addr, admin := freeAddr(t), freeAddr(t)
	startProgram(t, withAdmin(t, agent.Addr, addr, admin))
	waitFor(t, "a ready program", readyAt(admin))
	for i := range 40 { // callers that send nothing or half a request
		sendText(t, admin, "GET /-/re"[:9*(i%2)])
	}
	running, idle := sendRequest(t, addr, 1), sendText(t, addr, "")
	<-started
	waitForMetrics := func(want ...string) {
		t.Helper()
		var text string
		waitFor(t, strings.Join(want, " "), func() bool {
			_, text = call("GET", admin, "/-/metrics")
			for _, w := range want {
				if !strings.Contains(text, w+"\n") {
					return false
				}
			}
			return true
		})
	}
	waitForMetrics("edge.outstanding:1|g", "edge.forwards:2|c", "edge.discovered:2|g", "edge.ejected:0|g",
		"edge.results.instruction.succeeded:0|c", "edge.results.enquiry.declined:0|c", "edge.sighup_applied:0|c")
	if code, text := call("PUT", admin, "/-/drain"); code != 200 {
		t.Errorf("drain: %d %s", code, text)
	}
	if code, _ := call("GET", addr, "/-/ready"); code < 400 || !readyAt(admin)() {
		t.Errorf("ready check for clients during a drain: %d", code)
	}
	_ = idle.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("idle connection during a drain: %v", err)
	}
	late := sendRequest(t, addr, 2)
	close(finish)
	for _, c := range []net.Conn{running, late} { // the running request and the late one must both be served
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || !strings.HasSuffix(string(text), "[DONE]\n\n") {
			t.Errorf("%d %q %v", resp.StatusCode, text, err)
		}
		// The connection must close before the 400 ms after which a drain closes idle ones.
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("connection after an answer during a drain: %v", err)
		}
	}
	waitForMetrics("edge.outstanding:0|g", "edge.results.instruction.succeeded:2|c", "edge.results.instruction.aborted:0|c")
	if code, _ := call("PUT", admin, "/-/resume"); code != 200 {
		t.Errorf("resume: %d", code)
	}
	if code, _ := call("GET", addr, "/-/ready"); code != 200 {
		t.Errorf("ready check for clients after resume: %d", code)
	}
	if code, _ := call("PUT", admin, "/-/explode"); code != 404 {
		t.Errorf("unknown operator call: %d", code)
	}
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
