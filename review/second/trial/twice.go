package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

var allCases = map[string]func() bool{
	"twice":    twice,
	"cutdrain": cutDrain,
	"cutapply": cutApply,
	"rejected": rejected,
	"upgrade":  upgrade,
	"restart":  restart,
	"agents":   agents,
}

// twice: three dispatchers with a ledger. A member's client sends an instruction to a, whose reader is
// slow. The client's network is cut for 6 s, so that a does not hear that the client gives up. The
// client's library repeats the instruction at b and marks it as a repeat.
func twice() bool {
	f := newFleet()
	readers := []*replica{f.start("prompt-box-1", "prompt-box"), f.start("prompt-box-2", "prompt-box")}
	writers := []*replica{f.start("answer-box-1", "answer-box"), f.start("answer-box-2", "answer-box")}
	disc := startAgent(entry(readers[0], "in_service"), entry(readers[1], "in_service"), entry(writers[0], "in_service"), entry(writers[1], "in_service"))
	all := newDispatchers(disc.addr, nil, func(d *dispatcher) { d.config["ledger"] = object{"survive": "site", "keep": "24h"} })
	startAll(all)
	toA := newLink("client to a", all["a"].chat)

	// The first turn of the member's conversation: its reader is the conversation's home.
	opening := strings.Repeat("You act for members of the credit union. ", 1000)
	first := ask(context.Background(), all["a"].chat, chatBody("assistant-act", opening, "remind me of the light bill"), 0)
	say("the first turn: %v", first)
	if !first.whole {
		panic(cannotRun{"the first turn was not served"})
	}
	home := readers[0]
	if len(f.workAt(readers[1].id, time.Time{})) > 0 {
		home = readers[1]
	}
	home.setSlow(9)
	// Other members' enquiries at b, which finds that reader slow.
	enquiries, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for i := 0; enquiries.Err() == nil; i++ {
			go func() {
				ctx, cancel := context.WithTimeout(enquiries, 6*time.Second)
				defer cancel()
				ask(ctx, all["b"].chat, chatBody("assistant", fmt.Sprintf("Enquiries %d. ", i%7)+strings.Repeat("Answer members' questions. ", 370), fmt.Sprintf("has the salary landed %d?", i)), 0)
			}()
			select {
			case <-time.After(400 * time.Millisecond):
			case <-enquiries.Done():
			}
		}
	}()
	time.Sleep(6 * time.Second)

	words := "transfer 4,500 dollars to Winston Clarke, number 7731"
	body := chatBody("assistant-act", opening, "remind me of the light bill", "Done.", words)
	tokens := float64(len(body) / 4)
	giveUp := time.Duration((10 + 2*0.04*tokens/1000) / 2 * float64(time.Second)) // half of the class's give-up time
	say("the instruction has some %.0f tokens; its client gives up a try after %v", tokens, giveUp)
	if trouble() {
		time.AfterFunc(3*time.Second, func() { toA.setCut(true) })
		time.AfterFunc(9*time.Second, func() { toA.setCut(false) })
	}
	try, cancel := context.WithTimeout(context.Background(), giveUp)
	say("client: the instruction to a")
	got := ask(try, toA.addr, body, 0)
	cancel()
	say("client, at a: %v", got)
	if !got.whole {
		time.Sleep(100 * time.Millisecond)
		try, cancel = context.WithTimeout(context.Background(), giveUp)
		say("client: the same to b, marked as a repeat")
		got = ask(try, all["b"].chat, body, 1)
		cancel()
		say("client, at b: %v", got)
	}
	time.Sleep(5500 * time.Millisecond)
	stop()
	ran := f.runsOf(words)
	for _, r := range ran {
		say("the instruction ran at %s as %s", r.writer, r.id)
	}
	code, _ := command("ledger", "unknown", "--state", all["b"].dir)
	_ = code
	if len(ran) == 0 {
		panic(cannotRun{"the instruction never ran"})
	}
	return len(ran) > 1
}
