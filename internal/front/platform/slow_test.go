package platform

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"standpulley/internal/fake"
	"standpulley/internal/fronttest"
)

// A client that reads nothing of a long stream does not block others: the events of another stream
// arrive one by one, each before its replica writes the next.
func TestSlowClientDoesNotBlockOthers(t *testing.T) {
	next, full := make(chan bool), make(chan bool, 1)
	_, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) {
		x.Head()
		if strings.HasSuffix(string(x.Req.Header.Peek("X-Object")), "f") { // the slow client's request
			for range 1 << 12 { // 32 MB, of which the kernel buffers a part
				x.Token(strings.Repeat("x", 8<<10))
				select {
				case full <- true:
				default:
				}
			}
			return
		}
		for range 20 {
			x.Token("word")
			if !<-next {
				return
			}
		}
		x.End()
	})
	// This client reads nothing.
	send(t, addr, strings.Replace(rawRequest("enquiry", "3000m"), "X-Object: 7f3a", "X-Object: 7f3f", 1))
	<-full
	c := send(t, addr, rawRequest("enquiry", "3000m"))
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v %v", resp, err)
	}
	lines := bufio.NewScanner(resp.Body)
	for n := 0; n < 20; {
		if !lines.Scan() {
			t.Fatalf("%d events arrived: %v", n, lines.Err())
		}
		if strings.Contains(lines.Text(), "word") {
			n++
			next <- true // only now does the replica write another event
		}
	}
	for lines.Scan() {
	}
	if lines.Err() != nil {
		t.Error(lines.Err())
	}
}

// A client that reads nothing for writeTimeout is considered gone: its stream ends, the connection
// to its replica is closed, and its slot is freed.
func TestStalledClientIsDisconnected(t *testing.T) {
	t.Parallel()
	gone, full := make(chan bool), make(chan bool, 1)
	rig, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) {
		x.Head()
		for {
			select {
			case full <- true:
			default:
			}
			// An SSE comment keeps a stream alive.
			if _, err := x.Conn.Write([]byte("4\r\n:x\n\n\r\n")); err != nil {
				close(gone)
				return
			}
			x.Token(strings.Repeat("x", 8<<10))
		}
	})
	send(t, addr, rawRequest("enquiry", "3000m")) // reads nothing
	<-full
	select {
	case <-gone:
	case <-time.After(60 * time.Second): // writeTimeout is 15 s
		t.Fatal("the stream continues")
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		f, _ := rig.Core.Metrics()
		if f.Open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d requests are open", f.Open)
		}
	}
}
