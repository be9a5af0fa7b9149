package clusterstate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sim simulates many dispatchers and a leader on a virtual clock. Messages have random delays or are
// lost, clocks drift apart within the bound, dispatchers are partitioned and paused, and leaders
// change. The guarantees of the consensus are modelled: a read is answered only if its leader was
// still the leader after the read had arrived, and only the present leader's entries are decided.
type sim struct {
	t        *rapid.T
	r        *rand.Rand
	now      time.Duration
	events   events
	timing   Timing
	record   Record
	leases   *LeaseTable
	leader   int // term of the present leader
	nodes    []*simNode
	lossRate float64
	maxDelay time.Duration

	decidedAt      []time.Duration // by version number, 0 if not decided
	longestOverlap time.Duration
	turnedDown     map[uint64]bool
	proposing      bool // an entry is proposed and not decided yet
}

type simNode struct {
	name        string
	rate        float64 // of its clock
	partitioned bool
	pausedUntil time.Duration
	lease       *Lease
	checked     uint64
	fault       *Fault
	rejecting   bool
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

// clock converts the virtual time to the dispatcher's monotonic clock, and real converts back.
func (n *simNode) clock(now time.Duration) time.Duration { return time.Duration(float64(now) * n.rate) }
func (n *simNode) real(at time.Duration) time.Duration   { return time.Duration(float64(at) / n.rate) }

// send delivers a message from or to a dispatcher after a random delay, or loses it.
func (s *sim) send(n *simNode, do func()) {
	if n.partitioned || s.r.Float64() < s.lossRate {
		return
	}
	s.after(time.Duration(s.r.Int64N(int64(s.maxDelay)+1)), do)
}

// renew simulates one renewal of a dispatcher, from its sending to its answer.
func (s *sim) renew(n *simNode) {
	s.after(time.Duration(float64(s.timing.Renew)*(0.5+s.r.Float64())), func() { s.renew(n) })
	if s.now < n.pausedUntil {
		return
	}
	sent, r := n.clock(s.now), Renewal{Name: n.name, Checked: n.checked, Fault: n.fault}
	if n.lease != nil {
		r.ActsOn = n.lease.Number
	}
	s.send(n, func() {
		leader := s.leader
		s.after(time.Duration(s.r.Int64N(int64(s.maxDelay)+1)), func() { // the round that confirms the leader
			if leader != s.leader {
				return
			}
			granted := s.leases.Renew(s.now, r, &s.record)
			inForce, candidate := *s.record.VersionFor(n.name), s.record.InProgress()
			var next uint64
			var keys map[string]string
			if candidate != nil {
				next, keys = candidate.Number, candidate.Keys
			}
			s.proposeDue()
			s.send(n, func() { s.handleResponse(n, sent, granted, inForce, next, keys) })
		})
	})
}

func (s *sim) handleResponse(n *simNode, sent time.Duration, granted bool, inForce Version, candidate uint64, keys map[string]string) {
	if s.now < n.pausedUntil {
		s.after(n.pausedUntil-s.now, func() { s.handleResponse(n, sent, granted, inForce, candidate, keys) })
		return
	}
	if candidate != 0 && candidate != n.checked {
		n.checked, n.fault = candidate, nil
		if n.rejecting && keys["limits.try_limit"] == "1" {
			n.fault = &Fault{"limits.try_limit", "too few"}
		}
	}
	if !granted {
		return
	}
	if n.lease == nil || n.lease.Number < inForce.Number {
		n.lease = &Lease{Number: inForce.Number, OnLeaseLoss: Stop}
	}
	if n.lease.Number != inForce.Number {
		return // the answer to an older renewal arrived later
	}
	n.lease.Extend(sent, s.timing)
	s.checkLease(n)
}

// checkLease checks a dispatcher's lease against all versions that were decided after its own.
func (s *sim) checkLease(n *simNode) {
	if n.lease == nil {
		return
	}
	end := n.real(time.Duration(n.lease.sendEnd.Load()))
	if s.turnedDown[n.lease.Number] {
		s.t.Fatalf("%s has a lease for version %d, which was turned down", n.name, n.lease.Number)
	}
	for later := n.lease.Number + 1; later < uint64(len(s.decidedAt)); later++ {
		if s.decidedAt[later] == 0 || len(ConflictingKeys(s.record.keysOf(n.lease.Number), s.record.keysOf(later))) == 0 {
			continue
		}
		overlap := end - s.decidedAt[later]
		s.longestOverlap = max(s.longestOverlap, overlap)
		if overlap > s.timing.Within {
			s.t.Fatalf("%s may act on version %d until %v, and %d was decided at %v", n.name, n.lease.Number, end, later, s.decidedAt[later])
		}
	}
}

// proposeDue proposes the entry that is due. It is decided after a delay if the leader is unchanged.
func (s *sim) proposeDue() {
	e := s.leases.Next(s.now, &s.record)
	if e == nil || s.proposing {
		return
	}
	s.proposing = true
	leader := s.leader
	s.after(time.Duration(s.r.Int64N(int64(s.maxDelay)+1)), func() {
		s.proposing = false
		if leader == s.leader {
			s.applyEntry(*e)
		}
	})
}

func (s *sim) applyEntry(e Entry) {
	n, err := s.record.Apply(e)
	if err != nil {
		return
	}
	for uint64(len(s.decidedAt)) <= s.record.LastNumber {
		s.decidedAt = append(s.decidedAt, 0)
	}
	switch {
	case e.Activate != nil:
		s.decidedAt[n] = s.now
		for _, x := range s.nodes {
			s.checkLease(x)
		}
	case e.TurnDown != nil:
		s.turnedDown[n] = true
	}
}

// injectFault does one random thing: a change of leader, a fault of one dispatcher, or a proposal.
func (s *sim) injectFault() {
	s.after(time.Duration(s.r.Int64N(int64(s.timing.Within))), s.injectFault)
	n := s.nodes[s.r.IntN(len(s.nodes))]
	switch s.r.IntN(16) {
	case 0:
		s.leader++
		s.proposing = false
		s.leases = NewLeaseTable(s.now, s.timing)
	case 1:
		n.partitioned = !n.partitioned
	case 2:
		n.pausedUntil = s.now + time.Duration(s.r.Int64N(int64(3*s.timing.Within)))
	case 3: // restart without any stored state
		n.lease, n.checked, n.fault = nil, 0, nil
	default:
		limit := fmt.Sprint(1 + s.r.IntN(6))
		s.applyEntry(proposal(fmt.Sprint(s.r.Uint64()), s.record.InForceNumber, map[string]string{"siblings": "3", "limits.try_limit": limit, "services.0.credit": fmt.Sprint(s.r.IntN(3))}))
	}
}

// TestNoConflictAfterWithin simulates 300 dispatchers. Once a version is decided, no dispatcher may
// act on a conflicting one for longer than Within. With -v, the test prints how close the seeds come
// to the bound; -rapid.checks=1000 runs a thousand seeds.
func TestNoConflictAfterWithin(t *testing.T) {
	histogram := make([]int, 11)
	decisions := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		within := time.Duration(rapid.IntRange(500, 5000).Draw(rt, "within_ms")) * time.Millisecond
		s := &sim{t: rt, r: rand.New(rand.NewPCG(seed, 1)), timing: TimingOf(within), turnedDown: map[uint64]bool{}, decidedAt: make([]time.Duration, 2),
			lossRate: float64(rapid.IntRange(0, 30).Draw(rt, "loss")) / 100, maxDelay: within * time.Duration(rapid.IntRange(1, 40).Draw(rt, "slow")) / 100}
		s.record = *bootstrapped(t)
		s.leases = NewLeaseTable(0, s.timing)
		for i := range 300 {
			drift := (s.r.Float64()*2 - 1) / DriftDivisor
			n := &simNode{name: fmt.Sprintf("d%d", i), rate: 1 + drift, rejecting: i == 7}
			s.nodes = append(s.nodes, n)
			s.after(time.Duration(s.r.Int64N(int64(s.timing.Renew))), func() { s.renew(n) })
		}
		s.after(within, s.injectFault)
		for s.now < 8*within && len(s.events) > 0 {
			e := heap.Pop(&s.events).(event)
			s.now = e.at
			e.do()
		}
		for _, at := range s.decidedAt {
			if at != 0 {
				decisions++
			}
		}
		histogram[min(max(int(10*s.longestOverlap/within), 0), 10)]++
	})
	t.Logf("%d decisions; seeds by the longest conflict in tenths of Within: %v", decisions, histogram)
	if decisions == 0 {
		t.Error("no version was decided, so the test checked nothing")
	}
}
