package proving

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/appliance"
	"standpulley/internal/cluster"
	"standpulley/internal/fake"
)

// Program is the program that runs a dispatcher, and additions to its environment.
type Program struct {
	Path string
	Env  []string
}

// Dispatcher is one process with its files.
type Dispatcher struct {
	Name        string
	Listen      string
	Peers       string // address for other dispatchers, if it is a voter
	dir         appliance.Dir
	config      map[string]any
	cmd         *exec.Cmd
	exited      chan struct{}
	stopped     atomic.Bool
	terminating atomic.Bool // SIGTERM was sent
}

// Fleet is all dispatchers of a trial and the links between them.
type Fleet struct {
	program     Program
	folder      string
	Dispatchers []*Dispatcher
	voters      []string
	relays      map[[2]string]*Relay // from a dispatcher to a voter
	replicas    []fake.Entry
	registry    *registry // nil where dispatchers don't agree on lists
	start       time.Time

	mu        sync.Mutex
	downtimes map[string][][2]time.Duration
}

// Now returns the time since the fleet was made, by the machine's monotonic clock.
func (f *Fleet) Now() time.Duration { return time.Since(f.start) }

// initialSettings returns the settings of version 1.
func initialSettings(dispatchers int) map[string]any {
	class := func(name, repeat string, credit float64) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "goal_time_us": 1500000, "deadline_us": 4000000, "credit": credit, "late_worth": 0.3}
	}
	return map[string]any{
		"siblings": dispatchers, "zone": "z", "host_types": []string{"reader", "writer"},
		"family_info": map[string]any{"duty_by_kind": []string{"read", "write"}, "kv_tokens": []int{1000000, 1000000}, "let_go_by_us": 500000},
		"limits":      map[string]any{"try_limit": 4, "cancel": true, "retry_after": true, "max_retry_after_us": 2000000, "connect_timeout_us": 250000},
		"obligations": map[string]any{"cold_from": coldFrom, "ramp_time_us": rampTime.Microseconds(), "fall_multiple": fallMultiple, "fall_us": fallTime.Microseconds(), "drain_grace_us": 1000000},
		"services":    []any{class("enquiry", "idempotent", 3), class("instruction", "at_most_once", 2)},
	}
}

// freePorts returns loopback addresses on which nothing listens. Their ports lie below the range
// from which the system assigns ports to outgoing connections.
func freePorts(n int) ([]string, error) {
	var addrs []string
	reservedPorts.Lock()
	defer reservedPorts.Unlock()
	for tries := 0; len(addrs) < n; tries++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort)))
		if err != nil {
			if tries > 100*n {
				return nil, err
			}
			continue
		}
		_ = ln.Close()
		if addr := ln.Addr().String(); !reservedPorts.addrs[addr] {
			reservedPorts.addrs[addr] = true
			addrs = append(addrs, addr)
		}
	}
	return addrs, nil
}

// reservedPorts are the addresses of all fleets of this process: the address of a dispatcher that
// is down for a while must not be assigned again.
var reservedPorts = struct {
	sync.Mutex
	addrs map[string]bool
}{addrs: map[string]bool{}}

const minPort, maxPort = 10000, 32000

