package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"standpulley/internal/fake"
)

// startAgent starts a discovery agent with a list.
func startAgent(t *testing.T, list ...fake.Entry) *fake.Agent {
	t.Helper()
	a, err := fake.StartAgent("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// silentAddr returns an address that accepts connections and never answers.
func silentAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// startReplica starts a replica and returns it with its list entry.
func startReplica(t *testing.T, id, kind string, act func(*fake.Exchange)) (*fake.Replica, fake.Entry) {
	t.Helper()
	r, err := fake.Start("127.0.0.1:0", act)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, fake.Entry{ID: id, Addr: r.Addr, Zone: "z", Kind: kind, State: "in_service", Weight: 1}
}

// writeConfig writes a configuration and returns the environment that starts the program with it.
func writeConfig(t *testing.T, path, addr, discovery, settings, extra string) []string {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","seed":"1","listen":%q,"discovery":%q,"settings":%s%s}`, addr, discovery, settings, extra)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"EDGE_CONFIG=" + path}
}

func sendSignal(t *testing.T, cmd *exec.Cmd, sig syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response to its end.
func readResponse(t *testing.T, c net.Conn) (status int, text string, err error) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// TestSIGTERMAnswersOpenRequests sends SIGTERM twice, with SIGHUP in between, while one request
// waits at a reader that hangs, one at a writer that hangs, one stream runs and one connection is
// kept after an answer. Each request must get its answer before SIGKILL may come, state that the
// hung replicas may hold must be released, and the program must exit only after the stream has
// ended.
func TestSIGTERMAnswersOpenRequests(t *testing.T) {
	// SIGKILL follows the deadline, which counts as at most 3 s: test one below and one above.
	for _, deadline := range []time.Duration{time.Second, 6 * time.Second} {
		hung, finish := make(chan bool, 8), make(chan bool)
		reader, r := startReplica(t, "reader", "reader", func(x *fake.Exchange) {
			if strings.HasSuffix(x.ID, "1") {
				hung <- true
				x.WaitClosed()
				return
			}
			x.Read(0)
		})
		writer, w := startReplica(t, "writer", "writer", func(x *fake.Exchange) {
			switch x.ID[len(x.ID)-1] {
			case '2':
				hung <- true
				x.WaitClosed()
			case '3':
				x.Head()
				x.Token("one")
				hung <- true
				<-finish
				x.End()
			default:
				x.Answer("whole")
			}
		})
		agent, addr, path := startAgent(t, r, w), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		us := fmt.Sprint(deadline.Microseconds())
		changed := strings.NewReplacer(`"deadline_us":6000000`, `"deadline_us":`+us, `"goal_time_us":1500000`, `"goal_time_us":500000`).Replace(settings)
		cmd, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, changed, ""))
		waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		var open []net.Conn
		for n := 1; n <= 3; n++ {
			text := strings.Replace(requestText(addr, n), "X-Expires-In: 5000m", fmt.Sprintf("X-Expires-In: %dm", deadline.Milliseconds()), 1)
			open = append(open, sendText(t, addr, text))
			<-hung
		}
		kept := sendRequest(t, addr, 4)
		if text := readAnswer(t, kept); !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Fatalf("got %q", text)
		}
		termAt := time.Now()
		sendSignal(t, cmd, syscall.SIGTERM)
		sendSignal(t, cmd, syscall.SIGHUP)
		sendSignal(t, cmd, syscall.SIGTERM)
		waitFor(t, "the drain phase", func() bool { return strings.Contains(out.String(), "draining") })
		// Clients may still send on open connections.
		if _, err := io.WriteString(kept, requestText(addr, 5)); err != nil {
			t.Fatal(err)
		}
		if status, text, err := readResponse(t, kept); err != nil || status != 200 || !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Errorf("deadline %v, on a kept connection: %d %q %v", deadline, status, text, err)
		}
		for n, c := range open[:2] {
			status, _, err := readResponse(t, c)
			if err != nil || status != 502 && status != 503 {
				t.Errorf("deadline %v, request %d: %d %v", deadline, n+1, status, err)
			}
			// One more second is allowed for a slow machine.
			if by := min(deadline, 3*time.Second) + 700*time.Millisecond; time.Since(termAt) > by+time.Second {
				t.Errorf("deadline %v, request %d: answered after %v, SIGKILL may come after %v", deadline, n+1, time.Since(termAt), by)
			}
		}
		for _, id := range []string{"0000000000000001", "0000000000000002"} {
			waitFor(t, "the release of "+id, func() bool {
				for _, c := range append(reader.Calls("DELETE"), writer.Calls("DELETE")...) {
					if strings.HasSuffix(c.Path, id) {
						return true
					}
				}
				return false
			})
		}
		if cmd.ProcessState != nil || strings.Contains(out.String(), "stopped") {
			t.Error("the program ended while a stream runs")
		}
		close(finish)
		if status, text, err := readResponse(t, open[2]); err != nil || status != 200 || !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Errorf("deadline %v, the stream: %d %q %v", deadline, status, text, err)
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("exit: %v\n%s", err, out)
		}
	}
}

