package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"standpulley/internal/fake"
)

// LargeScenario describes one dispatcher with many replicas in three zones, each with one cell.
// Unless Quiet is set, 60% of the replicas are replaced within 7 s, and afterwards one zone stops
// responding for 5 s.
type LargeScenario struct {
	Seed     uint64
	Replicas int
	Siblings int           // number of dispatchers in the settings, of which only one runs
	Rate     float64       // requests per second
	Sessions int           // number of sessions that requests are spread over
	Sockets  int           // socket limit of the dispatcher
	Quiet    bool          // no replacements and no silent zone
	Length   time.Duration // of the traffic; at least LargeLength unless Quiet
}

// Costs holds the resources that a dispatcher used in a run.
type Costs struct {
	CPU         time.Duration
	PeakMemory  int // in bytes
	Descriptors int // open at the end of the traffic
	Connections int // opened to replicas
	ListBytes   int // received from discovery
}

const (
	largeZones      = 3
	replaceStart    = 3 * time.Second
	replaceSteps    = 8
	replaceStep     = 850 * time.Millisecond
	replacedShare   = 0.6
	zoneSilentStart = 12 * time.Second
	zoneSilentFor   = 5 * time.Second

	// LargeLength is the minimum length of a run with faults: the end of the last fault plus 4 s.
	LargeLength = zoneSilentStart + zoneSilentFor + 4*time.Second
)

// localReplica is a replica in the same process as the harness.
type localReplica struct {
	*fake.Replica
	entry fake.Entry
}

// largeRun is a run in progress.
type largeRun struct {
	run
	large    LargeScenario
	replicas []*localReplica // including replaced ones
	serving  []*localReplica // listed as in service
}

// RunLarge plays a large scenario and returns its record. Configuration and log files are written
// to folder and stay there.
func RunLarge(ctx context.Context, s LargeScenario, p Program, folder string) (Record, Costs, error) {
	classes := []class{{"enquiry", "idempotent", 4 * time.Second}, {"instruction", "at_most_once", 6 * time.Second}, {"change", "deduplicated", 4 * time.Second}}
	r := &largeRun{large: s, run: run{programs: p, folder: folder, classes: classes,
		scenario: Scenario{Seed: s.Seed, Dispatchers: 1, Rate: s.Rate, Sockets: s.Sockets, Classes: classes, Length: s.Length}}}
	r.rec = Record{Scenario: r.scenario, Processes: map[string][]*Process{}, Logs: map[string]string{}, FaultPeriods: map[string][]Period{}, HadIdleClients: map[string]bool{}}
	defer r.close()
	if err := r.start(); err != nil {
		return r.rec, Costs{}, err
	}
	return r.play(ctx)
}

func (r *largeRun) play(ctx context.Context) (Record, Costs, error) {
	stall, stop := make(chan time.Duration), make(chan struct{})
	go measureStall(stop, stall)
	r.rec.Started = time.Now()
	if !r.large.Quiet {
		r.faults.Go(r.replaceReplicas)
		r.faults.Go(r.silenceZone)
	}
	select {
	case <-ctx.Done():
		return r.rec, Costs{}, ctx.Err()
	case <-time.After(r.scenario.Length):
	}
	r.faults.Wait()
	costs := r.liveCosts()
	r.stopDispatchers()
	r.awaitClients()
	close(stop)
	r.rec.Stall = <-stall
	d := r.dispatchers[0]
	if usage, ok := d.cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		costs.CPU = d.cmd.ProcessState.UserTime() + d.cmd.ProcessState.SystemTime()
		costs.PeakMemory = int(usage.Maxrss) << 10
	}
	return r.rec, costs, r.collect()
}

// liveCosts returns the costs that must be read while the dispatcher runs.
func (r *largeRun) liveCosts() (c Costs) {
	d := r.dispatchers[0]
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)); err == nil {
		c.Descriptors = len(open)
	}
	for _, n := range r.replicas {
		c.Connections += n.Accepted()
	}
	_, _, c.ListBytes = d.agent.Stats()
	return c
}

