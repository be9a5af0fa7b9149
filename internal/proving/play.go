package proving

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"standpulley/internal/agreement"
)

// generous is how long what must happen in the end may take: liveness is not judged by the clock.
const generous = 30 * time.Second

// ErrStart says that a fleet did not come up: nothing was tried.
var ErrStart = errors.New("the fleet does not start")

// play is one trial under way.
type play struct {
	s       Script
	f       *Fleet
	t       *traffic
	began   time.Duration
	mu      sync.Mutex
	wrong   []string
	acked   map[uint64]time.Duration
	history []Operation
	work    sync.WaitGroup // proposals under way

	reg     *registry
	drains  []*Drained
	cold    []Cold
	follows sync.WaitGroup
	over    atomic.Bool

	leader   []*Dispatcher
	leaderAt time.Duration
	leaderAs string
}

func (p *play) fault(form string, args ...any) {
	p.mu.Lock()
	p.wrong = append(p.wrong, fmt.Sprintf(form, args...))
	p.mu.Unlock()
}

// Play carries a script out in a folder and gives the record and the history of the register.
func Play(s Script, program Program, folder string) (Record, []Operation, error) {
	t, err := newTraffic()
	if err != nil {
		return Record{}, nil, err
	}
	defer t.close()
	if s.Fault != "" {
		program.Env = append(slices.Clone(program.Env), FaultEnv+"="+s.Fault)
	}
	if s.Power {
		program.Env = append(slices.Clone(program.Env), fmt.Sprintf("%s=%d", PowerEnv, s.Seed))
	}
	f, err := NewFleet(s, program, folder, t.list, t.spare)
	if err != nil {
		return Record{}, nil, err
	}
	defer f.Close()
	t.now = f.Now
	if s.Ledger != "" {
		t.orders = newOrders(s.Seed, f)
	}
	p := &play{s: s, f: f, t: t, reg: f.reg, acked: map[uint64]time.Duration{}}
	if text, err := f.Run(f.Dispatchers[0], "settings", "init"); err != nil {
		return Record{}, nil, fmt.Errorf("settings init: %w: %s", err, text)
	}
	for _, d := range f.Dispatchers {
		if err := f.Start(d); err != nil {
			return Record{}, nil, err
		}
	}
	if late := p.await(func(o *agreement.Status) bool { return o.Version == 1 && o.LeaseMS > 0 }); late != "" {
		return Record{}, nil, fmt.Errorf("%w: %s", ErrStart, late)
	}
	go t.meter()
	for _, d := range f.Dispatchers {
		t.open.Add(1)
		go t.ask(d, s.Rate)
	}
	p.began = f.Now()
	for _, step := range s.Steps {
		time.Sleep(p.began + length(step.At) - f.Now())
		p.do(step)
	}
	time.Sleep(p.began + length(s.Last) - f.Now())
	p.mend()
	p.work.Wait()
	p.settle()
	p.over.Store(true)
	p.follows.Wait()
	close(t.stop)
	t.open.Wait()
	r := p.record()
	if t.orders != nil {
		r.Orders = t.orders.settle(p, s.Ledger == ledgerOff)
	}
	return r, p.history, nil
}

// do carries out one step.
func (p *play) do(s Step) {
	who, to := p.named(s.Who), p.named(s.To)
	weather := Weather{Delay: length(s.Delay), Jitter: length(s.Delay) / 2, Rate: s.Rate}
	switch s.Do {
	case doCut:
		p.f.between(who, to, func(r *Relay, way int) { r.Set(way, Weather{Lost: true}) })
	case doDelay, doThrottle:
		p.f.between(who, to, func(r *Relay, way int) { r.Set(way, weather) })
	case doReset:
		p.f.between(who, to, func(r *Relay, _ int) { r.Reset(true) })
	case doMend:
		for _, way := range [][2][]*Dispatcher{{who, to}, {to, who}} {
			p.f.between(way[0], way[1], func(r *Relay, way int) {
				r.Set(way, Weather{})
				r.Reset(false) // connections with a hole in them end
			})
		}
	}
	if s.Do == doRegister {
		p.register(s, who)
		return
	}
	if s.Do == doKill { // all in one instant
		var all sync.WaitGroup
		for _, d := range who {
			all.Go(func() { p.f.Signal(d, syscall.SIGKILL) })
		}
		all.Wait()
		return
	}
	for _, d := range who {
		p.one(s, d)
	}
}

