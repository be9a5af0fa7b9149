package main

import (
	"context"
	"fmt"
	"time"
)

// cutDrain: three dispatchers that agree on the list of replicas. The link between c and the others is
// cut for 6 s; meanwhile an operator drains a writer by hand, and the command says that it is done.
func cutDrain() bool {
	f := newFleet()
	readers := []*replica{f.start("prompt-box-1", "prompt-box"), f.start("prompt-box-2", "prompt-box")}
	writers := []*replica{f.start("answer-box-1", "answer-box"), f.start("answer-box-2", "answer-box")}
	disc := startAgent(entry(readers[0], "in_service"), entry(readers[1], "in_service"), entry(writers[0], "in_service"), entry(writers[1], "in_service"))
	var links []*link
	all := newDispatchers(disc.addr, func(from string, to *dispatcher) string {
		if from != "c" && to.name != "c" {
			return to.peer
		}
		l := newLink(from+" to "+to.name, to.peer)
		links = append(links, l)
		return l.addr
	}, func(d *dispatcher) { d.config["agree"].(object)["lists"] = object{} })
	startAll(all)
	time.Sleep(time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			go func() {
				try, cancel := context.WithTimeout(ctx, 6*time.Second)
				defer cancel()
				got := ask(try, all["c"].chat, chatBody("assistant", "Answer members' questions.", fmt.Sprintf("has the salary landed %d?", i)), 0)
				if !got.whole && ctx.Err() == nil {
					say("client of c: %v", got)
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	cutAt := time.Now()
	if trouble() {
		for _, l := range links {
			l.setCut(true)
		}
	}
	time.Sleep(500 * time.Millisecond)
	mustCommand("list", "drain", "answer-box-1", "--for", "5m", "--why", "to be switched off", "--state", all["a"].dir)
	drained := time.Now()
	say("answer-box-1 is drained, as the operator was told")
	time.Sleep(time.Until(cutAt.Add(6 * time.Second)))
	for _, l := range links {
		l.setCut(false)
	}
	time.Sleep(2 * time.Second)
	stop()
	late := f.workAt("answer-box-1", drained.Add(time.Second+50*time.Millisecond))
	for _, w := range late {
		say("answer-box-1 got new work %s %.2f s after the drain", w.id, w.at.Sub(drained).Seconds())
	}
	return len(late) > 0
}
