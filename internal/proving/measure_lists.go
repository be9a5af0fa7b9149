package proving

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"standpulley/internal/cluster"
)

// startStandalone starts dispatchers that each use their own registry agent alone.
func (b *Bench) startStandalone() error {
	for _, d := range b.Dispatchers {
		if err := b.Start(d); err != nil {
			return err
		}
	}
	for _, d := range b.Dispatchers {
		if err := d.waitListening(); err != nil {
			return err
		}
	}
	time.Sleep(duration(b.Script.Within))
	b.startTraffic()
	return nil
}

// waitListening waits until a dispatcher accepts connections.
func (d *Dispatcher) waitListening() error {
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", d.Listen); err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("%s did not accept connections in time", d.Name)
}

// ChangeRegistry changes the registry. Each agent reports the change after the time that delay
// returns for its dispatcher.
func (b *Bench) ChangeRegistry(key, value string, delay func(i int) time.Duration) error {
	if value == "restart" {
		b.recordRestart()
	}
	if err := b.registry.apply(key, value, nil); err != nil {
		return err
	}
	b.notifyAgents(delay)
	return nil
}

// notifyAgents has each agent report the present registry after a delay.
func (b *Bench) notifyAgents(delay func(i int) time.Duration) {
	b.registry.mu.Lock()
	list, version := slices.Clone(b.registry.list), b.registry.version
	b.registry.mu.Unlock()
	for i, d := range b.Dispatchers {
		notify := func() {
			if a := b.registry.agents[d.Name]; a.Version() < version {
				a.SetAtVersion(version, list...)
			}
		}
		if after := delay(i); after > 0 {
			time.AfterFunc(after, notify)
		} else {
			notify()
		}
	}
}

// SetWeight changes the weight of a replica in the registry; all agents report it at once.
func (b *Bench) SetWeight(key string, weight float64) {
	b.updateWeight(key, weight, func(int) time.Duration { return 0 })
}

// updateWeight changes the weight of a replica in the registry and notifies the agents.
func (b *Bench) updateWeight(key string, weight float64, delay func(i int) time.Duration) {
	b.registry.mu.Lock()
	b.registry.version++
	b.registry.list = slices.Clone(b.registry.list)
	for i := range b.registry.list {
		if b.registry.list[i].ID == key {
			b.registry.list[i].Weight = weight
		}
	}
	b.registry.mu.Unlock()
	b.notifyAgents(delay)
}

// ChangeWeight changes the weight of a replica in the registry, notifies the agents, and returns
// the time until the last dispatcher uses the new weight.
func (b *Bench) ChangeWeight(weight float64, delay func(i int) time.Duration) (time.Duration, error) {
	before := uint64(0)
	if !b.Script.Standalone {
		var err error
		if before, err = b.ListVersion(); err != nil {
			return 0, err
		}
	}
	began := time.Now()
	b.updateWeight("writer-2", weight, delay)
	err := b.WaitList(before + 1)
	return time.Since(began), err
}

// WaitServing waits until every dispatcher answers a request with 200.
func (b *Bench) WaitServing() error {
	var waiters sync.WaitGroup
	errs := make([]error, len(b.Dispatchers))
	for i, d := range b.Dispatchers {
		waiters.Go(func() {
			for end := time.Now().Add(2 * eventualTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if a := b.traffic.sendNumbered(d, int(10000+time.Now().UnixMilli()%1e6), ""); a.Status == 200 {
					return
				}
			}
			errs[i] = fmt.Errorf("%s did not serve a request in time", d.Name)
		})
	}
	waiters.Wait()
	return errors.Join(errs...)
}

// WaitList waits until every running dispatcher uses this version of the list or a later one. Where
// each dispatcher uses its own agent alone, it waits until every agent has handed out the present
// registry.
func (b *Bench) WaitList(number uint64) error {
	var waiters sync.WaitGroup
	errs := make([]error, len(b.Dispatchers))
	b.registry.mu.Lock()
	version := b.registry.version
	b.registry.mu.Unlock()
	for i, d := range b.Dispatchers {
		if !d.Running() {
			continue
		}
		waiters.Go(func() {
			for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if b.Script.Standalone {
					if b.registry.agents[d.Name].ServedVersion() >= version {
						return
					}
				} else if o, err := b.Status(d); err == nil && o.ListVersion >= number {
					return
				}
			}
			errs[i] = fmt.Errorf("%s did not use version %d of the list in time", d.Name, number)
		})
	}
	waiters.Wait()
	return errors.Join(errs...)
}

