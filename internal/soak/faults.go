package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// play puts a fault in, and takes it back after its span.
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

// disturbed books that a replica, or the way to it, is faulty until the function that it gives is called.
func (r *run) markFaulty(n *node) (over func()) {
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
	over := r.markFaulty(n)
	defer over()
	switch f.Kind {
	case linkBlackhole: // new connections are well
		n.link.Blackhole()
		time.Sleep(f.Duration) // those that are silent stay so
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
		ways := []Behavior{{Error: share}, {Full: share}, {Break: share}, {BreakStream: share}, {Hang: share}, {Slow: 4}}
		r.registry.setBehavior(n.cfg.Name, ways[f.Target/len(r.nodes)%len(ways)])
		time.Sleep(f.Duration)
		r.registry.setBehavior(n.cfg.Name, Behavior{})
	}
}

// stopReplica stops a process, or lets it go on when no fault stops it any more.
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
	_ = n.cmd.Process.Signal(sig) // it may have been killed meanwhile
}

func (r *run) restartReplica(n *node, after time.Duration) {
	r.mu.Lock()
	cmd, down := n.cmd, n.down
	n.down = true
	r.mu.Unlock()
	if down { // by another such fault
		return
	}
	_ = cmd.Process.Kill() // what it did is with the registry
	_ = cmd.Wait()
	time.Sleep(after)
	r.mu.Lock()
	defer r.mu.Unlock()
	n.down = false
	if err := r.startReplica(n); err != nil {
		r.rec.Problems = append(r.rec.Problems, fmt.Sprintf("%s can't be started: %v", n.cfg.Name, err))
	}
}

// playRole has open connections to four in five replicas of a role fall silent together.
func (r *run) blackholeRole(f fault) {
	readers := f.Target%2 == 0
	var overs []func()
	for i, n := range r.nodes {
		if n.cfg.Reader == readers && (i+f.Target)%5 != 0 {
			overs = append(overs, r.markFaulty(n))
			n.link.Blackhole()
		}
	}
	time.Sleep(f.Duration)
	for _, over := range overs {
		over()
	}
}

// playDrain has discovery tell all dispatchers that a replica drains, up to the end.
func (r *run) drainReplica(f fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := map[string]int{}
	for _, e := range r.entries {
		if e.State == "in_service" {
			left[e.Kind]++
		}
	}
	i := f.Target % len(r.entries)
	if e := &r.entries[i]; e.State == "in_service" && left[e.Kind] > 2 {
		r.entries = slices.Clone(r.entries)
		r.entries[i].State = "terminating"
		for _, d := range r.dispatchers {
			d.agent.Set(r.entries...)
		}
		r.rec.Drains = append(r.rec.Drains, Drain{r.entries[i].ID, time.Now().Add(drainKnownWithin)})
	}
}

// told is when a change counts as told at the latest, whatever discovery does.
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
		r.clients.open.Add(1)
		g.holdIdleConns(r.scenario.Sockets, time.After(f.Duration))
	case partialRequests:
		r.sendPartialRequests(d, g)
	}
}

// seriesPause is the longest pause between the signals of a series.
const signalPauseMax = 200 * time.Millisecond

// series gives the nth series of signals that end a dispatcher.
func signalSeries(n int) []syscall.Signal {
	all := [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}}
	return all[n%len(all)]
}

// heldUpMost is the longest that a dispatcher may be held up.
const pauseMax = 150 * time.Millisecond

// terminate sends signals in a row, and SIGKILL when it may come first.
func (r *run) terminate(d *dispatcher, signals []syscall.Signal, pause time.Duration) {
	if !d.running() {
		return
	}
	d.mu.Lock()
	life := d.current()
	d.mu.Unlock()
	for _, sig := range signals {
		d.signal(sig)
		time.Sleep(pause)
	}
	ended := func() bool { d.mu.Lock(); defer d.mu.Unlock(); return !life.Exited.IsZero() }
	for time.Since(d.termSentAt(life)) < killAfter(r.scenario.longestDeadline()) {
		if ended() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.signal(syscall.SIGKILL)
	_ = waitUntil(time.Second, ended) // SIGKILL is not answered
}

// restart starts a dispatcher that is down.
func (r *run) restart(d *dispatcher) {
	d.fileMu.Lock()
	defer d.fileMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.running() {
		return
	}
	if err := d.start(r.dispatcherProgram()); err != nil {
		r.rec.Problems = append(r.rec.Problems, fmt.Sprintf("%s can't be started: %v", d.name, err))
	}
}

// reload sends SIGHUP for other settings, for a file that is cut short and for the first settings again, closer than one reload.
func (r *run) reload(f fault, d *dispatcher) {
	d.fileMu.Lock()
	defer d.fileMu.Unlock()
	first, err := os.ReadFile(d.file)
	if err != nil {
		r.problem("%s: %v", d.name, err)
		return
	}
	pause := time.Duration(f.Size * float64(60*time.Millisecond))
	other := strings.Replace(string(first), `"siblings":`, `"siblings":1`, 1) // ten and more times as many
	for _, text := range []string{other, string(first[:len(first)/2]), string(first)} {
		if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
			r.problem("%s: %v", d.name, err)
			return
		}
		d.signal(syscall.SIGHUP)
		time.Sleep(pause)
	}
}

func (r *run) problem(form string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Problems = append(r.rec.Problems, fmt.Sprintf(form, args...))
}

// halfSent has clients stop in the middle of a head, of a body and behind a whole head, and stay.
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
				r.problem("%s: a client that stopped after %d bytes: %v, %v", d.name, n, took, err)
			}
		}()
	}
}
