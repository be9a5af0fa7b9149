package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/appliance"
	"standpulley/internal/config"
	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/front/chat"
	"standpulley/internal/front/platform"
	"standpulley/internal/replica"
)

const (
	memoryShare   = 0.7                    // of the limit that Go may use before it collects harder
	clientShare   = 0.45                   // of the sockets, for clients of all fronts together
	replicaShare  = 0.45                   // and for replicas; the rest is for discovery, files and the console
	firstList     = 500 * time.Millisecond // how long a start waits for discovery, as what is known may be old
	acceptLonger  = 450 * time.Millisecond // new connections still come for 0.4 s after SIGTERM
	acceptedAhead = 50 * time.Millisecond  // and those that the machine has accepted are not lost
	handOver      = 2 * time.Second        // connections of the configuration before may still be used
	releaseAhead  = time.Second            // what is held is let go before the exit, if that takes no longer
	openPerMB     = 2                      // open requests for each MB, as each has a body of up to 256 KiB
)

// stack is all that serves one configuration: a core with its pool, its discovery and its fronts.
type stack struct {
	cfg      config.Config
	core     *dispatch.Dispatcher
	releaser *replica.Releaser
	fronts   map[string]*fasthttp.Server // by address
	heard    chan struct{}
	cancel   context.CancelFunc
}

// newStack makes a stack that is not yet open to clients.
func newStack(cfg config.Config) (*stack, error) {
	limits := cfg.Limits
	pool := replica.NewPool(int(replicaShare*float64(limits.Sockets)), cfg.Settings.ConnIdle, cfg.Settings.ConnectTimeout)
	s := &stack{cfg: cfg, releaser: replica.NewReleaser(pool), fronts: map[string]*fasthttp.Server{}, heard: make(chan struct{}, 1)}
	var err error
	s.core, err = dispatch.New(cfg.Settings, cfg.Seed, cfg.Known.Update(), s.releaser, min(openPerMB*limits.MemoryMB, limits.Sockets/2))
	if err != nil {
		return nil, err
	}
	clients := int(clientShare * float64(limits.Sockets))
	if cfg.Chat.Listen != "" {
		clients /= 2
		f, err := chat.New(s.core, pool, chat.Options{Models: cfg.Chat.Models, MaxOutput: cfg.Chat.MaxOutput})
		if err != nil {
			return nil, err
		}
		s.fronts[cfg.Chat.Listen] = f.Server(clients)
	}
	if cfg.Listen != "" {
		s.fronts[cfg.Listen] = platform.New(s.core, pool).Server(clients)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.core.Run()
	go pool.Sweep(ctx)
	if cfg.Discovery == "" {
		s.heard <- struct{}{}
		return s, nil
	}
	watcher := &discovery.Watcher{Addr: cfg.Discovery, Tell: func(u dispatch.Update) {
		s.core.Tell(u)
		select {
		case s.heard <- struct{}{}:
		default:
		}
	}}
	go watcher.Run(ctx)
	return s, nil
}

// open serves clients on the ports.
func (s *stack) open(ports map[string]*front.Port) error {
	for addr, server := range s.fronts {
		ln := ports[addr].Attach()
		go func() {
			if err := server.Serve(ln); err != nil {
				log.Printf("front at %s: %v", addr, err)
			}
		}()
	}
	select {
	case <-s.heard:
	case <-time.After(firstList):
		log.Print("discovery is silent: starting with the list as it was known")
	}
	return s.core.Phases.Enter(dispatch.Ready)
}

// finish answers what was taken, lets go of what is held and ends the stack. Its ports are closed, or another
// stack's by now.
func (s *stack) finish() error {
	for addr, server := range s.fronts {
		if err := server.Shutdown(); err != nil { // returns when its connections are done
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

// program is the process: the stack in force and the ports that outlive it.
type program struct {
	ports map[string]*front.Port
	now   *stack
	old   sync.WaitGroup // stacks that finish what they had taken
}

// force puts a configuration in force. On an error the one before stays as it was.
func (p *program) force(cfg config.Config) error {
	next, err := newStack(cfg)
	if err != nil {
		return err
	}
	opened := map[string]*front.Port{}
	for addr := range next.fronts {
		if p.ports[addr] != nil {
			continue
		}
		if opened[addr], err = front.Listen(addr); err != nil {
			for a, port := range opened {
				if a != addr {
					port.Finish(0)
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
	runtime.GOMAXPROCS(max(int(cfg.Limits.Cores+0.5), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	before := p.now
	p.now = next
	if err := next.open(p.ports); err != nil {
		return err
	}
	log.Printf("%s: ready", cfg.Name)
	if before == nil {
		return nil
	}
	for addr, port := range p.ports {
		if next.fronts[addr] == nil {
			delete(p.ports, addr)
			go port.Finish(acceptedAhead)
		}
	}
	if err := before.core.Phases.Enter(dispatch.Draining); err != nil {
		return err
	}
	p.old.Add(1)
	go func() {
		defer p.old.Done()
		// A client may be about to use a connection that is idle now: it is answered, and told to close it.
		time.Sleep(handOver)
		if err := before.finish(); err != nil {
			log.Printf("the configuration before: %v", err)
		}
	}()
	return nil
}

// drain accepts for a while longer and finishes what was taken.
func (p *program) drain() error {
	if err := p.now.core.Phases.Enter(dispatch.Draining); err != nil {
		return err
	}
	log.Print("draining")
	time.Sleep(acceptLonger)
	done := make(chan struct{})
	for _, port := range p.ports {
		go func() {
			port.Finish(acceptedAhead)
			done <- struct{}{}
		}()
	}
	for range p.ports {
		<-done
	}
	err := p.now.finish()
	p.old.Wait()
	log.Print("stopped")
	return err
}

// serve is the program from start to exit; m is nil on the platform.
func serve(cfg config.Config, stop <-chan os.Signal, m *managed) error {
	p := &program{ports: map[string]*front.Port{}}
	if err := p.force(cfg); err != nil {
		return err
	}
	if m == nil {
		m = &managed{} // whose channels bring nothing
	}
	for {
		select {
		case <-stop:
			return p.drain()
		case r := <-m.reloads:
			r.reply <- p.force(r.cfg)
		case q := <-m.state:
			view, _ := p.now.core.Inspect() // it runs for as long as it is in force
			q <- appliance.Reply{Name: p.now.cfg.Name, Since: m.since, View: view}
		}
	}
}
