package dispatch

import (
	"sort"
	"time"
)

// View is the current state of the core, for operators.
type View struct {
	Phase   string       `json:"phase"`
	Open    int          `json:"open"`
	Servers []ServerView `json:"servers"`
	Totals  Totals       `json:"totals"`
	Recent  []LogEntry   `json:"recent"`
}

// ServerView describes a listed replica.
type ServerView struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Kind  string `json:"kind"`
	Zone  string `json:"zone"`
	Cell  int64  `json:"cell"`
	State string `json:"state"`
	Out   int    `json:"out"` // attempts of this dispatcher in flight at the replica
}

type viewQuery chan View

// Inspect returns the state of the core. It reports false after Stop.
func (d *Dispatcher) Inspect() (View, bool) { return query(d, make(viewQuery, 1)) }

// query posts a message that is also the channel for its answer, and waits for the answer. It
// reports false after Stop.
func query[T any, Q interface {
	~chan T
	message
}](d *Dispatcher, q Q) (answer T, ok bool) {
	d.post(q)
	select {
	case answer = <-q:
		return answer, true
	case <-d.done:
		return answer, false
	}
}

func (q viewQuery) apply(d *Dispatcher) {
	v := View{Phase: d.Phases.Now().String(), Open: len(d.requests)}
	v.Totals, v.Recent = d.Counts.Snapshot()
	out := map[string]int{}
	for _, r := range d.requests {
		for _, at := range r.inFlight {
			out[at.server]++
		}
	}
	for _, s := range d.servers {
		v.Servers = append(v.Servers, ServerView{s.ID, s.Addr, s.Kind, s.Zone, s.Cell, s.Availability.String(), out[s.ID]})
	}
	sort.Slice(v.Servers, func(i, j int) bool { return v.Servers[i].ID < v.Servers[j].ID })
	q <- v
}

type metricsQuery chan Metrics

// Metrics returns the figures for operators. It reports false after Stop.
func (d *Dispatcher) Metrics() (Metrics, bool) { return query(d, make(metricsQuery, 1)) }

func (q metricsQuery) apply(d *Dispatcher) {
	f := Metrics{Classes: map[string]ClassResults{}, Listed: len(d.servers), Ejected: d.router.Ejected(d.now())}
	for _, c := range d.settings.Classes {
		f.Classes[c.Name] = ClassResults{}
	}
	c := d.Counts
	f.Causes = c.Causes()
	f.Delays, f.Delayed = d.Delays.Snapshot(time.Now())
	f.Queued = d.Delays.queued()
	for _, r := range d.requests {
		if r.held.addr != "" {
			f.Held++
		}
	}
	c.mu.Lock()
	for name, r := range c.classes {
		f.Classes[name] = *r
	}
	f.Open, f.Written = c.open, c.written
	c.mu.Unlock()
	q <- f
}

type listQuery chan Update

// List returns the list of replicas as the core knows it. After Stop it returns no replicas.
func (d *Dispatcher) List() Update {
	u, _ := query(d, make(listQuery, 1))
	u.Full = true
	return u
}

func (q listQuery) apply(d *Dispatcher) {
	u := Update{Full: true}
	for _, s := range d.servers {
		u.Servers = append(u.Servers, *s)
	}
	sort.Slice(u.Servers, func(i, j int) bool { return u.Servers[i].ID < u.Servers[j].ID })
	q <- u
}
