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

	"standpulley/internal/agreement"
)

// startApart starts dispatchers that go by their own registers alone.
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

// serves waits until a dispatcher takes connections.
func (d *Dispatcher) waitListening() error {
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", d.Listen); err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("%s never listens", d.Name)
}

// Register changes what the register says. Each agent hears of it after the time that late gives for its dispatcher.
func (b *Bench) ChangeRegistry(key, value string, delay func(i int) time.Duration) error {
	if value == "restart" {
		b.recordRestart()
	}
	if err := b.registry.apply(key, value, nil); err != nil {
		return err
	}
	b.notify(delay)
	return nil
}

// tell has each agent hear what the register says by now, some time later.
func (b *Bench) notify(delay func(i int) time.Duration) {
	b.registry.mu.Lock()
	list, version := slices.Clone(b.registry.list), b.registry.version
	b.registry.mu.Unlock()
	for i, d := range b.Dispatchers {
		notify := func() {
			if a := b.registry.agents[d.Name]; a.Version() < version {
				a.SetAt(version, list...)
			}
		}
		if after := delay(i); after > 0 {
			time.AfterFunc(after, notify)
		} else {
			notify()
		}
	}
}

// Weight gives a replica another weight in the register, which all agents hear at once.
func (b *Bench) SetWeight(key string, weight float64) {
	b.updateWeight(key, weight, func(int) time.Duration { return 0 })
}

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
	b.notify(delay)
}

// Move gives a replica another weight in the register, has the agents hear of it, and gives the time until the last dispatcher
// goes by it.
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

// Served waits until every dispatcher serves: it answers 200 to a request.
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
			errs[i] = fmt.Errorf("%s never serves", d.Name)
		})
	}
	waiters.Wait()
	return errors.Join(errs...)
}

// Listed waits until every dispatcher that runs goes by a list of a version or a later one, or, where each goes by its own
// register, until every agent has handed out what it says.
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
					if b.registry.agents[d.Name].Handed() >= version {
						return
					}
				} else if o, err := b.Status(d); err == nil && o.ListVersion >= number {
					return
				}
			}
			errs[i] = fmt.Errorf("%s never goes by list %d", d.Name, number)
		})
	}
	waiters.Wait()
	return errors.Join(errs...)
}

// ListVersion gives the version of the agreed list at the first dispatcher.
func (b *Bench) ListVersion() (uint64, error) {
	o, err := b.Status(b.Dispatchers[0])
	return o.ListVersion, err
}

// Readers names those who read the register for all.
func (b *Bench) Readers() ([]*Dispatcher, error) {
	r, err := b.SendCommand(b.Dispatchers[0], agreement.Command{Do: "view", ViewFilter: agreement.ViewFilter{Section: agreement.SectionSettings}})
	if err != nil || r.View == nil {
		return nil, fmt.Errorf("no view: %w %s", err, r.Error)
	}
	var readers []*Dispatcher
	for _, name := range r.View.RegistryReaders {
		readers = append(readers, b.resolve(name)...)
	}
	return readers, nil
}

// Named gives dispatchers by name.
func (b *Bench) DispatchersNamed(names ...string) (dispatchers []*Dispatcher) {
	for _, n := range names {
		dispatchers = append(dispatchers, b.resolve(n)...)
	}
	return dispatchers
}

// Load sums what was asked of the register: calls answered, calls turned away, bytes handed out.
func (b *Bench) RegistryLoad() (answered, away, bytes int) {
	for _, a := range b.registry.agents {
		x, y, z := a.Load()
		answered, away, bytes = answered+x, away+y, bytes+z
	}
	return answered, away, bytes
}

// LimitRegister has the one service behind all agents take so many calls a second, and turn the others away.
func (b *Bench) LimitRegistry(calls int) {
	l := rate.NewLimiter(rate.Limit(calls), calls)
	for _, a := range b.registry.agents {
		a.Limit(l)
	}
}

// Hang has a replica say nothing any more, as a machine without power.
func (b *Bench) HangReplica(replica string) { b.traffic.hung.Store(replica, true) }

// Coldest gives the most that a replica was sent in a span after the last restart of all, of what the rule on cold replicas allows
// by the load that each bore before.
func (b *Bench) PeakColdLoad() ColdLoad {
	b.traffic.mu.Lock()
	defer b.traffic.mu.Unlock()
	r := Record{Actions: b.traffic.actions, ColdReplicas: b.restartedReplicas}
	return r.checkColdLoad(func(string, string, ...any) {})
}

// noteStart notes that all replicas start now.
func (b *Bench) recordRestart() {
	b.restartedReplicas = nil
	for _, e := range b.registry.entries() {
		b.restartedReplicas = append(b.restartedReplicas, ColdReplica{e.ID, e.Kind, b.Now()})
	}
}

// Halves cuts the links between two halves of the dispatchers, or mends them.
func (b *Bench) SetPartition(cut bool) {
	half, otherHalf := b.Dispatchers[:len(b.Dispatchers)/2], b.Dispatchers[len(b.Dispatchers)/2:]
	for _, pair := range [][2][]*Dispatcher{{half, otherHalf}, {otherHalf, half}} {
		b.eachRelay(pair[0], pair[1], func(r *Relay, pair int) {
			r.Set(pair, LinkConditions{Drop: cut})
			if !cut {
				r.Reset(false)
			}
		})
	}
}

// KillAll kills some, and StartAll starts them again.
func (b *Bench) KillAll(dispatchers []*Dispatcher) {
	for _, d := range dispatchers {
		b.Signal(d, syscall.SIGKILL)
	}
}

// StartAll is the other half of KillAll.
func (b *Bench) StartAll(dispatchers []*Dispatcher) error {
	for _, d := range dispatchers {
		if err := b.Start(d); err != nil {
			return err
		}
	}
	return nil
}
