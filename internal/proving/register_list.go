package proving

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"standpulley/internal/agreement"
	"standpulley/internal/membership"
	"standpulley/internal/standin"
)

// registry is the register of replicas with an agent beside each dispatcher. What it says reaches an agent when a script says
// so, so that one hears of it and another does not.
type registry struct {
	mu      sync.Mutex
	version int64
	list    []standin.Entry
	history [][]standin.Entry // by version, from 1 on
	agents  map[string]*standin.Agent
	spare   []standin.Entry // replicas that run and are not listed yet
}

func newRegistry(list, spare []standin.Entry, names []string) (*registry, error) {
	r := &registry{version: 1, list: list, history: [][]standin.Entry{nil, list}, agents: map[string]*standin.Agent{}, spare: spare}
	for _, name := range names {
		a, err := standin.StartAgent("127.0.0.1:0", list...)
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

// step changes the register and tells the agents of some dispatchers: key is a replica or empty, value what becomes of it.
func (r *registry) step(key, value string, who []*Dispatcher) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, version := slices.Clone(r.list), r.version+1
	at := slices.IndexFunc(list, func(e standin.Entry) bool { return e.ID == key })
	word, arg, _ := strings.Cut(value, ":")
	switch word {
	case "mute", "unmute":
		for _, d := range who {
			r.agents[d.Name].SetUnresponsive(word == "mute")
		}
		return nil
	case "again": // what the register says by now, for who has not heard it
		list, version = r.list, r.version
	case "empty":
		for _, d := range who {
			r.agents[d.Name].SetAtVersion(0)
		}
		return nil
	case "back":
		n, err := strconv.Atoi(arg)
		if err != nil || n >= len(r.history) || n < 1 {
			return fmt.Errorf("no version %s of the register", arg)
		}
		for _, d := range who {
			r.agents[d.Name].SetAtVersion(int64(n), r.history[n]...)
		}
		return nil
	case "new":
		if len(r.spare) == 0 {
			return fmt.Errorf("no further replica runs")
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
	case "reborn": // another machine at the same address
		if at < 0 {
			return fmt.Errorf("%s is not listed", key)
		}
		list[at].ID, list[at].StartedMS = key+"-b", time.Now().UnixMilli()
	case "restart": // all come back cold, at their addresses
		for i := range list {
			list[i].StartedMS, list[i].State = time.Now().UnixMilli(), membership.InService
		}
	case "many": // further ones that drain
		n, err := strconv.Atoi(arg)
		if err != nil {
			return err
		}
		for i := range n {
			list = append(list, standin.Entry{ID: fmt.Sprintf("many-%d", i), Addr: "127.0.0.1:1", Zone: "z", Kind: "writer", State: membership.Terminating, Weight: 1})
		}
	case "twice", "kind": // a list that nobody can work with, for who is told
		bad := list[0]
		if word == "kind" {
			bad.ID, bad.Kind = "odd", "unheard-of"
		}
		for _, d := range who {
			r.agents[d.Name].SetAtVersion(version, append(list, bad)...)
		}
		return nil
	case "half": // of all, at once
		list = slices.DeleteFunc(list, func(e standin.Entry) bool { return strings.HasPrefix(e.ID, key) })
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

// Drained is a replica that was drained or taken out, as it is known from outside.
type Drained struct {
	Replica string
	Agreed  time.Duration            // when the agreed list was first seen without it; 0: never
	Told    map[string]time.Duration // when a dispatcher's own register told it
	Until   time.Duration            // it was let back then at the earliest; 0: never
	Ordered bool                     // by an operator, so that no register ends it
}

// follow watches from outside when a drain is told to dispatchers and when it shows in the agreed list.
func (p *play) followDrain(replica string, ordered bool) {
	d := &Drained{Replica: replica, Ordered: ordered, Told: map[string]time.Duration{}}
	p.mu.Lock()
	p.drains = append(p.drains, d)
	p.mu.Unlock()
	p.follows.Go(func() {
		for end := time.Now().Add(generous); time.Now().Before(end) && !p.over.Load(); time.Sleep(20 * time.Millisecond) {
			p.mu.Lock()
			done := d.Until != 0 && p.f.Now() > d.Until
			for name, a := range p.reg.agents {
				if at := a.RemovalServedAt(replica); !at.IsZero() && d.Told[name] == 0 {
					d.Told[name] = at.Sub(p.f.start)
				}
			}
			agreed := d.Agreed != 0
			p.mu.Unlock()
			if done {
				return
			}
			if !agreed {
				for _, x := range p.f.Dispatchers[:p.s.Voters] {
					if !x.Running() || x.stopped.Load() {
						continue
					}
					r, err := p.f.Ask(x, agreement.Command{Do: "view", ViewFilter: agreement.ViewFilter{Section: agreement.SectionList, Replica: replica}})
					if err == nil && r.View != nil && r.View.Record.List.Number > 0 {
						if e, ok := r.View.Record.List.Entries[replica]; !ok || e.State != membership.InService {
							p.mu.Lock()
							d.Agreed = p.f.Now()
							p.mu.Unlock()
						}
						break
					}
				}
			}
		}
	})
}

// agreedDrain notes that a drain was decided by a time.
func (p *play) agreedDrain(replica string, at time.Duration) {
	p.drained(func(d *Drained) bool { return d.Replica == replica }, func(d *Drained) { earliest(&d.Agreed, at) })
}

// listed gives the replicas that are listed.
func (r *registry) listed() []standin.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// next gives the replica that comes next.
func (r *registry) next() (standin.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.spare) == 0 {
		return standin.Entry{}, false
	}
	return r.spare[0], true
}

// endDrain says when a replica's drain may end at the earliest.
func (p *play) endDrain(replica string, at time.Duration) {
	p.drained(func(d *Drained) bool { return d.Replica == replica }, func(d *Drained) { earliest(&d.Until, at) })
}

// endAll ends the drains that the register told of.
func (p *play) endAll() {
	p.drained(func(d *Drained) bool { return !d.Ordered }, func(d *Drained) { earliest(&d.Until, p.f.Now()) })
}

// drained does something with some of the drains that are followed.
func (p *play) drained(some func(*Drained) bool, do func(*Drained)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.drains {
		if some(d) {
			do(d)
		}
	}
}

// earliest notes a time, unless there is an earlier one; 0 is none.
func earliest(known *time.Duration, at time.Duration) {
	if *known == 0 || at < *known {
		*known = at
	}
}

// judgeDrains finds attempts that a drained replica was sent too late: more than a second after its dispatcher was told, or
// more than Within after the agreed list was seen without it.
// harmless are the requests that a dispatcher which has lost contact may go on with by the list that it knew.
func (r *Record) judgeDrains(harmless map[string]bool, find func(rule, form string, args ...any)) {
	for _, d := range r.Drains {
		for _, a := range r.Acts {
			who, _, _ := strings.Cut(a.ID, "-")
			if a.Where != d.Replica || d.Until != 0 && a.To >= d.Until {
				continue
			}
			if told := d.Told[who]; told != 0 && a.From > told+drainGrace {
				find("drain", "%s sent %s to %s %v after its register told it that this drains", who, a.ID, d.Replica, a.From-told)
			}
			if d.Agreed != 0 && a.From > d.Agreed+r.Within && !harmless[a.ID] {
				find("drain", "%s sent %s to %s %v after that was drained by agreement", who, a.ID, d.Replica, a.From-d.Agreed)
			}
		}
	}
}

const drainGrace = time.Second
