package fleetmodel

import (
	"fmt"
	"time"

	"standpulley/internal/recovery"
	"standpulley/logic"
)

const (
	networkDelay = time.Millisecond // one way between a router and a replica
	dialTime     = 2 * time.Millisecond
	restartTime  = 4 * time.Second // from a router's drain until the front has its successor
)

// router is one place in the tier and the process that runs there now.
type router struct {
	m           *Model
	index       int
	zone        int
	weight      float64 // of the clients that the front sends it
	unavailable bool
	process     *process
	starts      uint64
	servedAt    []time.Duration    // when it served
	warmRates   recovery.WarmRates // what replicas bear
}

// process carries out what a Router of package logic says. What it took it finishes, also when another has begun.
type process struct {
	r         *router
	router    *logic.Router
	powerless bool            // it lost its power
	recovery  *routerRecovery // nil where all is as usual
	requests  map[string]*request
	idle      map[*replica]*idleConns
}

// boot starts a process that knows the settings and the list as it is now, and nothing else.
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
	r.process = &process{r: r, router: l, requests: map[string]*request{}, idle: map[*replica]*idleConns{}}
	var list []logic.ServerEntry
	for _, s := range r.m.replicas {
		if s.up {
			list = append(list, s.listEntry())
		}
	}
	r.process.handle(&logic.Event{Kind: logic.ListComplete, Servers: list})
	return nil
}

func (s *replica) listEntry() logic.ServerEntry {
	e := s.entry
	if !s.up {
		e.Availability = logic.Gone
	} else if s.draining {
		e.Availability = logic.Draining
	}
	return e
}

// tell lets all routers hear of a change of the list, each in its time.
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

// Restart drains a router: its clients go to others until its successor, which knows nothing, is there.
func (m *Model) Restart(n int) {
	r := m.routers[n]
	r.unavailable = true
	m.after(restartTime, func() {
		if err := r.startProcess(); err == nil { // the settings were good before
			r.unavailable = false
		}
	})
}

func (p *process) handle(ev *logic.Event) {
	if p.powerless {
		return
	}
	for _, a := range p.router.Handle(p.r.m.now, ev, nil) {
		p.execute(a)
	}
}

func (p *process) execute(a logic.Action) {
	m := p.r.m
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
		c := &attempt{p: p, q: q, n: q.attempts, replica: m.byID[a.Server], sentAt: m.now}
		q.attempts++
		m.report.row(q).Sends++
		q.outstanding = c
		m.after(a.Until-m.now, func() { c.abort(logic.TimedOut) })
		c.connect()
	case logic.Cancel:
		if q.outstanding != nil && q.outstanding.n == a.Attempt {
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

// probe asks a replica over a new connection, and hears of it two hops later.
func (p *process) probe(s *replica) {
	m := p.r.m
	m.report.Probes++
	m.after(dialTime+networkDelay, func() {
		s.receiveProbe(&probe{done: func(out logic.Outcome) {
			m.after(networkDelay, func() { p.handle(&logic.Event{Kind: logic.Probed, Server: s.entry.ID, Outcome: out}) })
		}})
	})
}

func (p *process) closeRequest(q *request) {
	if q.outstanding == nil {
		delete(p.requests, q.id)
	}
	q.ended = true
}

// call is one attempt.
type attempt struct {
	p          *process
	q          *request
	n          int
	replica    *replica
	sentAt     time.Duration
	tokensLeft float64 // tokens still to be written
	started    bool
	ended      bool
	generation int // the process of the replica that it has a connection to, and whether it has
	connected  bool
}

// held tells whether a request's read state waits somewhere to be fetched.
func (q *request) stateHeld() bool { return q.stateAt != nil && q.stateAt.up }

// begin is the first token.
func (c *attempt) startStream() {
	if c.ended || c.started {
		return
	}
	c.started = true
	m := c.p.r.m
	m.after(networkDelay, func() {
		if c.ended {
			return
		}
		if c.p.powerless {
			return
		}
		m.served(c.q)
		c.p.r.servedAt = append(c.p.r.servedAt, m.now)
		c.p.handle(&logic.Event{Kind: logic.StreamStarted, RequestID: c.q.id, Server: c.replica.entry.ID, Attempt: c.n,
			Took: m.now - c.sentAt})
	})
}

// giveUp ends an attempt from the router's side, unless its answer runs.
func (c *attempt) abort(as logic.Outcome) {
	if c.ended || c.started {
		return
	}
	c.replica.remove(c)
	c.finish(as, 0, false)
}

// end is the replica's word on an attempt. It is heard a moment later.
func (c *attempt) reply(as logic.Outcome, found int64, noState bool) {
	if !c.ended {
		c.p.r.m.after(networkDelay, func() { c.finish(as, found, noState) })
	}
}

func (c *attempt) finish(as logic.Outcome, found int64, noState bool) {
	if c.ended {
		return
	}
	c.ended = true
	c.disconnect(as)
	q, p := c.q, c.p
	if q.outstanding == c {
		q.outstanding = nil
	}
	if as == logic.ConnectionLost && c.started {
		p.r.m.report.BrokenStreams++
	}
	over := q.ended || as == logic.Delivered || c.started
	p.handle(&logic.Event{Kind: logic.Ended, RequestID: q.id, Server: c.replica.entry.ID, Attempt: c.n, Outcome: as,
		Took: p.r.m.now - c.sentAt, RequestEnded: over, Tokens: found, NoState: noState})
	if over && q.outstanding == nil {
		delete(p.requests, q.id)
	}
}

func (m *Model) nextID() string {
	m.requestCount++
	return fmt.Sprintf("q%d", m.requestCount)
}
