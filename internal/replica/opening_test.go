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
	"standpulley/internal/standin"
	"standpulley/logic"
)

// chunked puts text into chunks of so many bytes.
func chunked(text string, size int) string {
	var b strings.Builder
	for len(text) > 0 {
		n := min(size, len(text))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return b.String()
}

const whole = "data: {\"choices\":[{\"index\":0}]}\n\n"

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

// Guards: an answer whose connection broke inside its first event counted as begun. The client got a part of an event and the end of its
// connection instead of an answer, and nobody tried again.
func TestBreakInsideTheFirstEventIsNoAnswer(t *testing.T) {
	for _, cut := range []int{1, 6, len(whole) - 1} {
		for _, size := range []int{1, 7, 1 << 10} {
			for name, end := range map[string]func(*standin.Exchange){
				"reset": (*standin.Exchange).Break, "silence": (*standin.Exchange).WaitClosed,
			} {
				r := replicaOf(t, func(x *standin.Exchange) {
					_, _ = io.WriteString(x.Conn, head+"\r\n"+chunked(whole[:cut], size)) // what the other side makes of it is the point
					end(x)
				})
				rep, _ := send(NewPool(4, 0, 0), r.Addr, 5*time.Second, "b")
				select {
				case <-rep.began:
					t.Errorf("%s after %d bytes in chunks of %d: it has begun", name, cut, size)
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

// An answer in pieces of any size passes unchanged, and its first event does not wait for the second.
func TestAnswerInPiecesPassesUnchanged(t *testing.T) {
	for _, size := range []int{1, 7, 1 << 10} {
		goOn := make(chan bool)
		r := replicaOf(t, func(x *standin.Exchange) {
			_, _ = io.WriteString(x.Conn, head+"\r\n"+chunked(whole, size)) // seen by who reads it
			<-goOn
			_, _ = io.WriteString(x.Conn, chunked(whole, size)+"0\r\n\r\n")
		})
		rep, _ := send(NewPool(4, 0, 0), r.Addr, 5*time.Second, "b")
		var s dispatch.Stream
		select {
		case s = <-rep.began:
		case <-time.After(10 * time.Second):
			t.Fatal("the first event does not pass")
		}
		text, err := s.Next()
		got := string(text)
		close(goOn)
		for err == nil {
			text, err = s.Next()
			got += string(text)
		}
		if err != io.EOF || got != whole+whole {
			t.Errorf("chunks of %d: %v, %q", size, err, got)
		}
	}
}

// Guards: a replica that says a second answer, some milliseconds after the first, said it to the next request on that connection. The
// next one goes out on another until the connection has rested, and by then what came shows.
func TestSecondAnswerIsNotTakenForTheNext(t *testing.T) {
	r := replicaOf(t, func(x *standin.Exchange) { x.Read(1) })
	pool := NewPool(4, 0, 0)
	c, err := pool.get(context.Background(), r.Addr, false)
	if err != nil {
		t.Fatal(err)
	}
	pool.put(c)
	c.idledAt = time.Now().Add(time.Hour) // however long this test takes, it has not rested
	other, err := pool.get(context.Background(), r.Addr, false)
	if err != nil || other == c {
		t.Fatalf("%v, the same connection: %v", err, other == c)
	}
	pool.drop(other)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil { // whose answer stands for the second one
		t.Fatal(err)
	}
	for quiet(c.Conn) { // until it is there
		time.Sleep(time.Millisecond)
	}
	c.idledAt = time.Now().Add(-restLeast)
	other, err = pool.get(context.Background(), r.Addr, false)
	if err != nil || other == c || pool.open != 1 {
		t.Errorf("%v, the same connection: %v, %d open", err, other == c, pool.open)
	}
}

// Guards: an attempt that was given up while it connected could write before it was interrupted. The fence stands before its first byte;
// what has begun to leave goes on.
func TestNoByteOnceGivenUp(t *testing.T) {
	for _, begun := range []bool{false, true} {
		ours, theirs := net.Pipe()
		got := make(chan string, 1)
		go func() { text, _ := io.ReadAll(theirs); got <- string(text) }() // its end is that of the pipe
		ctx, cancel := context.WithCancel(context.Background())
		f := &fence{Conn: ours, ctx: ctx}
		want := ""
		if begun {
			if _, err := f.Write([]byte("a")); err != nil {
				t.Fatal(err)
			}
			want = "ab"
		}
		cancel()
		if _, err := f.Write([]byte("b")); errors.Is(err, errNoLeave) == begun {
			t.Errorf("begun %v: %v", begun, err)
		}
		_ = ours.Close()
		if text := <-got; text != want {
			t.Errorf("begun %v: %q left", begun, text)
		}
	}
}
