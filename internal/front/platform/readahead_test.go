package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/internal/fake"
	"standpulley/internal/fronttest"
)

// sendAhead sends a text that the network holds for the client, however little of it is read.
func sendAhead(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if err := c.(*net.TCPConn).SetWriteBuffer(2 * len(text)); err != nil {
		t.Fatal(err)
	}
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// Guards: the close of a client that leaves much unread behind its request was heard only behind
// all of that, and its request was sent on seconds after it had left.
func TestCloseIsHeardBehindMuchUnreadData(t *testing.T) {
	const closeHeardWithin = 100 * time.Millisecond
	for name, end := range clientCloses {
		for _, size := range []int{100 << 10, 1 << 20, 3 << 20} {
			rig, addr := start(t, func(x *fake.Exchange) { x.WaitClosed() }, serve)
			c := send(t, addr, rawRequest("instruction", "3000m"))
			fronttest.WaitFor(t, "the send to the reader", func() bool { return len(rig.Reader.Calls("POST")) == 1 })
			request := rawRequest("instruction", "3000m")
			sendAhead(t, c, strings.Repeat(request, size/len(request)))
			end(c)
			from := time.Now()
			fronttest.WaitFor(t, name+" to be heard", func() bool { return rig.CountVerdicts(dispatch.ClientLeft) == 1 })
			if took := time.Since(from); took > closeHeardWithin {
				t.Errorf("%s behind %d bytes: heard after %v", name, size, took)
			}
			if n := rig.WriterRequests(); n != 0 {
				t.Errorf("%s behind %d bytes: %d sends to the writer", name, size, n)
			}
		}
	}
}

// Guards: requests behind the current one are kept up to a limit and answered. What a client sends
// beyond it is not served in part: the connection ends with an error, in time.
func TestRequestsSentAheadAreAnsweredUpToALimit(t *testing.T) {
	for _, x := range []struct {
		ahead int
		all   bool // all of them are kept
	}{{3, true}, {1000, true}, {40000, false}} {
		proceed := make(chan bool)
		_, addr := start(t, fronttest.HealthyReader, func(x *fake.Exchange) { <-proceed; serve(x) })
		c := send(t, addr, rawRequest("enquiry", "3000m"))
		sendAhead(t, c, strings.Repeat("GET /-/ready HTTP/1.1\r\nHost: somewhere.local\r\n\r\n", x.ahead))
		time.Sleep(100 * time.Millisecond) // it is read by then
		close(proceed)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		answers, ended, br := map[int]int{}, false, bufio.NewReader(c)
		for total := 0; total <= x.ahead; total++ {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("%d ahead: %v after %v", x.ahead, err, answers)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			answers[resp.StatusCode]++
			if ended = resp.Close; ended {
				break
			}
		}
		if answered := answers[200] - 1; answered < min(x.ahead, 1000) || (answered == x.ahead) != x.all || ended == x.all {
			t.Errorf("%d ahead: %v, the last one ends the connection: %v", x.ahead, answers, ended)
		}
	}
}
