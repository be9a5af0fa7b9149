package replica

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"standpulley/internal/fake"
	"standpulley/logic"
)

// TestPausedStreamGoesOn guards against the cut of a live stream whose events pause for almost the
// 5 s for which a client may wait. A stream that says nothing any more must end before they are over.
func TestPausedStreamGoesOn(t *testing.T) {
	t.Parallel()
	const (
		clientWait = 5 * time.Second        // after the last event of a stream that is not whole
		delivery   = 150 * time.Millisecond // for the end to reach the client
		pause      = 4500 * time.Millisecond
	)
	for name, c := range map[string]struct {
		act  func(*fake.Exchange)
		want logic.Outcome
	}{
		"pauses": {func(x *fake.Exchange) { x.Head(); x.Token("one"); time.Sleep(pause); x.Token("two"); x.End() }, logic.Delivered},
		"silent": {func(x *fake.Exchange) { x.Head(); x.Token("one"); x.WaitClosed() }, logic.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rep, _ := send(NewPool(4, 0, 0), startReplica(t, c.act).Addr, 5*time.Second, "b")
			s := <-rep.began
			lastEvent := time.Now()
			_, err := s.Next()
			for err == nil {
				lastEvent = time.Now()
				_, err = s.Next()
			}
			took := time.Since(lastEvent)
			if got := rep.result(t); got.Outcome != c.want || (err == io.EOF) != (c.want == logic.Delivered) || took > clientWait-delivery {
				t.Errorf("%+v, %v, %v after the last event", got, err, took)
			}
		})
	}
}

// TestSlowlyWrittenAnswersAreNotCut guards against time limits that count from the beginning of a
// part of an answer: a live answer was cut while its replica was still writing it.
func TestSlowlyWrittenAnswersAreNotCut(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	event := "data: " + strings.Repeat("x", 75) + "\n\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	long := "data: " + strings.Repeat("x", 8<<10) + "\n\n"
	const end = "0\r\n\r\n"
	// slowly writes a text in pieces of the given size.
	slowly := func(x *fake.Exchange, text string, size int, pause time.Duration) {
		for ; len(text) > 0 && !x.Broken(); text = text[min(size, len(text)):] {
			_, _ = io.WriteString(x.Conn, text[:min(size, len(text))]) // the test sees that the answer is incomplete
			time.Sleep(pause)
		}
	}
	for name, act := range map[string]func(*fake.Exchange){
		"the head":        func(x *fake.Exchange) { slowly(x, head, 4, 50*time.Millisecond); slowly(x, chunk+end, 100, 0) },
		"the first event": func(x *fake.Exchange) { slowly(x, head, 100, 0); slowly(x, chunk+end, 1, 50*time.Millisecond) },
		"a later event": func(x *fake.Exchange) {
			slowly(x, head+chunk, 200, 0)
			slowly(x, chunk+end, 1, 100*time.Millisecond)
		},
		"a long event": func(x *fake.Exchange) {
			slowly(x, head+chunk+fmt.Sprintf("%x\r\n", len(long)), 200, 0)
			slowly(x, long, 256, 130*time.Millisecond)
			slowly(x, "\r\n"+end, 100, 0)
		},
		"a body of known length": func(x *fake.Exchange) {
			slowly(x, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)), 100, 0)
			slowly(x, long, 256, 130*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(4, 0, 0)
			p.StallTimeout = time.Second // each part takes several times as long, the lines between two events less
			rep, _ := send(p, startReplica(t, func(x *fake.Exchange) { act(x); x.WaitClosed() }).Addr, 10*time.Second, "b")
			select {
			case s := <-rep.began:
				_, err := s.Next()
				for err == nil {
					_, err = s.Next()
				}
				if got := rep.result(t); err != io.EOF || got.Outcome != logic.Delivered {
					t.Errorf("%+v, %v", got, err)
				}
			case <-time.After(8 * time.Second):
				t.Error("no event")
			}
		})
	}
}