// register changes the register, and watches what becomes of a drain.
func (p *play) register(s Step, who []*Dispatcher) {
	switch s.Value {
	case "terminating", "gone":
		p.followDrain(s.Key, false)
	case "in_service":
		p.endDrain(s.Key, p.f.Now())
	}
	switch s.Value {
	case "new":
		if e, ok := p.reg.next(); ok {
			p.cold = append(p.cold, Cold{e.ID, e.Kind, p.f.Now()})
		}
	case "restart":
		p.endAll()
		for _, e := range p.reg.listed() {
			p.cold = append(p.cold, Cold{e.ID, e.Kind, p.f.Now()})
		}
	case "reborn":
		p.cold = append(p.cold, Cold{s.Key, kindOf(s.Key), p.f.Now()})
	}
	if err := p.reg.step(s.Key, s.Value, who); err != nil {
		p.fault("register %s %s: %v", s.Key, s.Value, err)
	}
}

// named is the fleet's, but that the leader or reader stays who it was when a script named it first at that time: a cut takes two steps.
func (p *play) named(word string) []*Dispatcher {
	if word != "leader" && word != "reader" {
		return p.f.named(word)
	}
	if now := p.f.Now(); p.leaderAs != word || now-p.leaderAt > 50*time.Millisecond {
		p.leader, p.leaderAt, p.leaderAs = p.f.named(word), now, word
	}
	return p.leader
}

// one carries out a step that one dispatcher is concerned with.
func (p *play) one(s Step, d *Dispatcher) {
	var err error
	switch s.Do {
	case doForget, doCopy, doRestore, doDisk:
		err = p.f.disk(s, d)
	case doAccept:
		p.work.Go(func() { p.accept(d) })
	case doCrowd:
		p.t.crowds.Store(d.Name, s.Rate)
	case doStop:
		p.f.Signal(d, syscall.SIGSTOP)
	case doCont:
		p.f.Signal(d, syscall.SIGCONT)
	case doTerm:
		p.f.Signal(d, syscall.SIGTERM)
	case doStart:
		if d.Running() && !d.leaving.Load() {
			return // another step has started it
		}
		if d.Running() {
			<-d.ended
		}
		err = p.f.Start(d)
	case doLose:
		p.f.Signal(d, syscall.SIGKILL)
		err = os.Remove(agreement.LogPath(string(d.dir)))
	case doAway:
		err = os.Rename(agreement.LogPath(string(d.dir)), agreement.LogPath(string(d.dir))+".away")
	case doBack:
		p.f.Signal(d, syscall.SIGKILL)
		err = os.Rename(agreement.LogPath(string(d.dir))+".away", agreement.LogPath(string(d.dir)))
	case doRefound:
		err = p.refound(d)
	case doReplace:
		if err = p.f.Start(d); err == nil {
			p.work.Go(func() { p.seat(d) })
		}
	case doHup:
		p.hup(s, d)
	case doPropose, doRollback:
		p.work.Go(func() { p.propose(s, d) })
	case doList:
		p.work.Go(func() { p.order(s, d) })
	case doExpect:
		p.expect(s, d)
	}
	if err != nil {
		p.fault("%s %s: %v", s.Do, d.Name, err)
	}
}

// view reads all of the record at a dispatcher, and notes the read.
func (p *play) view(d *Dispatcher) (*agreement.View, error) {
	call := p.f.Now()
	r, err := p.f.Ask(d, agreement.Command{Do: "view", ViewFilter: agreement.ViewFilter{Section: agreement.SectionSettings}})
	if err != nil {
		return nil, err
	}
	if r.View == nil || r.View.Record.InForce() == nil {
		return nil, fmt.Errorf("%s", r.Error)
	}
	p.note(Operation{Call: call, Return: p.f.Now(), Kind: "show", Number: r.View.Record.InForceNumber, Who: d.Name})
	return r.View, nil
}

