package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"standpulley/internal/fake"
)

// flood sends requests on one connection at full speed until it is closed, and reads the answers. It
// connects again where the program closes the connection.
type flood struct {
	addr     string
	request  func(n int) string
	stop     chan struct{}
	answered atomic.Int64
}

func startFlood(t *testing.T, addr string, request func(n int) string) *flood {
	t.Helper()
	f := &flood{addr: addr, request: request, stop: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; !f.stopped(); n = f.useConnection(n) {
		}
	}()
	t.Cleanup(func() {
		close(f.stop)
		<-done
	})
	return f
}

func (f *flood) stopped() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}

// useConnection floods one connection until it ends, with requests from number n on, and returns
// the number of the next request.
func (f *flood) useConnection(n int) int {
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		return n
	}
	defer c.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		br := bufio.NewReader(c)
		for {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body) // an error recurs in the next read
			f.answered.Add(1)
		}
	}()
	out := bufio.NewWriter(c)
	for !f.stopped() {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second)) // to notice the stop
		if _, err := out.WriteString(f.request(n)); err != nil {
			break
		}
		n++
	}
	_ = c.Close() // ends the reader
	<-ended
	return n
}

// TestFloodLeavesOthersServed guards against one client that sends small or unsound requests on one
// connection at full speed, also under ever new names: memory grew without end, and each request of
// some kinds took the program milliseconds.
func TestFloodLeavesOthersServed(t *testing.T) {
	const others = 30
	newNames := func(n int) string {
		return platformRequest(n, "enquiry", fmt.Sprintf("X-Object: %x\r\nX-Customer: u%d\r\nX-Props: prefix=%x,prefix_len=9,prompt_len=1000000\r\n", n+1, n, n+1), 2)
	}
	turnAway := func(status int, neverRan bool) func(x *fake.Exchange) {
		return func(x *fake.Exchange) {
			if len(x.Req.Header.Peek("X-Customer")) > 0 { // only the flood's requests name one
				x.Status(status, neverRan, "")
				return
			}
			x.Read(0)
		}
	}
	for name, x := range map[string]struct {
		read    func(*fake.Exchange)
		request func(n int) string
	}{
		"no such path":  {readAtOnce, func(n int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", n) }},
		"no such class": {readAtOnce, func(n int) string { return platformRequest(n, fmt.Sprint("class-", n), "", 2) }},
		"one id":        {readAtOnce, func(int) string { return platformRequest(0, "enquiry", "", 2) }},
		"names in Connection": {readAtOnce, func(n int) string {
			return platformRequest(n, "enquiry", "Connection: "+strings.Repeat("a,", 2000)+"\r\n"+strings.Repeat("a:\r\n", 700), 2)
		}},
		"new names":                  {readAtOnce, newNames},
		"new names, replicas full":   {turnAway(503, true), newNames},
		"new names, replicas refuse": {turnAway(400, false), newNames},
	} {
		t.Run(name, func(t *testing.T) {
			list, _ := startReplicas(t, x.read, writeShort)
			p := startLimited(t, leastMemoryMB, mostDescriptors, list...)
			f := startFlood(t, p.file.Listen, x.request)
			began := time.Now()
			served, refused := askBeside(t, p, others)
			t.Logf("others: %d served, %d refused in %v; %d of the flood answered", served, refused, time.Since(began), f.answered.Load())
			p.checkLimits(t)
			if served < others*9/10 {
				t.Errorf("%d of %d served", served, others)
			}
		})
	}
}
