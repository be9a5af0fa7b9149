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

	"standpulley/internal/cluster"
)

// eventualTimeout is how long something that must happen eventually may take: liveness is not
// judged by the clock, so it is generous.
const eventualTimeout = 30 * time.Second

// ErrStart means that a fleet did not start, so the trial did not take place.
var ErrStart = errors.New("the fleet did not start")

// play is one trial in progress.
type play struct {
	script         Script
	fleet          *Fleet
	traffic        *traffic
	began          time.Duration
	mu             sync.Mutex
	problems       []string
	acknowledgedAt map[uint64]time.Duration
	operations     []Operation
	background     sync.WaitGroup // proposals and operator commands in progress

	registry      *registry
	drains        []*Drain
	coldReplicas  []ColdReplica
	drainWatchers sync.WaitGroup
	finished      atomic.Bool

	resolved     []*Dispatcher
	resolvedAt   time.Duration
	resolvedName string
}

// problemf records a failure that the script runner found.
func (p *play) problemf(format string, args ...any) {
	p.mu.Lock()
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
	p.mu.Unlock()
}

// Play runs a script in a folder and returns the record and the history of accesses to the settings
// record.
func Play(script Script, program Program, folder string) (Record, []Operation, error) {
	t, err := newTraffic()
	if err != nil {
		return Record{}, nil, err
	}
	defer t.close()
	if script.Fault != "" {
		program.Env = append(slices.Clone(program.Env), FaultEnv+"="+script.Fault)
	}
	if script.PowerLoss {
		program.Env = append(slices.Clone(program.Env), fmt.Sprintf("%s=%d", PowerLossEnv, script.Seed))
	}
	f, err := NewFleet(script, program, folder, t.list, t.spare)
	if err != nil {
		return Record{}, nil, err
	}
	defer f.Close()
	t.now = f.Now
	if script.Ledger != "" {
		t.instructions = newInstructionSet(script.Seed, f)
	}
	p := &play{script: script, fleet: f, traffic: t, registry: f.registry, acknowledgedAt: map[uint64]time.Duration{}}
	if text, err := f.Run(f.Dispatchers[0], "settings", "init"); err != nil {
		return Record{}, nil, fmt.Errorf("settings init: %w: %s", err, text)
	}
	for _, d := range f.Dispatchers {
		if err := f.Start(d); err != nil {
			return Record{}, nil, err
		}
	}
	if pending := p.waitAll(func(o *cluster.Status) bool { return o.Version == 1 && o.LeaseMS > 0 }); pending != "" {
		return Record{}, nil, fmt.Errorf("%w: %s", ErrStart, pending)
	}
	go t.measureStalls()
	for _, d := range f.Dispatchers {
		t.inFlight.Add(1)
		go t.sendLoop(d, script.Rate)
	}
	p.began = f.Now()
	for _, step := range script.Steps {
		time.Sleep(p.began + duration(step.At) - f.Now())
		p.runStep(step)
	}
	time.Sleep(p.began + duration(script.Last) - f.Now())
	p.repair()
	p.background.Wait()
	p.waitAgreed()
	p.finished.Store(true)
	p.drainWatchers.Wait()
	close(t.stop)
	t.inFlight.Wait()
	r := p.record()
	if t.instructions != nil {
		r.Instructions = t.instructions.collectStatuses(p, script.Ledger == ledgerOff)
	}
	return r, p.operations, nil
}

// runStep runs one step.
func (p *play) runStep(step Step) {
	from, to := p.resolve(step.Who), p.resolve(step.To)
	conditions := LinkConditions{Delay: duration(step.Delay), Jitter: duration(step.Delay) / 2, Rate: step.Rate}
	switch step.Do {
	case doCut:
		p.fleet.eachRelay(from, to, func(r *Relay, dir int) { r.Set(dir, LinkConditions{Drop: true}) })
	case doDelay, doThrottle:
		p.fleet.eachRelay(from, to, func(r *Relay, dir int) { r.Set(dir, conditions) })
	case doReset:
		p.fleet.eachRelay(from, to, func(r *Relay, _ int) { r.Reset(true) })
	case doMend:
		for _, pair := range [][2][]*Dispatcher{{from, to}, {to, from}} {
			p.fleet.eachRelay(pair[0], pair[1], func(r *Relay, dir int) {
				r.Set(dir, LinkConditions{})
				r.Reset(false) // connections that lost bytes end
			})
		}
	}
	if step.Do == doRegistry {
		p.changeRegistry(step, from)
		return
	}
	if step.Do == doKill { // all at the same instant
		var all sync.WaitGroup
		for _, d := range from {
			all.Go(func() { p.fleet.Signal(d, syscall.SIGKILL) })
		}
		all.Wait()
		return
	}
	for _, d := range from {
		p.runStepOn(step, d)
	}
}

