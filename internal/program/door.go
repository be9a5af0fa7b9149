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
	awayEvery = 100 * time.Millisecond
	awayAfter = 400 * time.Millisecond // the front sends new connections for some 0.3 s more, with requests to come
)

// moveDoor opens the operators' door at an address, in place of the one before. On an error that one stays.
func (p *program) moveDoor(addr string) error {
	if addr == p.doorAt {
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
				log.Printf("operators' door: %v", err)
			}
		}()
	}
	if p.door != nil {
		p.door.Shutdown(0)
	}
	p.door, p.doorAt = port, addr
	return nil
}

// Ready tells operators whether the program can serve, also while it sends clients away.
func (p *program) Ready() bool {
	s := p.live.Load()
	return s != nil && s.core.Phases.Now() == dispatch.Ready && s.core.Phases.CanServe()
}

// Drain sends clients away: the front is told that this program is not ready, each answer is the last on its
// connection, and connections without a request are closed. What comes all the same is served.
func (p *program) Drain() { p.setAway(true) }

// Resume takes clients again.
func (p *program) Resume() { p.setAway(false) }

func (p *program) setAway(away bool) {
	p.away.Store(away)
	p.gate.DisableKeepAlives(away)
	if s := p.live.Load(); s != nil {
		s.core.Phases.SetDiverting(away)
	}
	log.Printf("operators: clients are sent away: %v", away)
}

// sendAway closes the connections of clients that ask nothing while they are to go.
func (p *program) sendAway(ctx context.Context) {
	tick := time.NewTicker(awayEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if p.away.Load() {
			p.gate.CloseIdle(awayAfter)
		}
	}
}

// Metrics tells operators what the program has done since its start, and how it stands: a name, a value and whether it
// counts or is a present one.
func (p *program) Metrics() []byte {
	var out bytes.Buffer
	say := func(name string, value int, kind string) { fmt.Fprintf(&out, "edge.%s:%d|%s\n", name, value, kind) }
	if s := p.live.Load(); s != nil {
		f, _ := s.core.Metrics() // it runs for as long as it is in force
		for _, class := range slices.Sorted(maps.Keys(f.Classes)) {
			r := f.Classes[class]
			say("results."+class+".succeeded", r.Served, "c")
			say("results."+class+".declined", r.Refused, "c")
			say("results."+class+".aborted", r.Failed, "c")
		}
		say("forwards", f.Written, "c")
		say("outstanding", f.Open, "g")
		say("discovered", f.Listed, "g")
		say("ejected", f.Ejected, "g")
		say("held", f.Held, "g")
		say("core.message_wait_us", int(f.Delays.Message.Microseconds()), "g")
		say("core.timer_late_us", int(f.Delays.Timer.Microseconds()), "g")
		say("core.longest_step_us", int(f.Delays.Step.Microseconds()), "g")
		say("core.messages_waiting", f.Queued, "g")
		say("core.behind", f.Delayed, "c")
		for _, event := range slices.Sorted(maps.Keys(f.Causes)) {
			for _, cause := range slices.Sorted(maps.Keys(f.Causes[event])) {
				say(fmt.Sprintf("%s.%s", event, cause), f.Causes[event][cause], "c")
			}
		}
	}
	if p.agreed != nil {
		p.agreed.figures(say)
	}
	c := p.pool.Counts()
	say("connections.made", c.Made, "c")
	say("connections.failed", c.Failed, "c")
	say("connections.reused", c.Reused, "c")
	say("connections.evicted", c.Evicted, "c")
	say("connections.open", c.Open, "g")
	say("sighup_applied", int(p.applied.Load()), "c")
	say("sighup_rejected", int(p.rejected.Load()), "c")
	return out.Bytes()
}