func (p *play) note(o Operation) {
	p.mu.Lock()
	p.history = append(p.history, o)
	p.mu.Unlock()
}

// mend makes everything well again: links, stopped and dead processes. A voter whose disk was lost stays as it is.
func (p *play) mend() {
	all := p.f.named("*")
	p.do(Step{Do: doMend, Who: "*", To: "*"})
	if p.reg != nil {
		for _, value := range []string{"unmute", "again"} {
			if err := p.reg.step("", value, all); err != nil {
				p.fault("register %s: %v", value, err)
			}
		}
	}
	for _, d := range all {
		if err := p.f.disk(Step{Do: doDisk, Value: "well"}, d); err != nil {
			p.fault("%s: %v", d.Name, err)
		}
		if d.Running() && d.stopped.Load() {
			p.f.Signal(d, syscall.SIGCONT)
		}
		if !d.Running() {
			if err := p.f.Start(d); err != nil {
				p.fault("start %s: %v", d.Name, err)
			}
		}
	}
}

// settle waits until all dispatchers hold the version in force under a lease: nothing was undone and all agree again.
func (p *play) settle() {
	var force uint64
	late := p.await(func(o *agreement.Status) bool {
		if force == 0 {
			for _, d := range p.f.Dispatchers {
				if v, err := p.view(d); err == nil && v.Record.InProgress() == nil {
					force = v.Record.InForceNumber
					break
				}
			}
		}
		if slices.Contains(p.s.Astray, o.Name) {
			return o.LeaseMS == 0
		}
		if slices.Contains(p.s.Picky, o.Name) && o.Unfit != nil && o.LeaseMS == 0 {
			return true // the version came into force while it had no lease; it can't act on it, and does not
		}
		if o.Unfit != nil && strings.Contains(o.Unfit.Reason, "brought this dispatcher down twice") && o.LeaseMS == 0 {
			return true // it was killed twice right after it took that version up, and it says so
		}
		return force != 0 && o.Version == force && o.LeaseMS > 0
	})
	if late != "" {
		p.fault("in the end not all agree: %s", late)
	}
}

// await waits until something holds for all dispatchers, generously, and names one for which it does not.
func (p *play) await(holds func(o *agreement.Status) bool) (late string) {
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		late = ""
		for _, d := range p.f.Dispatchers {
			if r, err := p.f.Ask(d, agreement.Command{Do: "own"}); err != nil {
				late = fmt.Sprintf("%s: %v", d.Name, err)
			} else if r.Status == nil || !holds(r.Status) {
				late = fmt.Sprintf("%s: %+v %s", d.Name, r.Status, r.Error)
			}
			if late != "" {
				break
			}
		}
		if late == "" {
			return ""
		}
	}
	return late
}

// read gives the ids of requests, of those that were sent once more, that a dispatcher's log tells of.
func (p *play) read() map[string]bool {
	read := map[string]bool{}
	for _, a := range p.t.asked {
		if a.Unread != "" {
			read[a.Unread] = false
		}
	}
	if len(read) == 0 {
		return read
	}
	for _, d := range p.f.Dispatchers {
		text, err := os.ReadFile(p.f.logOf(d))
		if err != nil {
			p.fault("%v", err)
		}
		for word := range bytes.FieldsSeq(text) {
			if _, asked := read[string(word)]; asked {
				read[string(word)] = true
			}
		}
	}
	return read
}

func (p *play) record() Record {
	r := Record{Read: p.read(), Within: length(p.s.Within), Alone: p.s.Alone, Acts: p.t.acts, Asked: p.t.asked, Runs: p.t.runs, Drains: p.drains, Cold: p.cold, Downs: p.f.downs, Wrong: p.wrong}
	for _, d := range p.f.Dispatchers {
		if view, err := p.view(d); err == nil {
			for _, v := range view.Record.Versions {
				r.Versions = append(r.Versions, Version{v.Number, v.Fingerprint, v.State, v.Keys, p.acked[v.Number]})
			}
			return r
		}
	}
	r.Wrong = append(r.Wrong, "in the end nobody shows the versions")
	return r
}
