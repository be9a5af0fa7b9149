package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"standpulley/internal/fake"
)

// TestAgreementIsOffOnThePlatform checks that where dispatchers do not agree on settings, the
// agreement leaves no trace: no socket, no file, no goroutine and no log line. A platform
// configuration that asks for it is rejected with its key.
func TestAgreementIsOffOnThePlatform(t *testing.T) {
	list := startFleet(t, func(x *fake.Exchange) { x.Answer("one") })
	agent, err := fake.StartAgent("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	addr, admin := freeAddr(t), freeAddr(t)
	cmd, out := startProgram(t, withAdmin(t, agent.Addr, addr, admin))
	waitFor(t, "a ready program", readyAt(admin))
	answer := sendRequest(t, addr, 1)
	if text := readAnswer(t, answer); !strings.HasSuffix(text, "[DONE]\n\n") {
		t.Errorf("got %q", text)
	}
	files, listens := openFiles(t, cmd.Process.Pid)
	if len(files) > 0 {
		t.Errorf("files: %v", files)
	}
	if listens != 2 {
		t.Errorf("it listens at %d addresses, want 2: the client address and the admin endpoint", listens)
	}
	if _, figures := call("GET", admin, "/-/metrics"); strings.Contains(figures, "agreement") || strings.Contains(figures, "ledger") {
		t.Errorf("metrics:\n%s", figures)
	}
	before := out.String()
	if err := cmd.Process.Signal(syscall.SIGQUIT); err != nil { // ends the process and prints its goroutines
		t.Fatal(err)
	}
	_ = cmd.Wait() // the signal ends it
	text := out.String()
	if !strings.Contains(text, "goroutine ") || !strings.Contains(text, "standpulley/internal/program") {
		t.Fatalf("no goroutines were printed, so the check proves nothing:\n%s", text)
	}
	for _, word := range []string{"standpulley/internal/cluster", "standpulley/internal/peers", "standpulley/internal/raftlog", "standpulley/internal/intentlog", "standpulley/internal/ledger", "etcd.io"} {
		if strings.Contains(text, word) {
			t.Errorf("a goroutine in %s", word)
		}
	}
	for _, word := range []string{"agree", "peers", "lease", "ledger", "X-Settings"} {
		if strings.Contains(before, word) {
			t.Errorf("the log contains %q:\n%s", word, before)
		}
	}
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"agree":{"cluster":"k","voters":{"n0":"127.0.0.1:1","n1":"127.0.0.1:2","n2":"127.0.0.1:3"}},
		"peers":{"listen":"127.0.0.1:1"},"settings":%s}`, addr, agent.Addr, settings)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, out = startProgram(t, []string{"EDGE_CONFIG=" + path})
	if err := cmd.Wait(); err == nil || !strings.Contains(out.String(), "key agree:") {
		t.Errorf("%v: %s", err, out)
	}
}

// openFiles returns the regular files that a process has open, except its own log and devices, and
// the number of addresses on which it listens.
func openFiles(t *testing.T, pid int) (files []string, listens int) {
	t.Helper()
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Skipf("no %s here: %v", folder, err)
	}
	sockets := map[string]bool{}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(folder, e.Name()))
		switch {
		case err != nil:
		case strings.HasPrefix(target, "socket:["):
			sockets[strings.Trim(target, "socket:[]")] = true
		// The runtime reads files in /sys.
		case strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "/dev/") && !strings.HasPrefix(target, "/sys/"):
			files = append(files, target)
		}
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		t.Fatal(err)
	}
	spaces := regexp.MustCompile(` +`)
	for line := range strings.Lines(string(text)) {
		part := spaces.Split(strings.TrimSpace(line), -1)
		if len(part) > 9 && part[3] == "0A" && sockets[part[9]] {
			listens++
		}
	}
	return files, listens
}
