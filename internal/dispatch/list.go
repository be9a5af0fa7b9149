package dispatch

import (
	"log"
	"sync/atomic"

	"standpulley/logic"
)

// applyList applies a change of the list of replicas, or a complete list.
func (d *Dispatcher) applyList(u Update) {
	ev, before := logic.Event{Kind: logic.ListChanged, Servers: make([]logic.ServerEntry, 0, len(u.Servers))}, d.servers
	d.releaseRanking = nil
	if u.Full {
		ev.Kind = logic.ListComplete
		d.servers = make(map[string]*Server, len(u.Servers))
	}
	changed := 0
	for _, s := range u.Servers {
		s.Started = d.starts.started(s.ID, s.LastBoot, d.now())
		ev.Servers = append(ev.Servers, s.ServerEntry)
		previous := before[s.ID]
		if previous == nil || previous.ServerEntry != s.ServerEntry || previous.Addr != s.Addr {
			changed++
			logChange(s, changed)
		}
		d.applyEntry(s, previous)
	}
	if u.Full {
		for id, previous := range before {
			if d.servers[id] == nil {
				previous.withdrawn.Store(true)
			}
		}
	}
	log.Printf("list: version %d, full %v: %d replicas listed, %d of them new or changed; %d replicas known", u.Version, u.Full, len(u.Servers), changed,
		len(d.servers))
	d.Phases.setCanServe(d.canServe())
	d.route(ev)
}

// applyEntry puts an entry in force in place of the previous one, which may be nil.
func (d *Dispatcher) applyEntry(s Server, previous *Server) {
	if previous != nil && previous.Availability == logic.Ready && s.Availability == logic.Ready && previous.Addr == s.Addr {
		s.withdrawn = previous.withdrawn
	} else {
		s.withdrawn = new(atomic.Bool)
		if previous != nil {
			previous.withdrawn.Store(true)
		}
	}
	if s.Availability == logic.Gone {
		delete(d.servers, s.ID)
	} else {
		d.servers[s.ID] = &s
	}
}

// maxLoggedChanges is how many changes of one list are logged: more would push other lines out of
// the log's buffer.
const maxLoggedChanges = 200

// logChange logs the nth replica that a list changes.
func logChange(s Server, n int) {
	switch {
	case n <= maxLoggedChanges:
		log.Printf("list: %s %s %s zone %s cell %d is %v", s.ID, s.Kind, s.Addr, s.Zone, s.Cell, s.Availability)
	case n == maxLoggedChanges+1:
		log.Print("list: further changes of this list are not logged")
	}
}

// canServe reports whether the replicas in service can serve a request between them: one that does
// both stages, or a reader and a writer.
func (d *Dispatcher) canServe() bool {
	var reads, writes bool
	for _, s := range d.servers {
		if s.Availability != logic.Ready {
			continue
		}
		role := d.roleOf(s)
		reads = reads || role != logic.Writer || d.settings.ReadInPlace
		writes = writes || role != logic.Reader
		if reads && writes {
			return true
		}
	}
	return false
}

// roleOf returns the role of a server by its kind.
func (d *Dispatcher) roleOf(s *Server) (role logic.Role) {
	for _, k := range d.settings.Kinds {
		if k.Name == s.Kind {
			role = k.Role
		}
	}
	return role
}
