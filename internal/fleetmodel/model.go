// Package fleetmodel is a small deterministic model of a large fleet: hundreds of routers of package
// logic that share nothing, tens of readers and writers, a registry whose changes arrive late, and
// clients that retry. It drives the decisions of package logic alone, without sockets, on a virtual
// clock; the same day and seed give the same result everywhere.
//
// It does not measure real machines. It models what a congestion collapse by repeated prefills needs:
// queues, prefix caches, cold starts, memory held by running answers, and timeouts.
package fleetmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"standpulley/logic"
)

// Day is the scenario of a run: the fleet, its traffic and the changes to it. Times count from its
// start.
type Day struct {
	Name        string
	Site        Site // zero value: the default site
	Routers     int
	Readers     int
	Writers     int
	Zones       int
	CellSize    int           // replicas per cell
	Rate        float64       // requests per second to the whole fleet
	Length      time.Duration // requests arrive for this long
	ListLag     time.Duration // mean time from a change of the list until routers receive it
	Events      []Change
	TrafficSkew float64 // how unevenly the load balancer spreads clients over routers; 0 if evenly
	Burst       Burst
	ZoneTraffic []float64 // share of the sessions of each zone; empty if all have the same share

	MaxConns      int           // maximum number of connections of a replica; 0 if there is no limit
	MaxRetries    int           // maximum number of retries by a client; 0 means maxRetries
	UseRecovery   bool          // after a power loss, routers limit admission as package recovery decides
	HandshakeWork time.Duration // work of a replica per new connection
}

// Burst is a period with a higher rate of requests.
type Burst struct {
	From, To time.Duration
	Factor   float64 // multiple of the day's rate
}

// factor returns the multiple of the day's rate at a time.
func (b Burst) factor(t time.Duration) float64 {
	if t >= b.From && t < b.To {
		return b.Factor
	}
	return 1
}

// Change is a scheduled change to the fleet.
type Change struct {
	At time.Duration
	Do func(m *Model)
}

// Model is one run of a day.
type Model struct {
	day           Day
	rnd           *rand.Rand
	now           time.Duration
	queue         events
	seq           uint64
	settings      logic.Settings
	classes       []class
	replicas      []*replica
	byID          map[string]*replica
	routers       []*router
	prefixes      [][]prefix
	prefixWeights [][]float64
	requestCount  uint64
	report        Report
}

const (
	// start is the virtual time at which a day starts. It is not 0, because package logic
	// takes a time of 0 to mean long ago.
	start = time.Hour
	// warmUp is the period before start in which traffic rises and replicas fill their caches. Reports
	// leave it out.
	warmUp = 25 * time.Second
)

// event is a function to be run at a time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// events is a heap of events, ordered by time and, at the same time, by the order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// after schedules do to run after d. Functions due at the same time run in the order in which they
// were scheduled.
func (m *Model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + max(d, 0), m.seq, do})
}

// uniform draws a number from a range.
func (m *Model) uniform(low, high float64) float64 { return low + (high-low)*m.rnd.Float64() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Run simulates a day and returns its report.
func Run(day Day, seed uint64) (Report, error) {
	m := &Model{day: day, rnd: rand.New(rand.NewPCG(seed, 0x5eed)), now: start - warmUp, byID: map[string]*replica{}}
	m.settings, m.classes = settings(day), day.site().classes
	m.report = newReport(m)
	for i := range day.Readers + day.Writers {
		role := logic.Writer
		if i*day.Readers/(day.Readers+day.Writers) != (i+1)*day.Readers/(day.Readers+day.Writers) {
			role = logic.Reader
		}
		m.add(role, i/day.CellSize%day.Zones, int64(i/day.CellSize), true)
	}
	for i := range day.Routers {
		r := &router{m: m, index: i, zone: i % day.Zones, weight: 1 + day.TrafficSkew*m.rnd.ExpFloat64()}
		if err := r.startProcess(); err != nil {
			return Report{}, err
		}
		m.routers = append(m.routers, r)
	}
	m.drawPrefixes()
	m.startArrivals()
	for _, c := range day.Events {
		m.after(warmUp+c.At, func() { c.Do(m) })
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	m.report.finish()
	return m.report, nil
}
