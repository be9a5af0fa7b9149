package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// inject applies a fault and reverts it after the fault's duration.
func (r *run) inject(f fault) {
	switch f.Kind {
	case linkBlackhole, linkPartition, linkPending, linkReset, pauseReplica, restartReplica, badAnswers:
		r.injectReplicaFault(f, r.nodes[f.Target%len(r.nodes)])
	case roleBlackhole:
		r.blackholeRole(f)
	case drainReplica:
		r.drainReplica(f)
	default:
		r.injectDispatcherFault(f, f.Target%len(r.dispatchers))
	}
}

// markFaulty records that a replica, or the link to it, is faulty until the returned function is
// called.
func (r *run) markFaulty(n *node) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, i := n.cfg.Name, len(r.rec.FaultPeriods[n.cfg.Name])
	r.rec.FaultPeriods[name] = append(r.rec.FaultPeriods[name], Period{From: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.rec.FaultPeriods[name][i].To = time.Now()
	}
}

func (r *run) injectReplicaFault(f fault, n *node) {
	end := r.markFaulty(n)
	defer end()
	switch f.Kind {
	case linkBlackhole: // affects only the open connections
		n.link.Blackhole()
		time.Sleep(f.Duration) // the affected connections stay silent afterwards
	case linkPartition:
		n.link.Blackhole()
		n.link.SetNew(Pending)
		time.Sleep(f.Duration)
		n.link.SetNew(Forwarded)
	case linkPending:
		n.link.SetNew(Pending)
		time.Sleep(min(f.Duration, time.Second))
		n.link.SetNew(Forwarded)
	case linkReset:
		n.link.Reset()
	case pauseReplica:
		r.setPaused(n, true)
		time.Sleep(f.Duration)
		r.setPaused(n, false)
	case restartReplica:
		r.restartReplica(n, f.Duration)
	case badAnswers:
		share := 0.1 + 0.6*f.Size
		behaviors := []Behavior{{Error: share}, {Full: share}, {Break: share}, {BreakStream: share}, {Hang: share}, {Slow: 4}}
		r.registry.setBehavior(n.cfg.Name, behaviors[f.Target/len(r.nodes)%len(behaviors)])
		time.Sleep(f.Duration)
		r.registry.setBehavior(n.cfg.Name, Behavior{})
	}
}

// setPaused pauses a replica process, or resumes it if no other fault pauses it.
func (r *run) setPaused(n *node, pause bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sig := syscall.SIGSTOP
	if pause {
		n.pauses++
	} else if n.pauses--; n.pauses > 0 {
		return
	} else {
		sig = syscall.SIGCONT
	}
	_ = n.cmd.Process.Signal(sig) // the process may have been killed meanwhile
}

func (r *run) restartReplica(n *node, after time.Duration) {
	r.mu.Lock()
	cmd, down := n.cmd, n.down
	n.down = true
	r.mu.Unlock()
	if down { // another fault has killed it already
		return
	}
	_ = cmd.Process.Kill() // the registry has its reports
	_ = cmd.Wait()
	time.Sleep(after)
	r.mu.Lock()
	defer r.mu.Unlock()
	n.down = false
	if err := r.startReplica(n); err != nil {
		r.rec.Problems = append(r.rec.Problems, fmt.Sprintf("%s failed to start: %v", n.cfg.Name, err))
	}
}

// blackholeRole makes the open connections to four in five replicas of a role stop responding at
// the same time.
func (r *run) blackholeRole(f fault) {
	readers := f.Target%2 == 0
	var ends []func()
	for i, n := range r.nodes {
		if n.cfg.Reader == readers && (i+f.Target)%5 != 0 {
			ends = append(ends, r.markFaulty(n))
			n.link.Blackhole()
		}
	}
	time.Sleep(f.Duration)
	for _, end := range ends {
		end()
	}
}

// drainReplica makes discovery list a replica as draining for the rest of the run.
func (r *run) drainReplica(f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inService := map[string]int{}
	for _, e := range r.entries {
		if e.State == "in_service" {
			inService[e.Kind]++
		}
	}
	i := f.Target % len(r.entries)
	if e := &r.entries[i]; e.State == "in_service" && inService[e.Kind] > 2 {
		r.entries = slices.Clone(r.entries)
		r.entries[i].State = "terminating"
		for _, d := range r.dispatchers {
			d.agent.Set(r.entries...)
		}
		r.rec.Drains = append(r.rec.Drains, Drain{r.entries[i].ID, time.Now().Add(drainKnownWithin)})
	}
}

// drainKnownWithin is the longest time until all dispatchers must know of a change, whatever faults
// discovery has.
const drainKnownWithin = 6 * time.Second