// TestSIGTERMBeforeReady checks that SIGTERM before the program is ready ends it without an error.
func TestSIGTERMBeforeReady(t *testing.T) {
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := startProgram(t, writeConfig(t, path, addr, silentAddr(t), settings, ""))
	waitFor(t, "an open address", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	sendSignal(t, cmd, syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, out)
	}
}

// TestReadyWithoutDiscovery guards against a program without any known replica that reports ready
// after half a second. With discovery down or silent, a program that knows replicas must be ready
// within the time that a restart is allowed; one that knows none must be ready only once discovery
// has sent some.
func TestReadyWithoutDiscovery(t *testing.T) {
	_, r := startReplica(t, "reader", "reader", func(x *fake.Exchange) { x.Read(0) })
	_, w := startReplica(t, "writer", "writer", func(x *fake.Exchange) { x.Answer("one") })
	known := fmt.Sprintf(`,"known":{"version":1,"full":true,"servers":[{"id":"reader","addr":%q,"zone":"z","kind":"reader","state":"in_service"},
		{"id":"writer","addr":%q,"zone":"z","kind":"writer","state":"in_service"}]}`, r.Addr, w.Addr)
	for name, discovery := range map[string]string{"down": freeAddr(t), "silent": silentAddr(t)} {
		for _, hasList := range []bool{true, false} {
			addr, admin, path, extra := freeAddr(t), freeAddr(t), filepath.Join(t.TempDir(), "config.json"), ""
			if hasList {
				extra = known
			}
			_, out := startProgram(t, append(writeConfig(t, path, addr, discovery, settings, extra), "EDGE_OPERATOR="+admin))
			startedAt := time.Now()
			if hasList {
				waitFor(t, "a ready program", func() bool { code, _ := call("GET", addr, "/-/ready"); return code == 200 && readyAt(admin)() })
				if took := time.Since(startedAt); took > 6*time.Second {
					t.Errorf("discovery %s: ready after %v", name, took)
				}
				if text := readAnswer(t, sendRequest(t, addr, 1)); !strings.Contains(text, "one") {
					t.Errorf("discovery %s: %q", name, text)
				}
				continue
			}
			waitFor(t, "the start without a list", func() bool { return strings.Contains(out.String(), "n0: ready") })
			if code, text := call("GET", addr, "/-/ready"); code != 503 || !strings.Contains(text, "no replicas") || readyAt(admin)() {
				t.Errorf("discovery %s and no replica known: %d %q", name, code, text)
			}
			if name == "down" {
				a, err := fake.StartAgent(discovery, r, w)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(a.Close)
				waitFor(t, "a ready program", func() bool { code, _ := call("GET", addr, "/-/ready"); return code == 200 })
			}
		}
	}
}

// TestDrainRightAfterSIGHUP checks that after SIGHUP a drain that only the new discovery service
// reports takes effect while the watch of the old one is still open and silent: no request may go
// to the draining replica.
func TestDrainRightAfterSIGHUP(t *testing.T) {
	_, r := startReplica(t, "reader", "reader", func(x *fake.Exchange) { x.Read(0) })
	leaving, l := startReplica(t, "leaving", "writer", func(x *fake.Exchange) { x.Answer("leaving") })
	_, s := startReplica(t, "staying", "writer", func(x *fake.Exchange) { x.Answer("staying") })
	old, addr, path := startAgent(t, r, l, s), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := startProgram(t, writeConfig(t, path, addr, old.Addr, settings, ""))
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	old.SetUnresponsive(true)
	l.State = "terminating"
	next := startAgent(t, r, l, s)
	writeConfig(t, path, addr, next.Addr, settings, "")
	sendSignal(t, cmd, syscall.SIGHUP)
	waitFor(t, "the list of the new discovery", func() bool {
		return strings.Contains(out.String(), "list: leaving writer "+l.Addr+" zone z cell 0 is draining")
	})
	before := len(leaving.Calls("POST"))
	for n := range 20 {
		if text := readAnswer(t, sendRequest(t, addr, n+1)); !strings.Contains(text, "staying") {
			t.Errorf("served by %q", text)
		}
	}
	if n := len(leaving.Calls("POST")); n != before {
		t.Errorf("%d requests sent to the draining writer", n-before)
	}
}

