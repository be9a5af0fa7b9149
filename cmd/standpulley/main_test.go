package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"standpulley/internal/fake"
	"standpulley/internal/soak"
)

// TestMain lets the test binary run as the program or as a replica.
func TestMain(m *testing.M) {
	if os.Getenv("STANDPULLEY_AS_PROGRAM") != "" {
		main()
		return
	}
	if text := os.Getenv(soak.ReplicaEnv); text != "" {
		if err := soak.RunReplica(text); err != nil {
			log.Fatal(err)
		}
		return
	}
	code := m.Run()
	_ = os.RemoveAll(buildFolder) // left in the folder for temporary files, it does no harm
	os.Exit(code)
}

// outputBuffer collects what a program writes.
type outputBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *outputBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *outputBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// startProgram runs the program with an environment and arguments.
func startProgram(t *testing.T, env []string, args ...string) (*exec.Cmd, *outputBuffer) {
	t.Helper()
	return startBinary(t, os.Args[0], append(env, "STANDPULLEY_AS_PROGRAM=1"), args...)
}

// startBinary runs a build of the program with an environment and arguments.
func startBinary(t *testing.T, binary string, env []string, args ...string) (*exec.Cmd, *outputBuffer) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), env...)
	out := &outputBuffer{}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended already
	return cmd, out
}

func waitFor(t *testing.T, event string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", event)
		}
	}
}

// freeAddr returns an address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

const settings = `{"siblings":1,"zone":"z","host_types":["reader","writer"],
 "family_info":{"duty_by_kind":["read","write"],"kv_tokens":[100000,100000],"let_go_by_us":500000},
 "limits":{"try_limit":4,"cancel":true,"retry_after":true,"max_retry_after_us":2000000},
 "obligations":{"cold_from":0.3,"ramp_time_us":10000000,"fall_multiple":2.5,"fall_us":3000000},
 "services":[{"name":"enquiry","goal_time_us":1500000,"deadline_us":6000000,"repeat":"idempotent","credit":3},
  {"name":"instruction","goal_time_us":1500000,"deadline_us":6000000,"repeat":"at_most_once","credit":2}]}`

// startFleet starts a reader and a writer and returns their list.
func startFleet(t *testing.T, write func(*fake.Exchange)) []fake.Entry {
	t.Helper()
	var list []fake.Entry
	for kind, act := range map[string]func(*fake.Exchange){"reader": func(x *fake.Exchange) { x.Read(0) }, "writer": write} {
		_, e := startReplica(t, kind, kind, act)
		list = append(list, e)
	}
	return list
}

// heldWriter returns the script of a writer that stops after the first event. It sends to started
// when it gets there, and finish lets it end.
func heldWriter() (act func(*fake.Exchange), started, finish chan bool) {
	started, finish = make(chan bool, 8), make(chan bool)
	return func(x *fake.Exchange) {
		x.Head()
		x.Token("one")
		started <- true
		<-finish
		x.End()
	}, started, finish
}

func requestText(addr string, n int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nX-Trace-Id: %016x\r\nX-Qos: instruction\r\n"+
		"X-Expires-In: 5000m\r\nX-Props: prompt_len=10,max_out=10\r\nContent-Length: 2\r\n\r\n{}", addr, n)
}

// sendRequest sends a request on a new connection and returns the connection.
func sendRequest(t *testing.T, addr string, n int) net.Conn {
	t.Helper()
	return sendText(t, addr, requestText(addr, n))
}

func sendText(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c := dial(t, addr)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // it may be closed already
	return c
}

func readAnswer(t *testing.T, c net.Conn) string {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%d %s %v", resp.StatusCode, text, err)
	}
	return string(text)
}

