package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/fake"
)

// Program names the executables that a run starts: that of the dispatcher, and one that calls
// RunReplica if ReplicaEnv is set in its environment.
type Program struct {
	Dispatcher, Replica       string
	DispatcherEnv, ReplicaEnv []string
	// LimitMemory is set if the dispatchers must keep their memory limit. One with the race detector
	// can't.
	LimitMemory bool
}

// Record holds everything that was observed in a run.
type Record struct {
	Scenario     Scenario
	Started      time.Time
	Ended        time.Time // when the held state was checked for the last time
	Requests     []Request
	Reports      []Report
	Processes    map[string][]*Process // by dispatcher
	Logs         map[string]string     // by dispatcher, complete
	FaultPeriods map[string][]Period   // by replica: when the replica or its link was faulty
	Drains       []Drain
	// clients that stopped mid-request and waited too long, processes that failed to start, and
	// configuration files that could not be read or written
	Problems       []string
	HadIdleClients map[string]bool // dispatchers that had many idle clients
	RepeatedIDs    []RepeatedID
	// MemoryIsLimited is set if the dispatchers must keep their memory limit.
	MemoryIsLimited bool
	Stall           time.Duration // longest time for which the test process itself was not scheduled
}

// Drain is a replica that discovery listed as draining.
type Drain struct {
	Replica   string
	KnownFrom time.Time // every dispatcher must know of the drain from then on
}

// node is one replica and the link to it.
type node struct {
	cfg    ReplicaConfig
	link   *Link
	cmd    *exec.Cmd
	pauses int  // number of active faults that pause the process
	down   bool // killed by a fault and not yet restarted
}

// run is a run in progress.
type run struct {
	scenario    Scenario
	programs    Program
	folder      string
	registry    *registry
	nodes       []*node
	dispatchers []*dispatcher
	groups      []*group
	clients     *clients
	entries     []fake.Entry
	host        string

	mu      sync.Mutex // guards the fields below
	port    int        // port of the address that addr returned last
	rec     Record
	classes []class
	faults  sync.WaitGroup // faults in progress
}

// Run plays a scenario and returns its record. Configuration and log files are written to folder and
// stay there.
func Run(ctx context.Context, s Scenario, p Program, folder string) (Record, error) {
	r := &run{scenario: s, programs: p, folder: folder, classes: s.Classes}
	r.rec = Record{Scenario: s, MemoryIsLimited: p.LimitMemory, Processes: map[string][]*Process{}, Logs: map[string]string{}, FaultPeriods: map[string][]Period{}, HadIdleClients: map[string]bool{}}
	defer r.close()
	if err := r.start(); err != nil {
		return r.rec, err
	}
	stall := make(chan time.Duration)
	stop := make(chan struct{})
	go measureStall(stop, stall)
	r.rec.Started = time.Now()
	for _, c := range s.Reconfigurations {
		r.faults.Go(func() {
			time.Sleep(time.Until(r.rec.Started.Add(c.At)))
			r.reconfigure(c)
		})
	}
	for _, b := range s.BadClients {
		r.faults.Go(func() {
			time.Sleep(time.Until(r.rec.Started.Add(b.At)))
			r.sendBadClients(b)
		})
	}
	for _, f := range s.Faults {
		select {
		case <-ctx.Done():
			return r.rec, ctx.Err()
		case <-time.After(time.Until(r.rec.Started.Add(f.At))):
		}
		r.faults.Add(1)
		go func() { defer r.faults.Done(); r.inject(f) }()
	}
	time.Sleep(time.Until(r.rec.Started.Add(s.Length)))
	r.faults.Wait()
	r.stopDispatchers()
	r.awaitClients()
	close(stop)
	r.rec.Stall = <-stall
	return r.rec, r.collect()
}

// releaseWait is how long reports are still collected after the last request. It is long enough to
// detect state that is held beyond its limit.
const releaseWait = releaseLimit + releaseSlack + pauseMax + 500*time.Millisecond

// awaitClients stops the clients and waits until the limit for holding state has passed.
func (r *run) awaitClients() {
	close(r.clients.stop)
	r.clients.running.Wait()
	time.Sleep(releaseWait)
}

// collect copies requests, reports, process lifetimes and dispatcher logs into the record.
func (r *run) collect() error {
	r.rec.Ended = time.Now()
	r.rec.Reports = r.registry.close()
	r.rec.Requests = r.clients.requests
	for _, d := range r.dispatchers {
		text, err := os.ReadFile(d.log)
		if err != nil {
			return err
		}
		r.rec.Processes[d.name], r.rec.Logs[d.name] = d.processes, string(text)
	}
	return nil
}

// measureStall measures the longest time for which this process was not scheduled, and sends it to
// result when stop is closed.
func measureStall(stop <-chan struct{}, result chan<- time.Duration) {
	const step = 5 * time.Millisecond
	worst := time.Duration(0)
	for {
		at := time.Now()
		select {
		case <-stop:
			result <- worst
			return
		case <-time.After(step):
			worst = max(worst, time.Since(at)-step)
		}
	}
}

