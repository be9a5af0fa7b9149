package fleetmodel

import "standpulley/logic"

// maxIdle is the number of idle connections to a replica that a router keeps, as in package replica.
const maxIdle = 8

// idleConns counts a router's idle connections to one process of a replica.
type idleConns struct{ generation, count int }

// connect gets a connection for an attempt: an idle one, or a new one, which costs the replica work
// and fails if the replica is at its maximum number of connections. As in package replica, a write
// that must not run twice uses a new connection.
func (c *attempt) connect() {
	m, s := c.process.router.m, c.replica
	ownConn := s.role == logic.Writer && m.settings.Classes[c.request.session.class].Repeat == logic.Unsafe
	if k := c.process.idle[s]; !ownConn && k != nil && k.generation == s.generation && k.count > 0 {
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

// arrive hands the attempt to the replica, unless the router has given it up.
func (c *attempt) arrive() {
	if !c.ended {
		c.replica.receive(c)
	}
}

// disconnect returns the connection of an ended attempt to the idle ones if it can be reused, and
// closes it otherwise.
func (c *attempt) disconnect(as logic.Outcome) {
	s := c.replica
	if !c.connected || c.generation != s.generation {
		return
	}
	c.connected = false
	k := c.process.idle[s]
	if k == nil || k.generation != s.generation {
		k = &idleConns{generation: s.generation}
		c.process.idle[s] = k
	}
	if reusable := as == logic.ReadDone || as == logic.Delivered || as == logic.Full || as == logic.ServerError; reusable &&
		k.count < maxIdle && c.process == c.process.router.process {
		k.count++
		return
	}
	s.conns--
}

// closeIdle closes the idle connections of a process that ends.
func (p *process) closeIdle() {
	for s, k := range p.idle { // the order does not matter for counts
		if k.generation == s.generation {
			s.conns -= k.count
		}
	}
	p.idle = map[*replica]*idleConns{}
}
