package proving

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"standpulley/internal/cluster"
	"standpulley/internal/clusterstate"
	"standpulley/internal/membership"
)

// Bench is a fleet for measurements, without a script or a judge.
type Bench struct {
	*Fleet
	traffic  *traffic
	Script   Script
	sequence int

	restartedReplicas []ColdReplica // the replicas that the last restart of all replicas started
}

// NewBench starts a fleet, with traffic if the script has a rate, and waits until it serves.
func NewBench(s Script, program Program, folder string) (*Bench, error) {
	t, err := newTraffic()
	if err != nil {
		return nil, err
	}
	f, err := NewFleet(s, program, folder, t.list, t.spare)
	if err != nil {
		return nil, err
	}
	t.now = f.Now
	b := &Bench{Fleet: f, traffic: t, Script: s}
	if s.Standalone {
		return b, b.startStandalone()
	}
	if text, err := f.Run(f.Dispatchers[0], "settings", "init"); err != nil {
		return b, fmt.Errorf("settings init: %w: %s", err, text)
	}
	for _, d := range f.Dispatchers {
		if err := f.Start(d); err != nil {
			return b, err
		}
	}
	if err := b.WaitVersion(1); err != nil {
		return b, err
	}
	// a new leader first waits for leases that it doesn't know of to expire
	time.Sleep(duration(s.Within))
	b.startTraffic()
	return b, nil
}

// startTraffic starts to send requests to all dispatchers, if the script has a rate.
func (b *Bench) startTraffic() {
	for _, d := range b.Dispatchers {
		if b.Script.Rate > 0 {
			b.traffic.inFlight.Add(1)
			go b.traffic.sendLoop(d, b.Script.Rate)
		}
	}
}

// Close stops the traffic and the fleet.
func (b *Bench) Close() {
	close(b.traffic.stop)
	b.traffic.inFlight.Wait()
	b.Fleet.Close()
	b.traffic.close()
}

// Status returns the status of a dispatcher.
func (b *Bench) Status(d *Dispatcher) (cluster.Status, error) {
	r, err := b.SendCommand(d, cluster.Command{Do: "own"})
	if err != nil || r.Status == nil {
		return cluster.Status{}, fmt.Errorf("%s: %w %s", d.Name, err, r.Error)
	}
	return *r.Status, nil
}

// WaitVersion waits until every running dispatcher holds a lease on a version.
func (b *Bench) WaitVersion(number uint64) error {
	var waiters sync.WaitGroup
	var mu sync.Mutex
	var waitErr error
	for _, d := range b.Dispatchers {
		if !d.Running() {
			continue
		}
		waiters.Go(func() {
			for end := time.Now().Add(eventualTimeout); ; time.Sleep(2 * time.Millisecond) {
				if o, err := b.Status(d); err == nil && o.Version == number && o.LeaseMS > 0 {
					return
				}
				if time.Now().After(end) {
					mu.Lock()
					waitErr = fmt.Errorf("%s did not act on version %d in time", d.Name, number)
					mu.Unlock()
					return
				}
			}
		})
	}
	waiters.Wait()
	return waitErr
}

// ProposeChange proposes another version at the first dispatcher, and returns the time until all
// dispatchers act on it.
func (b *Bench) ProposeChange() (time.Duration, error) {
	r, err := b.SendCommand(b.Dispatchers[0], cluster.Command{Do: "view"})
	if err != nil || r.View == nil {
		return 0, fmt.Errorf("can't read the settings record: %w %s", err, r.Error)
	}
	b.sequence++
	// this change does not affect how requests are served
	content, err := editContent(r.View.Record.InForce().Content, "obligations.drain_grace_us", strconv.Itoa(1000000+b.sequence))
	if err != nil {
		return 0, err
	}
	began := time.Now()
	r, err = b.SendCommand(b.Dispatchers[0], cluster.Command{Do: "propose", Base: r.View.Record.InForceNumber, Content: content, By: "measure"})
	if err != nil || r.Error != "" {
		return 0, fmt.Errorf("propose: %w %s", err, r.Error)
	}
	err = b.WaitVersion(r.Number)
	return time.Since(began), err
}

// Kill kills a dispatcher.
func (b *Bench) Kill(d *Dispatcher) { b.Signal(d, syscall.SIGKILL) }

// Restart starts a killed dispatcher and waits until it acts on the version in force.
func (b *Bench) Restart(d *Dispatcher) error {
	if err := b.Start(d); err != nil {
		return err
	}
	r, err := b.SendCommand(b.Dispatchers[0], cluster.Command{Do: "view"})
	if err != nil || r.View == nil {
		return fmt.Errorf("can't read the settings record: %w %s", err, r.Error)
	}
	return b.WaitVersion(r.View.Record.InForceNumber)
}

