// Package fleetmodel is a small deterministic model of a large fleet: hundreds of routers of package logic that share
// nothing, tens of readers and writers, a register that lags, and clients that come again. It drives the decisions
// alone, without sockets, on a clock of its own; the same day and seed give the same result everywhere.
//
// It is no measurement of real machines. It has what a jam of re-read prompts needs: queues, kept texts, cold starts,
// memory that running answers hold, and time-outs.
package fleetmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"standpulley/logic"
)

// Day is what a run plays. Times are from its start.
type Day struct {
	Name        string
	Site        Site // none: the first
	Routers     int
	Readers     int
	Writers     int
	Zones       int
	CellSize    int           // replicas to a cell
	Rate        float64       // requests a second over the fleet
	Length      time.Duration // during which requests arrive
	ListLag     time.Duration // from a change of the list until routers hear of it, on average
	Events      []Change
	TrafficSkew float64 // how unevenly the front spreads clients: 0 evenly
	Burst       Burst
	ZoneTraffic []float64 // shares of the sessions that begin in each zone; none: even ones

	MaxConns      int           // connections that a replica holds; 0 = any number
	MaxRetries    int           // that a client makes again; 0 = mostTries
	UseRecovery   bool          // after a loss of power routers come back as package recovery says
	HandshakeWork time.Duration // work that a new connection costs a replica
}

// Burst is a time in which requests come more often.
type Burst struct {
	From, To time.Duration
	Factor   float64 // as often
}

// at tells how much more often requests come at a time.
func (b Burst) factor(t time.Duration) float64 {
	if t >= b.From && t < b.To {
		return b.Factor
	}
	return 1
}

// Change is something that happens to the fleet.
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
	// start is the model's clock at the start of a day: times of zero mean "long ago" to the decisions.
	start = time.Hour
	// prelude is the time before it in which traffic rises and replicas come to know their texts. It is not counted.
	warmUp = 25 * time.Second
)

// event is something due.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

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

// after has something done later; what is due at one instant is done in the order in which it was asked for.
func (m *Model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + max(d, 0), m.seq, do})
}

// between draws from a range.
func (m *Model) uniform(low, high float64) float64 { return low + (high-low)*m.rnd.Float64() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Run plays a day and reports on it.
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
