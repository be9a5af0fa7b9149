package program

import (
	"fmt"
	"log"
	"runtime"
	"runtime/debug"
	"time"

	"standpulley/internal/bookkeeping"
	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	"standpulley/internal/front"
)

const (
	memoryShare  = 0.7                    // of the limit that Go may use before it collects harder
	clientShare  = 0.45                   // of the sockets, for clients of all fronts together
	replicaShare = 0.4                    // and for replicas
	keptSockets  = 40                     // and no fewer for all else: discovery, the door and its callers, the runtime, who is told to go
	firstList    = 500 * time.Millisecond // how long a start waits for discovery, as what is known may be old
	comingShare  = 0.1                    // and for those that are being read
)

// force puts a configuration in force. On an error the one before stays as it was.
func (p *program) force(cfg config.Config) error {
	door := p.doorAt
	if err := p.moveDoor(cfg.Operator); err != nil {
		return err
	}
	err := p.takeUp(cfg)
	if err != nil {
		if back := p.moveDoor(door); back != nil {
			log.Printf("the door for operators: %v", back)
		}
	}
	return err
}

// takeUp is force for all but the door. Where the stack can't go on, a new one does with its list of replicas.
func (p *program) takeUp(cfg config.Config) error {
	before := p.now
	if before != nil && p.agreed == nil && cfg.DiffersInDiscoveryOnly(before.cfg) {
		before.watch(cfg)
		log.Printf("%s: discovery is at %q now", cfg.Name, cfg.Discovery)
		return nil
	}
	if before != nil && before.takesUp(cfg) {
		if err := before.takeUp(cfg, p.licence); err != nil {
			return err
		}
		p.limit(cfg)
		log.Printf("%s: other settings are in force", cfg.Name)
		return nil
	}
	known, wait := cfg.Known.Update(), firstList
	var at *int64
	if before == nil && cfg.Settings.ListOnRequest && len(cfg.Known.Servers) > 0 {
		at = &cfg.Known.Version // a whole list costs the service that all ask as much as it has lines
	}
	if before != nil && cfg.Discovery != "" {
		known, wait = before.core.List(), 0
	}
	if p.lists() != nil {
		known, at = dispatch.Update{}, nil // what is known counts when it is agreed on
	}
	next, err := newStack(cfg, known, at, p.pool, &p.counts, p.licence, p.lists(), p.keeper())
	if err != nil {
		return err
	}
	opened := map[string]*front.Port{}
	for addr := range next.fronts {
		if p.ports[addr] != nil {
			continue
		}
		if opened[addr], err = front.Listen(addr, p.gate, p.shared); err != nil {
			for a, port := range opened {
				if a != addr {
					port.Shutdown(0)
				}
			}
			next.cancel()
			next.core.Stop()
			return fmt.Errorf("key listen: %w", err)
		}
	}
	for addr, port := range opened {
		p.ports[addr] = port
	}
	p.limit(cfg)
	p.now = next
	p.live.Store(next)
	if l := p.lists(); l != nil {
		l.anew()
	}
	next.core.Phases.SetDiverting(p.away.Load())
	if err := next.open(p.ports, wait); err != nil {
		return err
	}
	log.Printf("%s: ready", cfg.Name)
	if before == nil {
		return nil
	}
	for addr, port := range p.ports {
		if next.fronts[addr] == nil {
			delete(p.ports, addr)
			go port.Shutdown(acceptedAhead)
		}
	}
	if err := before.core.Phases.Enter(dispatch.Leaving); err != nil {
		return err
	}
	if p.lists() == nil {
		before.follow(cfg)
	}
	p.old.Add(1)
	go func() {
		defer p.old.Done()
		// A client may be about to use a connection that is idle now: it is answered, and told to close it.
		select {
		case <-time.After(handOver):
		case <-p.draining:
			before.vacate(p.toldToStop)
			time.Sleep(time.Until(p.toldToStop.Add(acceptLonger)))
		}
		if err := before.finish(); err != nil {
			log.Printf("the configuration before: %v", err)
		}
	}()
	return nil
}

func (p *program) keeper() *bookkeeping.Service {
	if p.agreed == nil {
		return nil
	}
	return p.agreed.keeper
}

func (p *program) lists() *lists {
	if p.agreed == nil {
		return nil
	}
	return p.agreed.lists
}

// share divides the sockets that a process may hold. The rest is for discovery, the door, files and the console.
func share(sockets int) (clients, replicas int) {
	free := float64(sockets - keptSockets)
	part := func(of float64) int { return int(min(of*float64(sockets), of/(clientShare+replicaShare)*free)) }
	return part(clientShare), part(replicaShare)
}

// limit keeps the process within what a configuration states.
func (p *program) limit(cfg config.Config) {
	clients, replicas := share(cfg.Limits.Sockets)
	p.gate.SetLimits(clients, int(comingShare*float64(cfg.Limits.MemoryMB<<20)))
	p.pool.SetLimits(replicas, cfg.Settings.ConnIdle, cfg.Settings.ConnectTimeout)
	runtime.GOMAXPROCS(max(int(cfg.Limits.Cores+0.5), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB) * (1 << 20)))
}
