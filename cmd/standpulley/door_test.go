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

	"standpulley/internal/standin"
)

// call makes an operator's call and gives its status and text; 0 where nobody answers.
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

// withDoor writes a configuration with a door and gives the environment to start the program with.
func withDoor(t *testing.T, agent, addr, door string) []string {
	t.Helper()
	return append(configure(t, filepath.Join(t.TempDir(), "config.json"), addr, agent, settings, ""), "EDGE_OPERATOR="+door)
}

func ready(door string) func() bool {
	return func() bool { code, _ := call("GET", door, "/-/ready"); return code == 200 }
}

// Guards: a new version that starts beside the old one found the clients' address in use and ended. Both listen until
// the old one has left; what runs there goes on, and nobody is turned away.
func TestNewVersionBesideTheOld(t *testing.T) {
	act, open, goOn := held()
	agent, err := standin.StartAgent("127.0.0.1:0", fleet(t, act)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	addr, door, second := freeAddr(t), freeAddr(t), freeAddr(t)
	old, _ := start(t, withDoor(t, agent.Addr, addr, door))
	wait(t, "the old one", ready(door))
	first := ask(t, addr, 1)
	<-open
	_, out := start(t, withDoor(t, agent.Addr, addr, second))
	wait(t, "the new one", ready(second))
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(goOn)
	go func() {
		for range open { // of no more interest
		}
	}()
	for i := range 60 { // while the old one leaves
		c := ask(t, addr, 2+i)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		br := bufio.NewReader(c)
		if _, err := br.Peek(1); err != nil && !isTimeout(err) { // it came as the old one closed: once more, as clients do
			br = bufio.NewReader(ask(t, addr, 1000+i))
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
	if text := answered(t, first); !strings.HasSuffix(text, "[DONE]\n\n") {
		t.Errorf("the stream at the old one: %q", text)
	}
	if err := old.Wait(); err != nil {
		t.Errorf("the old one: %v", err)
	}
	if !strings.Contains(out.String(), "enquiry") && !strings.Contains(out.String(), "instruction") {
		t.Error("the new one has served nothing")
	}
}

// Guards: an operator empties the program under load and puts it back to work, whoever else sits at the door.
func TestDoor(t *testing.T) {
	act, open, goOn := held()
	agent, err := standin.StartAgent("127.0.0.1:0", fleet(t, act)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	addr, door := freeAddr(t), freeAddr(t)
	start(t, withDoor(t, agent.Addr, addr, door))
	wait(t, "a ready program", ready(door))
	for i := range 40 { // callers that say nothing, or half a call
		say(t, door, "GET /-/re"[:9*(i%2)])
	}
	running, idle := ask(t, addr, 1), say(t, addr, "")
	<-open
	figures := func(want ...string) {
		t.Helper()
		var text string
		wait(t, strings.Join(want, " "), func() bool {
			_, text = call("GET", door, "/-/metrics")
			for _, w := range want {
				if !strings.Contains(text, w+"\n") {
					return false
				}
			}
			return true
		})
	}
	figures("edge.outstanding:1|g", "edge.forwards:2|c", "edge.discovered:2|g", "edge.ejected:0|g",
		"edge.results.instruction.succeeded:0|c", "edge.results.enquiry.declined:0|c", "edge.sighup_applied:0|c")
	if code, text := call("PUT", door, "/-/drain"); code != 200 {
		t.Errorf("drain: %d %s", code, text)
	}
	if code, _ := call("GET", addr, "/-/ready"); code < 400 || !ready(door)() {
		t.Errorf("clients are told %d", code)
	}
	_ = idle.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("an idle connection: %v", err)
	}
	late := ask(t, addr, 2)
	close(goOn)
	for _, c := range []net.Conn{running, late} { // what runs, and who comes all the same, is served
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || !strings.HasSuffix(string(text), "[DONE]\n\n") {
			t.Errorf("%d %q %v", resp.StatusCode, text, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond)) // sooner than a silent one is closed
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the connection after an answer: %v", err)
		}
	}
	figures("edge.outstanding:0|g", "edge.results.instruction.succeeded:2|c", "edge.results.instruction.aborted:0|c")
	if code, _ := call("PUT", door, "/-/resume"); code != 200 {
		t.Errorf("resume: %d", code)
	}
	if code, _ := call("GET", addr, "/-/ready"); code != 200 {
		t.Errorf("after resume clients are told %d", code)
	}
	if code, _ := call("PUT", door, "/-/explode"); code != 404 {
		t.Errorf("an unknown call: %d", code)
	}
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
