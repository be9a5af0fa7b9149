// Package program is the process from its start to its exit: the stack in force and the ports that outlive it, reload,
// hand-over to another stack, the operators' door and the drain. The phases are those of the core.
//
//	program.go  the process and its loop: signals, the console, reloads
//	stack.go    all that serves one configuration: a core, its discovery and its fronts
//	force.go    how a configuration takes the place of the one before
//	drain.go    the way from SIGTERM to the exit
//	door.go     what the operators' door shows
//	agreed.go   settings on which dispatchers agree
//	lists.go    lists of replicas on which they agree
//	comeback.go the stages in which this dispatcher comes back
//	ledger.go   what they remember together of what must not run twice
//	managed.go  the appliance: a program that serves what is in force in a state folder
//	log.go      a log that nobody waits for
package program

import (
	"context"
	"errors"
	"log"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"standpulley/internal/appliance"
	"standpulley/internal/config"
	"standpulley/internal/dispatch"
	_ "standpulley/internal/earlyhup" // ignored until this program listens
	"standpulley/internal/front"
	"standpulley/internal/replica"
)

// program is the process: the stack in force and the ports that outlive it.
type program struct {
	ports      map[string]*front.Port
	pool       *replica.Pool // this and the gate are the same for all stacks, as the limits are the process's
	gate       *front.ConnLimiter
	now        *stack
	live       atomic.Pointer[stack] // the same, for the operators' door
	door       *front.Port           // and that door
	doorAt     string
	counts     dispatch.Counts // of all stacks
	applied    atomic.Int64    // files taken at SIGHUP
	rejected   atomic.Int64    // and those turned down
	away       atomic.Bool     // operators have emptied the program
	shared     bool            // another process may listen at the clients' address: a new version takes over there
	old        sync.WaitGroup  // stacks that finish what they had taken
	draining   chan struct{}   // closed when the program drains
	toldToStop time.Time       // when SIGTERM came; set before draining is closed
	agreed     *agreed         // nil where dispatchers do not agree on settings
	licence    dispatch.Lease
}

// reload reads the configuration anew and puts it in force; a faulty one changes nothing.
func (p *program) reload(load func() (config.Config, error)) {
	cfg, err := load()
	if err == nil {
		err = cfg.CheckMissingKeys(p.now.cfg)
	}
	if err == nil {
		err = p.adopt(cfg)
	}
	if err != nil {
		p.rejected.Add(1)
		log.Printf("SIGHUP: the configuration in force stays: %v", err)
		return
	}
	p.applied.Add(1)
}

// adopt puts a file in force. Where dispatchers agree on settings, those stay as they are.
func (p *program) adopt(cfg config.Config) (err error) {
	if p.agreed != nil {
		cfg, err = p.agreed.adopt(cfg)
	} else if cfg.Agree.Enabled() {
		err = &config.Fault{Key: "agree", Text: "can't be switched on while the program runs"}
	}
	if err != nil {
		return err
	}
	return p.force(cfg)
}

// Run serves the platform, as the environment says.
func Run() error { return serve(config.FromEnvironment, nil) }

// signals gives the channel on which some signals come. One that comes while another waits adds nothing to it.
func signals(which ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, which...)
	return c
}

// stampedSignals gives the channel on which comes when the first of some signals came. Whoever takes it may be busy with a reload by then.
func stampedSignals(which ...os.Signal) <-chan time.Time {
	came, stamped := signals(which...), make(chan time.Time, 1)
	go func() {
		sig := <-came
		stamped <- time.Now()
		log.Printf("signal: %v", sig)
	}()
	return stamped
}

// serve is the program from start to exit; load reads its configuration, and m is nil on the platform.
func serve(load func() (config.Config, error), m *managed) error {
	hangUp, stop := signals(syscall.SIGHUP), stampedSignals(syscall.SIGTERM, syscall.SIGINT)
	cfg, err := load()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &program{ports: map[string]*front.Port{}, pool: replica.NewPool(0, 0, 0), gate: front.NewConnLimiter(0, 0),
		draining: make(chan struct{})}
	p.gate.OnClose = func(cause dispatch.Cause, client string) { p.counts.Count(dispatch.ClientClosed, cause, client) }
	go p.pool.Sweep(ctx)
	if m == nil {
		p.shared = true
		m = &managed{} // whose channels bring nothing
	}
	var takeups chan takeup
	var reads chan bool
	if cfg.Agree.Enabled() {
		if p.agreed, cfg, err = p.agreeOn(cfg, string(m.dir)); err != nil {
			return err
		}
		takeups = p.agreed.takeups
		if p.agreed.lists != nil {
			reads = p.agreed.lists.orders
		}
	}
	if err := p.force(cfg); err != nil {
		return err
	}
	if p.agreed != nil {
		if err := p.agreed.node.Run(p.agreed); err != nil {
			return err
		}
		if k := p.agreed.keeper; k != nil {
			k.Run()
		}
		if b := p.agreed.back; b != nil {
			go b.run(ctx.Done())
		}
		m.agreed.Store(p.agreed)
	}
	go p.sendAway(ctx)
	for {
		select {
		case told := <-stop:
			err := p.drain(told)
			if p.agreed != nil {
				if k := p.agreed.keeper; k != nil {
					err = errors.Join(err, k.Close())
				}
				p.agreed.node.Leave()
				err = errors.Join(err, p.agreed.node.Close())
			}
			return err
		case <-hangUp:
			log.Print("signal: SIGHUP")
			p.reload(load)
		case r := <-m.reloads:
			r.reply <- p.adopt(r.cfg)
		case yes := <-reads:
			p.now.reads(yes)
		case t := <-takeups:
			before := p.licence
			if t.licence != nil {
				p.licence = t.licence
			}
			err := p.force(t.cfg)
			if err != nil {
				p.licence = before
			}
			t.reply <- err
		case q := <-m.state:
			view, _ := p.now.core.Inspect() // it runs for as long as it is in force
			r := appliance.Reply{Name: p.now.cfg.Name, Since: m.since, View: view}
			if p.agreed != nil {
				p.agreed.console(&r)
			}
			q <- r
		}
	}
}
