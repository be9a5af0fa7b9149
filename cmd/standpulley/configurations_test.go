package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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
	Limits    *limitsSection `json:"limits,omitempty"`
}

type limitsSection struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
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

// write writes the file to a path.
func (f *siteFile) write(t *testing.T, path string) {
	t.Helper()
	text, err := jsoniter.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
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
	apply := func(t *testing.T) {
		t.Helper()
		var out bytes.Buffer
		if code, err := command([]string{"apply", "-state", state, path}, &out); code != 0 {
			t.Fatalf("apply: exit %d, %v\n%s", code, err, out.String())
		}
	}
	env, args := []string{"EDGE_CONFIG=" + path}, []string(nil)
	file.write(t, path)
	if way == "apply" {
		apply(t)
		env, args = nil, []string{"run", "-state", state}
	}
	cmd, out := startProgram(t, env, args...)
	s := &site{file: file, out: out, wait: cmd.Wait}
	s.signal = func(t *testing.T, sig syscall.Signal) { t.Helper(); sendSignal(t, cmd, sig) }
	s.reload = func(t *testing.T) {
		t.Helper()
		file.write(t, path)
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

// steppedSite is a site whose configuration is replaced several times: each step adds a class and a
// model, moves discovery, and leaves the discovery service before silent. Requests that are sent
// between the steps wait at the reader.
type steppedSite struct {
	*site
	entries       []fake.Entry // the list: reader, staying writer, and writers of which one drains at each step
	agent         *fake.Agent
	arrivals      chan bool // requests that have come to the reader and wait there
	finish        chan bool // closed to let the reader answer
	open          []net.Conn
	sentToLeaving atomic.Int64 // of the open requests, those sent to writers that leave
}

const (
	configurationSteps = 3
	requestsPerStep    = 6
	// promptID is the first of the ids of requests that the reader answers at once, which shows the
	// dispatcher that it is not silent.
	promptID = 0x1000
)

func startSteppedSite(t *testing.T, way string) *steppedSite {
	t.Helper()
	s := &steppedSite{arrivals: make(chan bool, 100), finish: make(chan bool)}
	waits := func(x *fake.Exchange) bool { return x.ID < fmt.Sprintf("%016x", promptID) }
	_, reader := startReplica(t, "reader", "reader", func(x *fake.Exchange) {
		if waits(x) {
			s.arrivals <- true
			<-s.finish
		}
		x.Read(0)
	})
	_, staying := startReplica(t, "staying", "writer", func(x *fake.Exchange) { x.Answer("staying") })
	s.entries = []fake.Entry{reader, staying}
	for n := range configurationSteps {
		_, entry := startReplica(t, fmt.Sprintf("leaving-%d", n), "writer", func(x *fake.Exchange) {
			if waits(x) {
				s.sentToLeaving.Add(1)
			}
			x.Answer("leaving")
		})
		s.entries = append(s.entries, entry)
	}
	s.agent = startAgent(t, s.entries...)
	s.site = startSite(t, way, newSiteFile(t, s.agent.Addr))
	return s
}

// sendRequests sends requests that wait at the reader, and one that does not.
func (s *steppedSite) sendRequests(t *testing.T) {
	t.Helper()
	for range requestsPerStep {
		text := strings.Replace(requestText(s.file.Listen, len(s.open)+1), "X-Expires-In: 5000m", "X-Expires-In: 11000m", 1)
		s.open = append(s.open, sendText(t, s.file.Listen, text))
		select {
		case <-s.arrivals:
		case <-time.After(10 * time.Second):
			t.Fatalf("request %d does not come to the reader\n%s", len(s.open), s.out)
		}
	}
	readAnswer(t, sendRequest(t, s.file.Listen, promptID+len(s.open)))
}

// step puts the next configuration in force. Its discovery service alone then tells that one more
// writer drains.
func (s *steppedSite) step(t *testing.T, n int) {
	t.Helper()
	previous := s.agent
	s.agent = startAgent(t, s.entries...)
	s.file.Discovery = s.agent.Addr
	s.file.addClass(fmt.Sprintf("new-%d", n))
	s.reload(t)
	previous.SetUnresponsive(true)
	s.entries = slices.Clone(s.entries) // the agents before still hold the list
	entry := &s.entries[2+n]
	entry.State = "terminating"
	s.agent.Set(s.entries...)
	waitFor(t, "the drain", func() bool {
		return strings.Contains(s.out.String(), "list: "+entry.ID+" writer "+entry.Addr+" zone z cell 0 is draining")
	})
}

// TestRequestsOfEveryConfigurationHearDrains guards against requests that go on under a replaced
// configuration and are told of no drain by a discovery that has moved since: they were sent to
// draining writers (review case 3).
func TestRequestsOfEveryConfigurationHearDrains(t *testing.T) {
	for _, way := range reloadWays {
		for _, pause := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s/%v", way, pause), func(t *testing.T) {
				s := startSteppedSite(t, way)
				for n := range configurationSteps {
					s.sendRequests(t)
					s.step(t, n)
					time.Sleep(pause)
				}
				s.sendRequests(t)
				close(s.finish)
				for n, c := range s.open {
					if status, text, err := readResponse(t, c); err != nil || status != 200 || !strings.Contains(text, "staying") {
						t.Errorf("request %d: %d %q %v", n+1, status, text, err)
					}
				}
				if n := s.sentToLeaving.Load(); n != 0 {
					t.Errorf("%d requests were sent to writers that drain", n)
				}
			})
		}
	}
}

