package proving

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"standpulley/internal/cluster"
	"standpulley/internal/fake"
	"standpulley/internal/membership"
)

// registry is the registry of replicas, with an agent beside each dispatcher. A change reaches an
// agent only when a script says so, so that one dispatcher learns of it and another does not.
type registry struct {
	mu      sync.Mutex
	version int64
	list    []fake.Entry
	history [][]fake.Entry // by version, from 1 on
	agents  map[string]*fake.Agent
	spare   []fake.Entry // replicas that run but are not listed yet
	pushed  bool         // lists are pushed to the agents; otherwise dispatchers ask for them
}

func newRegistry(list, spare []fake.Entry, names []string, pushed bool) (*registry, error) {
	r := &registry{version: 1, pushed: pushed, list: list, history: [][]fake.Entry{nil, list}, agents: map[string]*fake.Agent{}, spare: spare}
	for _, name := range names {
		a, err := fake.StartAgent("127.0.0.1:0", list...)
		if err != nil {
			return nil, err
		}
		r.agents[name] = a
	}
	return r, nil
}

func (r *registry) close() {
	for _, a := range r.agents {
		a.Close()
	}
}

// apply changes the registry and has the agents of some dispatchers report it. The key is a replica
// ID or empty, the value the change.
func (r *registry) apply(key, value string, who []*Dispatcher) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, version := slices.Clone(r.list), r.version+1
	at := slices.IndexFunc(list, func(e fake.Entry) bool { return e.ID == key })
	change, arg, _ := strings.Cut(value, ":")
	switch change {
	case "mute", "unmute":
		for _, d := range who {
			r.agents[d.Name].SetUnresponsive(change == "mute")
		}
		return nil
	case "again": // agents that missed a change report the present list
		list, version = r.list, r.version
	case "empty":
		for _, d := range who {
			r.agents[d.Name].SetAtVersion(0)
		}
		return nil
	case "back":
		n, err := strconv.Atoi(arg)
		if err != nil || n >= len(r.history) || n < 1 {
			return fmt.Errorf("the registry has no version %s", arg)
		}
		for _, d := range who {
			r.agents[d.Name].SetAtVersion(int64(n), r.history[n]...)
		}
		return nil
	case "new":
		if len(r.spare) == 0 {
			return fmt.Errorf("no spare replica is left")
		}
		e := r.spare[0]
		r.spare = r.spare[1:]
		e.StartedMS = time.Now().UnixMilli()
		list = append(list, e)
	case "gone":
		if at < 0 {
			return fmt.Errorf("%s is not listed", key)
		}
		list = slices.Delete(list, at, at+1)
	case "reborn": // another machine takes the same address
		if at < 0 {
			return fmt.Errorf("%s is not listed", key)
		}
		list[at].ID, list[at].StartedMS = key+"-b", time.Now().UnixMilli()
	case "restart": // all replicas restart cold at their addresses
		for i := range list {
			list[i].StartedMS, list[i].State = time.Now().UnixMilli(), membership.InService
		}
	case "many": // adds replicas that are draining
		n, err := strconv.Atoi(arg)
		if err != nil {
			return err
		}
		for i := range n {
			list = append(list, fake.Entry{ID: fmt.Sprintf("many-%d", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "writer", State: membership.Terminating, Weight: 1})
		}
	case "twice", "kind": // the given agents report a list that is invalid: an ID twice, or an unknown kind
		bad := list[0]
		if change == "kind" {
			bad.ID, bad.Kind = "odd", "unheard-of"
		}
		for _, d := range who {
			r.agents[d.Name].SetAtVersion(version, append(list, bad)...)
		}
		return nil
	case "half": // removes all replicas with this prefix at once
		list = slices.DeleteFunc(list, func(e fake.Entry) bool { return strings.HasPrefix(e.ID, key) })
	default:
		if at < 0 {
			return fmt.Errorf("%s is not listed", key)
		}
		list[at].State = value
	}
	if version != r.version {
		r.list, r.version = list, version
		r.history = append(r.history, list)
	}
	for _, d := range who {
		r.agents[d.Name].SetAtVersion(version, list...)
	}
	return nil
}

// Drain is the drain or removal of a replica, as seen from outside.
type Drain struct {
	Replica string
	// AgreedAt is when the agreed list was first seen without the replica in service; 0 if never.
	AgreedAt   time.Duration
	NotifiedAt map[string]time.Duration // by dispatcher: when it was told of the drain, see toldAt
	EndsAt     time.Duration            // earliest time at which the drain may end; 0 if it does not end
	ByOperator bool                     // ordered by an operator, so that the registry does not end it
}

