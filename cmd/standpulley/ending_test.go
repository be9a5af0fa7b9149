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

	"standpulley/internal/standin"
)

// agentOf starts an agent with a list.
func agentOf(t *testing.T, list ...standin.Entry) *standin.Agent {
	t.Helper()
	a, err := standin.StartAgent("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// silence gives an address that takes connections and says nothing.
func silence(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// replicaOf starts a replica with its entry.
func replicaOf(t *testing.T, id, kind string, act func(*standin.Exchange)) (*standin.Replica, standin.Entry) {
	t.Helper()
	r, err := standin.Start("127.0.0.1:0", act)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, standin.Entry{ID: id, Addr: r.Addr, Zone: "z", Kind: kind, State: "in_service", Weight: 1}
}

// configure writes a configuration of these parts and gives the environment to start the program with.
func configure(t *testing.T, path, addr, discovery, settings, more string) []string {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","seed":"1","listen":%q,"discovery":%q,"settings":%s%s}`, addr, discovery, settings, more)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"EDGE_CONFIG=" + path}
}

func signalTo(t *testing.T, cmd *exec.Cmd, sig syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// statusOf reads one answer to its end.
func statusOf(t *testing.T, c net.Conn) (status int, text string, err error) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// SIGTERM, twice and with SIGHUP between, finds a request at a reader that hangs, one at a writer that hangs, a stream that runs and one
// whose replica has just finished. Each gets its answer before SIGKILL may come, what the hung ones may hold is let go, the stream runs to
// its end, and the program ends only after that.
func TestNothingOwedIsLostAtSIGTERM(t *testing.T) {
	for _, deadline := range []time.Duration{time.Second, 6 * time.Second} { // shorter and longer than the 3 s that SIGKILL counts
		hung, goOn := make(chan bool, 8), make(chan bool)
		reader, r := replicaOf(t, "reader", "reader", func(x *standin.Exchange) {
			if strings.HasSuffix(x.ID, "1") {
				hung <- true
				x.Gone()
				return
			}
			x.Read(0)
		})
		writer, w := replicaOf(t, "writer", "writer", func(x *standin.Exchange) {
			switch x.ID[len(x.ID)-1] {
			case '2':
				hung <- true
				x.Gone()
			case '3':
				x.Head()
				x.Token("one")
				hung <- true
				<-goOn
				x.End()
			default:
				x.Answer("whole")
			}
		})
		agent, addr, path := agentOf(t, r, w), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		us := fmt.Sprint(deadline.Microseconds())
		set := strings.NewReplacer(`"deadline_us":6000000`, `"deadline_us":`+us, `"goal_time_us":1500000`, `"goal_time_us":500000`).Replace(settings)
		cmd, out := start(t, configure(t, path, addr, agent.Addr, set, ""))
		wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		var open []net.Conn
		for n := 1; n <= 3; n++ {
			text := strings.Replace(request(addr, n), "X-Expires-In: 5000m", fmt.Sprintf("X-Expires-In: %dm", deadline.Milliseconds()), 1)
			open = append(open, say(t, addr, text))
			<-hung
		}
		kept := ask(t, addr, 4)
		if text := answered(t, kept); !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Fatalf("got %q", text)
		}
		told := time.Now()
		signalTo(t, cmd, syscall.SIGTERM)
		signalTo(t, cmd, syscall.SIGHUP)
		signalTo(t, cmd, syscall.SIGTERM)
		wait(t, "the phase", func() bool { return strings.Contains(out.String(), "draining") })
		if _, err := io.WriteString(kept, request(addr, 5)); err != nil { // clients go on sending on what stays open
			t.Fatal(err)
		}
		if status, text, err := statusOf(t, kept); err != nil || status != 200 || !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Errorf("deadline %v, on a kept connection: %d %q %v", deadline, status, text, err)
		}
		for n, c := range open[:2] {
			status, _, err := statusOf(t, c)
			if err != nil || status != 502 && status != 503 {
				t.Errorf("deadline %v, request %d: %d %v", deadline, n+1, status, err)
			}
			if by := min(deadline, 3*time.Second) + 700*time.Millisecond; time.Since(told) > by+time.Second { // a slow machine
				t.Errorf("deadline %v, request %d: answered after %v, SIGKILL may come after %v", deadline, n+1, time.Since(told), by)
			}
		}
		for _, id := range []string{"0000000000000001", "0000000000000002"} {
			wait(t, "the release of "+id, func() bool {
				for _, c := range append(reader.Calls("DELETE"), writer.Calls("DELETE")...) {
					if strings.HasSuffix(c.Path, id) {
						return true
					}
				}
				return false
			})
		}
		if cmd.ProcessState != nil || strings.Contains(out.String(), "stopped") {
			t.Error("it has ended while a stream runs")
		}
		close(goOn)
		if status, text, err := statusOf(t, open[2]); err != nil || status != 200 || !strings.HasSuffix(text, "[DONE]\n\n") {
			t.Errorf("deadline %v, the stream: %d %q %v", deadline, status, text, err)
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("exit: %v\n%s", err, out)
		}
	}
}

// SIGTERM may come before the program is ready: then it ends, well.
func TestSIGTERMBeforeReady(t *testing.T) {
	addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := start(t, configure(t, path, addr, silence(t), settings, ""))
	wait(t, "an open address", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	signalTo(t, cmd, syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, out)
	}
}

// Guards: a program that knew nobody was ready after half a second. With discovery down or silent one that knows replicas is ready within
// the time that a restart has; one that knows none is ready as soon as discovery tells of some.
func TestReadyAgainWhateverDiscoveryDoes(t *testing.T) {
	_, r := replicaOf(t, "reader", "reader", func(x *standin.Exchange) { x.Read(0) })
	_, w := replicaOf(t, "writer", "writer", func(x *standin.Exchange) { x.Answer("one") })
	known := fmt.Sprintf(`,"known":{"version":1,"full":true,"servers":[{"id":"reader","addr":%q,"zone":"z","kind":"reader","state":"in_service"},
		{"id":"writer","addr":%q,"zone":"z","kind":"writer","state":"in_service"}]}`, r.Addr, w.Addr)
	for name, at := range map[string]string{"down": freeAddr(t), "silent": silence(t)} {
		for _, knows := range []bool{true, false} {
			addr, door, path, more := freeAddr(t), freeAddr(t), filepath.Join(t.TempDir(), "config.json"), ""
			if knows {
				more = known
			}
			_, out := start(t, append(configure(t, path, addr, at, settings, more), "EDGE_OPERATOR="+door))
			began := time.Now()
			if knows {
				wait(t, "a ready program", func() bool { code, _ := call("GET", addr, "/-/ready"); return code == 200 && ready(door)() })
				if took := time.Since(began); took > 6*time.Second {
					t.Errorf("discovery %s: ready after %v", name, took)
				}
				if text := answered(t, ask(t, addr, 1)); !strings.Contains(text, "one") {
					t.Errorf("discovery %s: %q", name, text)
				}
				continue
			}
			wait(t, "the start without a list", func() bool { return strings.Contains(out.String(), "n0: ready") })
			if code, text := call("GET", addr, "/-/ready"); code != 503 || !strings.Contains(text, "no replicas") || ready(door)() {
				t.Errorf("discovery %s and nobody known: %d %q", name, code, text)
			}
			if name == "down" {
				a, err := standin.StartAgent(at, r, w)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(a.Close)
				wait(t, "a ready program", func() bool { code, _ := call("GET", addr, "/-/ready"); return code == 200 })
			}
		}
	}
}

// After SIGHUP the new discovery alone tells of a drain, while the watch of the old one is open and silent: nothing goes to who leaves.
func TestDrainRightAfterSIGHUP(t *testing.T) {
	_, r := replicaOf(t, "reader", "reader", func(x *standin.Exchange) { x.Read(0) })
	leaving, l := replicaOf(t, "leaving", "writer", func(x *standin.Exchange) { x.Answer("leaving") })
	_, s := replicaOf(t, "staying", "writer", func(x *standin.Exchange) { x.Answer("staying") })
	old, addr, path := agentOf(t, r, l, s), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := start(t, configure(t, path, addr, old.Addr, settings, ""))
	wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	old.Mute(true)
	l.State = "terminating"
	next := agentOf(t, r, l, s)
	configure(t, path, addr, next.Addr, settings, "")
	signalTo(t, cmd, syscall.SIGHUP)
	wait(t, "the list of the new discovery", func() bool {
		return strings.Contains(out.String(), "list: leaving writer "+l.Addr+" zone z cell 0 is draining")
	})
	before := len(leaving.Calls("POST"))
	for n := range 20 {
		if text := answered(t, ask(t, addr, n+1)); !strings.Contains(text, "staying") {
			t.Errorf("served by %q", text)
		}
	}
	if n := len(leaving.Calls("POST")); n != before {
		t.Errorf("%d sends to who leaves", n-before)
	}
}

// Guards: where SIGHUP brings another address for clients too, what the stack before had taken was finished by the list that it had, as its
// discovery said nothing more. The new discovery alone tells of a drain; requests that wait at the reader meanwhile don't go to who leaves.
func TestDrainReachesTheStackBefore(t *testing.T) {
	const requests = 20
	came, goOn := make(chan bool, requests), make(chan bool)
	_, r := replicaOf(t, "reader", "reader", func(x *standin.Exchange) {
		came <- true
		<-goOn
		x.Read(0)
	})
	leaving, l := replicaOf(t, "leaving", "writer", func(x *standin.Exchange) { x.Answer("leaving") })
	_, s := replicaOf(t, "staying", "writer", func(x *standin.Exchange) { x.Answer("staying") })
	old, addr, path := agentOf(t, r, l, s), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := start(t, configure(t, path, addr, old.Addr, settings, ""))
	wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	var open []net.Conn
	for n := range requests {
		open = append(open, ask(t, addr, n+1))
		<-came
	}
	old.Mute(true)
	l.State = "terminating"
	next := agentOf(t, r, l, s)
	configure(t, path, freeAddr(t), next.Addr, settings, "")
	signalTo(t, cmd, syscall.SIGHUP)
	wait(t, "the list of the new discovery, at both stacks", func() bool {
		return strings.Count(out.String(), "list: leaving writer "+l.Addr+" zone z cell 0 is draining") >= 2
	})
	close(goOn)
	for n, c := range open {
		if status, text, err := statusOf(t, c); err != nil || status != 200 || !strings.Contains(text, "staying") {
			t.Errorf("request %d: %d %q %v", n+1, status, text, err)
		}
	}
	if n := len(leaving.Calls("POST")); n != 0 {
		t.Errorf("%d sends to who leaves", n)
	}
}

// Idle clients take every descriptor that they may have, under a limit of the machine's own. Discovery, replicas and the operators' door keep
// theirs: a drain is heard of, a request is served, the door answers, and nothing spins.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	for _, sockets := range []int{64, 256} {
		_, r := replicaOf(t, "reader", "reader", func(x *standin.Exchange) { x.Read(0) })
		_, l := replicaOf(t, "leaving", "writer", func(x *standin.Exchange) { x.Answer("leaving") })
		_, s := replicaOf(t, "staying", "writer", func(x *standin.Exchange) { x.Answer("staying") })
		agent, addr, door, path := agentOf(t, r, l, s), freeAddr(t), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, sockets), os.Args[0])
		cmd.Env = append(os.Environ(), append(configure(t, path, addr, agent.Addr, settings, fmt.Sprintf(`,"limits":{"sockets":%d}`, sockets)),
			"EDGE_OPERATOR="+door, "STANDPULLEY_AS_PROGRAM=1")...)
		out := &lines{}
		cmd.Stdout, cmd.Stderr = out, out
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
		wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		for range 2 * sockets {
			say(t, addr, "")
		}
		l.State = "terminating"
		agent.Set(r, l, s)
		wait(t, "the drain", func() bool {
			return strings.Contains(out.String(), "list: leaving writer "+l.Addr+" zone z cell 0 is draining")
		})
		for n := range 5 {
			if text := answered(t, ask(t, addr, n+1)); !strings.Contains(text, "staying") {
				t.Errorf("%d sockets: %q", sockets, text)
			}
			if !ready(door)() {
				t.Errorf("%d sockets: the door does not answer", sockets)
			}
		}
		if strings.Contains(out.String(), "too many open files") {
			t.Errorf("%d sockets: %s", sockets, out)
		}
	}
}
