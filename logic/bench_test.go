package logic

import (
	"fmt"
	"testing"
	"time"
)

// benchRouter returns a router with a list of so many servers, a share of which is in slow start.
func benchRouter(tb testing.TB, servers int, coldShare float64) *Router {
	tb.Helper()
	set := settings()
	set.Siblings = 1
	l, err := New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	const now = time.Hour
	var list []ServerEntry
	for i := range servers {
		e := entry(fmt.Sprint([]string{"r", "w"}[i%2], i), []string{"r", "w"}[i%2], int64(i/6))
		if float64(i/2%10) < 10*coldShare {
			e.Started = now
		}
		list = append(list, e)
	}
	l.Handle(now, &Event{Kind: ListComplete, Servers: list}, nil)
	return l
}

// benchRequest feeds the router one request with all its events.
func benchRequest(tb testing.TB, l *Router, now time.Duration, i int) {
	id := fmt.Sprint("q", i)
	acts := l.Handle(now, arrival(id, uint64(i), uint64(i%50)), nil)
	read := find(acts, Send)
	if read == nil {
		tb.Fatal("refused with an idle fleet")
	}
	e := Event{Kind: Ended, RequestID: id, Server: read.Server, Outcome: ReadDone, Took: ms(2), Tokens: 1000}
	acts = l.Handle(now+ms(2), &e, acts[:0])
	write := find(acts, Send).Server
	e = Event{Kind: StreamStarted, RequestID: id, Server: write, Attempt: 1, Took: ms(1)}
	acts = l.Handle(now+ms(3), &e, acts[:0])
	e = Event{Kind: Ended, RequestID: id, Server: write, Attempt: 1, Outcome: Delivered, RequestEnded: true}
	l.Handle(now+ms(4), &e, acts[:0])
}

// BenchmarkRequest measures one request with all its events at one router, for several fleet sizes,
// with no server or six in ten in slow start.
func BenchmarkRequest(b *testing.B) {
	for _, coldShare := range []float64{0, 0.6} {
		for _, n := range []int{12, 100, 200, 800, 3200} {
			b.Run(fmt.Sprintf("cold=%v/servers=%d", coldShare, n), func(b *testing.B) {
				l := benchRouter(b, n, coldShare)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					benchRequest(b, l, time.Hour+time.Duration(i%1000)*ms(8), i) // about 120 a second, all within slow start
				}
			})
		}
	}
}
