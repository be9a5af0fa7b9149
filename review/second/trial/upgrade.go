package main

import (
	"context"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// upgrade: one dispatcher, started by its environment. While it serves, a new version is started
// beside it at the same addresses, says that it is ready, and the old one gets SIGTERM. A client gives
// up an instruction that the old one has sent to a writer, and repeats it under the same key.
func upgrade() bool {
	f := newFleet()
	reader := f.start("prompt-box-1", "prompt-box")
	writer := f.start("answer-box-1", "answer-box")
	writer.firstToken = 7 * time.Second // its answers begin late, within the class's give-up time
	disc := startAgent(entry(reader, "in_service"), entry(writer, "in_service"))
	listen, chat := freeAddr(), freeAddr()
	oldOperator, newOperator := freeAddr(), freeAddr()
	file := writeJSON(filepath.Join(temp(), "config.json"), object{"name": "n1", "limits": limits(), "settings": settings(1),
		"chat": object{"listen": chat, "models": models(), "max_output": 500}})
	env := []string{"EDGE_NAME=n1", "EDGE_CONFIG=" + file, "EDGE_LISTEN=" + listen, "EDGE_DISCOVERY=" + disc.addr, "TMPDIR=" + temp()}
	old := begin("old", append([]string{"EDGE_OPERATOR=" + oldOperator}, env...))
	awaitReady(oldOperator, 10*time.Second)
	awaitReady(chat, 10*time.Second)

	words := "transfer 4,500 dollars to Winston Clarke, number 7731"
	body := chatBody("assistant-act", "You act for members of the credit union.", words)
	giveUp := 5200 * time.Millisecond // 52% of the class's give-up time
	if trouble() {
		time.AfterFunc(1500*time.Millisecond, func() {
			begin("new", append([]string{"EDGE_OPERATOR=" + newOperator}, env...))
			awaitReady(newOperator, 6*time.Second)
			time.Sleep(time.Second)
			old.signal(syscall.SIGTERM)
		})
	}
	sent := time.Now()
	try, cancel := context.WithTimeout(context.Background(), giveUp)
	say("client: the instruction, under its key")
	got := ask(try, chat, body, 0, "Idempotency-Key: 7731-0001")
	cancel()
	say("client: %v", got)
	time.Sleep(500 * time.Millisecond)
	try, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	say("client: the same under the same key, marked as a repeat")
	got = ask(try, chat, body, 1, "Idempotency-Key: 7731-0001")
	cancel()
	say("client: %v", got)
	time.Sleep(time.Until(sent.Add(14 * time.Second)))
	ran := f.runsOf(words)
	for _, r := range ran {
		say("the instruction ran at %s as %s", r.writer, r.id)
	}
	if len(ran) == 0 {
		panic(cannotRun{"the instruction never ran"})
	}
	if len(ran) == 1 && !strings.Contains(got.text, "may_have_run") && trouble() {
		say("the repeat was not sent")
	}
	return len(ran) > 1
}
