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

	"standpulley/internal/soak"
	"standpulley/internal/standin"
)

// TestMain lets the test's own binary stand for the program.
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
	os.Exit(m.Run())
}

// lines collects what a program writes.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// start runs the program with arguments and environment.
func start(t *testing.T, env []string, args ...string) (*exec.Cmd, *lines) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), append(env, "STANDPULLEY_AS_PROGRAM=1")...)
	out := &lines{}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	return cmd, out
}

func wait(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}

// freeAddr gives an address on which nothing listens.
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

// fleet is a reader and a writer with the list of them.
func fleet(t *testing.T, write func(*standin.Exchange)) []standin.Entry {
	t.Helper()
	var list []standin.Entry
	for kind, act := range map[string]func(*standin.Exchange){"reader": func(x *standin.Exchange) { x.Read(0) }, "writer": write} {
		_, e := replicaOf(t, kind, kind, act)
		list = append(list, e)
	}
	return list
}

// held is a writer's script that stops after the first event: open tells that it came there, goOn lets it end.
func held() (act func(*standin.Exchange), open, goOn chan bool) {
	open, goOn = make(chan bool, 8), make(chan bool)
	return func(x *standin.Exchange) {
		x.Head()
		x.Token("one")
		open <- true
		<-goOn
		x.End()
	}, open, goOn
}

func request(addr string, n int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nX-Trace-Id: %016x\r\nX-Qos: instruction\r\n"+
		"X-Expires-In: 5000m\r\nX-Props: prompt_len=10,max_out=10\r\nContent-Length: 2\r\n\r\n{}", addr, n)
}

// ask sends a request on a new connection and gives what to read its answer from.
func ask(t *testing.T, addr string, n int) net.Conn {
	t.Helper()
	return say(t, addr, request(addr, n))
}