// changeRegistry changes the registry, and starts to observe a drain or ends it.
func (p *play) changeRegistry(step Step, who []*Dispatcher) {
	switch step.Value {
	case "terminating", "gone":
		p.watchDrain(step.Key, false)
	case "in_service":
		p.markDrainEnd(step.Key, p.fleet.Now())
	}
	switch step.Value {
	case "new":
		if e, ok := p.registry.nextSpare(); ok {
			p.coldReplicas = append(p.coldReplicas, ColdReplica{e.ID, e.Kind, p.fleet.Now()})
		}
	case "restart":
		p.endRegistryDrains()
		for _, e := range p.registry.entries() {
			p.coldReplicas = append(p.coldReplicas, ColdReplica{e.ID, e.Kind, p.fleet.Now()})
		}
	case "reborn":
		p.coldReplicas = append(p.coldReplicas, ColdReplica{step.Key, kindOf(step.Key), p.fleet.Now()})
	}
	if err := p.registry.apply(step.Key, step.Value, who); err != nil {
		p.problemf("register %s %s: %v", step.Key, step.Value, err)
	}
}

// resolve returns what Fleet.resolve does, except that a role such as "leader" means the same dispatcher
// for 50 ms after a script first named it. Both steps of a cut in two directions therefore concern
// the same dispatcher.
func (p *play) resolve(name string) []*Dispatcher {
	if name != "leader" && name != "reader" && name != "nonreader" {
		return p.fleet.resolve(name)
	}
	if now := p.fleet.Now(); p.resolvedName != name || now-p.resolvedAt > 50*time.Millisecond {
		p.resolved, p.resolvedAt, p.resolvedName = p.fleet.resolve(name), now, name
	}
	return p.resolved
}

// runStepOn runs a step on one dispatcher.
func (p *play) runStepOn(step Step, d *Dispatcher) {
	var err error
	switch step.Do {
	case doLoseLedger, doCopyLedger, doRestoreLedger, doLedgerDisk:
		err = p.fleet.applyLedgerStep(step, d)
	case doAcceptLedger:
		p.background.Go(func() { p.acceptLedger(d) })
	case doSurge:
		p.traffic.surges.Store(d.Name, step.Rate)
	case doStop:
		p.fleet.Signal(d, syscall.SIGSTOP)
	case doCont:
		p.fleet.Signal(d, syscall.SIGCONT)
	case doTerm:
		p.fleet.Signal(d, syscall.SIGTERM)
	case doStart:
		if d.Running() && !d.terminating.Load() {
			return // another step has started it
		}
		if d.Running() {
			<-d.exited
		}
		err = p.fleet.Start(d)
	case doLoseDisk:
		p.fleet.Signal(d, syscall.SIGKILL)
		err = os.Remove(cluster.LogPath(string(d.dir)))
	case doRemoveDisk:
		err = os.Rename(cluster.LogPath(string(d.dir)), cluster.LogPath(string(d.dir))+".away")
	case doReturnDisk:
		p.fleet.Signal(d, syscall.SIGKILL)
		err = os.Rename(cluster.LogPath(string(d.dir))+".away", cluster.LogPath(string(d.dir)))
	case doRebootstrap:
		err = p.rebootstrap(d)
	case doReplace:
		if err = p.fleet.Start(d); err == nil {
			p.background.Go(func() { p.assignSeat(d) })
		}
	case doHup:
		p.changeFileAndReload(step, d)
	case doPropose, doRollback:
		p.background.Go(func() { p.propose(step, d) })
	case doListOrder:
		p.background.Go(func() { p.changeList(step, d) })
	case doExpect:
		p.expect(step, d)
	}
	if err != nil {
		p.problemf("%s %s: %v", step.Do, d.Name, err)
	}
}

// view reads the whole settings record at a dispatcher, and adds the read to the history.
func (p *play) view(d *Dispatcher) (*cluster.View, error) {
	call := p.fleet.Now()
	r, err := p.fleet.SendCommand(d, cluster.Command{Do: "view", ViewFilter: cluster.ViewFilter{Section: cluster.SectionSettings}})
	if err != nil {
		return nil, err
	}
	if r.View == nil || r.View.Record.InForce() == nil {
		return nil, fmt.Errorf("%s", r.Error)
	}
	p.recordOperation(Operation{Call: call, Return: p.fleet.Now(), Kind: "show", Number: r.View.Record.InForceNumber, Dispatcher: d.Name})
	return r.View, nil
}

