package logic

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// largeFleet and usualFleet are the fleet sizes whose decision times are compared.
const (
	largeFleet = 3200
	usualFleet = 200
)

// TestDecisionCostInLargeFleet guards against decisions whose cost grows with the fleet: with six
// in ten of 3,200 servers in slow start, a decision took 50 ms, as the load of all servers was
// summed again for each of them. The work for a request may grow with the logarithm of the fleet
// size at most; a factor of two is allowed for noise.
func TestDecisionCostInLargeFleet(t *testing.T) {
	const requests = 250
	maxRatio := 2 * math.Log(largeFleet) / math.Log(usualFleet)
	for _, coldShare := range []float64{0, 0.6} {
		least := map[int]time.Duration{}
		for range 12 { // the minimum of several runs excludes interference from other work on the machine
			for _, n := range []int{usualFleet, largeFleet} {
				l := benchRouter(t, n, coldShare)
				began := time.Now()
				for i := range requests {
					benchRequest(t, l, time.Hour+time.Duration(i)*ms(8), i)
				}
				if took := time.Since(began); least[n] == 0 || took < least[n] {
					least[n] = took
				}
			}
		}
		ratio := float64(least[largeFleet]) / float64(least[usualFleet])
		t.Logf("cold share %v: large fleet takes %.2f times as long", coldShare, ratio)
		if ratio > maxRatio {
			t.Errorf("cold share %v: %v for %d requests with %d servers, %v with %d: ratio %.1f, want at most %.1f", coldShare, least[largeFleet],
				requests, largeFleet, least[usualFleet], usualFleet, ratio, maxRatio)
		}
	}
}

// TestHomesInLargeFleetMatchFullRanking checks that in a large fleet, a key's homes are the same as
// in a ranking of all readers, at every router whatever its seed.
func TestHomesInLargeFleetMatchFullRanking(t *testing.T) {
	a, b := benchRouter(t, largeFleet, 0), benchRouter(t, largeFleet, 0)
	b.seed = 99
	for key := range uint64(50) {
		r := &request{Request: Request{Session: key + 1}, class: a.classes["c"]}
		want := slices.MinFunc(a.readers.servers, func(x, y *server) int {
			return compareRank(ranked{x, -math.Log(unit(r.Session ^ x.hash))}, ranked{y, -math.Log(unit(r.Session ^ y.hash))})
		})
		for _, l := range []*Router{a, b} {
			if got := l.homes(r, l.candidates(r, true), nil); len(got) != 1 || got[0].server.ID != want.ID {
				t.Fatalf("key %d: got %d homes, first %s, want %s", key, len(got), got[0].server.ID, want.ID)
			}
		}
	}
}

// TestPopularPrefixHasManyHomesInLargeFleet checks that a prefix that many requests share has many
// homes: each session has one of them as its own first home, and together the sessions use most of
// them.
func TestPopularPrefixHasManyHomesInLargeFleet(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	l.now = time.Hour
	const share = 200
	firstHomes := map[*server]bool{}
	for session := range uint64(1000) {
		r := &request{Request: Request{Session: session + 1, Prefix: 7}}
		homes := l.lowestRanked(l.readers.servers, l.keyRanking(r), sessionRanking(r), share, homesCompared, nil)
		if len(homes) != homesCompared {
			t.Fatalf("got %d homes", len(homes))
		}
		firstHomes[homes[0].server] = true
	}
	if len(firstHomes) < share/2 || len(firstHomes) > 2*share {
		t.Errorf("sessions of a prefix with %d homes go to %d readers", share, len(firstHomes))
	}
}

// TestSampleReachesAllServers checks that a sample in a large fleet contains no server twice, and
// over time samples reach all servers.
func TestSampleReachesAllServers(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	seen := map[*server]bool{}
	for seq := range uint64(1000) {
		sampled := l.sampleFrom(&request{seq: seq, class: l.classes["c"]}, l.readers.servers, sampleSize).ready
		distinct := map[*server]bool{}
		for _, s := range sampled {
			seen[s], distinct[s] = true, true
		}
		if len(distinct) != sampleSize {
			t.Fatalf("%d distinct servers in a sample of %d", len(distinct), sampleSize)
		}
	}
	if len(seen) != len(l.readers.servers) {
		t.Errorf("%d of %d readers were sampled", len(seen), len(l.readers.servers))
	}
}

