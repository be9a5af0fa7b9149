package main

import (
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"standpulley/internal/fake"
)

// TestSIGHUPUnderOpenRequests sends SIGHUP while requests are open: an at_most_once class becomes
// idempotent, deadlines and limits shrink, and a broken file follows. A request that may have run
// must not be sent again, and a waiting request must be answered under its old deadline.
func TestSIGHUPUnderOpenRequests(t *testing.T) {
	arrived, finish := make(chan string, 8), make(chan bool)
	breakOrAnswer := func(x *fake.Exchange) {
		arrived <- x.ID
		<-finish
		if strings.HasSuffix(x.ID, "1") {
			x.Break() // the request may have run
			return
		}
		x.Answer("late")
	}
	_, r := startReplica(t, "reader", "reader", func(x *fake.Exchange) { x.Read(0) })
	one, w1 := startReplica(t, "w1", "writer", breakOrAnswer)
	two, w2 := startReplica(t, "w2", "writer", breakOrAnswer)
	agent, addr, path := startAgent(t, r, w1, w2), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	cmd, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, settings, ""))
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	broken := sendRequest(t, addr, 1)
	<-arrived
	waiting := sendRequest(t, addr, 2)
	<-arrived
	changed := strings.NewReplacer(`"at_most_once"`, `"idempotent"`, `"deadline_us":6000000`, `"deadline_us":200000`,
		`"goal_time_us":1500000`, `"goal_time_us":100000`).Replace(settings)
	writeConfig(t, path, addr, agent.Addr, changed, "")
	sendSignal(t, cmd, syscall.SIGHUP)
	waitFor(t, "the new settings", func() bool { return strings.Contains(out.String(), "new settings are in force") })
	if err := os.WriteFile(path, []byte(`{"name":"n0","settings":{"services":[]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, cmd, syscall.SIGHUP)
	waitFor(t, "the rejection of the broken file", func() bool { return strings.Contains(out.String(), "keeping the configuration in force") })
	close(finish)
	if status, _, err := readResponse(t, broken); err != nil || status != 502 {
		t.Errorf("request that may have run: %d %v", status, err)
	}
	if status, text, err := readResponse(t, waiting); err != nil || status != 200 || !strings.Contains(text, "late") {
		t.Errorf("waiting request: %d %q %v", status, text, err)
	}
	if n := len(one.Calls("POST")) + len(two.Calls("POST")); n != 2 {
		t.Errorf("%d sends to writers for two requests", n)
	}
}

// TestSIGHUPWithoutKeyScopeIsRejected guards against a broken file that is taken because a class
// lacks its key_scope: the scope then was all servers, and repeats ran again in another zone.
func TestSIGHUPWithoutKeyScopeIsRejected(t *testing.T) {
	var wasReset atomic.Bool
	resetFirst := func(x *fake.Exchange) {
		if wasReset.CompareAndSwap(false, true) {
			x.Break() // the request may have run
			return
		}
		x.Answer("done")
	}
	_, reader := startReplica(t, "reader", "reader", func(x *fake.Exchange) { x.Read(0) })
	near, nearEntry := startReplica(t, "near", "writer", resetFirst)
	far, farEntry := startReplica(t, "far", "writer", resetFirst)
	farEntry.Zone = "elsewhere"
	agent, addr, path := startAgent(t, reader, nearEntry, farEntry), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	byZone := strings.Replace(settings, `"at_most_once"`, `"deduplicated","key_scope":"zone","window_us":5000000`, 1)
	cmd, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, byZone, ""))
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	writeConfig(t, path, addr, agent.Addr, strings.Replace(byZone, `"key_scope":"zone",`, "", 1), "")
	sendSignal(t, cmd, syscall.SIGHUP)
	waitFor(t, "an answer to SIGHUP", func() bool {
		return strings.Contains(out.String(), "keeping the configuration in force") || strings.Contains(out.String(), "new settings are in force")
	})
	if !strings.Contains(out.String(), "key settings.services.1.key_scope") {
		t.Errorf("the broken file was taken, or the key is not named:\n%s", out)
	}
	if status, text, err := readResponse(t, sendRequest(t, addr, 1)); err != nil || status != 200 || !strings.Contains(text, "done") {
		t.Errorf("after one reset: %d %q %v", status, text, err)
	}
	if n, m := len(near.Calls("POST")), len(far.Calls("POST")); n != 0 && m != 0 || n+m != 2 {
		t.Errorf("%d sends to one zone and %d to the other, want both sends in the same", n, m)
	}
}

// TestSIGHUPChangesHowListsCome guards against a watch that goes on as before when a file makes
// discovery push its lists: a silent agent was then noticed as late as a service that is asked.
func TestSIGHUPChangesHowListsCome(t *testing.T) {
	_, reader := startReplica(t, "reader", "reader", func(x *fake.Exchange) { x.Read(0) })
	agent, addr, path := startAgent(t, reader), freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	withMode := func(mode string) string {
		return strings.Replace(settings, `"siblings":1,`, `"siblings":1,"registry_mode":"`+mode+`",`, 1)
	}
	cmd, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, withMode("on_request"), ""))
	watches := func(wait string) func() bool {
		return func() bool {
			queries := agent.Queries()
			return len(queries) > 0 && strings.HasSuffix(queries[len(queries)-1], "&wait="+wait)
		}
	}
	waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
	waitFor(t, "a watch of a service that is asked", watches("2000"))
	writeConfig(t, path, addr, agent.Addr, withMode("pushed"), "")
	sendSignal(t, cmd, syscall.SIGHUP)
	waitFor(t, "a watch of an agent", watches("1000"))
}
