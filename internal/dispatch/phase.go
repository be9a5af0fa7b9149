package dispatch

import (
	"fmt"
	"log"
	"sync"
)

// Phase is a state of the program between its start and its exit.
type Phase uint8

// The phases in their order. No phase is entered twice.
const (
	Starting Phase = iota // not yet open to clients
	Ready                 // serving
	Draining              // told to stop; requests on open connections are still served
	Leaving               // accepted requests are finished; connections are not kept
	Stopped               // nothing is open any more
)

func (p Phase) String() string {
	return [...]string{"starting", "ready", "draining", "leaving", "stopped"}[p]
}

// Phases holds the phase of the program and counts the open requests, which must end before it may
// stop.
type Phases struct {
	mu        sync.Mutex
	now       Phase
	open      int
	diverting bool // clients are told to go elsewhere while an operator drains the program
	// leaseReady reports whether the lease allows serving; nil if dispatchers do not agree on
	// settings.
	leaseReady func() bool
	canServe   bool // the known replicas can serve a request between them
	idle       *sync.Cond
}

func newPhases() *Phases {
	p := &Phases{}
	p.idle = sync.NewCond(&p.mu)
	return p
}

// Now returns the current phase.
func (p *Phases) Now() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// Enter moves on to a later phase. Going back is an error.
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

// SetDiverting starts or stops telling clients to go elsewhere. The phase does not change, and
// requests that still arrive are served.
func (p *Phases) SetDiverting(diverting bool) {
	p.mu.Lock()
	p.diverting = diverting
	p.mu.Unlock()
}

// setLeaseCheck makes a valid lease a condition of AcceptsClients.
func (p *Phases) setLeaseCheck(ready func() bool) {
	p.mu.Lock()
	p.leaseReady = ready
	p.mu.Unlock()
}

// CanServe reports whether the known replicas can serve a request between them.
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

// AcceptsClients reports whether new clients should come. They should not come to a program that
// could not serve them.
func (p *Phases) AcceptsClients() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now == Ready && p.canServe && !p.diverting && (p.leaseReady == nil || p.leaseReady())
}

// KeepAlive reports whether clients may keep their connections after an answer.
func (p *Phases) KeepAlive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now < Leaving && !p.diverting
}

// begin and end count the open requests: those without an answer, with a stream that runs or with
// state to be released.
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