// TestProgramFromStartToExit runs the program on the platform from start to exit: start, serve,
// SIGTERM while a request is open, a late connection, exit.
func TestProgramFromStartToExit(t *testing.T) {
	act, started, finish := heldWriter()
	list := startFleet(t, act)
	agent, err := fake.StartAgent("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","seed":"1","settings":%s}`, settings)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, out := startProgram(t, []string{"EDGE_CONFIG=" + path, "EDGE_LISTEN=" + addr, "EDGE_DISCOVERY=" + agent.Addr})
	waitFor(t, "a ready program", func() bool {
		resp, err := http.Get("http://" + addr + "/-/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == 200
	})
	first := sendRequest(t, addr, 1)
	<-started
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the drain phase", func() bool { return strings.Contains(out.String(), "draining") })
	late := sendRequest(t, addr, 2) // new connections still arrive for 0.4 s
	<-started
	close(finish)
	for _, c := range []net.Conn{first, late} {
		if text := readAnswer(t, c); !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Errorf("got %q", text)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, out)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Error("the address is still open")
	}
}

// TestStreamsAreMovedBeforeSIGKILL guards against SIGKILL cutting streams whose clients then find
// every dispatcher restarting. If clients can ask another dispatcher for the rest, streams are
// moved before SIGKILL, later if a new version already listens, and the program exits by itself. If
// they cannot, no stream is cut.
func TestStreamsAreMovedBeforeSIGKILL(t *testing.T) {
	for _, x := range []struct {
		siblings            int
		moved, hasSuccessor bool
	}{{2, true, false}, {2, true, true}, {1, false, false}} {
		siblings, moved := x.siblings, x.moved
		act, started, finish := heldWriter()
		agent, err := fake.StartAgent("127.0.0.1:0", startFleet(t, act)...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(agent.Close)
		addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		changed := strings.NewReplacer(`"siblings":1`, fmt.Sprintf(`"siblings":%d`, siblings), `"let_go_by_us"`, `"resume":true,"let_go_by_us"`,
			`"deadline_us":6000000`, `"deadline_us":1000000`, `"goal_time_us":1500000`, `"goal_time_us":500000`).Replace(settings)
		config := fmt.Sprintf(`{"name":"n0","seed":"1","listen":%q,"discovery":%q,"settings":%s}`, addr, agent.Addr, changed)
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd, out := startProgram(t, []string{"EDGE_CONFIG=" + path})
		waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		c := sendRequest(t, addr, 1)
		<-started
		if x.hasSuccessor {
			_, next := startProgram(t, []string{"EDGE_CONFIG=" + path})
			waitFor(t, "a new version", func() bool { return strings.Contains(next.String(), "n0: ready") })
		}
		termAt := time.Now()
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if !moved {
			time.AfterFunc(2*time.Second, func() { close(finish) })
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		if moved != (err != nil) || moved && time.Since(termAt) > 1700*time.Millisecond {
			t.Errorf("%d siblings: after %v the stream ends with %v: %q", siblings, time.Since(termAt), err, text)
		}
		if x.hasSuccessor && time.Since(termAt) < 1100*time.Millisecond {
			t.Errorf("moved after %v although a new version listens", time.Since(termAt))
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("%d siblings: exit: %v\n%s", siblings, err, out)
		}
	}
}

func TestFaultyConfigurationNamesTheKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"listen":"here"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, out := startProgram(t, []string{"EDGE_CONFIG=" + path})
	if err := cmd.Wait(); err == nil || !strings.Contains(out.String(), "key listen") {
		t.Errorf("%v: %s", err, out)
	}
}

// TestReloadUnderLoad guards against SIGHUP ending the process. SIGHUP applies the present file: a
// faulty file changes nothing, and if only discovery differs, streams, connections and learned
// values are kept. A silent agent, several signals in a row and SIGTERM right after them must do no
// harm.
func TestReloadUnderLoad(t *testing.T) {
	act, started, finish := heldWriter()
	list := startFleet(t, act)
	first, err := fake.StartAgent("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(first.Close)
	// The second agent lists another writer in place of the first one.
	next := startFleet(t, func(x *fake.Exchange) { x.Answer("two") })
	for i := range next {
		if next[i].ID == "writer" {
			next[i].ID = "writer-2"
		} else {
			next[i] = list[slices.IndexFunc(list, func(e fake.Entry) bool { return e.ID == "reader" })]
		}
	}
	second, err := fake.StartAgent("127.0.0.1:0", next...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // it accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	write := func(discovery, settings string) {
		t.Helper()
		text := fmt.Sprintf(`{"name":"n0","seed":"1","listen":%q,"discovery":%q,"settings":%s}`, addr, discovery, settings)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(first.Addr, settings)
	cmd, out := startProgram(t, []string{"EDGE_CONFIG=" + path})
	sendSIGHUP := func(logged string, times int) {
		t.Helper()
		before := strings.Count(out.String(), logged)
		for range times {
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		waitFor(t, logged, func() bool { return strings.Count(out.String(), logged) > before })
	}
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "ready") })
	running := sendRequest(t, addr, 1)
	<-started

	write("nowhere", settings)
	sendSIGHUP("key discovery", 1)
	write(silent.Addr().String(), settings)
	sendSIGHUP("discovery is at", 5)
	write(second.Addr, settings)
	sendSIGHUP("discovery is at \""+second.Addr, 3)
	waitFor(t, "the list of the second agent", func() bool { return strings.Contains(out.String(), "list: writer-2") })
	if text := readAnswer(t, sendRequest(t, addr, 2)); !strings.Contains(text, "two") {
		t.Errorf("served by %q", text)
	}
	if n := strings.Count(out.String(), "n0: ready"); n != 1 {
		t.Errorf("%d starts, want one stack that goes on", n)
	}
	// One class replaces another; a request of the old class that runs goes on. Nothing of a broken
	// file is applied.
	changed := strings.NewReplacer(`"try_limit":4`, `"try_limit":5`, `"name":"instruction"`, `"name":"transfer"`).Replace(settings)
	write(second.Addr, changed)
	sendSIGHUP("new settings are in force", 1)
	for _, broken := range []string{"{}", strings.Replace(changed, `"try_limit":5,`, "", 1), strings.Replace(changed, `"deadline_us":6000000`, `"deadline_us":-1`, 1),
		strings.Replace(changed, `"name":"transfer",`, "", 1), strings.Replace(changed, `"cancel":true,`, "", 1), changed[:len(changed)-1]} {
		write(second.Addr, broken)
		sendSIGHUP("keeping the configuration in force", 1)
	}
	renamed := strings.Replace(requestText(addr, 3), "X-Qos: instruction", "X-Qos: transfer", 1)
	if text := readAnswer(t, sendText(t, addr, renamed)); !strings.Contains(text, "two") {
		t.Errorf("after new settings: served by %q", text)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(sendRequest(t, addr, 4)), nil); err != nil || resp.StatusCode != 400 {
		t.Errorf("request of a removed class: %v %v", resp, err)
	}
	if n := strings.Count(out.String(), "n0: ready"); n != 1 {
		t.Errorf("%d starts, want one stack that goes on", n)
	}
	write(first.Addr, settings)
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	close(finish)
	if text := readAnswer(t, running); !strings.HasSuffix(text, "[DONE]\n\n") {
		t.Errorf("stream that ran during all reloads: %q", text)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, out)
	}
}
