package program

import (
	"log"
	"maps"
	"runtime"
	"runtime/debug"
	"time"

	"standpulley/internal/config"
	"standpulley/internal/dispatch"
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
	decodeShare      = 0.2 // share of memory for bodies of the chat API that are being decoded
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

// applyToStack is apply without the admin endpoint.
func (p *program) applyToStack(cfg config.Config) error {
	if p.current == nil {
		return p.startStack(cfg)
	}
	if p.agreement == nil && cfg.DiffersInDiscoveryOnly(p.current.cfg) {
		p.current.watch(cfg)
		log.Printf("%s: discovery is at %q now", cfg.Name, cfg.Discovery)
		return nil
	}
	opened, err := p.openPorts(cfg)
	if err != nil {
		return err
	}
	if err := p.current.apply(cfg, p.lease); err != nil {
		closePorts(opened)
		return err
	}
	maps.Copy(p.ports, opened)
	if err := p.replaceFronts(cfg); err != nil {
		return err
	}
	p.limit(cfg)
	log.Printf("%s: new settings are in force", cfg.Name)
	return nil
}

// startStack starts to serve the first configuration.
func (p *program) startStack(cfg config.Config) error {
	known := cfg.Known.Update()
	var knownVersion *int64
	if cfg.Settings.ListOnRequest && len(cfg.Known.Servers) > 0 {
		// A full list costs the discovery service, which all dispatchers share, work in proportion
		// to its length.
		knownVersion = &cfg.Known.Version
	}
	if p.lists() != nil {
		// The configured list takes effect only once dispatchers have agreed on it.
		known, knownVersion = dispatch.Update{}, nil
	}
	s, err := p.newStack(cfg, known, knownVersion)
	if err != nil {
		return err
	}
	if p.ports, err = p.openPorts(cfg); err != nil {
		s.cancel()
		s.core.Stop()
		return err
	}
	p.limit(cfg)
	p.current = s
	p.live.Store(s)
	s.core.Phases.SetDiverting(p.operatorDrain.Load())
	if l := p.lists(); l != nil {
		l.resendAll()
	}
	if err := p.replaceFronts(cfg); err != nil {
		return err
	}
	if err := s.awaitFirstList(firstListTimeout); err != nil {
		return err
	}
	log.Printf("%s: ready", cfg.Name)
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
	p.decoding.SetLimit(int(decodeShare * float64(cfg.Limits.MemoryMB<<20)))
	p.pool.SetLimits(replicas, cfg.Settings.ConnIdle, cfg.Settings.ConnectTimeout)
	runtime.GOMAXPROCS(max(int(cfg.Limits.Cores+0.5), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB) * (1 << 20)))
}
