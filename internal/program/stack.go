package program

import (
	"context"
	"log"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/bookkeeping"
	"standpulley/internal/config"
	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/front/chat"
	"standpulley/internal/front/once"
	"standpulley/internal/front/platform"
	"standpulley/internal/replica"
)

const (
	handOver     = 2 * time.Second // connections of the configuration before may still be used
	releaseAhead = time.Second     // what is held is let go before the exit, if that takes no longer
	bodyShare    = 0.25            // of the memory, for the bodies of open requests
)

// stack is all that serves one configuration: a core, its discovery and its fronts.
type stack struct {
	cfg      config.Config
	core     *dispatch.Dispatcher
	releaser *replica.Releaser
	platform *platform.Front             // if there is one
	chat     *chat.Front                 // likewise
	fronts   map[string]*fasthttp.Server // by address
	accepts  []*front.Listener           // of the fronts
	heard    chan struct{}
	ctx      context.Context // ends with the stack
	cancel   context.CancelFunc
	unwatch  context.CancelFunc // ends the watches of discovery
	known    *int64             // version of the list with which the first of them begins; nil: it asks for the whole
	telling  sync.Mutex         // held by the watch that tells
	lists    *lists             // nil where each dispatcher goes by its own register
}

// newStack makes a stack that knows the replicas of a list, whose version at its discovery is at, if it came from there. It is not yet open
// to clients.
func newStack(cfg config.Config, known dispatch.Update, at *int64, pool *replica.Pool, counts *dispatch.Counts, licence dispatch.Lease, l *lists, k *bookkeeping.Service) (*stack, error) {
	s := &stack{cfg: cfg, releaser: replica.NewReleaser(pool), fronts: map[string]*fasthttp.Server{}, heard: make(chan struct{}, 1),
		unwatch: func() {}, lists: l, known: at}
	var err error
	s.core, err = dispatch.New(cfg.Settings, cfg.Seed, known, s.releaser, bounds(cfg.Limits))
	if err != nil {
		return nil, err
	}
	s.core.Counts = counts
	s.core.Prober = replica.Prober{Pool: pool}
	if licence != nil {
		s.core.SetLease(licence)
	}
	var remembered once.Ledger
	if k != nil {
		remembered = k
	}
	if cfg.Chat.Listen != "" {
		f, err := chat.New(s.core, pool, cfg.Settings.Classes, chat.Options{Models: cfg.Chat.Models, MaxOutput: cfg.Chat.MaxOutput, Ledger: remembered})
		if err != nil {
			return nil, err
		}
		s.chat = f
		s.fronts[cfg.Chat.Listen] = f.Server()
	}
	if cfg.Listen != "" {
		s.platform = platform.New(s.core, pool, cfg.Settings, remembered)
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

// takesUp tells whether the stack can go on under another configuration: what was learned, is held and runs stays.
func (s *stack) takesUp(cfg config.Config) bool {
	return s.cfg.Listen == cfg.Listen && reflect.DeepEqual(s.cfg.Chat, cfg.Chat)
}

// takeUp puts a configuration in force that the stack can go on under.
func (s *stack) takeUp(cfg config.Config, licence dispatch.Lease) error {
	if err := s.retune(cfg, licence); err != nil {
		return err
	}
	old, set := s.cfg.Settings, cfg.Settings
	listed := cfg.Discovery == "" && !reflect.DeepEqual(cfg.Known, s.cfg.Known)
	// Where some read the register for all, how many there are changes nothing for them.
	another := cfg.Discovery != s.cfg.Discovery || listed || set.Siblings != old.Siblings && s.lists == nil || !slices.Equal(set.Kinds, old.Kinds)
	if another && (s.lists == nil || s.lists.reading()) {
		s.watch(cfg)
	}
	s.cfg = cfg
	return nil
}

// retune hands the settings to all that acts on them. It may be called from any goroutine.
func (s *stack) retune(cfg config.Config, licence dispatch.Lease) error {
	if err := s.core.UpdateSettings(cfg.Settings, bounds(cfg.Limits), licence); err != nil {
		return err
	}
	if s.platform != nil {
		s.platform.UpdateSettings(cfg.Settings)
	}
	if s.chat != nil {
		if err := s.chat.UpdateClasses(cfg.Settings.Classes); err != nil { // config has checked that each model has its class
			log.Printf("chat: %v", err)
		}
	}
	return nil
}

// watch follows the discovery that cfg names. The watches before it go on until this one has brought its list, but
// no longer than a moment: they may still have something to tell. What they say after that is not heard.
func (s *stack) watch(cfg config.Config) {
	s.cfg = cfg
	before := s.unwatch
	ctx, cancel := context.WithCancel(s.ctx)
	s.unwatch = func() { cancel(); before() }
	tell := func(u dispatch.Update) {
		s.telling.Lock()
		defer s.telling.Unlock()
		if ctx.Err() != nil {
			return
		}
		before()
		if s.lists != nil {
			s.lists.hear(u)
		} else {
			s.core.UpdateServers(u)
		}
		select {
		case s.heard <- struct{}{}:
		default:
		}
	}
	if cfg.Discovery == "" {
		tell(cfg.Known.Update())
		return
	}
	time.AfterFunc(handOver, before)
	w := &discovery.Watcher{Addr: cfg.Discovery, Siblings: cfg.Settings.Siblings, PushMode: !cfg.Settings.ListOnRequest, KnownVersion: s.known, Kinds: cfg.Settings.Kinds, OnUpdate: tell}
	s.known = nil
	if s.lists != nil {
		w.OnResult = s.lists.heard
	}
	go w.Run(ctx)
}

// follow has a stack that finishes what it took hear of replicas where the configuration that has taken its place does: the discovery
// before may say nothing more.
func (s *stack) follow(cfg config.Config) {
	if s.cfg.Discovery == cfg.Discovery && cfg.Discovery != "" {
		return
	}
	own := s.cfg
	own.Discovery, own.Known = cfg.Discovery, cfg.Known
	s.watch(own)
}

// reads starts or stops the watch of discovery, where somebody else may do it for this dispatcher.
func (s *stack) reads(yes bool) {
	if yes {
		s.watch(s.cfg)
	} else if s.cfg.Discovery != "" {
		s.unwatch()
		s.unwatch = func() {}
	}
}

// open serves clients on the ports, from the time that the list is there, or wait has passed.
func (s *stack) open(ports map[string]*front.Port, wait time.Duration) error {
	for addr, server := range s.fronts {
		ln := ports[addr].Attach()
		s.accepts = append(s.accepts, ln)
		go func() {
			if err := server.Serve(ln); err != nil {
				log.Printf("front at %s: %v", addr, err)
			}
		}()
	}
	select {
	case <-s.heard:
	case <-time.After(wait):
		log.Print("no list from discovery yet: starting with the one that was known")
	}
	return s.core.Phases.Enter(dispatch.Ready)
}

// finish answers what was taken, lets go of what is held and ends the stack. Its ports are closed, or another
// stack's by now.
func (s *stack) finish() error {
	if s.core.Phases.Now() < dispatch.Leaving {
		if err := s.core.Phases.Enter(dispatch.Leaving); err != nil {
			return err
		}
	}
	for _, ln := range s.accepts {
		ln.DrainConns() // first: what the server's own end finds on a connection it drops, read or not
	}
	for addr, server := range s.fronts {
		if err := server.Shutdown(); err != nil {
			log.Printf("front at %s: %v", addr, err)
		}
	}
	s.core.Phases.AwaitIdle()
	ctx, cancel := context.WithTimeout(context.Background(), releaseAhead)
	defer cancel()
	s.releaser.AwaitIdle(ctx)
	s.cancel()
	s.core.Stop()
	return s.core.Phases.Enter(dispatch.Stopped)
}
