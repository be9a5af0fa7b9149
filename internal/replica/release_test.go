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

	"standpulley/internal/fake"
)

// Guards against a release that is tried only once at up to four replicas: if these were down, as
// during a restart of a part of the fleet, the state that a read had left elsewhere was not
// released.
func TestReleaseIsRepeatedUntilAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	const failures = 3
	received := make(chan string, 1)
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if n < failures { // the replica is not up yet
				_ = c.Close()
				continue
			}
			line, _ := bufio.NewReader(c).ReadString('\n') // a failed read shows in the comparison
			received <- line
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n") // an error shows in AwaitIdle
		}
	}()
	l := NewReleaser(NewPool(4, 0, 0))
	l.Release("id1", []string{ln.Addr().String()})
	select {
	case line := <-received:
		if line != "DELETE /bootstrap/rooms/id1 HTTP/1.1\r\n" {
			t.Errorf("received %q", line)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the release is not repeated")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if l.AwaitIdle(ctx); l.openReleases() != 0 {
		t.Error("the release goes on although it was answered")
	}
}

// Guards against replicas that hang delaying a release: each once took 100 ms before the next
// replica was called, while state may be held for 500 ms only. With 30 such replicas the release
// takes 1.2 s now and took 3 s then.
func TestReleasePassesUnresponsiveReplicas(t *testing.T) {
	var addrs []string
	for range 30 {
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // it accepts and never answers
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = unresponsive.Close() })
		addrs = append(addrs, unresponsive.Addr().String())
	}
	healthy := startReplica(t, func(*fake.Exchange) {})
	l := NewReleaser(NewPool(64, 0, 0))
	start := time.Now()
	l.Release("id1", append(addrs, healthy.Addr))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	l.AwaitIdle(ctx)
	if n := len(healthy.Calls("DELETE")); n != 1 {
		t.Errorf("the healthy replica was called %d times", n)
	}
	if took := time.Since(start); took > 2500*time.Millisecond {
		t.Errorf("released after %v", took)
	}
}

// A release with no replica to call ends at once.
func TestReleaseWithoutReplicas(t *testing.T) {
	l := NewReleaser(NewPool(4, 0, 0))
	l.Release("id1", nil)
	if l.openReleases() != 0 {
		t.Error("a release is in progress")
	}
}

// Guards against releases that are seconds late because all open connections are dead and each call
// uses another idle one. Urgent calls must get a connection even if attempts use all of the pool.
func TestReleaseUsesNewConnections(t *testing.T) {
	for _, full := range []bool{false, true} {
		pool := NewPool(8, 0, 0)
		var dead atomic.Int64 // set once the connections that were opened before no longer answer
		var addrs []string
		released := make(chan time.Time, 64)
		for range 2 {
			r := startServer(t, func(c net.Conn, old bool) {
				for br := bufio.NewReader(c); ; {
					var req fasthttp.Request
					if req.Read(br) != nil {
						return
					}
					if old && dead.Load() > 0 {
						continue
					}
					if dead.Load() > 0 {
						released <- time.Now()
					}
					_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
				}
			}, &dead)
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
		dead.Store(1)
		if !full {
			for _, c := range idle {
				pool.put(c)
			}
			time.Sleep(minRest)
		}
		start := time.Now()
		NewReleaser(pool).Release("a", addrs)
		select {
		case at := <-released:
			if took := at.Sub(start); took > 200*time.Millisecond {
				t.Errorf("pool full %v: released after %v", full, took)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("pool full %v: no release was received", full)
		}
	}
}

// startServer listens and serves each connection with serve. The argument old is true if the
// connection was accepted before dead was set.
func startServer(t *testing.T, serve func(c net.Conn, old bool), dead *atomic.Int64) string {
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
			go serve(c, dead.Load() == 0)
		}
	}()
	return ln.Addr().String()
}

// Guards against attempts taking over the connections that are reserved for releases: a connection
// that a release had opened beyond the bound of attempts stayed idle, an attempt reused and kept
// it, and in time attempts used all reserved connections (soak seed 519: state was held for up to
// 1.9 s).
func TestAttemptsDoNotUseReservedConnections(t *testing.T) {
	pool := NewPool(reserveFrom, 0, 0)
	rep := startReplica(t, func(x *fake.Exchange) { x.Read(0) })
	for range reserveFrom - reserveFrom/reserveShare {
		if _, err := pool.get(t.Context(), rep.Addr, false); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 * (maxExtra + reserveFrom/reserveShare) {
		if _, err := pool.do(t.Context(), call{addr: rep.Addr, method: "DELETE", path: "/bootstrap/rooms/a", timeout: time.Second, urgent: true}); err != nil {
			t.Fatalf("release: %v", err)
		}
		time.Sleep(minRest)
		if _, err := pool.get(t.Context(), rep.Addr, false); !errors.Is(err, errPoolExhausted) {
			t.Fatalf("attempt beyond the bound: error %v, want errPoolExhausted", err)
		}
	}
}