func (r *largeRun) start() (err error) {
	if r.host, err = freeHost(); err != nil {
		return err
	}
	r.port = firstPort
	if r.registry, err = newRegistry(); err != nil {
		return err
	}
	for range r.large.Replicas {
		if err := r.addReplica(nil); err != nil {
			return err
		}
	}
	for _, n := range r.serving {
		r.entries = append(r.entries, n.entry)
	}
	r.clients = &clients{sessions: r.large.Sessions, stop: make(chan struct{}), classes: func() []class { return r.classes }}
	d, err := newDispatcher(r.folder, 0, r.addr(), r.entries)
	if err != nil {
		return err
	}
	r.dispatchers = append(r.dispatchers, d)
	if err := d.configure(settings(r.large.Siblings, r.classes), usualMemoryMB, r.scenario.Sockets); err != nil {
		return err
	}
	if err := d.start(r.dispatcherProgram()); err != nil {
		return err
	}
	if err := waitUntil(20*time.Second, d.acceptsConns); err != nil {
		return fmt.Errorf("dispatcher: %w", err)
	}
	g := &group{clients: r.clients, target: d, draw: rand.New(rand.NewPCG(r.scenario.Seed, 0))}
	r.groups = append(r.groups, g)
	r.clients.running.Add(1)
	go g.generate(r.scenario.Rate)
	return nil
}

// addReplica starts a replica. If it replaces another one, it gets the zone, role and cell of that
// one.
func (r *largeRun) addReplica(replaced *localReplica) error {
	n, number := &localReplica{}, len(r.replicas)
	e := fake.Entry{Zone: zoneName(number % largeZones), Kind: "reader", State: "in_service", Weight: 1}
	if number/largeZones%2 == 1 {
		e.Kind = "writer"
	}
	e.Cell = int64(number % largeZones)
	if replaced != nil {
		e.Zone, e.Kind, e.Cell, e.StartedMS = replaced.entry.Zone, replaced.entry.Kind, replaced.entry.Cell, time.Now().UnixMilli()
	}
	e.ID = fmt.Sprintf("%c%d", e.Kind[0], number)
	cfg := ReplicaConfig{Name: e.ID, Reader: e.Kind == "reader", Listen: r.addr(), Seed: r.scenario.Seed + uint64(number)}
	s, err := newReplica(cfg, localReporter{r.registry}).listen()
	if err != nil {
		return err
	}
	e.Addr = s.Addr
	n.Replica, n.entry = s, e
	r.replicas, r.serving = append(r.replicas, n), append(r.serving, n)
	return nil
}

// replaceReplicas replaces replicas in steps. In each step some replicas start to drain while their
// successors come into service; at the next step discovery lists them as terminated.
func (r *largeRun) replaceReplicas() {
	time.Sleep(time.Until(r.rec.Started.Add(replaceStart)))
	draw := rand.New(rand.NewPCG(r.scenario.Seed, uint64(r.large.Replicas)))
	old := append([]*localReplica(nil), r.serving...)
	draw.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	old = old[:int(replacedShare*float64(len(old)))]
	var draining []*localReplica
	for step := range replaceSteps + 1 {
		next := time.Now().Add(replaceStep)
		var changed []fake.Entry
		for _, n := range draining {
			n.entry.State = "terminated"
			changed = append(changed, n.entry)
		}
		from, to := step*len(old)/replaceSteps, min((step+1)*len(old)/replaceSteps, len(old))
		draining = old[min(from, len(old)):to]
		for _, n := range draining {
			n.entry.State = "terminating"
			changed = append(changed, n.entry)
			if err := r.addReplica(n); err != nil {
				r.addProblem("a replica failed to start: %v", err)
				return
			}
			changed = append(changed, r.replicas[len(r.replicas)-1].entry)
		}
		r.dispatchers[0].agent.Update(changed...)
		r.recordDrains(draining)
		time.Sleep(time.Until(next))
	}
}

// recordDrains records that replicas drain from now on.
func (r *largeRun) recordDrains(all []*localReplica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range all {
		r.rec.Drains = append(r.rec.Drains, Drain{n.entry.ID, time.Now().Add(drainKnownWithin)})
	}
}

// silenceZone makes all replicas of a zone stop responding for a while.
func (r *largeRun) silenceZone() {
	time.Sleep(time.Until(r.rec.Started.Add(zoneSilentStart)))
	var all []*localReplica
	for _, n := range r.replicas {
		if n.entry.Zone == zoneName(1) {
			all = append(all, n)
		}
	}
	span := Period{From: time.Now()}
	for _, n := range all {
		n.SetUnresponsive(true)
	}
	time.Sleep(zoneSilentFor)
	for _, n := range all {
		n.SetUnresponsive(false)
	}
	span.To = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range all {
		r.rec.FaultPeriods[n.entry.ID] = append(r.rec.FaultPeriods[n.entry.ID], span)
	}
}

func (r *largeRun) close() {
	for _, n := range r.replicas {
		n.Close()
	}
	r.run.close()
}

// LargeRunDir returns the folder of a large scenario's run below the given folder.
func LargeRunDir(below string, s LargeScenario) string {
	return filepath.Join(below, fmt.Sprintf("large-%d-%d", s.Replicas, s.Seed))
}
