package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"standpulley/internal/fake"
)

const (
	// streamEndMax is how long a client may wait after the last event of a stream that is not whole.
	streamEndMax = 5 * time.Second
	// eventDelayMax is how long after its writing an event may come to the client.
	eventDelayMax = 300 * time.Millisecond
	eventPace     = 60 * time.Millisecond
	soundEvents   = 5 // at the beginning of each stream
)

// streamCase is the rest of an answer, behind some events, and what a client must see of it.
type streamCase struct {
	rest  func(w *streamWriter)
	whole bool // the stream is sound and ends with its last chunk
}

// streamWriter writes a stream as a replica does.
type streamWriter struct {
	x         *fake.Exchange
	mu        sync.Mutex
	lastEvent time.Time
}

// write sends a text as it is.
func (w *streamWriter) write(text string) { _, _ = io.WriteString(w.x.Conn, text) } // clients see what is missing

// pieces sends a text in pieces of the given size, with a pause behind each.
func (w *streamWriter) pieces(text string, size int, pause time.Duration) {
	for ; len(text) > 0; text = text[min(size, len(text)):] {
		w.write(text[:min(size, len(text))])
		time.Sleep(pause)
	}
}

// timedEvent returns an event that tells when it was written, padded to a size.
func timedEvent(size int) string {
	text := fmt.Sprintf("data: %d ", time.Now().UnixNano())
	return text + strings.Repeat("x", max(size-len(text)-2, 0)) + "\n\n"
}

// event sends an event in a chunk of its own.
func (w *streamWriter) event() {
	text := timedEvent(0)
	w.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent = time.Now()
}

func (w *streamWriter) lastEventAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastEvent
}

// clientStream is what a client has seen of a stream.
type clientStream struct {
	status   int
	events   int
	err      error // of the last read; nil at the end of a whole stream
	ended    time.Time
	maxDelay time.Duration // from the writing of an event to its arrival
}

// readStream reads a response to its end.
func readStream(br *bufio.Reader) (s clientStream) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return clientStream{err: err, ended: time.Now()}
	}
	s.status = resp.StatusCode
	lines := bufio.NewReader(resp.Body)
	for s.err == nil {
		var line string
		line, s.err = lines.ReadString('\n')
		fields := strings.Fields(strings.TrimPrefix(line, "data: "))
		if len(fields) == 0 || s.err != nil {
			continue
		}
		if written, err := strconv.ParseInt(fields[0], 10, 64); err == nil {
			s.events++
			s.maxDelay = max(s.maxDelay, time.Since(time.Unix(0, written)))
		}
	}
	s.ended = time.Now()
	if s.err == io.EOF {
		s.err = nil
	}
	return s
}

// playStreams plays each case with both classes, on a new connection and on one that has carried a
// request, all at once at one program, and calls check with what the client has seen.
func playStreams(t *testing.T, cases map[string]streamCase, check func(t *testing.T, c streamCase, w *streamWriter, got clientStream)) {
	t.Helper()
	var mu sync.Mutex // guards writers
	scripts, writers := map[string]streamCase{}, map[string]*streamWriter{}
	write := func(x *fake.Exchange) {
		c, found := scripts[x.ID]
		if !found {
			x.Answer("first")
			return
		}
		w := &streamWriter{x: x}
		mu.Lock()
		writers[x.ID] = w
		mu.Unlock()
		x.Head()
		for range soundEvents {
			w.event()
			time.Sleep(eventPace)
		}
		if c.rest(w); c.whole {
			w.write("0\r\n\r\n")
			return
		}
		x.WaitClosed()
	}
	type client struct {
		name, class string
		kept        bool
		n           int
	}
	var clients []client
	for name, c := range cases {
		for _, class := range []string{"enquiry", "instruction"} {
			for _, kept := range []bool{false, true} {
				n := len(clients)
				clients = append(clients, client{name, class, kept, n})
				scripts[fmt.Sprintf("c%015x", n)] = c
			}
		}
	}
	p := startLimited(t, 192, mostDescriptors, startFleet(t, write)...)
	var running sync.WaitGroup
	for _, k := range clients {
		running.Go(func() {
			name := fmt.Sprintf("%s, %s, kept %v", k.name, k.class, k.kept)
			c := dial(t, p.file.Listen)
			_ = c.SetDeadline(time.Now().Add(40 * time.Second))
			br := bufio.NewReader(c)
			if k.kept {
				_, _ = io.WriteString(c, platformRequest(1<<20+k.n, k.class, "", 2)) // the read reports an error
				if first := readStream(br); first.err != nil || first.status != http.StatusOK {
					t.Errorf("%s: first request %+v", name, first)
				}
				time.Sleep(2 * eventPace) // from then on the program uses the servers' connections again
			}
			_, _ = io.WriteString(c, platformRequest(k.n, k.class, "", 2))
			got := readStream(br)
			mu.Lock()
			w := writers[fmt.Sprintf("c%015x", k.n)]
			mu.Unlock()
			t.Run(name, func(t *testing.T) {
				if w == nil || got.status != http.StatusOK {
					t.Fatalf("no stream: %+v", got)
				}
				check(t, cases[k.name], w, got)
			})
		})
	}
	running.Wait()
}

// never sends a text again and again until the connection is closed.
func never(first, again string) func(w *streamWriter) {
	return func(w *streamWriter) {
		w.write(first)
		for range int(20 * time.Second / eventPace) {
			time.Sleep(eventPace)
			if _, err := io.WriteString(w.x.Conn, again); err != nil {
				return
			}
		}
	}
}

