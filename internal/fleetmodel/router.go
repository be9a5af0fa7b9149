package fleetmodel

import (
	"fmt"
	"time"

	"standpulley/internal/recovery"
	"standpulley/logic"
)

const (
	networkDelay = time.Millisecond // one-way delay between a router and a replica
	dialTime     = 2 * time.Millisecond
	restartTime  = 4 * time.Second // from a router's drain until its successor receives requests
)

// router is one instance of the router tier and its current process.
type router struct {
	m           *Model
	index       int
	zone        int
	weight      float64 // relative share of clients that the load balancer sends to it
	unavailable bool
	process     *process
	starts      uint64
	servedAt    []time.Duration    // times of first tokens
	warmRates   recovery.WarmRates // measured before a power loss
}

// process executes the actions of a logic.Router. It finishes the requests that it accepted, even after
// its successor has started.
type process struct {
	router    *router
	logic     *logic.Router
	powerless bool            // its power has failed
	recovery  *routerRecovery // nil if admission is not limited
	requests  map[string]*request
	idle      map[*replica]*idleConns
}

// startProcess starts a process that knows the settings and the current list, but has learned nothing
// yet.
func (r *router) startProcess() error {
	r.starts++
	set := r.m.settings
	set.Zone = zoneName(r.zone)
	l, err := logic.New(set, uint64(r.index)*7919+r.starts*104729+1)
	if err != nil {
		return err
	}
	if r.process != nil {
		r.process.closeIdle()
	}
	r.process = &process{router: r, logic: l, requests: map[string]*request{}, idle: map[*replica]*idleConns{}}
	var list []logic.ServerEntry
	for _, s := range r.m.replicas {
		if s.up {
			list = append(list, s.listEntry())
		}
	}
	r.process.handle(&logic.Event{Kind: logic.ListComplete, Servers: list})
	return nil
}

// listEntry returns the replica's current entry in the list.
func (s *replica) listEntry() logic.ServerEntry {
	e := s.entry
	if !s.up {
		e.Availability = logic.Gone
	} else if s.draining {
		e.Availability = logic.Draining
	}
	return e
}

// announce sends a change of the list to all routers, with a delay of its own for each.
func (m *Model) announce(changed ...*replica) {
	for _, r := range m.routers {
		var list []logic.ServerEntry
		for _, s := range changed {
			list = append(list, s.listEntry())
		}
		m.after(seconds(m.day.ListLag.Seconds()*m.uniform(0.8, 1.2)), func() {
			r.process.handle(&logic.Event{Kind: logic.ListChanged, Servers: list})
		})
	}
}

// Restart drains a router. Its clients go to other routers until its successor, which has learned
// nothing yet, is ready.
func (m *Model) Restart(n int) {
	r := m.routers[n]
	r.unavailable = true
	m.after(restartTime, func() {
		if err := r.startProcess(); err == nil { // always nil, as the same settings were accepted before
			r.unavailable = false
		}
	})
}

// handle passes an event to the logic and executes the actions that it returns.
func (p *process) handle(ev *logic.Event) {
	if p.powerless {
		return
	}
	for _, a := range p.logic.Handle(p.router.m.now, ev, nil) {
		p.execute(a)
	}
}

// execute executes one action.
func (p *process) execute(a logic.Action) {
	m := p.router.m
	if a.Kind == logic.Wake {
		m.after(a.After, func() { p.handle(&logic.Event{Kind: logic.TimerFired, Tag: a.Tag}) })
		return
	}
	if a.Kind == logic.Probe {
		p.probe(m.byID[a.Server])
		return
	}
	q := p.requests[a.RequestID]
	if q == nil {
		return
	}
	switch a.Kind {
	case logic.Send:
		c := &attempt{process: p, request: q, index: q.attempts, replica: m.byID[a.Server], sentAt: m.now}
		q.attempts++
		m.report.row(q).Sends++
		q.outstanding = c
		m.after(a.Until-m.now, func() { c.abort(logic.TimedOut) })
		c.connect()
	case logic.Cancel:
		if q.outstanding != nil && q.outstanding.index == a.Attempt {
			c := q.outstanding
			m.report.Cancelled++
			m.after(0, func() { c.abort(logic.Cancelled) })
		}
	case logic.Refuse:
		p.closeRequest(q)
		m.refused(q, a.After)
	case logic.Fail:
		p.closeRequest(q)
		m.failed(q)
	}
}

// probe sends a probe to a replica over a new connection. The answer arrives after the network delay of
// both ways.
func (p *process) probe(s *replica) {
	m := p.router.m
	m.report.Probes++
	m.after(dialTime+networkDelay, func() {
		s.receiveProbe(&probe{done: func(out logic.Outcome) {
			m.after(networkDelay, func() { p.handle(&logic.Event{Kind: logic.Probed, Server: s.entry.ID, Outcome: out}) })
		}})
	})
}

// closeRequest ends a request. It stays known to the process while an attempt is outstanding.
func (p *process) closeRequest(q *request) {
	if q.outstanding == nil {
		delete(p.requests, q.id)
	}
	q.ended = true
}

// attempt is one attempt of a request at a replica.
type attempt struct {
	process    *process
	request    *request
	index      int
	replica    *replica
	sentAt     time.Duration
	tokensLeft float64 // tokens that the writer still has to generate
	started    bool
	ended      bool
	generation int // process of the replica to which its connection leads
	connected  bool
}

// stateHeld reports whether a running reader holds the request's prefill state.
func (q *request) stateHeld() bool { return q.stateAt != nil && q.stateAt.up }

// startStream sends the first token of the answer to the router.
func (c *attempt) startStream() {
	if c.ended || c.started {
		return
	}
	c.started = true
	m := c.process.router.m
	m.after(networkDelay, func() {
		if c.ended {
			return
		}
		if c.process.powerless {
			return
		}
		m.served(c.request)
		c.process.router.servedAt = append(c.process.router.servedAt, m.now)
		c.process.handle(&logic.Event{Kind: logic.StreamStarted, RequestID: c.request.id, Server: c.replica.entry.ID, Attempt: c.index,
			Took: m.now - c.sentAt})
	})
}

// abort ends an attempt from the router's side, unless its answer has started.
func (c *attempt) abort(as logic.Outcome) {
	if c.ended || c.started {
		return
	}
	c.replica.remove(c)
	c.finish(as, 0, false)
}

// reply ends an attempt from the replica's side. The router receives the outcome after the network
// delay.
func (c *attempt) reply(as logic.Outcome, cachedTokens int64, noState bool) {
	if !c.ended {
		c.process.router.m.after(networkDelay, func() { c.finish(as, cachedTokens, noState) })
	}
}

// finish ends an attempt and passes its outcome to the logic.
func (c *attempt) finish(as logic.Outcome, cachedTokens int64, noState bool) {
	if c.ended {
		return
	}
	c.ended = true
	c.disconnect(as)
	q, p := c.request, c.process
	if q.outstanding == c {
		q.outstanding = nil
	}
	if as == logic.ConnectionLost && c.started {
		p.router.m.report.BrokenStreams++
	}
	over := q.ended || as == logic.Delivered || c.started
	p.handle(&logic.Event{Kind: logic.Ended, RequestID: q.id, Server: c.replica.entry.ID, Attempt: c.index, Outcome: as,
		Took: p.router.m.now - c.sentAt, RequestEnded: over, Tokens: cachedTokens, NoState: noState})
	if over && q.outstanding == nil {
		delete(p.requests, q.id)
	}
}

// nextID returns a new request ID.
func (m *Model) nextID() string {
	m.requestCount++
	return fmt.Sprintf("q%d", m.requestCount)
}
