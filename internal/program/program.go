// Package program runs the dispatcher process from start to exit: the core, the fronts and their
// listening ports, configuration reload, the admin endpoint and the drain on shutdown. The phases
// are those of dispatch.Phases.
//
//	program.go    the process and its main loop: signals, the console, reloads
//	stack.go      everything that serves clients: the core, its discovery and its fronts
//	fronts.go     the fronts at the addresses of the configuration in force
//	apply.go      how a configuration replaces the one before
//	claims.go     the table of ids that must not run twice
//	memory.go     what takes the memory, for operators
//	limits.go     the bounds that follow from the limits of a configuration
//	drain.go      the shutdown sequence from SIGTERM to exit
//	admin.go      what the admin endpoint shows and does
//	agreement.go  settings that dispatchers agree on
//	lists.go      replica lists that dispatchers agree on
//	recovery.go   the recovery stages of this dispatcher after a start
//	ledger.go     the shared ledger of requests that must not run twice
//	appliance.go  the appliance, which serves the configuration in force in a state folder
//	log.go        a log writer that never blocks its callers
package program

import (
	"context"
	"errors"
	"log"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"standpulley/internal/appliance"
	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	_ "standpulley/internal/earlyhup" // ignores SIGHUP until this program handles it
	"standpulley/internal/front"
	"standpulley/internal/front/chat"
	"standpulley/internal/replica"
)

// program is the state of the process.
type program struct {
	ports map[string]*front.Port
	// The limits of pool, limiter, decoding and instructions apply to the whole process.
	pool          *replica.Pool
	limiter       *front.ConnLimiter
	decoding      *chat.DecodeBudget
	instructions  *chat.Instructions
	current       *stack
	live          atomic.Pointer[stack] // same as current, read by the admin endpoint
	adminPort     *front.Port           // port of the admin endpoint
	adminAddr     string
	counts        dispatch.Counts
	applied       atomic.Int64 // configurations applied on SIGHUP
	rejected      atomic.Int64 // configurations rejected on SIGHUP
	operatorDrain atomic.Bool  // an operator has drained the program
	// Another process may listen on the client address, so that a new version can take over.
	shared    bool
	draining  chan struct{}     // closed when the program starts to drain
	sigtermAt time.Time         // when SIGTERM arrived; set before draining is closed
	agreement *agreementAdapter // nil if dispatchers do not agree on settings
	lease     dispatch.Lease
}

// newProgram returns a program that serves nothing yet. Its limits are set with the first
// configuration.
func newProgram() *program {
	return &program{ports: map[string]*front.Port{}, pool: replica.NewPool(0, 0, 0), limiter: front.NewConnLimiter(0, 0),
		decoding: &chat.DecodeBudget{}, instructions: chat.NewInstructions(), draining: make(chan struct{})}
}

// reload reads the configuration again and applies it. A faulty configuration changes nothing.
func (p *program) reload(load func() (config.Config, error)) {
	cfg, err := load()
	if err == nil {
		err = cfg.CheckMissingKeys(p.current.cfg)
	}
	if err == nil {
		err = p.adopt(cfg)
	}
	if err != nil {
		p.rejected.Add(1)
		log.Printf("SIGHUP: keeping the configuration in force: %v", err)
		return
	}
	p.applied.Add(1)
}

// adopt applies a configuration file. Where dispatchers agree on settings, the agreed settings stay
// in force and only the rest of the file is applied.
func (p *program) adopt(cfg config.Config) (err error) {
	if p.agreement != nil {
		cfg, err = p.agreement.adopt(cfg)
	} else if cfg.Agree.Enabled() {
		err = &config.Fault{Key: "agree", Text: "can't be switched on while the program runs"}
	}
	if err != nil {
		return err
	}
	return p.apply(cfg)
}

// Run serves the platform with the configuration that the environment names.
func Run() error { return serve(config.FromEnvironment, nil) }

// signals returns a channel that receives the given signals. A signal that arrives while another is
// pending is dropped.
func signals(which ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, which...)
	return c
}

// timedSignals returns a channel that receives the arrival time of the first of the given signals.
// The time is taken on arrival because the receiver may be busy with a reload.
func timedSignals(which ...os.Signal) <-chan time.Time {
	received, arrivals := signals(which...), make(chan time.Time, 1)
	go func() {
		sig := <-received
		arrivals <- time.Now()
		log.Printf("signal: %v", sig)
	}()
	return arrivals
}

// serve runs the program from start to exit. load reads its configuration; m is nil on the
// platform.
func serve(load func() (config.Config, error), m *applianceConsole) error {
	sighup, stop := signals(syscall.SIGHUP), timedSignals(syscall.SIGTERM, syscall.SIGINT)
	cfg, err := load()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newProgram()
	p.limiter.OnClose = func(cause dispatch.Cause, client string) { p.counts.Count(dispatch.ClientClosed, cause, client) }
	go p.pool.Sweep(ctx)
	if m == nil {
		p.shared = true
		m = &applianceConsole{} // its nil channels never receive
	}
	var applyRequests chan applyRequest
	var watchOrders chan bool
	if cfg.Agree.Enabled() {
		if p.agreement, cfg, err = p.openAgreement(cfg, string(m.dir)); err != nil {
			return err
		}
		applyRequests = p.agreement.applyRequests
		if p.agreement.lists != nil {
			watchOrders = p.agreement.lists.watchOrders
		}
	}
	if err := p.apply(cfg); err != nil {
		return err
	}
	if p.agreement != nil {
		if err := p.agreement.node.Run(p.agreement); err != nil {
			return err
		}
		if keeper := p.agreement.keeper; keeper != nil {
			keeper.Run()
		}
		if b := p.agreement.recovery; b != nil {
			go b.run(ctx.Done())
		}
		m.agreement.Store(p.agreement)
	}
	go p.closeIdleClients(ctx)
	go p.watchMemory(ctx)
	for {
		select {
		case termAt := <-stop:
			err := p.drain(termAt)
			if p.agreement != nil {
				if keeper := p.agreement.keeper; keeper != nil {
					err = errors.Join(err, keeper.Close())
				}
				p.agreement.node.Leave()
				err = errors.Join(err, p.agreement.node.Close())
			}
			return err
		case <-sighup:
			log.Print("signal: SIGHUP")
			p.reload(load)
		case r := <-m.reloads:
			r.reply <- p.adopt(r.cfg)
		case on := <-watchOrders:
			p.current.setWatching(on)
		case t := <-applyRequests:
			before := p.lease
			if t.lease != nil {
				p.lease = t.lease
			}
			err := p.apply(t.cfg)
			if err != nil {
				p.lease = before
			}
			t.reply <- err
		case q := <-m.state:
			view, _ := p.current.core.Inspect() // the core runs as long as its stack is in force
			r := appliance.Reply{Name: p.current.cfg.Name, Since: m.since, View: view}
			if p.agreement != nil {
				p.agreement.fillConsole(&r)
			}
			q <- r
		}
	}
}
