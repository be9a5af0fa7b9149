package main

import (
	"context"
	"path/filepath"
	"syscall"
	"time"
)

// restart: an appliance is restarted: SIGTERM to the old program, and a new one is started. The old
// one finishes an answer that takes 9 s. Then the operator drains a writer by a new file, and apply
// says that it is done.
func restart() bool {
	f := newFleet()
	reader := f.start("prompt-box-1", "prompt-box")
	writers := []*replica{f.start("answer-box-1", "answer-box"), f.start("answer-box-2", "answer-box")}
	a := appliance{dir: filepath.Join(temp(), "state"), chat: freeAddr()}
	before := applianceFile("before", a.chat, entry(reader, "in_service"), entry(writers[0], "in_service"), entry(writers[1], "in_service"))
	drain := applianceFile("drain", a.chat, entry(reader, "in_service"), entry(writers[0], "in_service"), entry(writers[1], "terminating"))
	mustCommand("apply", before, "--state", a.dir)
	a.proc = begin("old", nil, "run", "--state", a.dir)
	awaitReady(a.chat, 10*time.Second)
	if trouble() {
		for _, w := range writers {
			w.setAnswer(120, 75*time.Millisecond)
		}
		long := make(chan answer, 1)
		go func() {
			long <- ask(context.Background(), a.chat, chatBody("assistant", "Answer members' questions.", "what are the rates?"), 0)
		}()
		time.Sleep(time.Second)
		for _, w := range writers {
			w.setAnswer(12, 20*time.Millisecond)
		}
		a.proc.signal(syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		a.proc = begin("new", nil, "run", "--state", a.dir)
		say("the long answer: %v", <-long)
		time.Sleep(500 * time.Millisecond)
		awaitReady(a.chat, 15*time.Second)
		say("the new program serves, %.1f s after its start at the latest", time.Since(began).Seconds())
	}
	stop := chatting(a.chat, 100*time.Millisecond)
	defer stop()
	time.Sleep(2 * time.Second)
	mustCommand("apply", drain, "--state", a.dir)
	drained := time.Now()
	say("the operator knows that answer-box-2 is drained")
	time.Sleep(4 * time.Second)
	late := f.workAt("answer-box-2", drained.Add(time.Second+50*time.Millisecond))
	for _, w := range late {
		say("answer-box-2 got new work %s %.2f s after the drain", w.id, w.at.Sub(drained).Seconds())
	}
	mustPlan(drain, a.dir)
	command("console", "--once", "--state", a.dir)
	return len(late) > 0
}
