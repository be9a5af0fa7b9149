package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"standpulley/internal/standin"
)

// LargeScenario is one dispatcher before many replicas of three zones, each of one cell. Unless it is quiet, six in ten replicas are replaced
// within 7 s, and then a zone is silent for 5 s.
type LargeScenario struct {
	Seed     uint64
	Replicas int
	Siblings int     // dispatchers that the settings tell of, of which one is played
	Rate     float64 // requests a second
	Sessions int     // that the requests belong to
	Sockets  int     // the dispatcher's limit
	Quiet    bool
	Length   time.Duration // of the traffic; LargeLength at least, unless it is quiet
}

// Costs are what a dispatcher needed in a run.
type Costs struct {
	CPU         time.Duration
	PeakMemory  int // bytes
	Descriptors int // open at the traffic's end
	Connections int // made to replicas
	ListBytes   int // from discovery
}

const (
	largeZones     = 3
	replaceFrom    = 3 * time.Second
	replaceSteps   = 8
	replaceStep    = 850 * time.Millisecond
	replacedShare  = 0.6
	zoneSilentFrom = 12 * time.Second
	zoneSilentFor  = 5 * time.Second

	// LargeLength is when the last fault of a LargeScenario is over, and a moment more.
	LargeLength = zoneSilentFrom + zoneSilentFor + 4*time.Second
)

// localReplica is a replica in this process.
type localReplica struct {
	*standin.Replica
	entry standin.Entry
}

// largeRun is a run under way.
type largeRun struct {
	run
	scenario LargeScenario
	replicas []*localReplica // all that there ever were
	serving  []*localReplica // that are listed in service
}

// RunLarge plays a large scenario in a folder. Files stay there.
func RunLarge(ctx context.Context, s LargeScenario, p Program, folder string) (Record, Costs, error) {
	classes := []class{{"enquiry", "idempotent", 4 * time.Second}, {"instruction", "at_most_once", 6 * time.Second}, {"change", "deduplicated", 4 * time.Second}}
	r := &largeRun{scenario: s, run: run{p: p, folder: folder, classes: classes,
		s: Scenario{Seed: s.Seed, Dispatchers: 1, Rate: s.Rate, Sockets: s.Sockets, Classes: classes, Length: s.Length}}}
	r.rec = Record{Scenario: r.s, Lives: map[string][]*Life{}, Logs: map[string]string{}, Disturbed: map[string][]Span{}, Crowds: map[string]bool{}}
	defer r.close()
	if err := r.start(); err != nil {
		return r.rec, Costs{}, err
	}
	return r.play(ctx)
}

func (r *largeRun) play(ctx context.Context) (Record, Costs, error) {
	stalled, metered := make(chan time.Duration), make(chan struct{})
	go meter(metered, stalled)
	r.rec.Began = time.Now()
	if !r.scenario.Quiet {
		r.busy.Go(r.replace)
		r.busy.Go(r.silenceZone)
	}
	select {
	case <-ctx.Done():
		return r.rec, Costs{}, ctx.Err()
	case <-time.After(r.s.Length):
	}
	r.busy.Wait()
	costs := r.costs()
	r.endAll()
	r.awaitClients()
	close(metered)
	r.rec.Stall = <-stalled
	d := r.fleet[0]
	if usage, ok := d.cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		costs.CPU = d.cmd.ProcessState.UserTime() + d.cmd.ProcessState.SystemTime()
		costs.PeakMemory = int(usage.Maxrss) << 10
	}
	return r.rec, costs, r.collect()
}

