package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/fake"
)

// Process is one process of a dispatcher, from its start to its exit.
type Process struct {
	Started  time.Time
	Ready    time.Time      // zero: never
	TermSent time.Time      // when the first SIGTERM was sent; zero: never
	KillSent time.Time      // when SIGKILL was sent; zero: never
	Exited   time.Time      // when the process had exited; zero: still running
	ExitCode int            // signaledExitCode if a signal ended the process
	Signal   syscall.Signal // signal that ended the process; 0: it exited by itself
	Paused   []Period       // while stopped by SIGSTOP

	PeakMemory int // most memory in bytes that was resident
}

// signaledExitCode is the exit code that Go reports for a process that a signal ended.
const signaledExitCode = -1

// Period is the time between two moments. A zero To means that it has not ended.
type Period struct{ From, To time.Time }

// dispatcher is one dispatcher with its files and its discovery agent.
type dispatcher struct {
	name   string
	listen string
	file   string // path of the configuration
	log    string
	agent  *fake.Agent

	fileMu    sync.Mutex // held while the configuration file is being changed
	discovery *Link      // address of discovery in the file, before the agent; nil: the agent's own. Guarded by fileMu

	mu        sync.Mutex // guards the fields below
	cmd       *exec.Cmd
	processes []*Process
	removed   bool // got SIGTERM or is down: the load balancer sends it no new connections
}

// program is the executable of the dispatchers and its extra environment.
type program struct {
	path string
	env  []string
}

func (d *dispatcher) current() *Process { return d.processes[len(d.processes)-1] }

// start starts the process and a goroutine that records its exit.
func (d *dispatcher) start(p program) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the child process has its own descriptor
	cmd := exec.Command(p.path)
	cmd.Env = append(append(os.Environ(), p.env...), "EDGE_CONFIG="+d.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	process := &Process{Started: time.Now()}
	for !HandlesSignal(cmd.Process.Pid, syscall.SIGHUP) && time.Since(process.Started) < execTimeMax {
		time.Sleep(time.Millisecond / 10) // until its handlers are installed, a signal would end the process
	}
	d.mu.Lock()
	d.cmd, d.processes = cmd, append(d.processes, process)
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status is read from ProcessState below
		d.mu.Lock()
		process.Exited, process.ExitCode, d.removed = time.Now(), cmd.ProcessState.ExitCode(), true
		if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
			process.Signal = status.Signal()
		}
		d.mu.Unlock()
	}()
	go d.awaitReady(process)
	go d.watchMemory(cmd.Process.Pid, process)
	return nil
}

// awaitReady waits until the dispatcher reports that it is ready, and lets clients connect to it
// from then on.
func (d *dispatcher) awaitReady(process *Process) {
	for {
		ready := isReady(d.listen)
		d.mu.Lock()
		ended := !process.Exited.IsZero() || !process.TermSent.IsZero() || !process.KillSent.IsZero()
		if ready && !ended {
			process.Ready, d.removed = time.Now(), false
		}
		d.mu.Unlock()
		if ready || ended {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// signal sends a signal to the running process, if there is one.
func (d *dispatcher) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.processes) == 0 || !d.current().Exited.IsZero() {
		return
	}
	process := d.current()
	switch sig {
	case syscall.SIGTERM:
		if process.TermSent.IsZero() {
			process.TermSent = time.Now()
			time.AfterFunc(balancerDelay, func() { d.mu.Lock(); d.removed = d.removed || d.current() == process; d.mu.Unlock() })
		}
	case syscall.SIGKILL:
		process.KillSent, d.removed = time.Now(), true
	case syscall.SIGSTOP:
		process.Paused = append(process.Paused, Period{From: time.Now()})
	case syscall.SIGCONT:
		if n := len(process.Paused); n > 0 {
			process.Paused[n-1].To = time.Now()
		}
	}
	_ = d.cmd.Process.Signal(sig) // the process may just have exited
}

// execTimeMax is the longest time that start waits for a new process to install its signal
// handlers.
const execTimeMax = 100 * time.Millisecond

// balancerDelay is how long after SIGTERM a load balancer keeps sending new connections.
const balancerDelay = 300 * time.Millisecond

// killAfter returns how long after SIGTERM an operator may send SIGKILL at the earliest: the
// longest deadline, but at most 3 s, plus 0.7 s.
func killAfter(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// termSentAt returns when SIGTERM was sent to a process.
func (d *dispatcher) termSentAt(process *Process) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return process.TermSent
}

func (d *dispatcher) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.processes) > 0 && d.current().Exited.IsZero()
}

// isReady reports whether the running process has been ready.
func (d *dispatcher) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.processes) > 0 && !d.current().Ready.IsZero()
}

// acceptsConns reports whether the load balancer sends the dispatcher new connections.
func (d *dispatcher) acceptsConns() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.processes) > 0 && !d.removed && !d.current().Ready.IsZero()
}

// class is a class of requests.
type class struct {
	Name     string
	Repeat   string
	Deadline time.Duration
}

// settings returns the settings of a fleet.
func settings(dispatchers int, classes []class) map[string]any {
	var services []any
	for _, c := range classes {
		services = append(services, map[string]any{"name": c.Name, "repeat": c.Repeat, "goal_time_us": c.Deadline.Microseconds() * 4 / 5,
			"deadline_us": c.Deadline.Microseconds(), "credit": 2, "late_worth": 0.3, "key_scope": "all", "window_us": 2000000, "stream": true})
	}
	return map[string]any{
		"siblings": dispatchers, "zone": zoneName(0), "zones": []string{zoneName(0), zoneName(1), zoneName(2)}, "host_types": []string{"reader", "writer"},
		"family_info": map[string]any{"duty_by_kind": []string{"read", "write"}, "kv_tokens": []int{1000000, 1000000}, "let_go_by_us": releaseLimit.Microseconds()},
		"limits": map[string]any{"try_limit": 6, "cancel": true, "retry_after": true, "max_retry_after_us": 2000000, "connect_timeout_us": 250000,
			"conn_idle_us": 30000000, "may_duplicate": true},
		"obligations": map[string]any{"cold_from": 0.3, "ramp_time_us": 10000000, "fall_multiple": 2.5, "fall_us": 3000000, "drain_grace_us": drainGrace.Microseconds()},
		"services":    services,
	}
}

// zoneName returns the name of a zone.
func zoneName(n int) string { return fmt.Sprintf("z%d", n) }

const (
	releaseLimit = 500 * time.Millisecond
	drainGrace   = time.Second
)

// configure writes the configuration file of the dispatcher.
func (d *dispatcher) configure(set map[string]any, memoryMB, sockets int) error {
	text, err := jsoniter.Marshal(map[string]any{"name": d.name, "seed": "1", "listen": d.listen, "discovery": d.agent.Addr, "settings": set,
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets}})
	if err != nil {
		return err
	}
	next := d.file + ".next" // renamed into place, so that a reload never reads half a file
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.file)
}

func newDispatcher(folder string, n int, listen string, list []fake.Entry) (*dispatcher, error) {
	agent, err := fake.StartAgent("127.0.0.1:0", list...)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n%d", n)
	return &dispatcher{name: name, listen: listen, agent: agent, file: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log")}, nil
}
