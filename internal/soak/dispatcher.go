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

// Life is one process of a dispatcher, from its start to its end.
type Process struct {
	Started  time.Time
	Ready    time.Time      // zero: never
	TermSent time.Time      // when the first SIGTERM was sent; zero: never
	KillSent time.Time      // when SIGKILL was sent; zero: never
	Exited   time.Time      // when the process had ended
	ExitCode int            // its exit code; killedCode after a signal
	Signal   syscall.Signal // that ended it; 0: it ended by itself
	Paused   []Period       // when it was stopped
}

// killedCode stands for the exit code of a process that a signal ended.
const signaledExitCode = -1

// Span is a time between two moments; a zero end has not come.
type Period struct{ From, To time.Time }

// dispatcher is one node with its files and its agent of discovery.
type dispatcher struct {
	name   string
	listen string
	file   string // its configuration
	log    string
	agent  *fake.Agent

	fileMu sync.Mutex // held while the configuration is not whole

	mu        sync.Mutex // for all below
	cmd       *exec.Cmd
	processes []*Process
	removed   bool // SIGTERM was sent, or it is down: the front sends it no new connections
}

// program is how dispatchers are started.
type program struct {
	path string
	env  []string
}

func (d *dispatcher) current() *Process { return d.processes[len(d.processes)-1] }

// start starts the process and has it watched.
func (d *dispatcher) start(p program) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	cmd := exec.Command(p.path)
	cmd.Env = append(append(os.Environ(), p.env...), "EDGE_CONFIG="+d.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	life := &Process{Started: time.Now()}
	for !HandlesSignal(cmd.Process.Pid, syscall.SIGHUP) && time.Since(life.Started) < execTimeMax {
		time.Sleep(time.Millisecond / 10) // the machine still loads the program: no signal comes to the program yet
	}
	d.mu.Lock()
	d.cmd, d.processes = cmd, append(d.processes, life)
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended is told below
		d.mu.Lock()
		life.Exited, life.ExitCode, d.removed = time.Now(), cmd.ProcessState.ExitCode(), true
		if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
			life.Signal = status.Signal()
		}
		d.mu.Unlock()
	}()
	go d.awaitReady(life)
	return nil
}

// awaitReady has the front take the dispatcher in once it says that it is ready.
func (d *dispatcher) awaitReady(life *Process) {
	for {
		ready := isReady(d.listen)
		d.mu.Lock()
		ended := !life.Exited.IsZero() || !life.TermSent.IsZero() || !life.KillSent.IsZero()
		if ready && !ended {
			life.Ready, d.removed = time.Now(), false
		}
		d.mu.Unlock()
		if ready || ended {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// signal sends a signal to the process that runs, if one does.
func (d *dispatcher) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.processes) == 0 || !d.current().Exited.IsZero() {
		return
	}
	life := d.current()
	switch sig {
	case syscall.SIGTERM:
		if life.TermSent.IsZero() {
			life.TermSent = time.Now()
			time.AfterFunc(frontDelay, func() { d.mu.Lock(); d.removed = d.removed || d.current() == life; d.mu.Unlock() })
		}
	case syscall.SIGKILL:
		life.KillSent, d.removed = time.Now(), true
	case syscall.SIGSTOP:
		life.Paused = append(life.Paused, Period{From: time.Now()})
	case syscall.SIGCONT:
		if n := len(life.Paused); n > 0 {
			life.Paused[n-1].To = time.Now()
		}
	}
	_ = d.cmd.Process.Signal(sig) // it may end this moment
}

// loadTime is the longest that a machine may take to load a program.
const execTimeMax = 100 * time.Millisecond

// frontLate is for how long after SIGTERM new connections keep coming.
const frontDelay = 300 * time.Millisecond

// killAfter is how long after SIGTERM SIGKILL comes at the earliest: the longest deadline, counted as 3 s at most, and 0.7 s.
func killAfter(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// told is when SIGTERM was sent to a process.
func (d *dispatcher) termSentAt(life *Process) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return life.TermSent
}

func (d *dispatcher) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.processes) > 0 && d.current().Exited.IsZero()
}

// takesNew tells whether the front sends it new connections.
func (d *dispatcher) acceptsConns() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.processes) > 0 && !d.removed && !d.current().Ready.IsZero()
}

// class is one class of requests.
type class struct {
	Name     string
	Repeat   string
	Deadline time.Duration
}

// settings are those of a fleet.
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

// zoneName names a zone by its number.
func zoneName(n int) string { return fmt.Sprintf("z%d", n) }

const (
	releaseLimit = 500 * time.Millisecond
	drainGrace   = time.Second
)

// configure writes the file of a dispatcher.
func (d *dispatcher) configure(set map[string]any, sockets int) error {
	text, err := jsoniter.Marshal(map[string]any{"name": d.name, "seed": "1", "listen": d.listen, "discovery": d.agent.Addr, "settings": set,
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": sockets}})
	if err != nil {
		return err
	}
	next := d.file + ".next" // so that no SIGHUP finds half of it
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
