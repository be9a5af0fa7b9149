package dispatch

import (
	"log"
	"sync/atomic"

	"standpulley/logic"
)

// takeList puts a list in force.
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
	log.Printf("list: version %d, whole %v, names %d replicas, %d of them new or changed; %d are known", u.Version, u.Full, len(u.Servers), changed,
		len(d.servers))
	d.Phases.setCanServe(d.canServe())
	d.route(ev)
}

// list puts an entry in force in the place of the one before, which may be nil.
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

// logChangesMost is how many changes of one list have a line of the log: more would push other lines out of its buffer.
const maxLoggedChanges = 200

// logChange logs a replica that a list changes, the nth of it.
func logChange(s Server, n int) {
	switch {
	case n <= maxLoggedChanges:
		log.Printf("list: %s %s %s zone %s cell %d is %v", s.ID, s.Kind, s.Addr, s.Zone, s.Cell, s.Availability)
	case n == maxLoggedChanges+1:
		log.Print("list: further changes of this list have no line")
	}
}

// able tells whether the replicas in service could serve a request between them: one that does it whole, or a reader and a writer.
func (d *Dispatcher) canServe() bool {
	var reads, writes bool
	for _, s := range d.servers {
		if s.Availability != logic.Ready {
			continue
		}
		role := d.roleOf(s)
		reads = reads || role != logic.Writer || d.set.ReadInPlace
		writes = writes || role != logic.Reader
		if reads && writes {
			return true
		}
	}
	return false
}

// roleOf finds a server's role by its kind.
func (d *Dispatcher) roleOf(s *Server) (role logic.Role) {
	for _, k := range d.set.Kinds {
		if k.Name == s.Kind {
			role = k.Role
		}
	}
	return role
}
