package logic

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// largeFleet and usualFleet are the sizes that the standing test's page holds against each other.
const (
	largeFleet = 3200
	usualFleet = 200
)

// Guards against the incident in large fleets: a decision took 50 ms where six in ten of 3,200 servers were in slow start, as the load of all
// was summed up anew for each of them. The work for a request grows with the logarithm of the fleet at most; twice that is left for noise.
func TestDecisionsCostNoMoreInALargeFleet(t *testing.T) {
	const requests = 250
	most := 2 * math.Log(largeFleet) / math.Log(usualFleet)
	for _, coldShare := range []float64{0, 0.6} {
		least := map[int]time.Duration{}
		for range 12 { // the least of each is what the machine's other work does not show in
			for _, n := range []int{usualFleet, largeFleet} {
				l := benchFleet(t, n, coldShare)
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
		t.Logf("cold %v: %.2f times", coldShare, ratio)
		if ratio > most {
			t.Errorf("cold %v: %v for %d requests before %d servers, %v before %d: %.1f times, allowed are %.1f", coldShare, least[largeFleet],
				requests, largeFleet, least[usualFleet], usualFleet, ratio, most)
		}
	}
}

// In a large fleet a key's homes are those that a ranking of all readers gives, at every router whatever its seed.
func TestHomesInALargeFleetAreThoseOfAll(t *testing.T) {
	a, b := benchFleet(t, largeFleet, 0), benchFleet(t, largeFleet, 0)
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

// A text that many begin with has many homes: of two sessions in turn each keeps its own, and together they come to most of them.
func TestPopularTextHasManyHomesInALargeFleet(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
	l.now = time.Hour
	const share = 200
	from := map[*server]bool{}
	for session := range uint64(1000) {
		r := &request{Request: Request{Session: session + 1, Prefix: 7}}
		homes := l.lowestRanked(l.readers.servers, l.keyRanking(r), sessionRanking(r), share, homesCompared, nil)
		if len(homes) != homesCompared {
			t.Fatalf("%d homes are weighed", len(homes))
		}
		from[homes[0].server] = true
	}
	if len(from) < share/2 || len(from) > 2*share {
		t.Errorf("the sessions of a text with %d homes go to %d readers", share, len(from))
	}
}

// What is drawn in a large fleet names no server twice, and in time all.
func TestDrawComesToAllServers(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
	seen := map[*server]bool{}
	for seq := range uint64(1000) {
		some := l.sampleFrom(&request{seq: seq, class: l.classes["c"]}, l.readers.servers, sampleSize).ready
		once := map[*server]bool{}
		for _, s := range some {
			seen[s], once[s] = true, true
		}
		if len(once) != sampleSize {
			t.Fatalf("%d of %d drawn servers differ", len(once), sampleSize)
		}
	}
	if len(seen) != len(l.readers.servers) {
		t.Errorf("%d of %d readers were drawn", len(seen), len(l.readers.servers))
	}
}

// Where few of a large fleet may be sent to, they are found.
func TestFewReadyServersOfALargeFleetAreFound(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
	for i, s := range l.order {
		if i%400 > 1 {
			s.failures, s.ejectedUntil = 1, l.now+time.Hour
		}
	}
	r := &request{Request: Request{Session: 3}, class: l.classes["c"]}
	for _, readers := range []bool{true, false} {
		if got := l.candidates(r, readers).servers; len(got) != largeFleet/400 {
			t.Errorf("readers %v: %d of %d ready servers are found", readers, len(got), largeFleet/400)
		}
	}
}

// arrive has a request of a session of its own arrive, and gives its reader.
func arrive(l *Router, now time.Duration, i int) string {
	return find(l.Handle(now, arrival(fmt.Sprint("q", i), uint64(i)+1, 0), nil), Send).Server
}

// endRead ends the read of a request, and gives its writer.
func endRead(l *Router, now time.Duration, i int, reader string, took time.Duration) string {
	e := Event{Kind: Ended, RequestID: fmt.Sprint("q", i), Server: reader, Outcome: ReadDone, Took: took}
	return find(l.Handle(now, &e, nil), Send).Server
}

func begin(l *Router, now time.Duration, i int, writer string) {
	l.Handle(now, &Event{Kind: StreamStarted, RequestID: fmt.Sprint("q", i), Server: writer, Attempt: 1, Took: ms(1)}, nil)
}

func deliver(l *Router, now time.Duration, i int, writer string) {
	l.Handle(now, &Event{Kind: Ended, RequestID: fmt.Sprint("q", i), Server: writer, Attempt: 1, Outcome: Delivered, RequestEnded: true}, nil)
}

// Requests spread over a large fleet as they come: none is sent many times its share.
func TestRequestsSpreadOverALargeFleet(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
	const requests, step = 3200, 8
	const readSteps, streamSteps = 6, 60 // that a read and a stream take
	count, readers, writers := map[string]int{}, map[int]string{}, map[int]string{}
	for i := range requests {
		now := time.Hour + time.Duration(i)*ms(step)
		readers[i] = arrive(l, now, i)
		count[readers[i]]++
		if n := i - readSteps; n >= 0 {
			writers[n] = endRead(l, now, n, readers[n], readSteps*ms(step))
			count[writers[n]]++
			begin(l, now+ms(1), n, writers[n])
		}
		if n := i - readSteps - streamSteps; n >= 0 {
			deliver(l, now+ms(2), n, writers[n])
		}
	}
	for id, n := range count {
		if n > 20 { // each takes two
			t.Errorf("%s was sent %d of %d", id, n, requests)
		}
	}
}

// A read's state goes to a writer of its cell in a large fleet too, where one is as free as others.
func TestStateStaysInItsCellInALargeFleet(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
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

// Many small lists in a row, each of one server, cost what changed and not what is listed: the fleet is gone through no more often than its
// size allows. What a list takes away is not sent to from then on, and what it brings is found a moment later.
func TestManyListsInARowAreCheapInALargeFleet(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
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
			t.Fatalf("%s is gone, and may be sent to", e.ID)
		}
	}
	if most := int(lists * ms(1) / (sumIntervalPerServer * largeFleet)); passes > most {
		t.Errorf("the fleet was gone through %d times for %d lists, allowed are %d", passes, lists, most)
	}
	l.Handle(now, &Event{Kind: ListChanged, Servers: []ServerEntry{entry("r-new", "r", 1)}}, nil)
	l.now = now + sumIntervalPerServer*time.Duration(len(l.order))
	l.candidates(&request{class: l.classes["c"]}, true)
	if !slices.Contains(l.readers.servers, l.servers["r-new"]) {
		t.Error("a server that came with a list is not found")
	}
}

// In a large fleet writers to which connections lead are used again where they are as free as others, and no longer than that.
func TestWritersThatAnsweredLatelyComeFirstInALargeFleet(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
	for i, s := range l.order { // three cells, each of many writers
		s.Cell = int64(i / 2 % 3)
	}
	l.rebuildIndex()
	l.updateHomeWeights()
	used := map[string]int{}
	const requests = 2000
	for i := range requests {
		now := time.Hour + time.Duration(i)*ms(30)
		writer := endRead(l, now+ms(5), i, arrive(l, now, i), ms(5))
		begin(l, now+ms(6), i, writer)
		deliver(l, now+ms(20), i, writer)
		used[writer]++
	}
	if len(used) > requests/4 {
		t.Errorf("%d writers for %d requests, one after the other", len(used), requests)
	}
	full := l.writers.recent[0]
	full.heldTokens, full.openWrites = 0.5*full.memoryTokens, 1000
	r := &request{seq: 1, class: l.classes["c"], stateReader: l.readers.servers[0]}
	for r.seq = range uint64(100) {
		if l.chooseWriter(r) == full {
			t.Fatal("a writer that is fuller than others comes first")
		}
	}
}

// Guards: where all writers of a state's cell have failed, they are left alone in a large fleet too, as others may be sent to.
func TestFailedCellIsLeftAloneInALargeFleet(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
	l.now = time.Hour
	reader := l.readers.servers[0]
	for _, s := range l.writers.cells[reader.Cell] {
		l.recordFailure(s)
	}
	for seq := range uint64(100) {
		r := &request{seq: seq, class: l.classes["c"], stateReader: reader}
		if s := l.chooseWriter(r); s == nil || s.Cell == reader.Cell {
			t.Fatalf("a request goes to %+v", s)
		}
	}
}

// Where no server of a large fleet may be sent to, a request waits; it finds no home, and nothing breaks.
func TestNoReadyServerInALargeFleet(t *testing.T) {
	l := benchFleet(t, largeFleet, 0)
	for _, s := range l.order {
		s.failures, s.ejectedUntil, s.pending = 1, l.now+time.Hour, []*request{{}}
	}
	acts := l.Handle(time.Hour+time.Second, arrival("q", 7, 9), nil)
	if find(acts, Send) != nil || l.requests["q"] == nil || l.requests["q"].phase != parked {
		t.Errorf("got %+v", acts)
	}
}
