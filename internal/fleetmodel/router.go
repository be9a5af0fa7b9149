package fleetmodel

import (
	"fmt"
	"time"

	"standpulley/internal/recovery"
	"standpulley/logic"
)

const (
	hop      = time.Millisecond // one way between a router and a replica
	dialTime = 2 * time.Millisecond
	absence  = 4 * time.Second // from a router's drain until the front has its successor
)

// router is one place in the tier and the process that runs there now.
type router struct {
	m       *Model
	n       int
	zone    int
	weight  float64 // of the clients that the front sends it
	away    bool
	now     *process
	boots   uint64
	answers []time.Duration    // when it served
	known   recovery.WarmRates // what replicas bear
}

// process carries out what a Router of package logic says. What it took it finishes, also when another has begun.
type process struct {
	r     *router
	logic *logic.Router
	dead  bool      // it lost its power
	back  *comeback // nil where all is as usual
	open  map[string]*ask
	idle  map[*replica]*idleConns
}

// boot starts a process that knows the settings and the list as it is now, and nothing else.
func (r *router) boot() error {
	r.boots++
	set := r.m.set
	set.Zone = zoneName(r.zone)
	l, err := logic.New(set, uint64(r.n)*7919+r.boots*104729+1)
	if err != nil {
		return err
	}
	if r.now != nil {
		r.now.hangUp()
	}
	r.now = &process{r: r, logic: l, open: map[string]*ask{}, idle: map[*replica]*idleConns{}}
	var list []logic.ServerEntry
	for _, s := range r.m.fleet {
		if s.up {
			list = append(list, s.listed())
		}
	}
	r.now.handle(&logic.Event{Kind: logic.ListComplete, Servers: list})
	return nil
}

func (s *replica) listed() logic.ServerEntry {
	e := s.entry
	if !s.up {
		e.Availability = logic.Gone
	} else if s.draining {
		e.Availability = logic.Draining
	}
	return e
}

// tell lets all routers hear of a change of the list, each in its time.
func (m *Model) tell(changed ...*replica) {
	for _, r := range m.routers {
		var list []logic.ServerEntry
		for _, s := range changed {
			list = append(list, s.listed())
		}
		m.after(seconds(m.day.Lag.Seconds()*m.between(0.8, 1.2)), func() {
			r.now.handle(&logic.Event{Kind: logic.ListChanged, Servers: list})
		})
	}
}

// Restart drains a router: its clients go to others until its successor, which knows nothing, is there.
func (m *Model) Restart(n int) {
	r := m.routers[n]
	r.away = true
	m.after(absence, func() {
		if err := r.boot(); err == nil { // the settings were good before
			r.away = false
		}
	})
}

func (p *process) handle(ev *logic.Event) {
	if p.dead {
		return
	}
	for _, a := range p.logic.Handle(p.r.m.now, ev, nil) {
		p.carryOut(a)
	}
}

func (p *process) carryOut(a logic.Action) {
	m := p.r.m
	if a.Kind == logic.Wake {
		m.after(a.After, func() { p.handle(&logic.Event{Kind: logic.TimerFired, Tag: a.Tag}) })
		return
	}
	if a.Kind == logic.Probe {
		p.probe(m.byID[a.Server])
		return
	}
	q := p.open[a.RequestID]
	if q == nil {
		return
	}
	switch a.Kind {
	case logic.Send:
		c := &call{p: p, q: q, n: q.sent, to: m.byID[a.Server], sentAt: m.now}
		q.sent++
		m.report.row(q).Sends++
		q.out = c
		m.after(a.Until-m.now, func() { c.giveUp(logic.TimedOut) })
		c.connect()
	case logic.Cancel:
		if q.out != nil && q.out.n == a.Attempt {
			c := q.out
			m.report.Cancelled++
			m.after(0, func() { c.giveUp(logic.Cancelled) })
		}
	case logic.Refuse:
		p.close(q)
		m.refused(q, a.After)
	case logic.Fail:
		p.close(q)
		m.failed(q)
	}
}

// probe asks a replica over a new connection, and hears of it two hops later.
func (p *process) probe(s *replica) {
	m := p.r.m
	m.report.Probes++
	m.after(dialTime+hop, func() {
		s.ask(&probe{then: func(out logic.Outcome) {
			m.after(hop, func() { p.handle(&logic.Event{Kind: logic.Probed, Server: s.entry.ID, Outcome: out}) })
		}})
	})
}

func (p *process) close(q *ask) {
	if q.out == nil {
		delete(p.open, q.id)
	}
	q.answered = true
}

// call is one attempt.
type call struct {
	p      *process
	q      *ask
	n      int
	to     *replica
	sentAt time.Duration
	left   float64 // tokens still to be written
	began  bool
	over   bool
	life   int // the process of the replica that it has a connection to, and whether it has
	linked bool
}

// held tells whether a request's read state waits somewhere to be fetched.
func (q *ask) held() bool { return q.at != nil && q.at.up }

// begin is the first token.
func (c *call) begin() {
	if c.over || c.began {
		return
	}
	c.began = true
	m := c.p.r.m
	m.after(hop, func() {
		if c.over {
			return
		}
		if c.p.dead {
			return
		}
		m.served(c.q)
		c.p.r.answers = append(c.p.r.answers, m.now)
		c.p.handle(&logic.Event{Kind: logic.StreamStarted, RequestID: c.q.id, Server: c.to.entry.ID, Attempt: c.n,
			Took: m.now - c.sentAt})
	})
}

// giveUp ends an attempt from the router's side, unless its answer runs.
func (c *call) giveUp(as logic.Outcome) {
	if c.over || c.began {
		return
	}
	c.to.drop(c)
	c.finish(as, 0, false)
}

// end is the replica's word on an attempt. It is heard a moment later.
func (c *call) end(as logic.Outcome, found int64, noState bool) {
	if !c.over {
		c.p.r.m.after(hop, func() { c.finish(as, found, noState) })
	}
}

func (c *call) finish(as logic.Outcome, found int64, noState bool) {
	if c.over {
		return
	}
	c.over = true
	c.disconnect(as)
	q, p := c.q, c.p
	if q.out == c {
		q.out = nil
	}
	if as == logic.ConnectionLost && c.began {
		p.r.m.report.Broken++
	}
	over := q.answered || as == logic.Delivered || c.began
	p.handle(&logic.Event{Kind: logic.Ended, RequestID: q.id, Server: c.to.entry.ID, Attempt: c.n, Outcome: as,
		Took: p.r.m.now - c.sentAt, RequestEnded: over, Tokens: found, NoState: noState})
	if over && q.out == nil {
		delete(p.open, q.id)
	}
}

func (m *Model) nextID() string {
	m.asked++
	return fmt.Sprintf("q%d", m.asked)
}
