package replica

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

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
	if l.AwaitIdle(ctx); l.open.Load() != 0 {
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
	well := replicaOf(t, func(*standin.Exchange) {})
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
	if l.open.Load() != 0 {
		t.Error("a call is under way")
	}
}
