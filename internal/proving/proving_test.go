package proving

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"standpulley/internal/clusterstate"
)

// TestMain runs the test binary as the dispatcher program, with a fault injected if one is named,
// where the environment says so.
func TestMain(m *testing.M) {
	if os.Getenv("STANDPULLEY_AS_PROGRAM") == "" {
		os.Exit(m.Run())
	}
	if err := RunDispatcher(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// maxParallel is how many trials run at the same time: their processes mostly wait.
const maxParallel = 4

// TestNamedScripts runs the hard cases, each a script with a name: several processes with faults
// between them, judged from outside.
func TestNamedScripts(t *testing.T) {
	files, err := filepath.Glob("scripts/*.toml")
	if err != nil || len(files) < 14 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	scripts, err := NamedScripts()
	if err != nil || len(scripts) < len(files) {
		t.Fatalf("%d scripts of %d files, %v", len(scripts), len(files), err)
	}
	slots := make(chan bool, maxParallel)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			slots <- true
			defer func() { <-slots }()
			folder := t.TempDir()
			record, history, err := Play(s, Program{Path: os.Args[0], Env: []string{"STANDPULLEY_AS_PROGRAM=1"}}, folder)
			if err != nil {
				t.Fatal(err)
			}
			j := Judge(record)
			for _, f := range j.Findings {
				t.Error(f)
			}
			if !IsLinearizable(history) {
				t.Error("the history of proposals and reads is not linearizable")
			}
			if j.Served == 0 || j.Actions == 0 {
				t.Errorf("nothing was served, so the trial shows nothing: %+v", j)
			}
			logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
			for _, name := range logs {
				text, err := os.ReadFile(name)
				if err != nil || strings.Contains(string(text), "DATA RACE") || strings.Contains(string(text), "panic: ") {
					t.Errorf("%s: %v, or the log has a data race or a panic:\n%s", name, err, text)
				}
				if t.Failed() {
					t.Logf("%s:\n%s", filepath.Base(name), tail(string(text)))
				}
			}
		})
	}
}

// tail returns the last lines of a log that are not about requests.
func tail(text string) string {
	var kept []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, "agreement:") || strings.Contains(line, "peers:") || strings.Contains(line, "SIGHUP") || strings.Contains(line, "panic") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept[max(0, len(kept)-25):], "")
}

// TestScriptRoundTrip checks that scripts can be printed and parsed back, that a seed always makes
// the same script, and that invalid scripts are refused.
func TestScriptRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		options := GeneratorOptions{Voters: 5, Others: 10, Within: time.Second, Lists: seed%2 == 0, Ledger: []string{"", "site", "process"}[seed%3]}
		s := Generate(seed, options)
		again, err := Parse([]byte(s.String()))
		if err != nil || again.String() != s.String() {
			t.Fatalf("seed %d: %v\n%s\n%s", seed, err, s, again)
		}
		if Generate(seed, options).String() != s.String() {
			t.Fatalf("seed %d makes two different scripts", seed)
		}
	}
	for _, bad := range []string{"voters = 4\nwithin='1s'\nlast='1s'", "voters = 3\nwithin='x'\nlast='1s'", "voters=3\nwithin='1s'\nlast='1s'\nfoo=1",
		"voters=3\nwithin='1s'\nlast='1s'\n[[step]]\nat='1s'\ndo='sing'"} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("an invalid script was accepted: %s", bad)
		}
	}
}