// TestRequestsOfEveryConfigurationAreAnsweredAtSIGTERM guards against requests that go on under a
// configuration replaced more than 2 s ago and hear nothing of SIGTERM: they had no answer when
// SIGKILL was due.
func TestRequestsOfEveryConfigurationAreAnsweredAtSIGTERM(t *testing.T) {
	const sigkillAfter = 3700 * time.Millisecond
	for _, way := range reloadWays {
		for _, steps := range []int{1, configurationSteps} {
			t.Run(fmt.Sprintf("%s/%d", way, steps), func(t *testing.T) {
				s := startSteppedSite(t, way)
				defer close(s.finish)
				for n := range steps {
					s.sendRequests(t)
					s.step(t, n)
				}
				time.Sleep(2200 * time.Millisecond)
				s.signal(t, syscall.SIGTERM)
				signalled := time.Now()
				for n, c := range s.open {
					status, text, err := readResponse(t, c)
					if took := time.Since(signalled); err != nil || status == 200 || took > sigkillAfter {
						t.Errorf("request %d: %d %q %v, %v after SIGTERM", n+1, status, text, err, took)
					}
				}
				if err := s.wait(); err != nil {
					t.Errorf("exit: %v\n%s", err, s.out)
				}
			})
		}
	}
}

// TestOpenRequestIsKnownAcrossConfigurations guards against a table of open requests for each
// configuration: the id of an open request was taken a second time under the next one, and what was
// held for the first was released with the second.
func TestOpenRequestIsKnownAcrossConfigurations(t *testing.T) {
	for _, way := range reloadWays {
		t.Run(way, func(t *testing.T) {
			act, started, finish := heldWriter()
			s := startSite(t, way, newSiteFile(t, startAgent(t, startFleet(t, act)...).Addr))
			first := sendRequest(t, s.file.Listen, 1)
			<-started
			for n := range 2 {
				s.file.addClass(fmt.Sprintf("new-%d", n))
				s.reload(t)
				if status, text, err := readResponse(t, sendRequest(t, s.file.Listen, 1)); err != nil || status < 400 {
					t.Errorf("second request with the id of an open one: %d %q %v", status, text, err)
				}
			}
			close(finish)
			if text := readAnswer(t, first); !strings.HasSuffix(text, "[DONE]\n\n") {
				t.Errorf("the first request: %q", text)
			}
			if n := len(started); n != 0 {
				t.Errorf("%d further requests were sent to the writer", n)
			}
		})
	}
}
