package dispatch

import (
	"fmt"
	"log"
	"sync"
)

// Phase is a state of the program between its start and its exit.
type Phase uint8

// The phases, in their order. None is entered twice.
const (
	Starting Phase = iota // not yet open to clients
	Ready                 // serving
	Draining              // told to stop: what comes on connections that are open is still served
	Leaving               // what was taken is finished, connections are not kept
	Stopped               // nothing is open any more
)

func (p Phase) String() string {
	return [...]string{"starting", "ready", "draining", "leaving", "stopped"}[p]
}

// Phases holds the program's phase and counts what must be answered before it may stop.
type Phases struct {
	mu         sync.Mutex
	now        Phase
	open       int
	diverting  bool        // clients are sent away for a while: an operator empties the program
	leaseReady func() bool // leave to serve, where dispatchers agree on settings
	canServe   bool        // replicas are known that could serve a request between them
	idle       *sync.Cond
}

func newPhases() *Phases {
	p := &Phases{}
	p.idle = sync.NewCond(&p.mu)
	return p
}

// Now is the present phase.
func (p *Phases) Now() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// Enter goes on to a later phase; going back is an error.
func (p *Phases) Enter(next Phase) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next <= p.now {
		return fmt.Errorf("phase %v does not follow %v", next, p.now)
	}
	log.Printf("phase: %v after %v", next, p.now)
	p.now = next
	return nil
}

// SetDiverting sends clients away from now on, or takes them again. The phase stays: what comes all the same is served.
func (p *Phases) SetDiverting(diverting bool) {
	p.mu.Lock()
	p.diverting = diverting
	p.mu.Unlock()
}

// under makes leave to serve a condition for clients to come.
func (p *Phases) setLeaseCheck(ready func() bool) {
	p.mu.Lock()
	p.leaseReady = ready
	p.mu.Unlock()
}

// CanServe tells whether replicas are known that could serve a request between them.
func (p *Phases) CanServe() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.canServe
}

func (p *Phases) setCanServe(canServe bool) {
	p.mu.Lock()
	p.canServe = canServe
	p.mu.Unlock()
}

// AcceptsClients tells whether clients may come: not to a program that could serve none of them.
func (p *Phases) AcceptsClients() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now == Ready && p.canServe && !p.diverting && (p.leaseReady == nil || p.leaseReady())
}

// KeepAlive tells whether clients may keep their connections after an answer.
func (p *Phases) KeepAlive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now < Leaving && !p.diverting
}

// begin and end count the requests that are owed an answer or whose stream runs.
func (p *Phases) begin() {
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
}

func (p *Phases) end() {
	p.mu.Lock()
	if p.open--; p.open == 0 {
		p.idle.Broadcast()
	}
	p.mu.Unlock()
}

// AwaitIdle returns when no request is open.
func (p *Phases) AwaitIdle() {
	p.mu.Lock()
	for p.open > 0 {
		p.idle.Wait()
	}
	p.mu.Unlock()
}