// freeHost picks a loopback address that no other run uses, so that its ports are free.
func freeHost() (string, error) {
	const tries, port = 100, 10000
	for range tries {
		addr := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", addr, port-1))
		if err == nil {
			_ = ln.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free loopback address found in %d tries", tries)
}

// addr returns the next unused listen address of the run.
func (r *run) addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.port++
	return fmt.Sprintf("%s:%d", r.host, r.port)
}

const firstPort = 10000

func (r *run) start() (err error) {
	if r.host, err = freeHost(); err != nil {
		return err
	}
	r.port = firstPort
	if r.registry, err = newRegistry(); err != nil {
		return err
	}
	for i := range r.scenario.Readers + r.scenario.Writers {
		n := &node{cfg: ReplicaConfig{Name: fmt.Sprintf("w%d", i), Reader: i < r.scenario.Readers, Registry: r.registry.ln.Addr().String(),
			Seed: r.scenario.Seed + uint64(i), SpoiltShare: r.scenario.SpoiltShare}}
		kind := "writer"
		if n.cfg.Reader {
			kind, n.cfg.Name = "reader", fmt.Sprintf("r%d", i)
		}
		n.cfg.Listen = r.addr()
		if n.link, err = NewLink(r.addr(), n.cfg.Listen); err != nil {
			return err
		}
		n.link.OnUnseenEnd(func(id string) {
			r.registry.handle(Report{At: time.Now(), Replica: n.cfg.Name, Kind: Abandoned, ID: id}, nil)
		})
		if err := r.startReplica(n); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		r.entries = append(r.entries, fake.Entry{ID: n.cfg.Name, Addr: n.link.Addr, Zone: zoneName(0), Kind: kind, State: "in_service", Weight: 1})
	}
	if err := waitUntil(5*time.Second, func() bool { return r.registry.reported() == len(r.nodes) }); err != nil {
		return fmt.Errorf("replicas: %w", err)
	}
	r.clients = &clients{sessions: sessionCount, stop: make(chan struct{}), classes: func() []class { r.mu.Lock(); defer r.mu.Unlock(); return r.classes }}
	for i := range r.scenario.Dispatchers {
		d, err := newDispatcher(r.folder, i, r.addr(), r.entries)
		if err != nil {
			return err
		}
		r.dispatchers = append(r.dispatchers, d)
		if err := d.configure(settings(r.scenario.Dispatchers, r.scenario.Classes), r.scenario.memoryMB(), r.scenario.Sockets); err != nil {
			return err
		}
		if err := d.start(r.dispatcherProgram()); err != nil {
			return err
		}
		r.groups = append(r.groups, &group{clients: r.clients, target: d, draw: rand.New(rand.NewPCG(r.scenario.Seed, uint64(i)))})
	}
	if err := waitUntil(10*time.Second, func() bool {
		for _, d := range r.dispatchers {
			if !d.acceptsConns() {
				return false
			}
		}
		return true
	}); err != nil {
		return fmt.Errorf("dispatchers: %w", err)
	}
	for _, g := range r.groups {
		r.clients.running.Add(1)
		go g.generate(r.scenario.Rate)
	}
	return nil
}

func waitUntil(limit time.Duration, cond func() bool) error {
	for end := time.Now().Add(limit); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not ready within %v", limit)
		}
	}
	return nil
}

func (r *run) dispatcherProgram() program {
	return program{r.programs.Dispatcher, r.programs.DispatcherEnv}
}

func (r *run) startReplica(n *node) error {
	text, err := jsoniter.MarshalToString(n.cfg)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(r.programs.Replica)
	n.cmd.Env = append(append(os.Environ(), r.programs.ReplicaEnv...), ReplicaEnv+"="+text)
	log, err := os.OpenFile(filepath.Join(r.folder, n.cfg.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the child process has its own descriptor
	n.cmd.Stdout, n.cmd.Stderr = log, log
	return n.cmd.Start()
}

// stopDispatchers stops all dispatchers with a series of signals, as a planned restart does, while
// clients keep using their open connections. In some runs idle clients fill the descriptors of the
// dispatchers meanwhile.
func (r *run) stopDispatchers() {
	stopIdle := make(chan time.Time)
	defer close(stopIdle)
	if r.scenario.Shutdown.IdleClients {
		for i, g := range r.groups {
			r.markIdleClients(r.dispatchers[i])
			r.clients.running.Add(1)
			go g.holdIdleConns(r.scenario.Sockets, stopIdle)
		}
		time.Sleep(connectTime)
	}
	var exits sync.WaitGroup
	for _, d := range r.dispatchers {
		exits.Go(func() { r.terminate(d, signalSeries(r.scenario.Shutdown.SignalSeries), r.scenario.Shutdown.Pause) })
	}
	exits.Wait()
}

// connectTime is how long idle clients have to connect.
const connectTime = 200 * time.Millisecond

// markIdleClients records that a dispatcher has many idle clients.
func (r *run) markIdleClients(d *dispatcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.HadIdleClients[d.name] = true
}

func (r *run) close() {
	for _, d := range r.dispatchers {
		d.signal(syscall.SIGKILL)
		if d.discovery != nil {
			d.discovery.Close()
		}
		d.agent.Close()
	}
	for _, n := range r.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
		n.link.Close()
	}
	if r.registry != nil {
		_ = r.registry.close()
	}
}

// RunDir returns the folder of a seed's run below the given folder.
func RunDir(below string, seed uint64) string {
	return filepath.Join(below, strconv.FormatUint(seed, 10))
}

// Describe returns the scenario as text, with one line for each fault.
func (s Scenario) Describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d dispatchers, %d readers, %d writers, %.0f requests a second each, %d sockets, classes %v\n", s.Seed, s.Dispatchers,
		s.Readers, s.Writers, s.Rate, s.Sockets, s.Classes)
	for _, f := range s.Faults {
		fmt.Fprintln(&text, f)
	}
	for _, c := range s.Reconfigurations {
		fmt.Fprintln(&text, c)
	}
	for _, b := range s.BadClients {
		fmt.Fprintln(&text, b)
	}
	fmt.Fprintf(&text, "in the end %v, %.3f s apart, crowd %v\n", signalSeries(s.Shutdown.SignalSeries), s.Shutdown.Pause.Seconds(), s.Shutdown.IdleClients)
	return text.String()
}
