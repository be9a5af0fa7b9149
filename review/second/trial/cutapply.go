package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// appliance is one dispatcher that serves the file in force in a state folder.
type appliance struct {
	dir, chat string
	proc      *process
}

func known(entries ...object) object { return object{"version": 1, "full": true, "servers": entries} }

// applianceFile writes a file for an appliance whose replicas stand in the file.
func applianceFile(name, chat string, entries ...object) string {
	return writeJSON(filepath.Join(temp(), name+".json"), object{"name": "branch-1", "limits": limits(), "known": known(entries...),
		"chat": object{"listen": chat, "models": models(), "max_output": 500}, "settings": settings(1)})
}

// inode identifies the file in force: apply puts another one in its place.
func inode(path string) uint64 {
	var s syscall.Stat_t
	if syscall.Stat(path, &s) != nil {
		return 0
	}
	return s.Ino
}

// applyCutShort starts apply and kills it as soon as the file in force is the new one.
func applyCutShort(file, dir string) {
	active := filepath.Join(dir, "active.json")
	before := inode(active)
	cmd := exec.Command(program, "apply", file, "--state", dir)
	must(cmd.Start(), "apply")
	for end := time.Now().Add(5 * time.Second); inode(active) == before; {
		if time.Now().After(end) {
			break
		}
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	err := cmd.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		say("apply %s ended before it was killed: %v", filepath.Base(file), err)
		return
	}
	say("apply %s was killed: %v", filepath.Base(file), err)
}

// chatting sends an enquiry every so often until stop.
func chatting(addr string, every time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			go func() {
				try, done := context.WithTimeout(ctx, 6*time.Second)
				defer done()
				got := ask(try, addr, chatBody("assistant", "Answer members' questions.", fmt.Sprintf("has the salary landed %d?", i)), 0)
				if !got.whole && ctx.Err() == nil {
					say("client: %v", got)
				}
			}()
			time.Sleep(every)
		}
	}()
	return cancel
}

// cutApply: an appliance whose operator drains a writer by a new file. apply is killed right after it
// has put the new file in the place of the old one. The operator applies the file again, and hears
// that it is in force.
func cutApply() bool {
	f := newFleet()
	reader := f.start("prompt-box-1", "prompt-box")
	writers := []*replica{f.start("answer-box-1", "answer-box"), f.start("answer-box-2", "answer-box")}
	a := appliance{dir: filepath.Join(temp(), "state"), chat: freeAddr()}
	before := applianceFile("before", a.chat, entry(reader, "in_service"), entry(writers[0], "in_service"), entry(writers[1], "in_service"))
	drain := applianceFile("drain", a.chat, entry(reader, "in_service"), entry(writers[0], "in_service"), entry(writers[1], "terminating"))
	mustCommand("apply", before, "--state", a.dir)
	a.proc = begin("run", nil, "run", "--state", a.dir)
	awaitReady(a.chat, 10*time.Second)
	stop := chatting(a.chat, 100*time.Millisecond)
	defer stop()
	time.Sleep(time.Second)
	for round := 1; round <= 12; round++ {
		if trouble() {
			applyCutShort(drain, a.dir)
		}
		text := mustCommand("apply", drain, "--state", a.dir)
		drained := time.Now()
		say("round %d: the operator knows that answer-box-2 is drained", round)
		time.Sleep(3 * time.Second)
		late := f.workAt("answer-box-2", drained.Add(time.Second+50*time.Millisecond))
		for _, w := range late {
			say("answer-box-2 got new work %s %.2f s after the drain", w.id, w.at.Sub(drained).Seconds())
		}
		if len(late) > 0 {
			mustPlan(drain, a.dir)
			mustCommand("console", "--once", "--state", a.dir)
			return true
		}
		if !trouble() {
			return false
		}
		if strings.HasPrefix(text, "No changes") {
			say("the running program took the file before apply was killed")
		}
		mustCommand("apply", before, "--state", a.dir)
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func mustPlan(file, dir string) {
	if code, _ := command("plan", file, "--state", dir); code != 0 && code != 2 {
		panic(cannotRun{"plan failed"})
	}
}

var _ = os.Getenv
