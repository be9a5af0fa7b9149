package soak

import (
	"bufio"
	"net"
	"sync"

	jsoniter "github.com/json-iterator/go"
)

// registry collects the reports of all replicas and tracks the requests whose state is held.
type registry struct {
	ln        net.Listener
	mu        sync.Mutex // guards the fields below
	reports   []Report
	held      map[string]bool
	openReads map[string]map[string]bool // reads in progress, by request and reader; false: release their state
	conns     map[string]net.Conn        // by replica
}

func newRegistry() (*registry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &registry{ln: ln, held: map[string]bool{}, openReads: map[string]map[string]bool{}, conns: map[string]net.Conn{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return g, nil
}

func (g *registry) serve(c net.Conn) {
	defer c.Close()
	for lines := bufio.NewScanner(c); lines.Scan(); {
		var n Report
		if jsoniter.Unmarshal(lines.Bytes(), &n) != nil {
			return // the replica was killed while it sent a report
		}
		g.handle(n, c)
	}
}

// localReporter reports from within the registry's own process.
type localReporter struct{ *registry }

func (l localReporter) report(n Report) { l.handle(n, nil) }

func (l localReporter) fetch(n Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record(n)
}

// handle records a report, and replies to a Fetch.
func (g *registry) handle(n Report, c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c != nil {
		g.conns[n.Replica] = c
	}
	if held := g.record(n); n.Kind == Fetch {
		g.send(c, registryMessage{Held: &held})
	}
}

// record records a report. A Released report releases the held state and the state that reads in
// progress will produce. A Fetch takes over the held state, and record returns whether there was
// any. The caller holds mu.
func (g *registry) record(n Report) (held bool) {
	g.reports = append(g.reports, n)
	switch n.Kind {
	case Received:
		if g.openReads[n.ID] == nil {
			g.openReads[n.ID] = map[string]bool{}
		}
		g.openReads[n.ID][n.Replica] = true
	case ReadDone:
		g.held[n.ID] = g.held[n.ID] || g.openReads[n.ID][n.Replica]
	case Released:
		g.held[n.ID] = false
		for reader := range g.openReads[n.ID] {
			g.openReads[n.ID][reader] = false
		}
	case Fetch:
		held = g.held[n.ID]
		g.held[n.ID] = false
	}
	return held
}

// send writes a message to a replica. The caller holds mu.
func (g *registry) send(c net.Conn, m registryMessage) {
	if text, err := jsoniter.Marshal(m); err == nil {
		_, _ = c.Write(append(text, '\n')) // the replica may have been killed
	}
}

// setBehavior tells a replica how to treat calls.
func (g *registry) setBehavior(replica string, behavior Behavior) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.conns[replica]; c != nil {
		g.send(c, registryMessage{Conduct: &behavior})
	}
}

// reported returns the number of replicas that have reported.
func (g *registry) reported() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

func (g *registry) close() []Report {
	_ = g.ln.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Report(nil), g.reports...)
}
