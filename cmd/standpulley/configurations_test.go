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

// siteFile is the content of a configuration file that tests change step by step.
type siteFile struct {
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Chat      chatSection    `json:"chat"`
	Settings  map[string]any `json:"settings"`
	Name      string         `json:"name"`
	Seed      string         `json:"seed"`
}

type chatSection struct {
	Listen    string            `json:"listen"`
	Models    map[string]string `json:"models"`
	MaxOutput int               `json:"max_output"`
}

func newSiteFile(t *testing.T, discovery string) *siteFile {
	t.Helper()
	f := &siteFile{Listen: freeAddr(t), Discovery: discovery, Name: "n0", Seed: "1",
		Chat: chatSection{Listen: freeAddr(t), Models: map[string]string{"ask": "enquiry", "act": "instruction"}, MaxOutput: 400}}
	if err := jsoniter.UnmarshalFromString(settings, &f.Settings); err != nil {
		t.Fatal(err)
	}
	return f
}

// addClass adds a class and, in the chat object, a model for it.
func (f *siteFile) addClass(name string) {
	f.Settings["services"] = append(f.Settings["services"].([]any),
		map[string]any{"name": name, "goal_time_us": 1500000, "deadline_us": 6000000, "repeat": "idempotent", "credit": 1})
	f.Chat.Models["model-"+name] = name
}

// site is a running program whose configuration is replaced either by SIGHUP or by apply.
type site struct {
	file   *siteFile
	reload func(t *testing.T) // puts the file in force and waits until it is
	signal func(t *testing.T, sig syscall.Signal)
	out    *outputBuffer
	wait   func() error // waits for the exit
}

// reloadWays are the ways in which a configuration is replaced.
var reloadWays = []string{"SIGHUP", "apply"}

// startSite starts a program that serves the file.
func startSite(t *testing.T, way string, file *siteFile) *site {
	t.Helper()
	path, state := filepath.Join(t.TempDir(), "config.json"), filepath.Join(t.TempDir(), "state")
	write := func(t *testing.T) {
		t.Helper()
		text, err := jsoniter.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	apply := func(t *testing.T) {
		t.Helper()
		var out bytes.Buffer
		if code, err := command([]string{"apply", "-state", state, path}, &out); code != 0 {
			t.Fatalf("apply: exit %d, %v\n%s", code, err, out.String())
		}
	}
	env, args := []string{"EDGE_CONFIG=" + path}, []string(nil)
	write(t)
	if way == "apply" {
		apply(t)
		env, args = nil, []string{"run", "-state", state}
	}
	cmd, out := startProgram(t, env, args...)
	s := &site{file: file, out: out, wait: cmd.Wait}
	s.signal = func(t *testing.T, sig syscall.Signal) { t.Helper(); sendSignal(t, cmd, sig) }
	s.reload = func(t *testing.T) {
		t.Helper()
		write(t)
		if way == "apply" {
			apply(t)
			return
		}
		before := reloadsLogged(out)
		s.signal(t, syscall.SIGHUP)
		waitFor(t, "the new configuration", func() bool { return reloadsLogged(out) > before })
		if strings.Contains(out.String(), "keeping the configuration in force") {
			t.Fatalf("the file was rejected:\n%s", out)
		}
	}
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	return s
}

// reloadsLogged counts the configurations that the log says were put in force or rejected.
func reloadsLogged(out *outputBuffer) (n int) {
	for _, line := range []string{"n0: ready", "new settings are in force", "discovery is at", "keeping the configuration in force"} {
		n += strings.Count(out.String(), line)
	}
	return n
}

// postChat sends a chat completion for an instruction with an idempotency key.
func postChat(t *testing.T, addr, key string, retry int) *http.Response {
	t.Helper()
	text := `{"model":"act","stream":true,"messages":[{"role":"user","content":"pay ` + key + `"}]}`
	req, err := http.NewRequest("POST", "http://"+addr+"/v1/chat/completions", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Stainless-Retry-Count", fmt.Sprint(retry))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// TestInstructionsAreRememberedAcrossConfigurations guards against a chat front that begins with an
// empty memory after a new configuration: the repeat of an instruction that had run, and of one that
// was still open, ran a second time (review case 1).
func TestInstructionsAreRememberedAcrossConfigurations(t *testing.T) {
	changes := map[string]func(*testing.T, *siteFile){
		"a class and its model": func(_ *testing.T, f *siteFile) { f.addClass("statement") },
		"max_output":            func(_ *testing.T, f *siteFile) { f.Chat.MaxOutput++ },
		"chat address":          func(t *testing.T, f *siteFile) { f.Chat.Listen = freeAddr(t) },
		"client address":        func(t *testing.T, f *siteFile) { f.Listen = freeAddr(t) },
		"swapped addresses":     func(_ *testing.T, f *siteFile) { f.Listen, f.Chat.Listen = f.Chat.Listen, f.Listen },
		"discovery": func(t *testing.T, f *siteFile) {
			f.Discovery = startAgent(t, startFleet(t, func(x *fake.Exchange) { x.Answer("another") })...).Addr
		},
	}
	for _, way := range reloadWays {
		for name, change := range changes {
			t.Run(way+"/"+name, func(t *testing.T) {
				act, started, finish := heldWriter()
				s := startSite(t, way, newSiteFile(t, startAgent(t, startFleet(t, act)...).Addr))
				dropped := postChat(t, s.file.Chat.Listen, "dropped", 0)
				<-started
				_ = dropped.Body.Close() // the client drops mid-stream
				postChat(t, s.file.Chat.Listen, "open", 0)
				<-started
				for range 2 {
					change(t, s.file)
					s.file.addClass(fmt.Sprintf("new-%d", len(s.file.Chat.Models)))
					s.reload(t)
					for _, key := range []string{"dropped", "open"} {
						if resp := postChat(t, s.file.Chat.Listen, key, 1); resp.StatusCode != http.StatusFailedDependency {
							t.Errorf("repeat of the instruction %q: %s, want 424", key, resp.Status)
						}
					}
				}
				close(finish)
				if n := len(started); n != 0 {
					t.Errorf("%d instructions ran again", n)
				}
			})
		}
	}
}
