package replica

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/standin"
)

// Guards: a release was tried once at up to four replicas. Where those had died, as in a restart of a part of the fleet, what a read had
// left elsewhere stayed held.
func TestReleaseGoesOnUntilItIsTaken(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	const refused = 3
	taken := make(chan string, 1)
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if n < refused { // it is not up yet
				_ = c.Close()
				continue
			}
			line, _ := bufio.NewReader(c).ReadString('\n') // what it is tells
			taken <- line
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n") // seen by the end of the release
		}
	}()
	l := NewReleaser(NewPool(4, 0, 0))
	l.Release("id1", []string{ln.Addr().String()})
	select {
	case line := <-taken:
		if line != "DELETE /bootstrap/rooms/id1 HTTP/1.1\r\n" {
			t.Errorf("asked %q", line)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the release is given up")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if l.AwaitIdle(ctx); l.openReleases() != 0 {
		t.Error("it goes on although it was taken")
	}
}

// Guards: replicas that hang took 100 ms each before the next was asked, and a state may be held for 500. Here 30 of them hang: 1.2 s,
// for 3 s.
func TestReleasePassesReplicasThatHang(t *testing.T) {
	var addrs []string
	for range 30 {
		silent, err := net.Listen("tcp", "127.0.0.1:0") // it accepts and never answers
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = silent.Close() })
		addrs = append(addrs, silent.Addr().String())
	}
	well := startReplica(t, func(*standin.Exchange) {})
	l := NewReleaser(NewPool(64, 0, 0))
	began := time.Now()
	l.Release("id1", append(addrs, well.Addr))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	l.AwaitIdle(ctx)
	if n := len(well.Calls("DELETE")); n != 1 {
		t.Errorf("the replica that is well was asked %d times", n)
	}
	if took := time.Since(began); took > 2500*time.Millisecond {
		t.Errorf("let go after %v", took)
	}
}

// A release at no replica, or at none that ever answers, ends.
func TestReleaseWithoutReplicas(t *testing.T) {
	l := NewReleaser(NewPool(4, 0, 0))
	l.Release("id1", nil)
	if l.openReleases() != 0 {
		t.Error("a call is under way")
	}
}

// Guards: where all open connections have fallen silent at once, each call went out on an idle one in turn, and what was held was let go
// seconds late. A call that must not wait finds a connection also where attempts hold all of them.
func TestReleaseGoesOutOnNewConnections(t *testing.T) {
	for _, full := range []bool{false, true} {
		pool := NewPool(8, 0, 0)
		var first atomic.Int64 // connections that are silent: those that are open by then
		var addrs []string
		released := make(chan time.Time, 64)
		for range 2 {
			r := serverOf(t, func(c net.Conn, silent bool) {
				for br := bufio.NewReader(c); ; {
					var req fasthttp.Request
					if req.Read(br) != nil {
						return
					}
					if silent && first.Load() > 0 {
						continue
					}
					if first.Load() > 0 {
						released <- time.Now()
					}
					_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
				}
			}, &first)
			addrs = append(addrs, r)
		}
		var idle []*conn
		for _, addr := range addrs {
			for range 4 {
				c, err := pool.dial(context.Background(), addr, 0)
				if err != nil {
					t.Fatal(err)
				}
				idle = append(idle, c)
			}
		}
		time.Sleep(20 * time.Millisecond)
		first.Store(1)
		if !full {
			for _, c := range idle {
				pool.put(c)
			}
			time.Sleep(minRest)
		}
		began := time.Now()
		NewReleaser(pool).Release("a", addrs)
		select {
		case at := <-released:
			if took := at.Sub(began); took > 200*time.Millisecond {
				t.Errorf("pool full %v: released after %v", full, took)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("pool full %v: nothing was released", full)
		}
	}
}

// serverOf listens and serves each connection; those that came before suspectAfter was set are silent.
func serverOf(t *testing.T, serve func(c net.Conn, silent bool), silence *atomic.Int64) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c, silence.Load() == 0)
		}
	}()
	return ln.Addr().String()
}

// Guards: a connection that a release had made beyond those of attempts stood idle after it, an attempt took it and kept it, and in time
// attempts had every place that is kept for releases (soak seed 519: states held for up to 1.9 s).
func TestAttemptsDoNotTakeTheConnectionsOfReleases(t *testing.T) {
	pool := NewPool(reserveFrom, 0, 0)
	rep := startReplica(t, func(x *standin.Exchange) { x.Read(0) })
	for range reserveFrom - reserveFrom/reserveShare {
		if _, err := pool.get(t.Context(), rep.Addr, false); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 * (maxExtra + reserveFrom/reserveShare) {
		if _, err := pool.do(t.Context(), call{addr: rep.Addr, method: "DELETE", path: "/bootstrap/rooms/a", timeout: time.Second, urgent: true}); err != nil {
			t.Fatalf("a release: %v", err)
		}
		time.Sleep(minRest)
		if _, err := pool.get(t.Context(), rep.Addr, false); !errors.Is(err, errPoolExhausted) {
			t.Fatalf("an attempt beyond the bound: %v", err)
		}
	}
}