func say(t *testing.T, addr, text string) net.Conn {
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

func answered(t *testing.T, c net.Conn) string {
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

// The whole life on the platform: start, serve, SIGTERM while a request is open, a late connection, exit.
func TestProgramFromStartToExit(t *testing.T) {
	act, open, goOn := held()
	list := fleet(t, act)
	agent, err := standin.StartAgent("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","seed":"1","settings":%s}`, settings)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, out := start(t, []string{"EDGE_CONFIG=" + path, "EDGE_LISTEN=" + addr, "EDGE_DISCOVERY=" + agent.Addr})
	wait(t, "a ready program", func() bool {
		resp, err := http.Get("http://" + addr + "/-/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == 200
	})
	first := ask(t, addr, 1)
	<-open
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wait(t, "the phase", func() bool { return strings.Contains(out.String(), "draining") })
	late := ask(t, addr, 2) // connections still come for 0.4 s
	<-open
	close(goOn)
	for _, c := range []net.Conn{first, late} {
		if text := answered(t, c); !strings.HasSuffix(text, "[DONE]\n\n") {
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

// Guards: SIGKILL cut streams whose clients then found every dispatcher restarting. Where clients ask another one for
// the rest, streams are moved before it, later where a new version listens already, and the program ends by itself;
// where they don't, none is cut.
func TestStreamsAreMovedBeforeSIGKILL(t *testing.T) {
	for _, x := range []struct {
		siblings         int
		moved, succeeded bool
	}{{2, true, false}, {2, true, true}, {1, false, false}} {
		siblings, moved := x.siblings, x.moved
		act, open, goOn := held()
		agent, err := standin.StartAgent("127.0.0.1:0", fleet(t, act)...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(agent.Close)
		addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		set := strings.NewReplacer(`"siblings":1`, fmt.Sprintf(`"siblings":%d`, siblings), `"let_go_by_us"`, `"resume":true,"let_go_by_us"`,
			`"deadline_us":6000000`, `"deadline_us":1000000`, `"goal_time_us":1500000`, `"goal_time_us":500000`).Replace(settings)
		config := fmt.Sprintf(`{"name":"n0","seed":"1","listen":%q,"discovery":%q,"settings":%s}`, addr, agent.Addr, set)
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd, out := start(t, []string{"EDGE_CONFIG=" + path})
		wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		c := ask(t, addr, 1)
		<-open
		if x.succeeded {
			_, next := start(t, []string{"EDGE_CONFIG=" + path})
			wait(t, "a new version", func() bool { return strings.Contains(next.String(), "n0: ready") })
		}
		told := time.Now()
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if !moved {
			time.AfterFunc(2*time.Second, func() { close(goOn) })
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		if moved != (err != nil) || moved && time.Since(told) > 1700*time.Millisecond {
			t.Errorf("%d siblings: after %v the stream ends with %v: %q", siblings, time.Since(told), err, text)
		}
		if x.succeeded && time.Since(told) < 1100*time.Millisecond {
			t.Errorf("moved after %v though the new version stays", time.Since(told))
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
	cmd, out := start(t, []string{"EDGE_CONFIG=" + path})
	if err := cmd.Wait(); err == nil || !strings.Contains(out.String(), "key listen") {
		t.Errorf("%v: %s", err, out)
	}
}

// Guards: SIGHUP ended the process. It puts the file in force as it is now: a faulty one changes nothing, and where
// only discovery differs, streams, connections and what was learned stay. Neither a silent agent nor several signals
// nor a stop right after them may hurt.
func TestReloadUnderLoad(t *testing.T) {
	act, open, goOn := held()
	list := fleet(t, act)
	first, err := standin.StartAgent("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(first.Close)
	// The second agent knows another writer in place of the first one.
	next := fleet(t, func(x *standin.Exchange) { x.Answer("two") })
	for i := range next {
		if next[i].ID == "writer" {
			next[i].ID = "writer-2"
		} else {
			next[i] = list[slices.IndexFunc(list, func(e standin.Entry) bool { return e.ID == "reader" })]
		}
	}
	second, err := standin.StartAgent("127.0.0.1:0", next...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // it accepts and never answers
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
	cmd, out := start(t, []string{"EDGE_CONFIG=" + path})
	hup := func(said string, times int) {
		t.Helper()
		before := strings.Count(out.String(), said)
		for range times {
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		wait(t, said, func() bool { return strings.Count(out.String(), said) > before })
	}
	wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "ready") })
	running := ask(t, addr, 1)
	<-open

	write("nowhere", settings)
	hup("key discovery", 1)
	write(silent.Addr().String(), settings)
	hup("discovery is at", 5)
	write(second.Addr, settings)
	hup("discovery is at \""+second.Addr, 3)
	wait(t, "the list of the second agent", func() bool { return strings.Contains(out.String(), "list: writer-2") })
	if text := answered(t, ask(t, addr, 2)); !strings.Contains(text, "two") {
		t.Errorf("served by %q", text)
	}
	if n := strings.Count(out.String(), "n0: ready"); n != 1 {
		t.Errorf("%d starts where one stack should go on", n)
	}
	// A class comes in place of another; what runs of that one goes on. Nothing is taken of a broken file.
	other := strings.NewReplacer(`"try_limit":4`, `"try_limit":5`, `"name":"instruction"`, `"name":"transfer"`).Replace(settings)
	write(second.Addr, other)
	hup("other settings are in force", 1)
	for _, broken := range []string{"{}", strings.Replace(other, `"try_limit":5,`, "", 1), strings.Replace(other, `"deadline_us":6000000`, `"deadline_us":-1`, 1),
		strings.Replace(other, `"name":"transfer",`, "", 1), strings.Replace(other, `"cancel":true,`, "", 1), other[:len(other)-1]} {
		write(second.Addr, broken)
		hup("the configuration in force stays", 1)
	}
	moved := strings.Replace(request(addr, 3), "X-Qos: instruction", "X-Qos: transfer", 1)
	if text := answered(t, say(t, addr, moved)); !strings.Contains(text, "two") {
		t.Errorf("after new settings: served by %q", text)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(ask(t, addr, 4)), nil); err != nil || resp.StatusCode != 400 {
		t.Errorf("a class that is no more: %v %v", resp, err)
	}
	if n := strings.Count(out.String(), "n0: ready"); n != 1 {
		t.Errorf("%d starts where one stack should go on", n)
	}
	write(first.Addr, settings)
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	close(goOn)
	if text := answered(t, running); !strings.HasSuffix(text, "[DONE]\n\n") {
		t.Errorf("the stream that ran through it all: %q", text)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, out)
	}
}