// TestFewReadyServersAreFoundInLargeFleet checks that if only a few servers of a large fleet are
// usable, they are still found.
func TestFewReadyServersAreFoundInLargeFleet(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	for i, s := range l.order {
		if i%400 > 1 {
			s.failures, s.ejectedUntil = 1, l.now+time.Hour
		}
	}
	r := &request{Request: Request{Session: 3}, class: l.classes["c"]}
	for _, readers := range []bool{true, false} {
		if got := l.candidates(r, readers).servers; len(got) != largeFleet/400 {
			t.Errorf("readers %v: found %d of %d ready servers", readers, len(got), largeFleet/400)
		}
	}
}

// arrive feeds a request with a session of its own and returns its reader.
func arrive(l *Router, now time.Duration, i int) string {
	return find(l.Handle(now, arrival(fmt.Sprint("q", i), uint64(i)+1, 0), nil), Send).Server
}

// endRead ends the read of a request and returns its writer.
func endRead(l *Router, now time.Duration, i int, reader string, took time.Duration) string {
	e := Event{Kind: Ended, RequestID: fmt.Sprint("q", i), Server: reader, Outcome: ReadDone, Took: took}
	return find(l.Handle(now, &e, nil), Send).Server
}

func beginStream(l *Router, now time.Duration, i int, writer string) {
	l.Handle(now, &Event{Kind: StreamStarted, RequestID: fmt.Sprint("q", i), Server: writer, Attempt: 1, Took: ms(1)}, nil)
}

func deliver(l *Router, now time.Duration, i int, writer string) {
	l.Handle(now, &Event{Kind: Ended, RequestID: fmt.Sprint("q", i), Server: writer, Attempt: 1, Outcome: Delivered, RequestEnded: true}, nil)
}

// TestRequestsSpreadOverLargeFleet checks that requests in a large fleet are spread evenly as they
// arrive: no server is sent many times its share.
func TestRequestsSpreadOverLargeFleet(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	const requests, step = 3200, 8
	const readSteps, streamSteps = 6, 60 // the steps that a read and a stream take
	count, readers, writers := map[string]int{}, map[int]string{}, map[int]string{}
	for i := range requests {
		now := time.Hour + time.Duration(i)*ms(step)
		readers[i] = arrive(l, now, i)
		count[readers[i]]++
		if n := i - readSteps; n >= 0 {
			writers[n] = endRead(l, now, n, readers[n], readSteps*ms(step))
			count[writers[n]]++
			beginStream(l, now+ms(1), n, writers[n])
		}
		if n := i - readSteps - streamSteps; n >= 0 {
			deliver(l, now+ms(2), n, writers[n])
		}
	}
	for id, n := range count {
		if n > 20 { // each request takes two sends
			t.Errorf("%s was sent %d times for %d requests", id, n, requests)
		}
	}
}

// TestStateStaysInItsCellInLargeFleet checks that in a large fleet too, a state goes to a writer in
// the cell of its reader if one there is as free as others.
func TestStateStaysInItsCellInLargeFleet(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	l.now = time.Hour
	stayed := 0
	for seq := range uint64(200) {
		reader := l.readers.servers[int(seq)*7]
		r := &request{seq: seq, class: l.classes["c"], stateReader: reader}
		if s := l.chooseWriter(r); s != nil && s.Cell == reader.Cell {
			stayed++
		}
	}
	if stayed < 190 {
		t.Errorf("%d of 200 states stay in their cells", stayed)
	}
}

