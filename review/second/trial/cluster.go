package main

import (
	"path/filepath"
	"time"
)

// dispatcher is one of several dispatchers that agree on their settings.
type dispatcher struct {
	name, dir, chat, peer, file string
	config                      object
	proc                        *process
}

// newDispatchers writes the files of three dispatchers and puts them in force. voters gives the
// addresses at which a dispatcher reaches the voters; change may add to each file.
func newDispatchers(discovery string, voters func(from string, to *dispatcher) string, change func(d *dispatcher)) map[string]*dispatcher {
	all := map[string]*dispatcher{}
	names := []string{"a", "b", "c"}
	for _, n := range names {
		all[n] = &dispatcher{name: n, dir: filepath.Join(temp(), n), chat: freeAddr(), peer: freeAddr()}
	}
	for _, n := range names {
		d := all[n]
		reach := object{}
		for _, o := range names {
			reach[o] = all[o].peer
			if o != n && voters != nil {
				reach[o] = voters(n, all[o])
			}
		}
		d.config = object{"name": n, "discovery": discovery, "limits": limits(), "settings": settings(3),
			"peers": object{"listen": d.peer}, "chat": object{"listen": d.chat, "models": models(), "max_output": 500},
			"agree": object{"cluster": "kingston", "voters": reach, "within": "2s", "alone": "safe"}}
		if change != nil {
			change(d)
		}
		d.file = writeJSON(filepath.Join(temp(), n+".json"), d.config)
		mustCommand("apply", d.file, "--state", d.dir)
	}
	mustCommand("settings", "init", "--state", all["a"].dir)
	return all
}

func startAll(all map[string]*dispatcher) {
	for _, n := range []string{"a", "b", "c"} {
		d := all[n]
		d.proc = begin(n, nil, "run", "--state", d.dir)
	}
	for _, n := range []string{"a", "b", "c"} {
		awaitReady(all[n].chat, 20*time.Second)
	}
}
