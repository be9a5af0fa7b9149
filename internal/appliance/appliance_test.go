package appliance

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"standpulley/internal/dispatch"
)

// writeSiteFile writes a copy of deploy/chat.json with some of its text replaced, and returns its
// path.
func writeSiteFile(t *testing.T, change ...string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/chat.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "site.json")
	if err := os.WriteFile(path, []byte(strings.NewReplacer(change...).Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestPlanAndApply(t *testing.T) {
	dir := Dir(filepath.Join(t.TempDir(), "state"))
	first := writeSiteFile(t)
	changes, err := dir.Plan(first)
	if err != nil || len(changes) == 0 || !strings.HasPrefix(changes[0].String(), "+ chat.listen = ") {
		t.Fatalf("%v, %v", changes, err)
	}
	if _, err := os.Stat(string(dir)); !os.IsNotExist(err) {
		t.Errorf("plan created the state folder: %v", err)
	}
	if _, err := dir.Load(); err == nil || !strings.Contains(err.Error(), "apply a file first") {
		t.Errorf("got %v", err)
	}
	if _, err := dir.Apply(first); err != nil {
		t.Fatal(err)
	}
	if changes, err := dir.Plan(first); err != nil || len(changes) != 0 {
		t.Errorf("after the apply: %v, %v", changes, err)
	}
	next := writeSiteFile(t, `"branch-1"`, `"branch-2"`, `    "max_output": 500`, `    "max_output": 300`)
	changes, err = dir.Plan(next)
	var out bytes.Buffer
	Print(&out, changes)
	if want := "~ chat.max_output = 500 -> 300\n~ name = branch-1 -> branch-2\n2 keys differ.\n"; err != nil || out.String() != want {
		t.Errorf("%v: %s", err, out.String())
	}
}

// TestFailedApplyKeepsConfiguration checks that a file that the program can't serve does not
// replace the one in force.
func TestFailedApplyKeepsConfiguration(t *testing.T) {
	dir := Dir(t.TempDir())
	good := writeSiteFile(t)
	if _, err := dir.Apply(good); err != nil {
		t.Fatal(err)
	}
	if _, err := dir.Apply(writeSiteFile(t, `"at_most_once"`, `"maybe"`)); err == nil || !strings.Contains(err.Error(), "settings.services.1.repeat") {
		t.Errorf("got %v", err)
	}
	serveConsole(t, dir)
	if _, err := dir.Apply(writeSiteFile(t, "branch-1", "branch-2")); err == nil || !strings.Contains(err.Error(), "port taken") {
		t.Errorf("got %v", err)
	}
	if changes, err := dir.Plan(good); err != nil || len(changes) != 0 {
		t.Errorf("the previous file is not in force: %v, %v", changes, err)
	}
	if left, _ := filepath.Glob(filepath.Join(string(dir), "next-*")); len(left) != 0 {
		t.Errorf("left behind: %v", left)
	}
	if _, err := dir.Listen(); err == nil {
		t.Error("two programs can listen on one state folder")
	}
}

// serveConsole answers consoles of a state folder until the test ends.
func serveConsole(t *testing.T, dir Dir) {
	t.Helper()
	ln, err := dir.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go Serve(ln, failingProgram{})
}

// failingProgram is a program that rejects every new configuration.
type failingProgram struct{}

func (failingProgram) Settings([]byte) []byte { return nil }
func (failingProgram) Reload() error          { return errors.New("port taken") }
func (failingProgram) State() Reply {
	return Reply{Name: "branch-1", Since: time.Now(), View: dispatch.View{Phase: "ready", Open: 3,
		Servers: []dispatch.ServerView{{ID: "s-1", State: "draining", Out: 2}},
		Totals:  dispatch.Totals{Taken: 9, Verdicts: map[string]int{"served": 5, "refused": 1}},
		Recent:  []dispatch.LogEntry{{ID: "old", What: "served"}, {ID: "new", What: "refused", Detail: "deadline"}}}}
}

func TestConsolePage(t *testing.T) {
	dir := Dir(t.TempDir())
	if _, err := dir.State(); !errors.Is(err, errNotRunning) {
		t.Errorf("got %v", err)
	}
	serveConsole(t, dir)
	r, err := dir.State()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	Show(&out, r, 1)
	for _, want := range []string{"branch-1  ready", "open 3", "requests 9: refused 1, served 5", "s-1", "draining", "deadline"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "old") {
		t.Error("the page has more outcomes than requested")
	}
}
