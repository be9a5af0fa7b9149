package soak

import (
	"bufio"
	"net"
	"sync"

	jsoniter "github.com/json-iterator/go"
)

// registry takes the reports of all replicas, and knows for which requests a state is held.
type registry struct {
	ln    net.Listener
	mu    sync.Mutex // for all below
	notes []Report
	held  map[string]bool
	reads map[string]map[string]bool // reads in progress by request and reader; false: what it leaves is let go
	conns map[string]net.Conn        // by replica
}

func newRegistry() (*registry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &registry{ln: ln, held: map[string]bool{}, reads: map[string]map[string]bool{}, conns: map[string]net.Conn{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go g.hear(c)
		}
	}()
	return g, nil
}

func (g *registry) hear(c net.Conn) {
	defer c.Close()
	for lines := bufio.NewScanner(c); lines.Scan(); {
		var n Report
		if jsoniter.Unmarshal(lines.Bytes(), &n) != nil {
			return // the replica was killed in the middle of a report
		}
		g.take(n, c)
	}
}

// localReporter reports from within the registry's own process.
type localReporter struct{ *registry }

func (l localReporter) report(n Report) { l.take(n, nil) }

func (l localReporter) fetch(n Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book(n)
}

// take books a report, and answers one that asks for a state.
func (g *registry) take(n Report, c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c != nil {
		g.conns[n.Replica] = c
	}
	if held := g.book(n); n.Kind == Fetch {
		g.say(c, fetched{Held: &held})
	}
}

// book books a report. A release lets go of what is held and of what reads in progress will leave. A fetch
// takes what is held, and is told whether anything was. It needs mu.
func (g *registry) book(n Report) (held bool) {
	g.notes = append(g.notes, n)
	switch n.Kind {
	case Received:
		if g.reads[n.ID] == nil {
			g.reads[n.ID] = map[string]bool{}
		}
		g.reads[n.ID][n.Replica] = true
	case ReadDone:
		g.held[n.ID] = g.held[n.ID] || g.reads[n.ID][n.Replica]
	case Released:
		g.held[n.ID] = false
		for reader := range g.reads[n.ID] {
			g.reads[n.ID][reader] = false
		}
	case Fetch:
		held = g.held[n.ID]
		g.held[n.ID] = false
	}
	return held
}

// say needs mu.
func (g *registry) say(c net.Conn, m fetched) {
	if text, err := jsoniter.Marshal(m); err == nil {
		_, _ = c.Write(append(text, '\n')) // a replica that was killed hears nothing
	}
}

// conduct tells a replica how to treat calls.
func (g *registry) conduct(replica string, how Behavior) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.conns[replica]; c != nil {
		g.say(c, fetched{Conduct: &how})
	}
}

// up tells how many replicas have reported.
func (g *registry) up() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

func (g *registry) close() []Report {
	_ = g.ln.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Report(nil), g.notes...)
}