// TestManySmallListsAreCheapInLargeFleet checks that the cost of a series of small lists, each with
// one server, depends on the changes and not on the fleet: the index is rebuilt no more often than
// the fleet size allows. A server that a list removes is not sent to from then on, and a new one is
// found shortly afterwards.
func TestManySmallListsAreCheapInLargeFleet(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	now, passes, at := time.Hour, 0, l.indexedAt
	const lists = 1000
	for i := range lists {
		now += ms(1)
		e := l.order[i].ServerEntry
		e.Availability = Gone
		l.Handle(now, &Event{Kind: ListChanged, Servers: []ServerEntry{e}}, nil)
		if l.indexedAt != at {
			passes, at = passes+1, l.indexedAt
		}
		if r := (&request{class: l.classes["c"]}); l.readiness(r, l.order[i]) != notReady {
			t.Fatalf("%s is gone but may still be sent to", e.ID)
		}
	}
	if maxPasses := int(lists * ms(1) / (sumIntervalPerServer * largeFleet)); passes > maxPasses {
		t.Errorf("index rebuilt %d times for %d lists, want at most %d", passes, lists, maxPasses)
	}
	l.Handle(now, &Event{Kind: ListChanged, Servers: []ServerEntry{entry("r-new", "r", 1)}}, nil)
	l.now = now + sumIntervalPerServer*time.Duration(len(l.order))
	l.candidates(&request{class: l.classes["c"]}, true)
	if !slices.Contains(l.readers.servers, l.servers["r-new"]) {
		t.Error("a newly listed server is not found")
	}
}

// TestRecentWritersArePreferredInLargeFleet checks that in a large fleet, writers with open
// connections are reused while they are as free as others, and no longer than that.
func TestRecentWritersArePreferredInLargeFleet(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	for i, s := range l.order { // three cells with many writers each
		s.Cell = int64(i / 2 % 3)
	}
	l.rebuildIndex()
	l.updateHomeWeights()
	used := map[string]int{}
	const requests = 2000
	for i := range requests {
		now := time.Hour + time.Duration(i)*ms(30)
		writer := endRead(l, now+ms(5), i, arrive(l, now, i), ms(5))
		beginStream(l, now+ms(6), i, writer)
		deliver(l, now+ms(20), i, writer)
		used[writer]++
	}
	if len(used) > requests/4 {
		t.Errorf("%d writers used for %d consecutive requests", len(used), requests)
	}
	full := l.writers.recent[0]
	full.heldTokens, full.openWrites = 0.5*full.memoryTokens, 1000
	r := &request{seq: 1, class: l.classes["c"], stateReader: l.readers.servers[0]}
	for r.seq = range uint64(100) {
		if l.chooseWriter(r) == full {
			t.Fatal("chose a writer that is fuller than others")
		}
	}
}

// TestFailedCellIsEjectedInLargeFleet guards against requests to a failed cell: if all writers in
// the cell of a state have failed, they stay ejected in a large fleet too, as other writers can be
// used.
func TestFailedCellIsEjectedInLargeFleet(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	l.now = time.Hour
	reader := l.readers.servers[0]
	for _, s := range l.writers.cells[reader.Cell] {
		l.recordFailure(s)
	}
	for seq := range uint64(100) {
		r := &request{seq: seq, class: l.classes["c"], stateReader: reader}
		if s := l.chooseWriter(r); s == nil || s.Cell == reader.Cell {
			t.Fatalf("request goes to %+v, want a writer of another cell", s)
		}
	}
}

// TestNoReadyServerInLargeFleet checks that if no server of a large fleet is usable, a request has
// no home and is parked.
func TestNoReadyServerInLargeFleet(t *testing.T) {
	l := benchRouter(t, largeFleet, 0)
	for _, s := range l.order {
		s.failures, s.ejectedUntil, s.pending = 1, l.now+time.Hour, []*request{{}}
	}
	acts := l.Handle(time.Hour+time.Second, arrival("q", 7, 9), nil)
	if find(acts, Send) != nil || l.requests["q"] == nil || l.requests["q"].phase != parked {
		t.Errorf("got %+v, want the request parked", acts)
	}
}