// ListVersion returns the version of the agreed list at the first dispatcher.
func (b *Bench) ListVersion() (uint64, error) {
	o, err := b.Status(b.Dispatchers[0])
	return o.ListVersion, err
}

// Readers returns the dispatchers that read the registry for all.
func (b *Bench) Readers() ([]*Dispatcher, error) {
	r, err := b.SendCommand(b.Dispatchers[0], cluster.Command{Do: "view", ViewFilter: cluster.ViewFilter{Section: cluster.SectionSettings}})
	if err != nil || r.View == nil {
		return nil, fmt.Errorf("can't read the settings record: %w %s", err, r.Error)
	}
	var readers []*Dispatcher
	for _, name := range r.View.RegistryReaders {
		readers = append(readers, b.resolve(name)...)
	}
	return readers, nil
}

// DispatchersNamed returns dispatchers by name.
func (b *Bench) DispatchersNamed(names ...string) (dispatchers []*Dispatcher) {
	for _, n := range names {
		dispatchers = append(dispatchers, b.resolve(n)...)
	}
	return dispatchers
}

// RegistryLoad sums up the load of the agents: calls answered, calls refused, and bytes sent.
func (b *Bench) RegistryLoad() (answered, refused, bytes int) {
	for _, a := range b.registry.agents {
		x, y, z := a.Stats()
		answered, refused, bytes = answered+x, refused+y, bytes+z
	}
	return answered, refused, bytes
}

// LimitRegistry limits the calls per second to all agents together, as if one service were behind
// them; it refuses the others.
func (b *Bench) LimitRegistry(calls int) {
	l := rate.NewLimiter(rate.Limit(calls), calls)
	for _, a := range b.registry.agents {
		a.SetRateLimit(l)
	}
}

// HangReplica makes a replica stop answering, like a machine without power.
func (b *Bench) HangReplica(replica string) { b.traffic.hung.Store(replica, true) }

// PeakColdLoad returns the highest load of a replica in a span after the last restart of all, as a
// ratio of what the slow-start rule allows by the load of each replica before.
func (b *Bench) PeakColdLoad() ColdLoad {
	b.traffic.mu.Lock()
	defer b.traffic.mu.Unlock()
	r := Record{Actions: b.traffic.actions, ColdReplicas: b.restartedReplicas}
	return r.checkColdLoad(func(string, string, ...any) {})
}

// recordRestart records that all replicas start now.
func (b *Bench) recordRestart() {
	b.restartedReplicas = nil
	for _, e := range b.registry.entries() {
		b.restartedReplicas = append(b.restartedReplicas, ColdReplica{e.ID, e.Kind, b.Now()})
	}
}

// SetPartition cuts the links between two halves of the dispatchers, or restores them.
func (b *Bench) SetPartition(cut bool) {
	half, otherHalf := b.Dispatchers[:len(b.Dispatchers)/2], b.Dispatchers[len(b.Dispatchers)/2:]
	for _, pair := range [][2][]*Dispatcher{{half, otherHalf}, {otherHalf, half}} {
		b.eachRelay(pair[0], pair[1], func(r *Relay, dir int) {
			r.Set(dir, LinkConditions{Drop: cut})
			if !cut {
				r.Reset(false)
			}
		})
	}
}

// KillAll kills the given dispatchers.
func (b *Bench) KillAll(dispatchers []*Dispatcher) {
	for _, d := range dispatchers {
		b.Signal(d, syscall.SIGKILL)
	}
}

// StartAll starts the given dispatchers.
func (b *Bench) StartAll(dispatchers []*Dispatcher) error {
	for _, d := range dispatchers {
		if err := b.Start(d); err != nil {
			return err
		}
	}
	return nil
}
