package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/fake"
)

// writeSite writes an appliance configuration file that contains the replica list itself.
func writeSite(t *testing.T, name, chat, listen string, list []fake.Entry) string {
	t.Helper()
	servers, err := jsoniter.MarshalToString(list)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name+".json")
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"chat":{"listen":%q,"models":{"act":"instruction"}},"known":{"servers":%s},"settings":%s}`,
		name, listen, chat, servers, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestApplianceFromApplyToExit runs an appliance from apply to exit: apply, run, serve the chat
// API, read the console, and apply new configurations while a stream runs.
func TestApplianceFromApplyToExit(t *testing.T) {
	act, started, finish := heldWriter()
	list := startFleet(t, act)
	chat, listen, state := freeAddr(t), freeAddr(t), filepath.Join(t.TempDir(), "state")
	first := writeSite(t, "first", chat, listen, list)
	run := func(want int, args ...string) string {
		t.Helper()
		var out bytes.Buffer
		if code, err := command(append([]string{args[0], "-state", state}, args[1:]...), &out); code != want {
			t.Fatalf("%v: exit %d, %v\n%s", args, code, err, out.String())
		}
		return out.String()
	}
	run(exitChanges, "plan", first)
	run(0, "apply", first)
	run(0, "plan", first)
	cmd, out := startProgram(t, nil, "run", "-state", state)
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "ready") })

	stream, err := http.Post("http://"+chat+"/v1/chat/completions", "application/json",
		strings.NewReader(`{"model":"act","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	if err != nil || stream.StatusCode != 200 {
		t.Fatalf("%v %v", stream, err)
	}
	defer stream.Body.Close()
	<-started
	if page := run(0, "console", "-once"); !strings.Contains(page, "first  ready") || !strings.Contains(page, "served 1") {
		t.Errorf("console:\n%s", page)
	}
	second := writeSite(t, "second", chat, freeAddr(t), list)
	run(0, "apply", second)
	if page := run(0, "console", "-once"); !strings.Contains(page, "second  ready") {
		t.Errorf("console:\n%s", page)
	}
	// The address is invalid, so the second configuration stays in force.
	run(exitError, "apply", writeSite(t, "third", chat, "256.0.0.1:1", list))
	run(0, "plan", second)
	close(finish)
	var text bytes.Buffer
	if _, err := text.ReadFrom(stream.Body); err != nil || !strings.Contains(text.String(), "[DONE]") {
		t.Errorf("stream that started under the first configuration: %q, %v", text.String(), err)
	}
	resp, err := http.Post("http://"+chat+"/v1/chat/completions", "application/json",
		strings.NewReader(`{"model":"act","messages":[{"role":"user","content":"y"}]}`))
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("request under the second configuration: %v %v", resp, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, out)
	}
}