// watchDrain observes from outside when a drain is reported to dispatchers and when it shows in the
// agreed list.
func (p *play) watchDrain(replica string, byOperator bool) {
	d := &Drain{Replica: replica, ByOperator: byOperator, NotifiedAt: map[string]time.Duration{}}
	p.mu.Lock()
	p.drains = append(p.drains, d)
	p.mu.Unlock()
	p.drainWatchers.Go(func() {
		for end := time.Now().Add(eventualTimeout); time.Now().Before(end) && !p.finished.Load(); time.Sleep(20 * time.Millisecond) {
			p.mu.Lock()
			done := d.EndsAt != 0 && p.fleet.Now() > d.EndsAt
			for name, a := range p.registry.agents {
				if at := p.registry.toldAt(a, replica); !at.IsZero() && d.NotifiedAt[name] == 0 {
					d.NotifiedAt[name] = at.Sub(p.fleet.start)
				}
			}
			agreed := d.AgreedAt != 0
			p.mu.Unlock()
			if done {
				return
			}
			if !agreed {
				for _, x := range p.fleet.Dispatchers[:p.script.Voters] {
					if !x.Running() || x.stopped.Load() {
						continue
					}
					r, err := p.fleet.SendCommand(x, cluster.Command{Do: "view", ViewFilter: cluster.ViewFilter{Section: cluster.SectionList, Replica: replica}})
					if err == nil && r.View != nil && r.View.Record.List.Number > 0 {
						if e, ok := r.View.Record.List.Entries[replica]; !ok || e.State != membership.InService {
							p.mu.Lock()
							d.AgreedAt = p.fleet.Now()
							p.mu.Unlock()
						}
						break
					}
				}
			}
		}
	})
}

// toldAt returns when the dispatcher of an agent was told that a replica is out of service, or the
// zero time. Where lists are pushed, what the agent has counts as told; otherwise what it has sent.
func (r *registry) toldAt(a *fake.Agent, replica string) time.Time {
	if r.pushed {
		return a.RemovalHeldAt(replica)
	}
	return a.RemovalServedAt(replica)
}

// markDrainAgreed records that a drain was decided at the latest by a time.
func (p *play) markDrainAgreed(replica string, at time.Duration) {
	p.updateDrains(func(d *Drain) bool { return d.Replica == replica }, func(d *Drain) { setEarliest(&d.AgreedAt, at) })
}

// entries returns the replicas in the registry.
func (r *registry) entries() []fake.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// nextSpare returns the replica that is added next.
func (r *registry) nextSpare() (fake.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.spare) == 0 {
		return fake.Entry{}, false
	}
	return r.spare[0], true
}

// markDrainEnd records the earliest time at which the drains of a replica may end.
func (p *play) markDrainEnd(replica string, at time.Duration) {
	p.updateDrains(func(d *Drain) bool { return d.Replica == replica }, func(d *Drain) { setEarliest(&d.EndsAt, at) })
}

// endRegistryDrains ends the drains that come from the registry.
func (p *play) endRegistryDrains() {
	p.updateDrains(func(d *Drain) bool { return !d.ByOperator }, func(d *Drain) { setEarliest(&d.EndsAt, p.fleet.Now()) })
}

// updateDrains changes those of the observed drains that match.
func (p *play) updateDrains(match func(*Drain) bool, update func(*Drain)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.drains {
		if match(d) {
			update(d)
		}
	}
}

// setEarliest lowers t to at; a t of 0 is unset.
func setEarliest(t *time.Duration, at time.Duration) {
	if *t == 0 || at < *t {
		*t = at
	}
}

// checkDrains reports attempts that were sent to a draining replica too late: more than drainGrace
// after the dispatcher was told of the drain, or more than Within after the agreed list
// was seen without the replica. Exempt are the requests that a dispatcher without contact may
// continue by the last list that it knew.
func (r *Record) checkDrains(exempt map[string]bool, report func(rule, format string, args ...any)) {
	for _, d := range r.Drains {
		for _, a := range r.Actions {
			dispatcher, _, _ := strings.Cut(a.ID, "-")
			if a.Replica != d.Replica || d.EndsAt != 0 && a.To >= d.EndsAt {
				continue
			}
			if notifiedAt := d.NotifiedAt[dispatcher]; notifiedAt != 0 && a.From > notifiedAt+drainGrace {
				report("drain", "%s sent %s to %s %v after it was told that the replica drains", dispatcher, a.ID, d.Replica, a.From-notifiedAt)
			}
			if d.AgreedAt != 0 && a.From > d.AgreedAt+r.Within && !exempt[a.ID] {
				report("drain", "%s sent %s to %s %v after the agreed list had the replica drained", dispatcher, a.ID, d.Replica, a.From-d.AgreedAt)
			}
		}
	}
}

// drainGrace is how long after it was told of a drain a dispatcher may still send to the replica.
const drainGrace = time.Second