func (p *play) recordOperation(o Operation) {
	p.mu.Lock()
	p.operations = append(p.operations, o)
	p.mu.Unlock()
}

// repair undoes all faults: those of links, agents and disks, and stopped or killed processes. A
// voter whose log was lost remains without it.
func (p *play) repair() {
	all := p.fleet.resolve("*")
	p.runStep(Step{Do: doMend, Who: "*", To: "*"})
	if p.registry != nil {
		for _, value := range []string{"unmute", "again"} {
			if err := p.registry.apply("", value, all); err != nil {
				p.problemf("register %s: %v", value, err)
			}
		}
	}
	for _, d := range all {
		if err := p.fleet.applyLedgerStep(Step{Do: doLedgerDisk, Value: "well"}, d); err != nil {
			p.problemf("%s: %v", d.Name, err)
		}
		if d.Running() && d.stopped.Load() {
			p.fleet.Signal(d, syscall.SIGCONT)
		}
		if !d.Running() {
			if err := p.fleet.Start(d); err != nil {
				p.problemf("start %s: %v", d.Name, err)
			}
		}
	}
}

// waitAgreed waits until all dispatchers hold a lease on the version in force: then nothing was
// undone and all agree again.
func (p *play) waitAgreed() {
	var force uint64
	pending := p.waitAll(func(o *cluster.Status) bool {
		if force == 0 {
			for _, d := range p.fleet.Dispatchers {
				if v, err := p.view(d); err == nil && v.Record.InProgress() == nil {
					force = v.Record.InForceNumber
					break
				}
			}
		}
		if slices.Contains(p.script.Stranded, o.Name) {
			return o.LeaseMS == 0
		}
		if slices.Contains(p.script.NeedClass, o.Name) && o.Unfit != nil && o.LeaseMS == 0 {
			// the version came into force while the dispatcher had no lease; it can't act on that
			// version, and does not
			return true
		}
		if o.Unfit != nil && strings.Contains(o.Unfit.Reason, "brought this dispatcher down twice") && o.LeaseMS == 0 {
			return true // it was killed twice right after it activated that version, and it reports so
		}
		return force != 0 && o.Version == force && o.LeaseMS > 0
	})
	if pending != "" {
		p.problemf("not all dispatchers agree at the end: %s", pending)
	}
}

// waitAll waits until a condition holds for all dispatchers. At the time limit it returns a
// description of one for which it does not hold, otherwise an empty text.
func (p *play) waitAll(holds func(o *cluster.Status) bool) (pending string) {
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		pending = ""
		for _, d := range p.fleet.Dispatchers {
			if r, err := p.fleet.SendCommand(d, cluster.Command{Do: "own"}); err != nil {
				pending = fmt.Sprintf("%s: %v", d.Name, err)
			} else if r.Status == nil || !holds(r.Status) {
				pending = fmt.Sprintf("%s: %+v %s", d.Name, r.Status, r.Error)
			}
			if pending != "" {
				break
			}
		}
		if pending == "" {
			return ""
		}
	}
	return pending
}

// readIDs returns, for each first transmission that was repeated, whether a dispatcher's log
// contains its ID.
func (p *play) readIDs() map[string]bool {
	found := map[string]bool{}
	for _, a := range p.traffic.requests {
		if a.ResendOf != "" {
			found[a.ResendOf] = false
		}
	}
	if len(found) == 0 {
		return found
	}
	for _, d := range p.fleet.Dispatchers {
		text, err := os.ReadFile(p.fleet.logPath(d))
		if err != nil {
			p.problemf("%v", err)
		}
		for word := range bytes.FieldsSeq(text) {
			if _, wanted := found[string(word)]; wanted {
				found[string(word)] = true
			}
		}
	}
	return found
}

// record collects what was observed, and the versions as the first dispatcher that answers has
// them.
func (p *play) record() Record {
	r := Record{ReadIDs: p.readIDs(), Within: duration(p.script.Within), Alone: p.script.Alone, Actions: p.traffic.actions, Requests: p.traffic.requests, Runs: p.traffic.runs, Drains: p.drains, ColdReplicas: p.coldReplicas, Downtimes: p.fleet.downtimes, Problems: p.problems}
	for _, d := range p.fleet.Dispatchers {
		if view, err := p.view(d); err == nil {
			for _, v := range view.Record.Versions {
				r.Versions = append(r.Versions, Version{v.Number, v.Fingerprint, v.State, v.Keys, p.acknowledgedAt[v.Number]})
			}
			return r
		}
	}
	r.Problems = append(r.Problems, "no dispatcher returns the versions at the end")
	return r
}
