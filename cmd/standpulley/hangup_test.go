package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"standpulley/internal/standin"
)

// SIGHUP under requests that are open: at most once becomes harmless, deadlines and limits shrink, and a broken file follows. What may have
// run is not sent again, and what waits is answered in its own time.
func TestSIGHUPUnderOpenRequests(t *testing.T) {
	came, goOn := make(chan string, 8), make(chan bool)
	first := func(x *standin.Exchange) {
		came <- x.ID
		<-goOn
		if strings.HasSuffix(x.ID, "1") {
			x.Break() // it may have run
			return
		}
		x.Answer("late")
	}
	_, r := replicaOf(t, "reader", "reader", func(x *standin.Exchange) { x.Read(0) })
	one, w1 := replicaOf(t, "w1", "writer", first)
	two, w2 := replicaOf(t, "w2", "writer", first)
	agent, addr, path := agentOf(t, r, w1, w2), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := start(t, configure(t, path, addr, agent.Addr, settings, ""))
	wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	broken := ask(t, addr, 1)
	<-came
	waits := ask(t, addr, 2)
	<-came
	other := strings.NewReplacer(`"at_most_once"`, `"idempotent"`, `"deadline_us":6000000`, `"deadline_us":200000`,
		`"goal_time_us":1500000`, `"goal_time_us":100000`).Replace(settings)
	configure(t, path, addr, agent.Addr, other, "")
	signalTo(t, cmd, syscall.SIGHUP)
	wait(t, "the other settings", func() bool { return strings.Contains(out.String(), "other settings are in force") })
	if err := os.WriteFile(path, []byte(`{"name":"n0","settings":{"services":[]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	signalTo(t, cmd, syscall.SIGHUP)
	wait(t, "the word on the broken file", func() bool { return strings.Contains(out.String(), "the configuration in force stays") })
	close(goOn)
	if status, _, err := statusOf(t, broken); err != nil || status != 502 {
		t.Errorf("what may have run: %d %v", status, err)
	}
	if status, text, err := statusOf(t, waits); err != nil || status != 200 || !strings.Contains(text, "late") {
		t.Errorf("what waited: %d %q %v", status, text, err)
	}
	if n := len(one.Calls("POST")) + len(two.Calls("POST")); n != 2 {
		t.Errorf("%d sends to writers for two requests", n)
	}
}
