package main

import (
	"encoding/json"
	"slices"
	"time"
)

// agents: three dispatchers that agree on the list of replicas, an agent of discovery beside each.
// Lists are pushed. A writer begins to drain; the agents of two dispatchers hear of it 5 s after the
// agent of the third one.
func agents() bool {
	f := newFleet()
	reader := f.start("prompt-box-1", "prompt-box")
	writers := []*replica{f.start("answer-box-1", "answer-box"), f.start("answer-box-2", "answer-box")}
	own := map[string]*agent{}
	all := newDispatchers("", nil, func(d *dispatcher) {
		own[d.name] = startAgent(entry(reader, "in_service"), entry(writers[0], "in_service"), entry(writers[1], "in_service"))
		d.config["discovery"] = own[d.name].addr
		d.config["agree"].(object)["lists"] = object{}
		d.config["settings"].(object)["registry_mode"] = "pushed"
	})
	startAll(all)
	time.Sleep(3 * time.Second)
	text := mustCommand("list", "show", "--json", "--state", all["a"].dir)
	var view struct {
		View struct {
			Readers []string `json:"readers"`
		} `json:"view"`
	}
	must(json.Unmarshal([]byte(text), &view), "list show")
	third := ""
	for _, n := range []string{"a", "b", "c"} {
		if !slices.Contains(view.View.Readers, n) {
			third = n
		}
	}
	say("readers of the register: %v; the third one is %s", view.View.Readers, third)
	if third == "" {
		panic(cannotRun{"all read the register"})
	}
	stop := chatting(all[third].chat, 100*time.Millisecond)
	defer stop()
	time.Sleep(time.Second)
	after := []object{entry(reader, "in_service"), entry(writers[0], "in_service"), entry(writers[1], "terminating")}
	own[third].set(after...)
	told := time.Now()
	say("the agent of %s has it that answer-box-2 drains", third)
	if trouble() {
		time.Sleep(5 * time.Second)
	}
	for n, a := range own {
		if n != third {
			a.set(after...)
		}
	}
	say("the other agents have it")
	time.Sleep(3 * time.Second)
	late := f.workAt("answer-box-2", told.Add(time.Second+50*time.Millisecond))
	for _, w := range late {
		say("answer-box-2 got new work %s %.2f s after the agent of %s had it", w.id, w.at.Sub(told).Seconds(), third)
	}
	return len(late) > 0
}