// EarnedShare returns the share of the possible credit that was earned by requests sent to the
// given dispatchers in a stretch of time, and the latencies of the served ones. An enquiry is worth
// 3, an instruction 2. It waits until all of them have been answered.
func (b *Bench) EarnedShare(dispatchers []*Dispatcher, from, to time.Duration) (share float64, latencies []time.Duration) {
	time.Sleep(to + clientTimeout + 500*time.Millisecond - b.Now())
	b.traffic.mu.Lock()
	defer b.traffic.mu.Unlock()
	earned, possible := 0.0, 0.0
	for _, a := range b.traffic.requests {
		if a.Sent < from || a.Sent >= to || !slices.ContainsFunc(dispatchers, func(d *Dispatcher) bool { return d.Name == a.Dispatcher }) {
			continue
		}
		credit := 3.0
		if a.AtMostOnce {
			credit = 2
		}
		possible += credit
		if a.Status == 200 && a.Complete {
			earned += credit
			latencies = append(latencies, a.Done-a.Sent)
		}
	}
	slices.Sort(latencies)
	return earned / max(possible, 1), latencies
}

// Memory returns the resident memory of a dispatcher, in MB.
func (d *Dispatcher) Memory() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.ParseFloat(f[1], 64)
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("%s: /proc status has no VmRSS", d.Name)
}

// CPU returns the processor time that a dispatcher has used.
func (d *Dispatcher) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the process name may contain spaces
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("%s: /proc stat has only %d fields after the process name", d.Name, len(f))
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, err // a clock tick is 10 ms
}

// Percentile returns a percentile of a sorted list.
func Percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// memberGroup is a group of cluster members without a dispatcher behind them, to put the load of
// many members on the leader.
type memberGroup struct{ nodes []*cluster.Node }

// nopProgram is the program of such a member: it accepts everything and does nothing.
type nopProgram struct{}

func (nopProgram) Check(string) *clusterstate.Fault                         { return nil }
func (nopProgram) Activate(clusterstate.Version, *clusterstate.Lease) error { return nil }
func (nopProgram) ApplyList(membership.List, int, bool) error               { return nil }
func (nopProgram) SetReader(bool)                                           {}
func (nopProgram) LeaseLost()                                               {}
func (nopProgram) RegistrySilent() bool                                     { return false }
func (nopProgram) Phase() string                                            { return "ready" }
func (nopProgram) ServingTime() time.Duration                               { return 0 }
func (nopProgram) WarmRates() map[string]float64                            { return nil }

// AddMembers adds members to the cluster, all in this process; each has a log and connections of
// its own.
func (b *Bench) AddMembers(size int) (*memberGroup, error) {
	c := &memberGroup{}
	voters := map[string]string{}
	for _, d := range b.Dispatchers {
		if d.Peers != "" {
			voters[d.Name] = d.Peers
		}
	}
	var lists *cluster.Lists
	if b.Script.Lists {
		lists = &cluster.Lists{MaxReaders: 2} // these members don't read the registry
	}
	for i := range size {
		folder := filepath.Join(b.folder, fmt.Sprintf("crowd-%d", i))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return c, err
		}
		n, err := cluster.Open(cluster.Options{Name: fmt.Sprintf("o-%d", i), Cluster: "proving", Voters: voters,
			Timing: clusterstate.TimingOf(duration(b.Script.Within)), OnLeaseLoss: clusterstate.Stop, Folder: folder, Lists: lists})
		if err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
		if err := n.Run(nopProgram{}); err != nil {
			return c, err
		}
	}
	return c, nil
}

// WaitVersion waits until each member holds a lease on a version, and returns how long that took.
func (c *memberGroup) WaitVersion(number uint64) (time.Duration, error) {
	began := time.Now()
	for _, n := range c.nodes {
		for o := n.Status(); o.Version != number || o.LeaseMS == 0; o = n.Status() {
			if time.Since(began) > eventualTimeout {
				return 0, fmt.Errorf("%s: %+v", o.Name, o)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began), nil
}

// WaitList waits until each member uses this version of the list or a later one.
func (c *memberGroup) WaitList(number uint64) error {
	began := time.Now()
	for _, n := range c.nodes {
		for n.Status().ListVersion < number {
			if time.Since(began) > eventualTimeout {
				return fmt.Errorf("%s did not use version %d of the list in time", n.Status().Name, number)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// Close stops all members.
func (c *memberGroup) Close() {
	for _, n := range c.nodes {
		_ = n.Close() // their data is not used again
	}
}
