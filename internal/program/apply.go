package program

import (
	"fmt"
	"log"
	"runtime"
	"runtime/debug"
	"time"

	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/intentlog"
)

const (
	// Share of the memory limit at which Go collects garbage more aggressively.
	memoryShare  = 0.7
	clientShare  = 0.45 // share of the sockets for clients of all fronts together
	replicaShare = 0.4  // share of the sockets for replicas
	// Least number of sockets for all else: discovery, the admin endpoint and its callers, the
	// runtime, connections that are being refused.
	reservedSockets = 40
	// How long a start waits for discovery, because the configured list may be outdated.
	firstListTimeout = 500 * time.Millisecond
	bodyReadShare    = 0.1 // share of memory for request bodies that are still being read
)

// apply puts a configuration in force. On an error the previous one stays in force unchanged.
func (p *program) apply(cfg config.Config) error {
	oldAddr := p.adminAddr
	if err := p.moveAdmin(cfg.Operator); err != nil {
		return err
	}
	err := p.applyToStack(cfg)
	if err != nil {
		if undoErr := p.moveAdmin(oldAddr); undoErr != nil {
			log.Printf("admin endpoint: cannot reopen the previous address: %v", undoErr)
		}
	}
	return err
}

// applyToStack is apply without the admin endpoint. If the current stack cannot continue under cfg,
// a new stack replaces it and starts with the replica list of the current one.
func (p *program) applyToStack(cfg config.Config) error {
	before := p.current
	if before != nil && p.agreement == nil && cfg.DiffersInDiscoveryOnly(before.cfg) {
		before.watch(cfg)
		log.Printf("%s: discovery is at %q now", cfg.Name, cfg.Discovery)
		return nil
	}
	if before != nil && before.canApply(cfg) {
		if err := before.apply(cfg, p.lease); err != nil {
			return err
		}
		p.limit(cfg)
		log.Printf("%s: new settings are in force", cfg.Name)
		return nil
	}
	known, wait := cfg.Known.Update(), firstListTimeout
	var knownVersion *int64
	if before == nil && cfg.Settings.ListOnRequest && len(cfg.Known.Servers) > 0 {
		// A full list costs the discovery service, which all dispatchers share, work in proportion
		// to its length.
		knownVersion = &cfg.Known.Version
	}
	if before != nil && cfg.Discovery != "" {
		known, wait = before.core.List(), 0
	}
	if p.lists() != nil {
		// The configured list takes effect only once dispatchers have agreed on it.
		known, knownVersion = dispatch.Update{}, nil
	}
	next, err := newStack(cfg, known, knownVersion, p.pool, &p.counts, p.lease, p.lists(), p.keeper(), p.instructions)
	if err != nil {
		return err
	}
	opened := map[string]*front.Port{}
	for addr := range next.fronts {
		if p.ports[addr] != nil {
			continue
		}
		if opened[addr], err = front.Listen(addr, p.limiter, p.shared); err != nil {
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
	p.current = next
	p.live.Store(next)
	if l := p.lists(); l != nil {
		l.resendAll()
	}
	next.core.Phases.SetDiverting(p.operatorDrain.Load())
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
			go port.Shutdown(acceptBacklogTime)
		}
	}
	if err := before.core.Phases.Enter(dispatch.Leaving); err != nil {
		return err
	}
	if p.lists() == nil {
		before.followDiscovery(cfg)
	}
	p.finishing.Add(1)
	go func() {
		defer p.finishing.Done()
		// A client may be about to send a request on a connection that is idle now. It gets an
		// answer that tells it to close the connection.
		select {
		case <-time.After(handOverTime):
		case <-p.draining:
			before.scheduleShutdown(p.sigtermAt)
			time.Sleep(time.Until(p.sigtermAt.Add(acceptAfterTerm)))
		}
		if err := before.finish(); err != nil {
			log.Printf("cannot finish the previous configuration: %v", err)
		}
	}()
	return nil
}

func (p *program) keeper() *intentlog.Service {
	if p.agreement == nil {
		return nil
	}
	return p.agreement.keeper
}

func (p *program) lists() *listMerger {
	if p.agreement == nil {
		return nil
	}
	return p.agreement.lists
}

// share divides the sockets that the process may hold between clients and replicas. The rest is for
// discovery, the admin endpoint, files and the console.
func share(sockets int) (clients, replicas int) {
	free := float64(sockets - reservedSockets)
	part := func(of float64) int { return int(min(of*float64(sockets), of/(clientShare+replicaShare)*free)) }
	return part(clientShare), part(replicaShare)
}

// limit applies the process limits of a configuration: sockets, memory and cores.
func (p *program) limit(cfg config.Config) {
	clients, replicas := share(cfg.Limits.Sockets)
	p.limiter.SetLimits(clients, int(bodyReadShare*float64(cfg.Limits.MemoryMB<<20)))
	p.pool.SetLimits(replicas, cfg.Settings.ConnIdle, cfg.Settings.ConnectTimeout)
	runtime.GOMAXPROCS(max(int(cfg.Limits.Cores+0.5), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB) * (1 << 20)))
}