// TestClientIsNotLeftOnASpoiltStream guards against a client that waits for over 5 s after the last
// event of a stream that is not whole, as its server goes on with anything else.
func TestClientIsNotLeftOnASpoiltStream(t *testing.T) {
	t.Parallel()
	sound := "data: {\"choices\":[]}\n\n"
	cases := map[string]streamCase{
		"a size of gigabytes, then events":    {rest: never("c0000000\r\n", sound)},
		"the same with events in chunks":      {rest: never("c0000000\r\n", "16\r\n"+sound+"\r\n")},
		"the same in pieces":                  {rest: func(w *streamWriter) { w.pieces("c0000000\r\n", 1, eventPace); never("", sound)(w) }},
		"a size line that never ends":         {rest: never("", "0")},
		"the same with events in it":          {rest: never("c0000000", "data: {\"choices\":[]}")},
		"an extension that never ends":        {rest: never("16;a=", "b")},
		"a trailer line that never ends":      {rest: never("0\r\na: ", "b")},
		"trailer lines that never end":        {rest: never("0\r\n", "a: b\r\n")},
		"a part of a size line, then silence": {rest: func(w *streamWriter) { w.pieces("c0000", 1, 2*eventPace) }},
		"a part of an event, then silence":    {rest: func(w *streamWriter) { w.pieces("ff\r\ndata: {\"", 2, 2*eventPace) }},
		"a pause, a part of an event, silence": {rest: func(w *streamWriter) {
			time.Sleep(2500 * time.Millisecond)
			w.pieces("ff\r\ndata: {\"", 2, 80*time.Millisecond)
		}},
		"an event whose chunk does not end":     {rest: func(w *streamWriter) { w.pieces("a\r\ndata: {}\n\n\r", 2, 80*time.Millisecond) }},
		"an end without the last chunk's lines": {rest: func(w *streamWriter) { w.pieces("0\r\n", 1, 3*eventPace) }},
	}
	playStreams(t, cases, func(t *testing.T, _ streamCase, w *streamWriter, got clientStream) {
		if waited := got.ended.Sub(w.lastEventAt()); got.err == nil || waited > streamEndMax {
			t.Errorf("ended %v after the last event: %v", waited, got.err)
		}
	})
}

// TestSlowStreamsComeWhole guards against a stream that is cut while its server writes it, however
// slowly.
func TestSlowStreamsComeWhole(t *testing.T) {
	t.Parallel()
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	long := timedEvent(8 << 10)
	cases := map[string]streamCase{
		"an event byte by byte":   {whole: true, rest: func(w *streamWriter) { w.pieces(chunk(timedEvent(60)), 1, 100*time.Millisecond) }},
		"an event in rare pieces": {whole: true, rest: func(w *streamWriter) { w.pieces(chunk(timedEvent(100)), 12, 1200*time.Millisecond) }},
		"a long event":            {whole: true, rest: func(w *streamWriter) { w.pieces(chunk(long), 200, 200*time.Millisecond) }},
		"a chunk of many events": {whole: true, rest: func(w *streamWriter) {
			w.pieces(chunk(strings.Repeat(timedEvent(1<<10), 60)), 1<<10, 150*time.Millisecond)
		}},
		"a size line in pieces":        {whole: true, rest: func(w *streamWriter) { w.pieces(chunk(timedEvent(60)), 3, 300*time.Millisecond) }},
		"events that pause":            {whole: true, rest: func(w *streamWriter) { time.Sleep(4400 * time.Millisecond); w.event() }},
		"events that pause in between": {whole: true, rest: func(w *streamWriter) { w.event(); w.pieces(chunk(timedEvent(60)), 20, 4*time.Second/5) }},
	}
	playStreams(t, cases, func(t *testing.T, _ streamCase, _ *streamWriter, got clientStream) {
		if got.err != nil || got.events <= soundEvents {
			t.Errorf("%d events, then %v", got.events, got.err)
		}
	})
}

// TestEventsOfALongChunkAreNotHeldBack guards against events that wait for the end of their chunk, as
// a server writes many into one.
func TestEventsOfALongChunkAreNotHeldBack(t *testing.T) {
	t.Parallel()
	const size, count = 64, 60
	cases := map[string]streamCase{}
	for _, stated := range []int{size * count, 64 << 10, 256 << 10} {
		cases[fmt.Sprint("a chunk of ", stated)] = streamCase{whole: stated == size*count, rest: func(w *streamWriter) {
			w.write(fmt.Sprintf("%x\r\n", stated))
			for range count {
				w.write(timedEvent(size))
				time.Sleep(eventPace)
			}
			w.write("\r\n")
		}}
	}
	playStreams(t, cases, func(t *testing.T, c streamCase, _ *streamWriter, got clientStream) {
		if c.whole != (got.err == nil) || got.maxDelay > eventDelayMax || got.events < count {
			t.Errorf("%d events, the latest %v after its writing, then %v", got.events, got.maxDelay, got.err)
		}
	})
}

// TestReadWhoseBodyNeverEndsIsServed guards against a request that fails as the server that has read
// its prompt never ends the answer that says so.
func TestReadWhoseBodyNeverEndsIsServed(t *testing.T) {
	t.Parallel()
	read := func(x *fake.Exchange) {
		for text := "HTTP/1.1 202 Accepted\r\nContent-Length: 1000\r\n\r\n"; !x.WaitClosedFor(eventPace); text = " " {
			_, _ = io.WriteString(x.Conn, text) // the wait sees a closed connection
		}
	}
	_, reader := startReplica(t, "reader", "reader", read)
	_, writer := startReplica(t, "writer", "writer", writeShort)
	p := startLimited(t, 192, mostDescriptors, reader, writer)
	status, answer, err := readResponse(t, sendText(t, p.file.Listen, platformRequest(1, "instruction", "", 2)))
	if err != nil || status != http.StatusOK {
		t.Errorf("%d %q %v", status, answer, err)
	}
}