// NewFleet writes the files of a script's dispatchers and sets up the links. It starts no
// dispatcher.
func NewFleet(s Script, program Program, folder string, replicas, spare []fake.Entry) (*Fleet, error) {
	f := &Fleet{program: program, folder: folder, relays: map[[2]string]*Relay{}, replicas: replicas, start: time.Now(), downtimes: map[string][][2]time.Duration{}}
	total := s.Voters + s.Others
	ports, err := freePorts(3 * total)
	if err != nil {
		return nil, err
	}
	for i := range total {
		d := &Dispatcher{Name: fmt.Sprintf("v%d", i+1), Listen: ports[3*i]}
		if i < s.Voters {
			d.Peers = ports[3*i+1]
			f.voters = append(f.voters, d.Name)
		} else {
			d.Name = fmt.Sprintf("o%d", i+1-s.Voters)
		}
		d.dir = appliance.Dir(filepath.Join(folder, d.Name))
		f.Dispatchers = append(f.Dispatchers, d)
	}
	if s.Lists {
		var names []string
		for _, d := range f.Dispatchers {
			names = append(names, d.Name)
		}
		if f.registry, err = newRegistry(replicas, spare, names, !s.OnRequest); err != nil {
			return nil, err
		}
	}
	for i, d := range f.Dispatchers {
		voters := map[string]string{}
		for _, v := range f.Dispatchers[:s.Voters] {
			voters[v.Name] = v.Peers
			if v == d {
				continue
			}
			r, err := NewRelay(v.Peers)
			if err != nil {
				return nil, err
			}
			f.relays[[2]string{d.Name, v.Name}] = r
			voters[v.Name] = r.Addr
		}
		d.config = map[string]any{"name": d.Name, "listen": d.Listen, "known": map[string]any{"servers": replicas},
			"agree":    map[string]any{"cluster": "proving", "voters": voters, "others": []string{"o*"}, "within": s.Within, "alone": s.Alone},
			"settings": initialSettings(total), "limits": map[string]any{"sockets": 16384}}
		if d.Peers != "" {
			d.config["peers"] = map[string]any{"listen": d.Peers}
		}
		if f.registry != nil {
			delete(d.config, "known")
			d.config["discovery"] = f.registry.agents[d.Name].Addr
			d.config["agree"].(map[string]any)["lists"] = map[string]any{"readers": 2}
		}
		if s.OnRequest {
			d.config["settings"].(map[string]any)["registry_mode"] = "on_request"
		}
		if s.Ledger != "" && s.Ledger != ledgerOff {
			d.config["ledger"] = map[string]any{"keep": "1h", "survive": s.Ledger}
		}
		if s.OrderedRecovery {
			d.config["recovery"] = map[string]any{}
		}
		if s.Standalone {
			delete(d.config, "agree")
			delete(d.config, "peers")
		}
		if slices.Contains(s.NeedClass, d.Name) {
			d.config["chat"] = map[string]any{"listen": ports[3*i+2], "models": map[string]any{"act": "instruction"}}
		}
		if err := d.writeConfig(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// writeConfig writes the active configuration into the dispatcher's state folder.
func (d *Dispatcher) writeConfig() error {
	text, err := jsoniter.Marshal(d.config)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(string(d.dir), 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(string(d.dir), "active.json"), text, 0o600)
}

// Run runs one command of the program on a dispatcher's state folder and returns its output.
func (f *Fleet) Run(d *Dispatcher, args ...string) (string, error) {
	cmd := exec.Command(f.program.Path, append(args, "--state", string(d.dir))...)
	cmd.Env = append(os.Environ(), f.program.Env...)
	text, err := cmd.CombinedOutput()
	return string(text), err
}

// logPath returns the path of a dispatcher's log file.
func (f *Fleet) logPath(d *Dispatcher) string { return filepath.Join(f.folder, d.Name+".log") }

// Start starts a dispatcher.
func (f *Fleet) Start(d *Dispatcher) error {
	log, err := os.OpenFile(f.logPath(d), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command(f.program.Path, "run", "--state", string(d.dir))
	d.cmd.Env = append(os.Environ(), f.program.Env...)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	d.stopped.Store(false)
	d.terminating.Store(false)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // whoever ended the process judges how it exited
		close(exited)
		_ = log.Close()
	}(d.cmd, d.exited)
	go f.waitUp(d, d.exited)
	return nil
}

// waitUp marks a dispatcher as up once it accepts connections. How long it takes to start depends
// on its disk.
func (f *Fleet) waitUp(d *Dispatcher, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		default:
		}
		if c, err := net.Dial("tcp", d.Listen); err == nil {
			_ = c.Close() // nothing was sent on it
			f.markUp(d)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Running reports whether the process is running.
func (d *Dispatcher) Running() bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// markDown records that a dispatcher is down from now on.
func (f *Fleet) markDown(d *Dispatcher) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downtimes[d.Name] = append(f.downtimes[d.Name], [2]time.Duration{f.Now(), 0})
}

// markUp records that a dispatcher is up again. Its start may affect requests for another 3 s.
func (f *Fleet) markUp(d *Dispatcher) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.downtimes[d.Name]; len(l) > 0 && l[len(l)-1][1] == 0 && !d.stopped.Load() {
		l[len(l)-1][1] = f.Now() + 3*time.Second
	}
}

// Signal sends a signal to a dispatcher if it is running.
func (f *Fleet) Signal(d *Dispatcher, sig syscall.Signal) {
	if !d.Running() {
		return
	}
	switch sig {
	case syscall.SIGCONT:
		d.stopped.Store(false)
		defer f.markUp(d)
	case syscall.SIGHUP:
	default:
		f.markDown(d)
		d.stopped.Store(sig == syscall.SIGSTOP)
		d.terminating.Store(sig == syscall.SIGTERM)
	}
	_ = d.cmd.Process.Signal(sig) // the process may have exited already
	if sig == syscall.SIGKILL {
		<-d.exited
	}
}

// Close kills all dispatchers and closes the links and registry agents.
func (f *Fleet) Close() {
	for _, d := range f.Dispatchers {
		if d.Running() {
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
	for _, r := range f.relays {
		r.Close()
	}
	if f.registry != nil {
		f.registry.close()
	}
}

// SendCommand sends a settings command to a dispatcher, as the command line does.
func (f *Fleet) SendCommand(d *Dispatcher, c cluster.Command) (cluster.Reply, error) {
	var r cluster.Reply
	err := d.dir.Settings(c, &r)
	return r, err
}

// resolve returns the dispatchers that a script means by a name: one dispatcher, "leader", "reader",
// "nonreader" or "*".
func (f *Fleet) resolve(name string) []*Dispatcher {
	var matches []*Dispatcher
	for _, d := range f.Dispatchers {
		if name == "*" || d.Name == name {
			matches = append(matches, d)
		}
	}
	switch name {
	case "reader":
		return f.withRole(func(readers []string, d string) bool { return slices.Contains(readers, d) })
	case "nonreader":
		return f.withRole(func(readers []string, d string) bool { return !slices.Contains(readers, d) })
	}
	if name != "leader" {
		return matches
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, d := range f.Dispatchers {
			if !d.Running() || d.stopped.Load() {
				continue
			}
			if r, err := f.SendCommand(d, cluster.Command{Do: "own"}); err == nil && r.Status != nil && r.Status.Leader == d.Name {
				return []*Dispatcher{d}
			}
		}
	}
	return nil
}

// withRole returns the first dispatcher by name that matches, given the names of those that read the
// registry for all. It waits until there are readers.
func (f *Fleet) withRole(matches func(readers []string, dispatcher string) bool) []*Dispatcher {
	byName := slices.SortedFunc(slices.Values(f.Dispatchers), func(a, b *Dispatcher) int { return strings.Compare(a.Name, b.Name) })
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, d := range f.Dispatchers {
			if !d.Running() || d.stopped.Load() || time.Now().After(end) {
				continue
			}
			r, err := f.SendCommand(d, cluster.Command{Do: "view", ViewFilter: cluster.ViewFilter{Section: cluster.SectionSettings}})
			if err != nil || r.View == nil || len(r.View.RegistryReaders) == 0 {
				continue
			}
			for _, x := range byName {
				if matches(r.View.RegistryReaders, x.Name) {
					return []*Dispatcher{x}
				}
			}
		}
	}
	return nil
}

// eachRelay calls set for each relay and direction that carries what the dispatchers in from send
// to those in to.
func (f *Fleet) eachRelay(from, to []*Dispatcher, set func(r *Relay, dir int)) {
	for _, a := range from {
		for _, b := range to {
			if r := f.relays[[2]string{a.Name, b.Name}]; r != nil {
				set(r, toVoter)
			}
			if r := f.relays[[2]string{b.Name, a.Name}]; r != nil {
				set(r, fromVoter)
			}
		}
	}
}
