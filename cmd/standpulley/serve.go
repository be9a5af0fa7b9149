package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/config"
	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
	"standpulley/internal/front"
	"standpulley/internal/front/platform"
	"standpulley/internal/replica"
)

const (
	memoryShare   = 0.7                    // of the limit that Go may use before it collects harder
	clientShare   = 0.45                   // of the sockets, for clients
	replicaShare  = 0.45                   // and for replicas; the rest is for discovery, files and the console
	firstList     = 500 * time.Millisecond // how long a start waits for discovery, as what is known may be old
	acceptLonger  = 450 * time.Millisecond // new connections still come for 0.4 s after SIGTERM
	acceptedAhead = 50 * time.Millisecond  // and those that the machine has accepted are not lost
	openPerMB     = 8                      // open requests for each MB, each with its body at worst half of it
)

// serve is the program from start to exit.
func serve(cfg config.Config, stop <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(int(cfg.Limits.Cores+0.5), 1))
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.MemoryMB) * (1 << 20)))

	pool := replica.NewPool(int(replicaShare*float64(cfg.Limits.Sockets)), cfg.Settings.ConnIdle, cfg.Settings.ConnectTimeout)
	releaser := replica.NewReleaser(pool)
	core, err := dispatch.New(cfg.Settings, cfg.Seed, cfg.Known.Update(), releaser, openMost(cfg.Limits))
	if err != nil {
		return err
	}
	go core.Run()
	defer core.Stop()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.Sweep(ctx)
	heard := make(chan struct{}, 1)
	watcher := &discovery.Watcher{Addr: cfg.Discovery, Index: cfg.Known.Version, Tell: func(u dispatch.Update) {
		core.Tell(u)
		select {
		case heard <- struct{}{}:
		default:
		}
	}}
	go watcher.Run(ctx)

	tcp, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("key listen: %w", err)
	}
	listener := &front.Listener{Listener: tcp}
	server := platform.New(core, pool).Server(int(clientShare * float64(cfg.Limits.Sockets)))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()

	select {
	case <-heard:
	case <-time.After(firstList):
		log.Print("discovery is silent: starting with the list as it was known")
	}
	if err := core.Phases.Enter(dispatch.Ready); err != nil {
		return err
	}
	log.Printf("%s: ready at %s", cfg.Name, cfg.Listen)
	select {
	case err := <-ended:
		return fmt.Errorf("listener: %w", err)
	case <-stop:
	}
	return drain(core, server, listener, releaser)
}

// drain accepts for a while longer, finishes what was taken and lets go of what is held.
func drain(core *dispatch.Dispatcher, server *fasthttp.Server, listener *front.Listener, releaser *replica.Releaser) error {
	if err := core.Phases.Enter(dispatch.Draining); err != nil {
		return err
	}
	log.Print("draining")
	time.Sleep(acceptLonger)
	listener.Finish(acceptedAhead)
	if err := server.Shutdown(); err != nil { // returns when every connection is done
		log.Printf("shutdown: %v", err)
	}
	core.Phases.AwaitIdle()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	releaser.AwaitIdle(ctx)
	log.Print("stopped")
	return core.Phases.Enter(dispatch.Stopped)
}

func openMost(l config.Limits) int { return min(l.MemoryMB*openPerMB/4, l.Sockets/2) }