// TestDrainReachesRequestsOfTheReplacedAddress guards against requests of a replaced address that are
// finished with an outdated replica list. SIGHUP changes the client address too, and the old discovery service
// sends no more updates. Only the new one reports a drain; requests that wait at the reader
// meanwhile must not go to the draining replica.
func TestDrainReachesRequestsOfTheReplacedAddress(t *testing.T) {
	const requests = 20
	arrived, finish := make(chan bool, requests), make(chan bool)
	_, r := startReplica(t, "reader", "reader", func(x *fake.Exchange) {
		arrived <- true
		<-finish
		x.Read(0)
	})
	leaving, l := startReplica(t, "leaving", "writer", func(x *fake.Exchange) { x.Answer("leaving") })
	_, s := startReplica(t, "staying", "writer", func(x *fake.Exchange) { x.Answer("staying") })
	old, addr, path := startAgent(t, r, l, s), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := startProgram(t, writeConfig(t, path, addr, old.Addr, settings, ""))
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	var open []net.Conn
	for n := range requests {
		open = append(open, sendRequest(t, addr, n+1))
		<-arrived
	}
	old.SetUnresponsive(true)
	l.State = "terminating"
	next := startAgent(t, r, l, s)
	writeConfig(t, path, freeAddr(t), next.Addr, settings, "")
	sendSignal(t, cmd, syscall.SIGHUP)
	waitFor(t, "the list of the new discovery", func() bool {
		return strings.Contains(out.String(), "list: leaving writer "+l.Addr+" zone z cell 0 is draining")
	})
	close(finish)
	for n, c := range open {
		if status, text, err := readResponse(t, c); err != nil || status != 200 || !strings.Contains(text, "staying") {
			t.Errorf("request %d: %d %q %v", n+1, status, text, err)
		}
	}
	if n := len(leaving.Calls("POST")); n != 0 {
		t.Errorf("%d requests sent to the draining writer", n)
	}
}

// TestIdleClientsLeaveDescriptorsForOthers checks that idle clients cannot take the descriptors of
// others under a descriptor limit of the system. Discovery, replicas and the admin endpoint must
// keep theirs: a drain is received, a request is served, the admin endpoint answers and no loop
// spins on descriptor errors.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	for _, sockets := range []int{64, 256} {
		_, r := startReplica(t, "reader", "reader", func(x *fake.Exchange) { x.Read(0) })
		_, l := startReplica(t, "leaving", "writer", func(x *fake.Exchange) { x.Answer("leaving") })
		_, s := startReplica(t, "staying", "writer", func(x *fake.Exchange) { x.Answer("staying") })
		agent, addr, admin, path := startAgent(t, r, l, s), freeAddr(t), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, sockets), os.Args[0])
		cmd.Env = append(os.Environ(), append(writeConfig(t, path, addr, agent.Addr, settings, fmt.Sprintf(`,"limits":{"sockets":%d}`, sockets)),
			"EDGE_OPERATOR="+admin, "STANDPULLEY_AS_PROGRAM=1")...)
		out := &outputBuffer{}
		cmd.Stdout, cmd.Stderr = out, out
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended already
		waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		for range 2 * sockets {
			sendText(t, addr, "")
		}
		l.State = "terminating"
		agent.Set(r, l, s)
		waitFor(t, "the drain", func() bool {
			return strings.Contains(out.String(), "list: leaving writer "+l.Addr+" zone z cell 0 is draining")
		})
		for n := range 5 {
			if text := readAnswer(t, sendRequest(t, addr, n+1)); !strings.Contains(text, "staying") {
				t.Errorf("%d sockets: %q", sockets, text)
			}
			if !readyAt(admin)() {
				t.Errorf("%d sockets: the admin endpoint does not answer", sockets)
			}
		}
		if strings.Contains(out.String(), "too many open files") {
			t.Errorf("%d sockets: %s", sockets, out)
		}
	}
}

// TestLateSIGTERMStopsAdmissionInTime guards against a process that is held up when SIGTERM comes, and
// then takes a request more than 0.7 s after it, which SIGKILL may cut.
func TestLateSIGTERMStopsAdmissionInTime(t *testing.T) {
	const heldUp, late = 150 * time.Millisecond, 730 * time.Millisecond
	replica, reader := startReplica(t, "reader", "reader", func(x *fake.Exchange) { x.Read(0) })
	_, writer := startReplica(t, "writer", "writer", func(x *fake.Exchange) { x.Answer("whole") })
	agent, addr, path := startAgent(t, reader, writer), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, settings, ""))
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	c := sendRequest(t, addr, 1)
	if status, _, err := readResponse(t, c); err != nil || status != 200 {
		t.Fatalf("before SIGTERM: %d %v", status, err)
	}
	sendSignal(t, cmd, syscall.SIGSTOP)
	termAt := time.Now()
	sendSignal(t, cmd, syscall.SIGTERM)
	time.Sleep(heldUp)
	sendSignal(t, cmd, syscall.SIGCONT)
	time.Sleep(time.Until(termAt.Add(late)))
	_, _ = io.WriteString(c, requestText(addr, 2)) // the connection may be closed by now
	_, _, _ = readResponse(t, c)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if n := len(replica.Calls("POST")); n != 1 {
		t.Errorf("a request that came %v after SIGTERM was sent on", late)
	}
}
