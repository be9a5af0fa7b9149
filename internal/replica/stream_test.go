package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"standpulley/internal/dispatch"
	"standpulley/internal/fake"
	"standpulley/logic"
)

// chunked encodes text in chunks of at most size bytes.
func chunked(text string, size int) string {
	var b strings.Builder
	for len(text) > 0 {
		n := min(size, len(text))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return b.String()
}

const fullEvent = "data: {\"choices\":[{\"index\":0}]}\n\n"

func TestHasEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"":                               false,
		"data: {}":                       false,
		"data: {}\n":                     false,
		"data: {}\n\n":                   true,
		"data: {}\r\n\r":                 false,
		"data: {}\r\n\r\n":               true,
		": a comment\n\n":                false,
		": a comment\n\ndata: {":         false,
		": a comment\n\ndata: {}\n\n":    true,
		"event: x\ndata: {}\n\ndata: {1": true,
	} {
		if got := hasEvent([]byte(text)); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}

// Guards against counting an answer as begun whose connection breaks within its first event. The
// client would get a part of an event and the end of its connection instead of an answer, and the
// attempt would not be retried.
func TestBreakWithinFirstEventIsNoAnswer(t *testing.T) {
	for _, cut := range []int{1, 6, len(fullEvent) - 1} {
		for _, size := range []int{1, 7, 1 << 10} {
			for name, end := range map[string]func(*fake.Exchange){
				"reset": (*fake.Exchange).Break, "no answer": (*fake.Exchange).WaitClosed,
			} {
				r := startReplica(t, func(x *fake.Exchange) {
					_, _ = io.WriteString(x.Conn, head+"\r\n"+chunked(fullEvent[:cut], size)) // errors show in the result
					end(x)
				})
				rep, _ := send(NewPool(4, 0, 0), r.Addr, 5*time.Second, "b")
				select {
				case <-rep.began:
					t.Errorf("%s after %d bytes in chunks of %d: a stream has begun", name, cut, size)
				case got := <-rep.ended:
					if got.Outcome != logic.ConnectionLost || !got.NoState {
						t.Errorf("%s after %d bytes in chunks of %d: %+v", name, cut, size, got)
					}
				case <-time.After(10 * time.Second):
					t.Fatalf("%s after %d bytes in chunks of %d: the attempt does not end", name, cut, size)
				}
			}
		}
	}
}

// An answer in chunks of any size is passed on unchanged, and its first event is not held back
// until the second.
func TestChunkedAnswerIsPassedOnUnchanged(t *testing.T) {
	for _, size := range []int{1, 7, 1 << 10} {
		proceed := make(chan bool)
		r := startReplica(t, func(x *fake.Exchange) {
			_, _ = io.WriteString(x.Conn, head+"\r\n"+chunked(fullEvent, size)) // an error shows in the stream
			<-proceed
			_, _ = io.WriteString(x.Conn, chunked(fullEvent, size)+"0\r\n\r\n")
		})
		rep, _ := send(NewPool(4, 0, 0), r.Addr, 5*time.Second, "b")
		var s dispatch.Stream
		select {
		case s = <-rep.began:
		case <-time.After(10 * time.Second):
			t.Fatal("the first event is not passed on")
		}
		text, err := s.Next()
		got := string(text)
		close(proceed)
		for err == nil {
			text, err = s.Next()
			got += string(text)
		}
		if err != io.EOF || got != fullEvent+fullEvent {
			t.Errorf("chunks of %d: %v, %q", size, err, got)
		}
	}
}

// Guards against an unexpected second answer, sent some milliseconds after the first, being taken
// for the answer to the next request on the connection. A connection is not reused until it has
// been idle for minRest, and by then the second answer shows.
func TestSecondAnswerIsNotTakenForTheNextOne(t *testing.T) {
	r := startReplica(t, func(x *fake.Exchange) { x.Read(1) })
	pool := NewPool(4, 0, 0)
	c, err := pool.get(context.Background(), r.Addr, false)
	if err != nil {
		t.Fatal(err)
	}
	pool.put(c)
	c.idledAt = time.Now().Add(time.Hour) // not idle for long enough, however slow this test is
	other, err := pool.get(context.Background(), r.Addr, false)
	if err != nil || other == c {
		t.Fatalf("connection without rest: error %v, reused %v", err, other == c)
	}
	pool.drop(other)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil { // its answer serves as the unexpected one
		t.Fatal(err)
	}
	for isQuiet(c.Conn) { // until the answer has arrived
		time.Sleep(time.Millisecond)
	}
	c.idledAt = time.Now().Add(-minRest)
	other, err = pool.get(context.Background(), r.Addr, false)
	if err != nil || other == c || pool.open != 1 {
		t.Errorf("connection with a second answer: error %v, reused %v, %d open", err, other == c, pool.open)
	}
}

// Guards against an attempt that is cancelled while it connects writing its request before it is
// interrupted. The sendGuard blocks only the first write: a request that is partly written goes on.
func TestNoByteIsSentAfterCancel(t *testing.T) {
	for _, started := range []bool{false, true} {
		ours, theirs := net.Pipe()
		got := make(chan string, 1)
		go func() { text, _ := io.ReadAll(theirs); got <- string(text) }() // ends with the pipe
		ctx, cancel := context.WithCancel(context.Background())
		f := &sendGuard{Conn: ours, ctx: ctx}
		want := ""
		if started {
			if _, err := f.Write([]byte("a")); err != nil {
				t.Fatal(err)
			}
			want = "ab"
		}
		cancel()
		if _, err := f.Write([]byte("b")); errors.Is(err, errSendNotAllowed) == started {
			t.Errorf("partly written %v: error %v", started, err)
		}
		_ = ours.Close()
		if text := <-got; text != want {
			t.Errorf("partly written %v: %q was sent", started, text)
		}
	}
}
