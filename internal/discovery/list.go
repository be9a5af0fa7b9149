// Package discovery keeps the dispatcher's list of replicas current: it watches the discovery agent
// and decodes its lists.
package discovery

import (
	"errors"
	"fmt"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/dispatch"
	"standpulley/internal/membership"
	"standpulley/logic"
)

var states = map[string]logic.Availability{membership.InService: logic.Ready, membership.Terminating: logic.Draining, membership.Terminated: logic.Gone}

// List is the full list of replicas, or the entries that changed since an earlier version.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is one replica as discovery describes it.
type Entry = membership.Entry

// Decode decodes and checks a list. The error names the invalid entry.
func Decode(body []byte) (List, error) {
	var l List
	if err := jsoniter.Unmarshal(body, &l); err != nil {
		return l, fmt.Errorf("list of replicas: %w", err)
	}
	return l, l.Check()
}

// Check returns an error that names the first invalid entry: a duplicate id, an unknown state, or a
// missing id or address.
func (l List) Check() error {
	seen := make(map[string]bool, len(l.Servers))
	for i, e := range l.Servers {
		if seen[e.ID] {
			return fmt.Errorf("servers[%d].id: %q is listed twice", i, e.ID)
		}
		seen[e.ID] = true
		if _, ok := states[e.State]; !ok {
			return fmt.Errorf("servers[%d].state: %q is not known", i, e.State)
		}
		if e.ID == "" || e.Addr == "" && e.State != "terminated" {
			return fmt.Errorf("servers[%d]: an entry needs id and addr", i)
		}
	}
	return nil
}

// CheckKinds returns an error that names the first entry whose kind is not in the settings, as its
// role would be unknown. It also rejects a full list without replicas: the previous list serves
// better.
func (l List) CheckKinds(kinds []logic.Kind) error {
	if l.Full && len(l.Servers) == 0 {
		return errors.New("servers: the whole list names no replica")
	}
	for i, e := range l.Servers {
		known := func(k logic.Kind) bool { return k.Name == e.Kind }
		if e.State != "terminated" && !slices.ContainsFunc(kinds, known) {
			return fmt.Errorf("servers[%d].kind: %q is not among the settings' host_types", i, e.Kind)
		}
	}
	return nil
}

// Update converts a checked list into an update for the core.
func (l List) Update() dispatch.Update {
	u := dispatch.Update{Version: l.Version, Full: l.Full, Servers: make([]dispatch.Server, len(l.Servers))}
	for i, e := range l.Servers {
		u.Servers[i] = dispatch.Server{Addr: e.Addr, ServerEntry: logic.ServerEntry{
			ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Availability: states[e.State], Weight: e.Weight,
		}}
		if e.StartedMS > 0 {
			u.Servers[i].LastBoot = time.UnixMilli(e.StartedMS)
		}
	}
	return u
}
