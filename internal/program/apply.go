package program

import (
	"log"
	"maps"
	"time"

	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	"standpulley/internal/intentlog"
)

// firstListTimeout is how long a start waits for discovery, because the configured list may be
// outdated.
const firstListTimeout = 500 * time.Millisecond

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
