package program

import (
	"context"
	"log"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/config"
	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/front/chat"
	"standpulley/internal/front/once"
	"standpulley/internal/front/platform"
	"standpulley/internal/intentlog"
	"standpulley/internal/replica"
)

const (
	handOverTime   = 2 * time.Second // how long clients may still use connections of the replaced configuration
	releaseTimeout = time.Second     // longest wait before exit for replicas to release prefill state
	bodyShare      = 0.25            // share of memory for the bodies of open requests
)

// stack is everything that serves one configuration: a core, its discovery and its fronts.
type stack struct {
	cfg          config.Config
	core         *dispatch.Dispatcher
	releaser     *replica.Releaser
	platform     *platform.Front             // nil if not configured
	chat         *chat.Front                 // nil if not configured
	fronts       map[string]*fasthttp.Server // keyed by address
	listeners    []*front.Listener           // listeners that the fronts accept from
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
// that list at its discovery service, or nil if the list did not come from there. The stack is not
// yet open to clients.
func newStack(cfg config.Config, known dispatch.Update, knownVersion *int64, pool *replica.Pool, counts *dispatch.Counts, lease dispatch.Lease, l *listMerger, k *intentlog.Service, instructions *chat.Instructions) (*stack, error) {
	s := &stack{cfg: cfg, releaser: replica.NewReleaser(pool), fronts: map[string]*fasthttp.Server{}, listReceived: make(chan struct{}, 1),
		stopWatch: func() {}, lists: l, knownVersion: knownVersion}
	var err error
	s.core, err = dispatch.New(cfg.Settings, cfg.Seed, known, s.releaser, bounds(cfg.Limits))
	if err != nil {
		return nil, err
	}
	s.core.Counts = counts
	s.core.Prober = replica.Prober{Pool: pool}
	if lease != nil {
		s.core.SetLease(lease)
	}
	var ledger once.Ledger
	if k != nil {
		ledger = k
	}
	if cfg.Chat.Listen != "" {
		f, err := chat.New(s.core, pool, cfg.Settings.Classes, instructions, chat.Options{Models: cfg.Chat.Models, MaxOutput: cfg.Chat.MaxOutput, Ledger: ledger})
		if err != nil {
			return nil, err
		}
		s.chat = f
		s.fronts[cfg.Chat.Listen] = f.Server()
	}
	if cfg.Listen != "" {
		s.platform = platform.New(s.core, pool, cfg.Settings, ledger)
		s.fronts[cfg.Listen] = s.platform.Server()
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.core.Run()
	s.watch(cfg)
	return s, nil
}

func bounds(l config.Limits) dispatch.Bounds {
	return dispatch.Bounds{Requests: l.Sockets / 2, Bytes: int(bodyShare * float64(l.MemoryMB<<20))}
}

// canApply reports whether the stack can continue under cfg. If so, learned values, held prefill
// state and running requests are kept.
func (s *stack) canApply(cfg config.Config) bool {
	return s.cfg.Listen == cfg.Listen && reflect.DeepEqual(s.cfg.Chat, cfg.Chat)
}

// apply puts cfg in force on this stack; canApply must have returned true for it.
func (s *stack) apply(cfg config.Config, lease dispatch.Lease) error {
	if err := s.updateSettings(cfg, lease); err != nil {
		return err
	}
	old, set := s.cfg.Settings, cfg.Settings
	listed := cfg.Discovery == "" && !reflect.DeepEqual(cfg.Known, s.cfg.Known)
	// If designated dispatchers read discovery for all, the number of siblings does not affect the
	// watch.
	rewatch := cfg.Discovery != s.cfg.Discovery || listed || set.Siblings != old.Siblings && s.lists == nil || !slices.Equal(set.Kinds, old.Kinds)
	if rewatch && (s.lists == nil || s.lists.isReading()) {
		s.watch(cfg)
	}
	s.cfg = cfg
	return nil
}

// updateSettings passes the settings to the core and the fronts. It may be called from any
// goroutine.
func (s *stack) updateSettings(cfg config.Config, lease dispatch.Lease) error {
	if err := s.core.UpdateSettings(cfg.Settings, bounds(cfg.Limits), lease); err != nil {
		return err
	}
	if s.platform != nil {
		s.platform.UpdateSettings(cfg.Settings)
	}
	if s.chat != nil {
		if err := s.chat.UpdateClasses(cfg.Settings.Classes); err != nil { // config has checked that each model has a class
			log.Printf("chat: %v", err)
		}
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

// followDiscovery makes a stack that is finishing its requests get replica updates from the same
// source as the configuration that replaced it, because its own discovery service may send no more
// updates.
func (s *stack) followDiscovery(cfg config.Config) {
	if s.cfg.Discovery == cfg.Discovery && cfg.Discovery != "" {
		return
	}
	own := s.cfg
	own.Discovery, own.Known = cfg.Discovery, cfg.Known
	s.watch(own)
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

// open serves clients on the ports. The phase becomes ready when the first replica list has arrived
// or wait has passed.
func (s *stack) open(ports map[string]*front.Port, wait time.Duration) error {
	for addr, server := range s.fronts {
		ln := ports[addr].Attach()
		s.listeners = append(s.listeners, ln)
		go func() {
			if err := server.Serve(ln); err != nil {
				log.Printf("front at %s: %v", addr, err)
			}
		}()
	}
	select {
	case <-s.listReceived:
	case <-time.After(wait):
		log.Print("no list from discovery yet: starting with the known list")
	}
	return s.core.Phases.Enter(dispatch.Ready)
}

// finish answers the requests that were accepted, releases prefill state that is held and ends the
// stack. By then its ports are closed or belong to another stack.
func (s *stack) finish() error {
	if s.core.Phases.Now() < dispatch.Leaving {
		if err := s.core.Phases.Enter(dispatch.Leaving); err != nil {
			return err
		}
	}
	for _, ln := range s.listeners {
		ln.DrainConns() // before Shutdown, which drops connections together with any request on them, read or not
	}
	for addr, server := range s.fronts {
		if err := server.Shutdown(); err != nil {
			log.Printf("front at %s: %v", addr, err)
		}
	}
	s.core.Phases.AwaitIdle()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.releaser.AwaitIdle(ctx)
	s.cancel()
	s.core.Stop()
	return s.core.Phases.Enter(dispatch.Stopped)
}