func (r *run) injectDispatcherFault(f fault, i int) {
	d, g := r.dispatchers[i], r.groups[i]
	switch f.Kind {
	case terminateDispatcher:
		r.terminate(d, signalSeries(f.Target/len(r.dispatchers)), time.Duration(f.Size*float64(signalPauseMax)))
		time.Sleep(f.Duration)
		r.restart(d)
	case killDispatcher:
		d.signal(syscall.SIGKILL)
		time.Sleep(f.Duration)
		r.restart(d)
	case pauseDispatcher:
		d.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration((0.3 + 0.7*f.Size) * float64(pauseMax)))
		d.signal(syscall.SIGCONT)
	case reloadSettings:
		r.reload(f, d)
	case muteDiscovery:
		d.agent.SetUnresponsive(true)
		time.Sleep(f.Duration)
		d.agent.SetUnresponsive(false)
	case overloadDiscovery:
		d.agent.SetOverloaded(true)
		time.Sleep(f.Duration)
		d.agent.SetOverloaded(false)
	case idleClients:
		r.markIdleClients(d)
		r.clients.running.Add(1)
		g.holdIdleConns(r.scenario.Sockets, time.After(f.Duration))
	case partialRequests:
		r.sendPartialRequests(d, g)
	}
}

// signalPauseMax is the longest pause between the signals of a series.
const signalPauseMax = 200 * time.Millisecond

// signalSeries returns the nth series of signals that stop a dispatcher.
func signalSeries(n int) []syscall.Signal {
	all := [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}}
	return all[n%len(all)]
}

// pauseMax is the longest time for which a fault pauses a dispatcher.
const pauseMax = 150 * time.Millisecond

// terminate sends a series of signals, and SIGKILL at the earliest time at which an operator may
// send it.
func (r *run) terminate(d *dispatcher, signals []syscall.Signal, pause time.Duration) {
	if !d.running() {
		return
	}
	d.mu.Lock()
	process := d.current()
	d.mu.Unlock()
	for _, sig := range signals {
		d.signal(sig)
		time.Sleep(pause)
	}
	exited := func() bool { d.mu.Lock(); defer d.mu.Unlock(); return !process.Exited.IsZero() }
	for time.Since(d.termSentAt(process)) < killAfter(r.scenario.longestDeadline()) {
		if exited() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.signal(syscall.SIGKILL)
	_ = waitUntil(time.Second, exited) // the process can't delay its end after SIGKILL
}

// restart starts a dispatcher that is down. Its file stays as it is until the process has read it: a
// process that starts with half a file ends with an error, as it should.
func (r *run) restart(d *dispatcher) {
	d.fileMu.Lock()
	if !r.startIfDown(d) {
		d.fileMu.Unlock()
		return
	}
	go func() {
		defer d.fileMu.Unlock()
		_ = waitUntil(readyTimeMax, func() bool { return !d.running() || d.isReady() }) // whether it gets ready is judged elsewhere
	}()
}

// startIfDown starts a dispatcher that is down, and reports whether it was.
func (r *run) startIfDown(d *dispatcher) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.running() {
		return false
	}
	if err := d.start(r.dispatcherProgram()); err != nil {
		r.rec.Problems = append(r.rec.Problems, fmt.Sprintf("%s failed to start: %v", d.name, err))
	}
	return true
}

// readyTimeMax is how long the file of a process that starts stays as it is.
const readyTimeMax = 3 * time.Second

// reload sends SIGHUP for changed settings, for a truncated file and for the original settings, with
// pauses shorter than a reload takes.
func (r *run) reload(f fault, d *dispatcher) {
	d.fileMu.Lock()
	defer d.fileMu.Unlock()
	first, err := os.ReadFile(d.file)
	if err != nil {
		r.addProblem("%s: %v", d.name, err)
		return
	}
	pause := time.Duration(f.Size * float64(60*time.Millisecond))
	other := strings.Replace(string(first), `"siblings":`, `"siblings":1`, 1) // at least ten times as many siblings
	for _, text := range []string{other, string(first[:len(first)/2]), string(first)} {
		if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
			r.addProblem("%s: %v", d.name, err)
			return
		}
		d.signal(syscall.SIGHUP)
		time.Sleep(pause)
	}
}

func (r *run) addProblem(form string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Problems = append(r.rec.Problems, fmt.Sprintf(form, args...))
}

// sendPartialRequests starts clients that connect and stop sending: before the first byte, within
// the head, at the end of the head and within the body.
func (r *run) sendPartialRequests(d *dispatcher, g *group) {
	whole := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nX-Qos: enquiry\r\nContent-Length: 100\r\n\r\n{\"stream\""
	for _, n := range []int{0, 30, len(whole) - 12, len(whole)} {
		r.faults.Add(1)
		go func() {
			defer r.faults.Done()
			began := time.Now()
			took, err := g.stall(whole[:n])
			if !d.acceptsConns() || time.Since(began) < took {
				return
			}
			if err != nil || took > stalledClientMax+pauseMax {
				r.addProblem("%s: client that stopped after %d bytes waited %v: %v", d.name, n, took, err)
			}
		}()
	}
}
