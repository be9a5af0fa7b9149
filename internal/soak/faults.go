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
func (r *run) play(f fault) {
	switch f.Kind {
	case linkSilent, linkCut, linkPending, linkReset, hang, die, misbehave:
		r.playReplica(f, r.nodes[f.Target%len(r.nodes)])
	case roleSilent:
		r.playRole(f)
	case drain:
		r.playDrain(f)
	default:
		r.playDispatcher(f, f.Target%len(r.fleet))
	}
}

// disturbed books that a replica, or the way to it, is faulty until the function that it gives is called.
func (r *run) disturbed(n *node) (over func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, i := n.cfg.Name, len(r.rec.Disturbed[n.cfg.Name])
	r.rec.Disturbed[name] = append(r.rec.Disturbed[name], Span{From: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.rec.Disturbed[name][i].To = time.Now()
	}
}

func (r *run) playReplica(f fault, n *node) {
	over := r.disturbed(n)
	defer over()
	switch f.Kind {
	case linkSilent: // new connections are well
		n.link.Silence()
		time.Sleep(f.Span) // those that are silent stay so
	case linkCut:
		n.link.Silence()
		n.link.SetNew(Pending)
		time.Sleep(f.Span)
		n.link.SetNew(Carried)
	case linkPending:
		n.link.SetNew(Pending)
		time.Sleep(min(f.Span, time.Second))
		n.link.SetNew(Carried)
	case linkReset:
		n.link.Reset()
	case hang:
		r.stopReplica(n, true)
		time.Sleep(f.Span)
		r.stopReplica(n, false)
	case die:
		r.restartReplica(n, f.Span)
	case misbehave:
		share := 0.1 + 0.6*f.Size
		ways := []Conduct{{Error: share}, {Full: share}, {Break: share}, {BreakStream: share}, {Hang: share}, {Slow: 4}}
		r.reg.conduct(n.cfg.Name, ways[f.Target/len(r.nodes)%len(ways)])
		time.Sleep(f.Span)
		r.reg.conduct(n.cfg.Name, Conduct{})
	}
}

// stopReplica stops a process, or lets it go on when no fault stops it any more.
func (r *run) stopReplica(n *node, stop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sig := syscall.SIGSTOP
	if stop {
		n.stop++
	} else if n.stop--; n.stop > 0 {
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
		r.rec.Bad = append(r.rec.Bad, fmt.Sprintf("%s can't be started: %v", n.cfg.Name, err))
	}
}

// playRole has open connections to four in five replicas of a role fall silent together.
func (r *run) playRole(f fault) {
	readers := f.Target%2 == 0
	var overs []func()
	for i, n := range r.nodes {
		if n.cfg.Reader == readers && (i+f.Target)%5 != 0 {
			overs = append(overs, r.disturbed(n))
			n.link.Silence()
		}
	}
	time.Sleep(f.Span)
	for _, over := range overs {
		over()
	}
}

// playDrain has discovery tell all dispatchers that a replica drains, up to the end.
func (r *run) playDrain(f fault) {
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
		for _, d := range r.fleet {
			d.agent.Set(r.entries...)
		}
		r.rec.Drains = append(r.rec.Drains, Drain{r.entries[i].ID, time.Now().Add(told)})
	}
}

// told is when a change counts as told at the latest, whatever discovery does.
const told = 6 * time.Second

func (r *run) playDispatcher(f fault, i int) {
	d, g := r.fleet[i], r.groups[i]
	switch f.Kind {
	case terminate:
		r.terminate(d, series(f.Target/len(r.fleet)), time.Duration(f.Size*float64(seriesPause)))
		time.Sleep(f.Span)
		r.restart(d)
	case kill:
		d.signal(syscall.SIGKILL)
		time.Sleep(f.Span)
		r.restart(d)
	case heldUpFault:
		d.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration((0.3 + 0.7*f.Size) * float64(heldUpMost)))
		d.signal(syscall.SIGCONT)
	case reload:
		r.reload(f, d)
	case mute:
		d.agent.SetUnresponsive(true)
		time.Sleep(f.Span)
		d.agent.SetUnresponsive(false)
	case overload:
		d.agent.SetOverloaded(true)
		time.Sleep(f.Span)
		d.agent.SetOverloaded(false)
	case crowd:
		r.crowds(d)
		r.clients.open.Add(1)
		g.crowd(r.s.Sockets, time.After(f.Span))
	case halfSent:
		r.halfSent(d, g)
	}
}

// seriesPause is the longest pause between the signals of a series.
const seriesPause = 200 * time.Millisecond

// series gives the nth series of signals that end a dispatcher.
func series(n int) []syscall.Signal {
	all := [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}}
	return all[n%len(all)]
}

// heldUpMost is the longest that a dispatcher may be held up.
const heldUpMost = 150 * time.Millisecond

// terminate sends signals in a row, and SIGKILL when it may come first.
func (r *run) terminate(d *dispatcher, signals []syscall.Signal, pause time.Duration) {
	if !d.running() {
		return
	}
	d.mu.Lock()
	life := d.life()
	d.mu.Unlock()
	for _, sig := range signals {
		d.signal(sig)
		time.Sleep(pause)
	}
	ended := func() bool { d.mu.Lock(); defer d.mu.Unlock(); return !life.Gone.IsZero() }
	for time.Since(d.told(life)) < killAfter(r.s.longest()) {
		if ended() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.signal(syscall.SIGKILL)
	_ = within(time.Second, ended) // SIGKILL is not answered
}

// restart starts a dispatcher that is down.
func (r *run) restart(d *dispatcher) {
	d.files.Lock()
	defer d.files.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.running() {
		return
	}
	if err := d.start(r.program()); err != nil {
		r.rec.Bad = append(r.rec.Bad, fmt.Sprintf("%s can't be started: %v", d.name, err))
	}
}

// reload sends SIGHUP for other settings, for a file that is cut short and for the first settings again, closer than one reload.
func (r *run) reload(f fault, d *dispatcher) {
	d.files.Lock()
	defer d.files.Unlock()
	first, err := os.ReadFile(d.file)
	if err != nil {
		r.bad("%s: %v", d.name, err)
		return
	}
	pause := time.Duration(f.Size * float64(60*time.Millisecond))
	other := strings.Replace(string(first), `"siblings":`, `"siblings":1`, 1) // ten and more times as many
	for _, text := range []string{other, string(first[:len(first)/2]), string(first)} {
		if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
			r.bad("%s: %v", d.name, err)
			return
		}
		d.signal(syscall.SIGHUP)
		time.Sleep(pause)
	}
}

func (r *run) bad(form string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Bad = append(r.rec.Bad, fmt.Sprintf(form, args...))
}

// halfSent has clients stop in the middle of a head, of a body and behind a whole head, and stay.
func (r *run) halfSent(d *dispatcher, g *group) {
	whole := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nX-Qos: enquiry\r\nContent-Length: 100\r\n\r\n{\"stream\""
	for _, part := range []int{0, 30, len(whole) - 12, len(whole)} {
		r.busy.Add(1)
		go func() {
			defer r.busy.Done()
			began := time.Now()
			took, err := g.stay(whole[:part])
			if !d.takesNew() || time.Since(began) < took {
				return
			}
			if err != nil || took > badMost+heldUpMost {
				r.bad("%s: a client that stopped after %d bytes: %v, %v", d.name, part, took, err)
			}
		}()
	}
}
