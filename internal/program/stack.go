package program

import (
	"context"
	"log"
	"reflect"
	"slices"
	"sync"
	"time"

	"standpulley/internal/config"
	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/front/chat"
	"standpulley/internal/replica"
)

const (
	handOverTime   = 2 * time.Second // how long a replaced watch, and connections to a retired front, may still be used
	releaseTimeout = time.Second     // longest wait before exit for replicas to release prefill state
)

// stack is everything that serves clients: the core, its discovery and the fronts. There is one for
// the life of the process, so that all that a rule depends on outlives each configuration: the open
// requests, what replicas hold for them, what was sent to replicas in slow start, the list.
type stack struct {
	cfg          config.Config
	core         *dispatch.Dispatcher
	pool         *replica.Pool
	releaser     *replica.Releaser
	chat         chat.Shared
	fronts       map[string]*servedFront
	retiring     sync.WaitGroup // fronts that still finish their requests
	listReceived chan struct{}
	ctx          context.Context // cancelled when the stack ends
	cancel       context.CancelFunc
	stopWatch    context.CancelFunc // stops the discovery watches
	// List version from which the first watch continues; nil: it asks for the full list.
	knownVersion *int64
	updateMu     sync.Mutex  // held by the watch that passes on an update
	lists        *listMerger // nil if each dispatcher uses its own discovery service
}

// newStack returns a stack that starts with the replicas in known. knownVersion is the version of
// that list at its discovery service, or nil if the list did not come from there. The stack has no
// fronts yet.
func (p *program) newStack(cfg config.Config, known dispatch.Update, knownVersion *int64) (*stack, error) {
	s := &stack{cfg: cfg, pool: p.pool, releaser: replica.NewReleaser(p.pool), chat: chat.Shared{Instructions: p.instructions, Decoding: p.decoding}, fronts: map[string]*servedFront{},
		listReceived: make(chan struct{}, 1), stopWatch: func() {}, lists: p.lists(), knownVersion: knownVersion}
	var err error
	s.core, err = dispatch.New(cfg.Settings, cfg.Seed, known, s.releaser, bounds(cfg.Limits))
	if err != nil {
		return nil, err
	}
	s.core.Counts = &p.counts
	s.core.Prober = replica.Prober{Pool: p.pool}
	s.core.Claims = p.openClaims(cfg)
	if p.lease != nil {
		s.core.SetLease(p.lease)
	}
	if keeper := p.keeper(); keeper != nil {
		s.chat.Ledger = keeper
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.core.Run()
	s.watch(cfg)
	return s, nil
}

// apply puts cfg in force, except for the addresses of the fronts. Learned values, held prefill
// state and running requests are kept.
func (s *stack) apply(cfg config.Config, lease dispatch.Lease) error {
	if err := s.updateSettings(cfg, lease); err != nil {
		return err
	}
	old, set := s.cfg.Settings, cfg.Settings
	listed := cfg.Discovery == "" && !reflect.DeepEqual(cfg.Known, s.cfg.Known)
	// If designated dispatchers read discovery for all, the number of siblings does not affect the
	// watch.
	rewatch := cfg.Discovery != s.cfg.Discovery || listed || set.Siblings != old.Siblings && s.lists == nil || !slices.Equal(set.Kinds, old.Kinds) ||
		set.ListOnRequest != old.ListOnRequest
	if rewatch && (s.lists == nil || s.lists.isWatching()) {
		s.watch(cfg)
	}
	s.cfg = cfg
	if s.lists != nil {
		s.lists.setPushed(!set.ListOnRequest)
	}
	return nil
}

// updateSettings passes the settings to the core and the fronts. It may be called from any
// goroutine, but not while fronts are replaced.
func (s *stack) updateSettings(cfg config.Config, lease dispatch.Lease) error {
	if err := s.core.UpdateSettings(cfg.Settings, bounds(cfg.Limits), lease); err != nil {
		return err
	}
	for _, f := range s.fronts {
		f.update(cfg)
	}
	return nil
}

// watch follows the discovery service that cfg names. Earlier watches continue until this one has
// delivered its first list, but no longer than handOverTime, as they may still have updates.
// Updates that they deliver later are ignored.
func (s *stack) watch(cfg config.Config) {
	s.cfg = cfg
	stopPrevious := s.stopWatch
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopWatch = func() { cancel(); stopPrevious() }
	onUpdate := func(u dispatch.Update) {
		s.updateMu.Lock()
		defer s.updateMu.Unlock()
		if ctx.Err() != nil {
			return
		}
		stopPrevious()
		if s.lists != nil {
			s.lists.updateOwn(u)
		} else {
			s.core.UpdateServers(u)
		}
		select {
		case s.listReceived <- struct{}{}:
		default:
		}
	}
	if cfg.Discovery == "" {
		onUpdate(cfg.Known.Update())
		return
	}
	time.AfterFunc(handOverTime, stopPrevious)
	w := &discovery.Watcher{Addr: cfg.Discovery, Siblings: cfg.Settings.Siblings, PushMode: !cfg.Settings.ListOnRequest, KnownVersion: s.knownVersion, Kinds: cfg.Settings.Kinds, OnUpdate: onUpdate}
	s.knownVersion = nil
	if s.lists != nil {
		w.OnResult = s.lists.recordAnswer
	}
	go w.Run(ctx)
}

// setWatching starts or stops the discovery watch. It is used where another dispatcher may read
// discovery for this one.
func (s *stack) setWatching(on bool) {
	if on {
		s.watch(s.cfg)
	} else if s.cfg.Discovery != "" {
		s.stopWatch()
		s.stopWatch = func() {}
	}
}

// awaitFirstList returns when the first list has come from discovery, or wait has passed, and lets
// clients come.
func (s *stack) awaitFirstList(wait time.Duration) error {
	select {
	case <-s.listReceived:
	case <-time.After(wait):
		log.Print("no list from discovery yet: starting with the known list")
	}
	return s.core.Phases.Enter(dispatch.Ready)
}

// finish answers the requests that were accepted, releases prefill state that is held and ends the
// stack. By then its ports are closed.
func (s *stack) finish() error {
	if err := s.core.Phases.Enter(dispatch.Leaving); err != nil {
		return err
	}
	for _, f := range s.fronts {
		f.close()
	}
	s.retiring.Wait()
	s.core.Phases.AwaitIdle()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.releaser.AwaitIdle(ctx)
	s.cancel()
	s.core.Stop()
	return s.core.Phases.Enter(dispatch.Stopped)
}
