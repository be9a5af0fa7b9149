package agree

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sim is many dispatchers under a leader on a clock of the test's own. Messages take a drawn time or are lost, clocks run
// apart within the drift, dispatchers are cut off and stopped, leaders come and go. What the consensus gives is modelled: a
// read is answered only if its leader was the leader after the read had come, and an entry is decided by the present leader.
type sim struct {
	t      *rapid.T
	r      *rand.Rand
	now    time.Duration
	events events
	timing Timing
	book   Record
	tally  *LeaseTable
	leader int // counted up
	nodes  []*simNode
	loss   float64
	slow   time.Duration

	decided []time.Duration // by version number, 0 where it is not
	longest time.Duration
	turned  map[uint64]bool
	putting bool // an entry is on its way
}

type simNode struct {
	name    string
	rate    float64 // of its clock
	cut     bool
	stopped time.Duration // until
	lease   *Lease
	checked uint64
	fault   *Fault
	picky   bool
}

type event struct {
	at time.Duration
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

// clock is a dispatcher's monotonic clock, and real the time at which it shows something.
func (n *simNode) clock(now time.Duration) time.Duration { return time.Duration(float64(now) * n.rate) }
func (n *simNode) real(at time.Duration) time.Duration   { return time.Duration(float64(at) / n.rate) }

// message carries something, or loses it.
func (s *sim) message(n *simNode, do func()) {
	if n.cut || s.r.Float64() < s.loss {
		return
	}
	s.after(time.Duration(s.r.Int64N(int64(s.slow)+1)), do)
}

// renew is one renewal of a dispatcher, from its sending to its answer.
func (s *sim) renew(n *simNode) {
	s.after(time.Duration(float64(s.timing.Renew)*(0.5+s.r.Float64())), func() { s.renew(n) })
	if s.now < n.stopped {
		return
	}
	sent, r := n.clock(s.now), Renewal{Name: n.name, Checked: n.checked, Fault: n.fault}
	if n.lease != nil {
		r.ActsOn = n.lease.Number
	}
	s.message(n, func() {
		leader := s.leader
		s.after(time.Duration(s.r.Int64N(int64(s.slow)+1)), func() { // the round that tells whether it still leads
			if leader != s.leader {
				return
			}
			granted := s.tally.Renew(s.now, r, &s.book)
			force, open := *s.book.VersionFor(n.name), s.book.InProgress()
			var next uint64
			var keys map[string]string
			if open != nil {
				next, keys = open.Number, open.Keys
			}
			s.due()
			s.message(n, func() { s.answered(n, sent, granted, force, next, keys) })
		})
	})
}

func (s *sim) answered(n *simNode, sent time.Duration, granted bool, force Version, open uint64, keys map[string]string) {
	if s.now < n.stopped {
		s.after(n.stopped-s.now, func() { s.answered(n, sent, granted, force, open, keys) })
		return
	}
	if open != 0 && open != n.checked {
		n.checked, n.fault = open, nil
		if n.picky && keys["limits.try_limit"] == "1" {
			n.fault = &Fault{"limits.try_limit", "too few"}
		}
	}
	if !granted {
		return
	}
	if n.lease == nil || n.lease.Number < force.Number {
		n.lease = &Lease{Number: force.Number, OnLeaseLoss: Stop}
	}
	if n.lease.Number != force.Number {
		return // an older answer that came later
	}
	n.lease.Extend(sent, s.timing)
	s.judge(n)
}

// judge holds a dispatcher's lease against every version that was decided since.
func (s *sim) judge(n *simNode) {
	if n.lease == nil {
		return
	}
	end := n.real(time.Duration(n.lease.send.Load()))
	if s.turned[n.lease.Number] {
		s.t.Fatalf("%s acts on version %d, which was turned down", n.name, n.lease.Number)
	}
	for v := n.lease.Number + 1; v < uint64(len(s.decided)); v++ {
		if s.decided[v] == 0 || len(ConflictingKeys(s.book.keysOf(n.lease.Number), s.book.keysOf(v))) == 0 {
			continue
		}
		over := end - s.decided[v]
		s.longest = max(s.longest, over)
		if over > s.timing.Within {
			s.t.Fatalf("%s may act on version %d until %v, and %d was decided at %v", n.name, n.lease.Number, end, v, s.decided[v])
		}
	}
}

// due proposes what the tally finds due; it is decided a while later if the leader is still the same.
func (s *sim) due() {
	e := s.tally.Next(s.now, &s.book)
	if e == nil || s.putting {
		return
	}
	s.putting = true
	leader := s.leader
	s.after(time.Duration(s.r.Int64N(int64(s.slow)+1)), func() {
		s.putting = false
		if leader == s.leader {
			s.decide(*e)
		}
	})
}

func (s *sim) decide(e Entry) {
	n, err := s.book.Apply(e)
	if err != nil {
		return
	}
	for uint64(len(s.decided)) <= s.book.LastNumber {
		s.decided = append(s.decided, 0)
	}
	switch {
	case e.Activate != nil:
		s.decided[n] = s.now
		for _, x := range s.nodes {
			s.judge(x)
		}
	case e.TurnDown != nil:
		s.turned[n] = true
	}
}

// trouble draws what goes wrong next.
func (s *sim) trouble() {
	s.after(time.Duration(s.r.Int64N(int64(s.timing.Within))), s.trouble)
	n := s.nodes[s.r.IntN(len(s.nodes))]
	switch s.r.IntN(16) {
	case 0:
		s.leader++
		s.putting = false
		s.tally = NewLeaseTable(s.now, s.timing)
	case 1:
		n.cut = !n.cut
	case 2:
		n.stopped = s.now + time.Duration(s.r.Int64N(int64(3*s.timing.Within)))
	case 3: // it comes back from nothing
		n.lease, n.checked, n.fault = nil, 0, nil
	default:
		limit := fmt.Sprint(1 + s.r.IntN(6))
		s.decide(proposal(fmt.Sprint(s.r.Uint64()), s.book.InForceNumber, map[string]string{"siblings": "3", "limits.try_limit": limit, "services.0.credit": fmt.Sprint(s.r.IntN(3))}))
	}
}

// The promise, over 300 dispatchers: once a version is decided, nobody may act on one that it contradicts after Within.
// go test ./internal/agree -run TestPromise -v -rapid.checks=1000 plays a thousand seeds and prints how near they come.
func TestPromise(t *testing.T) {
	bins := make([]int, 11)
	decisions := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		within := time.Duration(rapid.IntRange(500, 5000).Draw(rt, "within_ms")) * time.Millisecond
		s := &sim{t: rt, r: rand.New(rand.NewPCG(seed, 1)), timing: TimingOf(within), turned: map[uint64]bool{}, decided: make([]time.Duration, 2),
			loss: float64(rapid.IntRange(0, 30).Draw(rt, "loss")) / 100, slow: within * time.Duration(rapid.IntRange(1, 40).Draw(rt, "slow")) / 100}
		s.book = *founded(t)
		s.tally = NewLeaseTable(0, s.timing)
		for i := range 300 {
			drift := (s.r.Float64()*2 - 1) / DriftDivisor
			n := &simNode{name: fmt.Sprintf("d%d", i), rate: 1 + drift, picky: i == 7}
			s.nodes = append(s.nodes, n)
			s.after(time.Duration(s.r.Int64N(int64(s.timing.Renew))), func() { s.renew(n) })
		}
		s.after(within, s.trouble)
		for s.now < 8*within && len(s.events) > 0 {
			e := heap.Pop(&s.events).(event)
			s.now = e.at
			e.do()
		}
		for _, at := range s.decided {
			if at != 0 {
				decisions++
			}
		}
		bins[min(max(int(10*s.longest/within), 0), 10)]++
	})
	t.Logf("%d decisions; seeds by the longest contradiction in tenths of Within: %v", decisions, bins)
	if decisions == 0 {
		t.Error("nothing was decided, so nothing is shown")
	}
}
