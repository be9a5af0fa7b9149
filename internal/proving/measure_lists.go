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
func (b *Bench) startApart() error {
	for _, d := range b.Dispatchers {
		if err := b.Start(d); err != nil {
			return err
		}
	}
	for _, d := range b.Dispatchers {
		if err := d.serves(); err != nil {
			return err
		}
	}
	time.Sleep(length(b.Script.Within))
	b.askAll()
	return nil
}

// serves waits until a dispatcher takes connections.
func (d *Dispatcher) serves() error {
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", d.Listen); err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("%s never listens", d.Name)
}

// Register changes what the register says. Each agent hears of it after the time that late gives for its dispatcher.
func (b *Bench) ChangeRegistry(key, value string, late func(i int) time.Duration) error {
	if value == "restart" {
		b.noteStart()
	}
	if err := b.reg.step(key, value, nil); err != nil {
		return err
	}
	b.tell(late)
	return nil
}

// tell has each agent hear what the register says by now, some time later.
func (b *Bench) tell(late func(i int) time.Duration) {
	b.reg.mu.Lock()
	list, version := slices.Clone(b.reg.list), b.reg.version
	b.reg.mu.Unlock()
	for i, d := range b.Dispatchers {
		tell := func() {
			if a := b.reg.agents[d.Name]; a.Version() < version {
				a.SetAtVersion(version, list...)
			}
		}
		if wait := late(i); wait > 0 {
			time.AfterFunc(wait, tell)
		} else {
			tell()
		}
	}
}

// Weight gives a replica another weight in the register, which all agents hear at once.
func (b *Bench) SetWeight(key string, weight float64) {
	b.weigh(key, weight, func(int) time.Duration { return 0 })
}

func (b *Bench) weigh(key string, weight float64, late func(i int) time.Duration) {
	b.reg.mu.Lock()
	b.reg.version++
	b.reg.list = slices.Clone(b.reg.list)
	for i := range b.reg.list {
		if b.reg.list[i].ID == key {
			b.reg.list[i].Weight = weight
		}
	}
	b.reg.mu.Unlock()
	b.tell(late)
}

// Move gives a replica another weight in the register, has the agents hear of it, and gives the time until the last dispatcher
// goes by it.
func (b *Bench) ChangeWeight(weight float64, late func(i int) time.Duration) (time.Duration, error) {
	before := uint64(0)
	if !b.Script.Standalone {
		var err error
		if before, err = b.ListVersion(); err != nil {
			return 0, err
		}
	}
	began := time.Now()
	b.weigh("writer-2", weight, late)
	err := b.WaitList(before + 1)
	return time.Since(began), err
}

// Served waits until every dispatcher serves: it answers 200 to a request.
func (b *Bench) WaitServing() error {
	var work sync.WaitGroup
	errs := make([]error, len(b.Dispatchers))
	for i, d := range b.Dispatchers {
		work.Go(func() {
			for end := time.Now().Add(2 * generous); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if a := b.t.try(d, int(10000+time.Now().UnixMilli()%1e6), ""); a.Status == 200 {
					return
				}
			}
			errs[i] = fmt.Errorf("%s never serves", d.Name)
		})
	}
	work.Wait()
	return errors.Join(errs...)
}

// Listed waits until every dispatcher that runs goes by a list of a version or a later one, or, where each goes by its own
// register, until every agent has handed out what it says.
func (b *Bench) WaitList(number uint64) error {
	var work sync.WaitGroup
	errs := make([]error, len(b.Dispatchers))
	b.reg.mu.Lock()
	version := b.reg.version
	b.reg.mu.Unlock()
	for i, d := range b.Dispatchers {
		if !d.Running() {
			continue
		}
		work.Go(func() {
			for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if b.Script.Standalone {
					if b.reg.agents[d.Name].ServedVersion() >= version {
						return
					}
				} else if o, err := b.Status(d); err == nil && o.ListVersion >= number {
					return
				}
			}
			errs[i] = fmt.Errorf("%s never goes by list %d", d.Name, number)
		})
	}
	work.Wait()
	return errors.Join(errs...)
}

// ListVersion gives the version of the agreed list at the first dispatcher.
func (b *Bench) ListVersion() (uint64, error) {
	o, err := b.Status(b.Dispatchers[0])
	return o.ListVersion, err
}

// Readers names those who read the register for all.
func (b *Bench) Readers() ([]*Dispatcher, error) {
	r, err := b.Ask(b.Dispatchers[0], agreement.Command{Do: "view", ViewFilter: agreement.ViewFilter{Section: agreement.SectionSettings}})
	if err != nil || r.View == nil {
		return nil, fmt.Errorf("no view: %w %s", err, r.Error)
	}
	var some []*Dispatcher
	for _, name := range r.View.RegistryReaders {
		some = append(some, b.named(name)...)
	}
	return some, nil
}

// Named gives dispatchers by name.
func (b *Bench) DispatchersNamed(names ...string) (some []*Dispatcher) {
	for _, n := range names {
		some = append(some, b.named(n)...)
	}
	return some
}

// Load sums what was asked of the register: calls answered, calls turned away, bytes handed out.
func (b *Bench) RegistryLoad() (answered, away, bytes int) {
	for _, a := range b.reg.agents {
		x, y, z := a.Stats()
		answered, away, bytes = answered+x, away+y, bytes+z
	}
	return answered, away, bytes
}

// LimitRegister has the one service behind all agents take so many calls a second, and turn the others away.
func (b *Bench) LimitRegistry(calls int) {
	l := rate.NewLimiter(rate.Limit(calls), calls)
	for _, a := range b.reg.agents {
		a.SetRateLimit(l)
	}
}

// Hang has a replica say nothing any more, as a machine without power.
func (b *Bench) HangReplica(replica string) { b.t.hung.Store(replica, true) }

// Coldest gives the most that a replica was sent in a span after the last restart of all, of what the rule on cold replicas allows
// by the load that each bore before.
func (b *Bench) PeakColdLoad() ColdLoad {
	b.t.mu.Lock()
	defer b.t.mu.Unlock()
	r := Record{Acts: b.t.acts, Cold: b.restarted}
	return r.judgeCold(func(string, string, ...any) {})
}

// noteStart notes that all replicas start now.
func (b *Bench) noteStart() {
	b.restarted = nil
	for _, e := range b.reg.listed() {
		b.restarted = append(b.restarted, Cold{e.ID, e.Kind, b.Now()})
	}
}

// Halves cuts the links between two halves of the dispatchers, or mends them.
func (b *Bench) SetPartition(cut bool) {
	one, other := b.Dispatchers[:len(b.Dispatchers)/2], b.Dispatchers[len(b.Dispatchers)/2:]
	for _, way := range [][2][]*Dispatcher{{one, other}, {other, one}} {
		b.between(way[0], way[1], func(r *Relay, way int) {
			r.Set(way, Weather{Lost: cut})
			if !cut {
				r.Reset(false)
			}
		})
	}
}

// KillAll kills some, and StartAll starts them again.
func (b *Bench) KillAll(some []*Dispatcher) {
	for _, d := range some {
		b.Signal(d, syscall.SIGKILL)
	}
}

// StartAll is the other half of KillAll.
func (b *Bench) StartAll(some []*Dispatcher) error {
	for _, d := range some {
		if err := b.Start(d); err != nil {
			return err
		}
	}
	return nil
}