// TestJudge checks that the judge reports each violation of a rule, and nothing else.
func TestJudge(t *testing.T) {
	keys := func(limit, credit string) map[string]string {
		return map[string]string{"limits.try_limit": limit, "services.0.credit": credit}
	}
	versions := []Version{{1, "aa11", clusterstate.Superseded, keys("6", "1"), 0}, {2, "bb22", clusterstate.Superseded, keys("5", "1"), 0},
		{3, "cc33", clusterstate.InForce, keys("5", "2"), 0}, {4, "dd44", clusterstate.TurnedDown, keys("4", "2"), 0}}
	sec := time.Second
	send := func(mark string, at time.Duration) Action {
		return Action{Dispatcher: "o1", Kind: "send", ID: "x", VersionTag: mark, From: at, To: at}
	}
	ok := ClientRequest{Dispatcher: "o1", ID: "a", Sent: sec, Done: 2 * sec, Status: 200, Complete: true, VersionTag: "1-aa11"}
	for _, x := range []struct {
		name string
		rule string
		with func(r *Record)
	}{
		{"no violation", "", func(*Record) {}},
		{"old version used at the limit", "", func(r *Record) { r.Actions = append(r.Actions, send("1-aa11", 6*sec)) }},
		{"old version used too late", "within", func(r *Record) { r.Actions = append(r.Actions, send("1-aa11", 6*sec+1)) }},
		{"used too late, but safe mode allows the request", "", func(r *Record) {
			r.Alone = "safe"
			late := send("1-aa11", 9*sec)
			late.ID = "a"
			r.Actions = append(r.Actions, late)
		}},
		{"used too late for an at-most-once request in safe mode", "within", func(r *Record) {
			r.Alone, r.Requests[0].AtMostOnce = "safe", true
			late := send("1-aa11", 9*sec)
			late.ID = "a"
			r.Actions = append(r.Actions, late)
		}},
		{"request accepted too late", "within", func(r *Record) {
			late := ok
			late.Sent, late.Done = 7*sec, 8*sec
			r.Requests = append(r.Requests, late)
		}},
		{"no contradiction", "", func(r *Record) { r.Actions = append(r.Actions, send("3-cc33", 7*sec), send("2-bb22", 20*sec)) }},
		{"used too late, after a later version restored it", "", func(r *Record) {
			r.Versions[3] = Version{5, "ee55", clusterstate.InForce, keys("6", "1"), 0}
			r.Actions = append(r.Actions, send("5-ee55", 8*sec), send("1-aa11", 9*sec))
		}},
		{"used too late, before a later version restored it", "within", func(r *Record) {
			r.Versions[3] = Version{5, "ee55", clusterstate.InForce, keys("6", "1"), 0}
			r.Actions = append(r.Actions, send("5-ee55", 8*sec), send("1-aa11", 7*sec))
		}},
		{"version that was turned down", "turned down", func(r *Record) { r.Actions = append(r.Actions, send("4-dd44", 7*sec)) }},
		{"unknown version", "known", func(r *Record) { r.Actions = append(r.Actions, send("9-ee55", 7*sec)) }},
		{"two fingerprints of one version", "one content", func(r *Record) { r.Actions = append(r.Actions, send("2-ffff", 7*sec)) }},
		{"acknowledged and lost", "lost", func(r *Record) { r.Versions[3].AcknowledgedAt = sec }},
		{"request without an answer", "lost", func(r *Record) {
			r.Requests = append(r.Requests, ClientRequest{Dispatcher: "o1", Sent: sec, Done: 2 * sec})
		}},
		{"no answer from a dispatcher that was down", "", func(r *Record) {
			r.Requests = append(r.Requests, ClientRequest{Dispatcher: "o2", Sent: sec, Done: 2 * sec})
		}},
		{"resent, and the first transmission was not read", "", func(r *Record) { r.Requests[0].ResendOf = "b" }},
		{"resent, but the first transmission was read", "lost", func(r *Record) { r.Requests[0].ResendOf, r.ReadIDs = "b", map[string]bool{"b": true} }},
		{"resent, but without an answer", "lost", func(r *Record) {
			r.Requests = append(r.Requests, ClientRequest{Dispatcher: "o1", Sent: sec, Done: 2 * sec, ResendOf: "b"})
		}},
		{"answer cut off", "lost", func(r *Record) {
			r.Requests = append(r.Requests, ClientRequest{Dispatcher: "o1", Sent: sec, Done: 2 * sec, Status: 200})
		}},
		{"at-most-once request executed twice", "twice", func(r *Record) { r.Requests[0].AtMostOnce, r.Runs["a"] = true, 2 }},
		{"no version tag", "mark", func(r *Record) { r.Actions = append(r.Actions, send("", sec)) }},
	} {
		r := Record{Within: sec, Actions: []Action{send("1-aa11", sec), send("2-bb22", 5*sec)}, Requests: []ClientRequest{ok}, Runs: map[string]int{"a": 1},
			Versions: append([]Version(nil), versions...), Downtimes: map[string][][2]time.Duration{"o2": {{sec / 2, 0}}}}
		x.with(&r)
		j := Judge(r)
		got := ""
		if len(j.Findings) > 0 {
			got = j.Findings[0].Rule
		}
		if got != x.rule {
			t.Errorf("%s: %q, wanted %q: %v", x.name, got, x.rule, j.Findings)
		}
	}
}

// TestIsLinearizable checks which histories of the settings record are accepted.
func TestIsLinearizable(t *testing.T) {
	propose := func(call, ret int, base, number uint64) Operation {
		return Operation{Kind: "propose", Call: time.Duration(call), Return: time.Duration(ret), Base: base, Number: number}
	}
	show := func(call, ret int, number uint64) Operation {
		return Operation{Kind: "show", Call: time.Duration(call), Return: time.Duration(ret), Number: number}
	}
	unknown := Operation{Kind: "propose", Call: 25, Base: 2, Unknown: true}
	for name, x := range map[string]struct {
		history []Operation
		want    bool
	}{
		"plain":                           {[]Operation{show(0, 1, 1), propose(2, 5, 1, 2), show(6, 7, 2)}, true},
		"read early":                      {[]Operation{propose(2, 9, 1, 2), show(3, 4, 2), show(5, 6, 2)}, true},
		"older version read":              {[]Operation{propose(2, 5, 1, 2), show(6, 7, 1)}, false},
		"two from one base":               {[]Operation{propose(2, 5, 1, 2), propose(6, 9, 1, 3)}, false},
		"unknown outcome, took effect":    {[]Operation{propose(2, 5, 1, 2), unknown, show(30, 31, 3)}, true},
		"unknown outcome, took no effect": {[]Operation{propose(2, 5, 1, 2), unknown, show(30, 31, 2)}, true},
		"unknown outcome, undone":         {[]Operation{propose(2, 5, 1, 2), unknown, show(30, 31, 3), show(32, 33, 2)}, false},
		"number of no proposal":           {[]Operation{show(30, 31, 7)}, false},
	} {
		if IsLinearizable(x.history) != x.want {
			t.Errorf("%s: %v", name, !x.want)
		}
	}
}
