package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"time"
)

// rejected: three dispatchers that agree on their settings. At a, a writer is drained by the file in
// force. A file that takes it back, and names an address for operators that another program has, is
// turned down, and the operator hears that the file before stays in force. Later somebody changes a
// setting at b.
func rejected() bool {
	f := newFleet()
	reader := f.start("prompt-box-1", "prompt-box")
	writers := []*replica{f.start("answer-box-1", "answer-box"), f.start("answer-box-2", "answer-box")}
	all := newDispatchers("", nil, func(d *dispatcher) {
		delete(d.config, "discovery")
		d.config["known"] = known(entry(reader, "in_service"), entry(writers[0], "in_service"), entry(writers[1], "terminating"))
	})
	startAll(all)
	a, b := all["a"], all["b"]
	stop := chatting(a.chat, 100*time.Millisecond)
	defer stop()
	time.Sleep(time.Second)
	if trouble() {
		other, err := net.Listen("tcp", "127.0.0.1:0") // another program
		must(err, "an address")
		next := object{}
		for k, v := range a.config {
			next[k] = v
		}
		next["known"] = known(entry(reader, "in_service"), entry(writers[0], "in_service"), entry(writers[1], "in_service"))
		next["operator"] = other.Addr().String()
		code, text := command("apply", writeJSON(filepath.Join(temp(), "a-next.json"), next), "--state", a.dir)
		if code == 0 || !strings.Contains(text, "previous configuration stays in force") {
			panic(cannotRun{"the file was not turned down"})
		}
		other.Close()
	}
	time.Sleep(2 * time.Second)
	if n := len(f.workAt("answer-box-2", time.Time{})); n > 0 {
		say("answer-box-2 got work already")
	}
	mustCommand("plan", a.file, "--state", a.dir)
	changed := object{}
	for k, v := range b.config {
		changed[k] = v
	}
	set := settings(3)
	set["limits"].(object)["try_limit"] = 5
	changed["settings"] = set
	mustCommand("settings", "propose", writeJSON(filepath.Join(temp(), "b-next.json"), changed), "--from", "1", "--why", "fewer repeats", "--state", b.dir)
	proposed := time.Now()
	mustCommand("plan", a.file, "--state", a.dir)
	time.Sleep(4 * time.Second)
	late := f.workAt("answer-box-2", proposed)
	for _, w := range late {
		say("answer-box-2, which is drained, got new work %s %.2f s after the change of a setting", w.id, w.at.Sub(proposed).Seconds())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	say("a client at the address of the file in force: %v", ask(ctx, a.chat, chatBody("assistant", "", "are you there?"), 0))
	mustCommand("settings", "status", "--state", a.dir)
	return len(late) > 0
}

var _ = fmt.Sprint
