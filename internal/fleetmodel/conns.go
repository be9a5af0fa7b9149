package fleetmodel

import "standpulley/logic"

// idleMost is how many connections to a replica a router keeps, as package replica does.
const maxIdle = 8

// idleConns are a router's unused connections to one process of a replica.
type idleConns struct{ generation, count int }

// connect gets a connection for a call: one that idles, or a new one, which costs the replica work and may find no place.
// As in package replica, what must not run twice goes to a writer on a new one.
func (c *attempt) connect() {
	m, s := c.p.r.m, c.replica
	ownConn := s.role == logic.Writer && m.settings.Classes[c.q.session.class].Repeat == logic.Unsafe
	if k := c.p.idle[s]; !ownConn && k != nil && k.generation == s.generation && k.count > 0 {
		k.count--
		c.generation, c.connected = s.generation, true
		m.after(networkDelay, c.arrive)
		return
	}
	m.report.Dials++
	m.after(networkDelay+dialTime, func() {
		switch {
		case c.ended:
		case !s.up || m.day.MaxConns > 0 && s.conns >= m.day.MaxConns:
			m.report.FailedDials++
			c.reply(logic.ConnectFailed, 0, false)
		default:
			s.conns++
			s.handshakeSeconds += m.day.HandshakeWork.Seconds()
			c.generation, c.connected = s.generation, true
			c.arrive()
		}
	})
}

func (c *attempt) arrive() {
	if !c.ended {
		c.replica.receive(c)
	}
}

// disconnect keeps the connection of a call that has ended where it can be used again, and closes it elsewhere.
func (c *attempt) disconnect(as logic.Outcome) {
	s := c.replica
	if !c.connected || c.generation != s.generation {
		return
	}
	c.connected = false
	k := c.p.idle[s]
	if k == nil || k.generation != s.generation {
		k = &idleConns{generation: s.generation}
		c.p.idle[s] = k
	}
	if reusable := as == logic.ReadDone || as == logic.Delivered || as == logic.Full || as == logic.ServerError; reusable &&
		k.count < maxIdle && c.p == c.p.r.process {
		k.count++
		return
	}
	s.conns--
}

// hangUp closes the idle connections of a process that ends.
func (p *process) closeIdle() {
	for s, k := range p.idle { // only counts, so the order does not matter
		if k.generation == s.generation {
			s.conns -= k.count
		}
	}
	p.idle = map[*replica]*idleConns{}
}
