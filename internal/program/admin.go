package program

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"maps"
	"slices"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/operator"
)

const (
	idleCheckInterval = 100 * time.Millisecond
	// After a drain the load balancer still sends new connections with requests for about 0.3 s.
	idleCloseAfter = 400 * time.Millisecond
)

// moveAdmin opens the admin endpoint at addr and closes the previous one. On an error the previous
// one stays open.
func (p *program) moveAdmin(addr string) error {
	if addr == p.adminAddr {
		return nil
	}
	var port *front.Port
	if addr != "" {
		var err error
		if port, err = operator.Listen(addr); err != nil {
			return fmt.Errorf("key operator: %w", err)
		}
		ln := port.Attach()
		go func() {
			if err := operator.Server(p).Serve(ln); err != nil {
				log.Printf("admin endpoint: %v", err)
			}
		}()
	}
	if p.adminPort != nil {
		p.adminPort.Shutdown(0)
	}
	p.adminPort, p.adminAddr = port, addr
	return nil
}

// Ready reports to operators whether the program can serve. An operator drain does not change it.
func (p *program) Ready() bool {
	s := p.live.Load()
	return s != nil && s.core.Phases.Now() == dispatch.Ready && s.core.Phases.CanServe()
}

// Drain sends clients away: the readiness check at the client address fails, each answer is the
// last on its connection, and connections without a request are closed. Requests that arrive anyway
// are served.
func (p *program) Drain() { p.setOperatorDrain(true) }

// Resume ends an operator drain: clients are accepted again.
func (p *program) Resume() { p.setOperatorDrain(false) }

func (p *program) setOperatorDrain(on bool) {
	p.operatorDrain.Store(on)
	p.limiter.DisableKeepAlives(on)
	if s := p.live.Load(); s != nil {
		s.core.Phases.SetDiverting(on)
	}
	log.Printf("admin: operator drain set to %v", on)
}

// closeIdleClients closes client connections without a request while an operator drain is on.
func (p *program) closeIdleClients(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if p.operatorDrain.Load() {
			p.limiter.CloseIdle(idleCloseAfter)
		}
	}
}

// Metrics returns the metrics of the program since its start, one a line: a name, a value and c for
// a counter or g for a gauge.
func (p *program) Metrics() []byte {
	var out bytes.Buffer
	emit := func(name string, value int, kind string) { fmt.Fprintf(&out, "edge.%s:%d|%s\n", name, value, kind) }
	if s := p.live.Load(); s != nil {
		f, _ := s.core.Metrics() // the core runs as long as its stack is in force
		for _, class := range slices.Sorted(maps.Keys(f.Classes)) {
			r := f.Classes[class]
			emit("results."+class+".succeeded", r.Served, "c")
			emit("results."+class+".declined", r.Refused, "c")
			emit("results."+class+".aborted", r.Failed, "c")
		}
		emit("forwards", f.Written, "c")
		emit("outstanding", f.Open, "g")
		emit("discovered", f.Listed, "g")
		emit("ejected", f.Ejected, "g")
		emit("held", f.Held, "g")
		emit("core.message_wait_us", int(f.Delays.Message.Microseconds()), "g")
		emit("core.timer_late_us", int(f.Delays.Timer.Microseconds()), "g")
		emit("core.longest_step_us", int(f.Delays.Step.Microseconds()), "g")
		emit("core.messages_waiting", f.Queued, "g")
		emit("core.behind", f.Delayed, "c")
		for _, event := range slices.Sorted(maps.Keys(f.Causes)) {
			for _, cause := range slices.Sorted(maps.Keys(f.Causes[event])) {
				emit(fmt.Sprintf("%s.%s", event, cause), f.Causes[event][cause], "c")
			}
		}
	}
	if p.agreement != nil {
		p.agreement.metrics(emit)
	}
	c := p.pool.Counts()
	emit("connections.made", c.Made, "c")
	emit("connections.failed", c.Failed, "c")
	emit("connections.reused", c.Reused, "c")
	emit("connections.evicted", c.Evicted, "c")
	emit("connections.open", c.Open, "g")
	m := p.memoryUse()
	emit("memory.go_bytes", m.goBytes, "g")
	emit("memory.limit_bytes", m.limitBytes, "g")
	emit("memory.body_bytes", m.bodyBytes, "g")
	emit("memory.ahead_bytes", m.aheadBytes, "g")
	emit("memory.payload_bytes", m.payloadBytes, "g")
	emit("clients.open", m.connections, "g")
	emit("sighup_applied", int(p.applied.Load()), "c")
	emit("sighup_rejected", int(p.rejected.Load()), "c")
	return out.Bytes()
}