// costs gives what can be told while the dispatcher runs.
func (r *largeRun) costs() (c Costs) {
	d := r.fleet[0]
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
	if r.host, err = host(); err != nil {
		return err
	}
	r.port = firstPort
	if r.reg, err = newRegistry(); err != nil {
		return err
	}
	for range r.scenario.Replicas {
		if err := r.add(nil); err != nil {
			return err
		}
	}
	for _, n := range r.serving {
		r.entries = append(r.entries, n.entry)
	}
	r.clients = &clients{sessions: r.scenario.Sessions, stop: make(chan struct{}), classes: func() []class { return r.classes }}
	d, err := newDispatcher(r.folder, 0, r.addr(), r.entries)
	if err != nil {
		return err
	}
	r.fleet = append(r.fleet, d)
	if err := d.configure(settings(r.scenario.Siblings, r.classes), r.s.Sockets); err != nil {
		return err
	}
	if err := d.start(r.program()); err != nil {
		return err
	}
	if err := within(20*time.Second, d.takesNew); err != nil {
		return fmt.Errorf("dispatcher: %w", err)
	}
	g := &group{all: r.clients, d: d, draw: rand.New(rand.NewPCG(r.s.Seed, 0))}
	r.groups = append(r.groups, g)
	r.clients.open.Add(1)
	go g.come(r.s.Rate)
	return nil
}

// add starts a replica, in the place of another if there was one.
func (r *largeRun) add(before *localReplica) error {
	n, number := &localReplica{}, len(r.replicas)
	e := standin.Entry{Zone: zoneName(number % largeZones), Kind: "reader", State: "in_service", Weight: 1}
	if number/largeZones%2 == 1 {
		e.Kind = "writer"
	}
	e.Cell = int64(number % largeZones)
	if before != nil {
		e.Zone, e.Kind, e.Cell, e.StartedMS = before.entry.Zone, before.entry.Kind, before.entry.Cell, time.Now().UnixMilli()
	}
	e.ID = fmt.Sprintf("%c%d", e.Kind[0], number)
	cfg := ReplicaConfig{Name: e.ID, Reader: e.Kind == "reader", Listen: r.addr(), Seed: r.s.Seed + uint64(number)}
	s, err := newReplica(cfg, localReporter{r.reg}).listen()
	if err != nil {
		return err
	}
	e.Addr = s.Addr
	n.Replica, n.entry = s, e
	r.replicas, r.serving = append(r.replicas, n), append(r.serving, n)
	return nil
}

// replace replaces replicas in steps: those of a step drain as their successors come, and are gone with the next step.
func (r *largeRun) replace() {
	time.Sleep(time.Until(r.rec.Began.Add(replaceFrom)))
	draw := rand.New(rand.NewPCG(r.s.Seed, uint64(r.scenario.Replicas)))
	old := append([]*localReplica(nil), r.serving...)
	draw.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	old = old[:int(replacedShare*float64(len(old)))]
	var draining []*localReplica
	for step := range replaceSteps + 1 {
		next := time.Now().Add(replaceStep)
		var changed []standin.Entry
		for _, n := range draining {
			n.entry.State = "terminated"
			changed = append(changed, n.entry)
		}
		from, to := step*len(old)/replaceSteps, min((step+1)*len(old)/replaceSteps, len(old))
		draining = old[min(from, len(old)):to]
		for _, n := range draining {
			n.entry.State = "terminating"
			changed = append(changed, n.entry)
			if err := r.add(n); err != nil {
				r.bad("a replica can't be started: %v", err)
				return
			}
			changed = append(changed, r.replicas[len(r.replicas)-1].entry)
		}
		r.fleet[0].agent.Update(changed...)
		r.drain(draining)
		time.Sleep(time.Until(next))
	}
}

// drain books that replicas drain from now on.
func (r *largeRun) drain(all []*localReplica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range all {
		r.rec.Drains = append(r.rec.Drains, Drain{n.entry.ID, time.Now().Add(told)})
	}
}

// silenceZone has all replicas of a zone fall silent.
func (r *largeRun) silenceZone() {
	time.Sleep(time.Until(r.rec.Began.Add(zoneSilentFrom)))
	var all []*localReplica
	for _, n := range r.replicas {
		if n.entry.Zone == zoneName(1) {
			all = append(all, n)
		}
	}
	span := Span{From: time.Now()}
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
		r.rec.Disturbed[n.entry.ID] = append(r.rec.Disturbed[n.entry.ID], span)
	}
}

func (r *largeRun) close() {
	for _, n := range r.replicas {
		n.Close()
	}
	r.run.close()
}

// LargeFiles gives the folder for a large scenario below another.
func LargeFiles(below string, s LargeScenario) string {
	return filepath.Join(below, fmt.Sprintf("large-%d-%d", s.Replicas, s.Seed))
}
