package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// Request is one request as its client observed it.
type Request struct {
	ID            string
	Class         string
	Dispatcher    string
	ClientAddr    string
	PausedAfter   int  // bytes sent before the client paused; -1: it did not pause
	FirstOnConn   bool // first request on a connection that was opened for it
	Sent          time.Time
	Timeout       time.Duration
	ClientClosed  time.Time // when the client closed the connection; zero: it did not
	Status        int       // 0: the connection ended without an answer
	FirstByte     time.Time // when the response head arrived
	Done          time.Time
	LastEvent     time.Time // when an event last came, or the response head
	Tokens        int
	Complete      bool
	StreamError   string        // a token of another request or out of order, or an early end of the stream
	MaxEventDelay time.Duration // longest time between a replica's write of a token and the client's read
	EndReason     string        // how the connection ended, if the answer is not complete
}

// clients holds the state that the clients of all dispatchers share.
type clients struct {
	mu       sync.Mutex // guards requests and next
	requests []Request
	next     int

	classes  func() []class
	sessions int            // number of sessions that requests are spread over
	running  sync.WaitGroup // goroutines of the clients
	stop     chan struct{}
}

// clientConn is a keep-alive connection of a client.
type clientConn struct {
	c           net.Conn
	br          *bufio.Reader
	served      int
	openedAhead bool // opened some time before its first request
}

// group is the clients of one dispatcher and their idle connections.
type group struct {
	clients *clients
	target  *dispatcher
	mu      sync.Mutex // guards the fields below
	idle    []*clientConn
	draw    *rand.Rand
}

func (g *group) float() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draw.Float64()
}

// generate sends requests to the dispatcher at a fixed average rate, whether or not it answers (an
// open-loop load).
func (g *group) generate(perSecond float64) {
	defer g.clients.running.Done()
	for {
		wait := time.Duration((0.2 + 1.6*g.float()) / perSecond * float64(time.Second))
		select {
		case <-g.clients.stop:
			return
		case <-time.After(wait):
		}
		g.clients.running.Add(1)
		go func() {
			defer g.clients.running.Done()
			if g.float() < openAheadShare {
				g.askOnIdleConn()
			} else {
				g.request(g.takeConn)
			}
		}()
	}
}

// askOnIdleConn opens a connection and sends the first request on it after a pause, even if the
// dispatcher is shutting down by then.
func (g *group) askOnIdleConn() {
	c, ok := g.dial()
	if !ok {
		return
	}
	c.openedAhead = true
	time.Sleep(time.Duration(g.float() * float64(openAheadMax)))
	g.request(func() (*clientConn, bool) { return c, true })
}

// takeConn returns an idle connection, or a new one if the dispatcher gets new connections. It
// returns false if there is none.
func (g *group) takeConn() (*clientConn, bool) {
	g.mu.Lock()
	if n := len(g.idle); n > 0 {
		i := g.draw.IntN(n)
		c := g.idle[i]
		g.idle[i] = g.idle[n-1]
		g.idle = g.idle[:n-1]
		g.mu.Unlock()
		return c, true
	}
	g.mu.Unlock()
	return g.dial()
}

func (g *group) dial() (*clientConn, bool) {
	if !g.target.acceptsConns() {
		return nil, false
	}
	c, err := net.DialTimeout("tcp", g.target.listen, time.Second)
	if err != nil {
		return nil, false
	}
	return &clientConn{c: c, br: bufio.NewReader(c)}, true
}

func (g *group) keep(c *clientConn) {
	g.mu.Lock()
	g.idle = append(g.idle, c)
	g.mu.Unlock()
}

const (
	sessionCount   = 50
	slowShare      = 0.05 // share of the clients that pause in the middle of a request
	leaveShare     = 0.06 // share of the clients that close the connection before the answer
	openAheadShare = 0.15 // share of the clients that open a connection some time before their request
	openAheadMax   = 3500 * time.Millisecond
	retries        = 2 // after a refusal, or a connection that was closed between requests
	answerSlack    = 500 * time.Millisecond
	readExtra      = time.Second // added to the read deadline so that a late answer is observed
)

// request sends one request. It retries after a refusal, and where a connection was closed between
// requests.
func (g *group) request(takeConn func() (*clientConn, bool)) {
	classes := g.clients.classes()
	class := classes[int(g.float()*float64(len(classes)))]
	timeout := time.Duration((0.4 + 0.6*g.float()) * float64(class.Deadline))
	for range retries + 1 {
		c, ok := takeConn()
		takeConn = g.takeConn
		if !ok {
			return
		}
		a := g.attempt(c, class, timeout)
		g.clients.record(a)
		if a.Status == http.StatusServiceUnavailable {
			time.Sleep(time.Duration(g.float() * float64(100*time.Millisecond)))
		} else if a.Status != 0 || a.FirstOnConn || !a.ClientClosed.IsZero() {
			return
		}
	}
}

func (q *clients) record(a Request) {
	q.mu.Lock()
	q.requests = append(q.requests, a)
	q.mu.Unlock()
}

func (q *clients) id() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next++
	return fmt.Sprintf("%016x", q.next)
}

// attempt sends one request and reads its answer.
func (g *group) attempt(c *clientConn, class class, timeout time.Duration) (a Request) {
	a = Request{ID: g.clients.id(), Class: class.Name, Dispatcher: g.target.name, ClientAddr: c.c.LocalAddr().String(), PausedAfter: -1, FirstOnConn: c.served == 0 && !c.openedAhead, Timeout: timeout}
	body := `{"stream":true}`
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Object: %016x\r\n"+
		"X-Expires-In: %dm\r\nX-Props: prompt_len=%d,max_out=40\r\nContent-Length: %d\r\n\r\n%s", a.ID, class.Name, int(g.float()*float64(g.clients.sessions)),
		timeout.Milliseconds(), 100+int(g.float()*2000), len(body), body)
	first := len(text)
	if g.float() < slowShare {
		first = int(g.float() * float64(len(text)))
		a.PausedAfter = first
	}
	_, err := io.WriteString(c.c, text[:first])
	if err == nil && first < len(text) {
		time.Sleep(time.Duration(g.float() * float64(500*time.Millisecond)))
		_, _ = io.WriteString(c.c, text[first:])
	} // write errors are ignored: an answer may have arrived before the connection was closed
	a.Sent = time.Now()
	_ = c.c.SetReadDeadline(a.Sent.Add(timeout + answerSlack + readExtra))
	if g.float() < leaveShare {
		closeAfter := time.Duration(g.float() * float64(timeout))
		var at time.Time
		closed := make(chan struct{})
		timer := time.AfterFunc(closeAfter, func() { at = time.Now(); _ = c.c.Close(); close(closed) })
		defer func() {
			if !timer.Stop() {
				<-closed
				a.ClientClosed = at
			}
		}()
	}
	if g.read(c, &a) {
		g.keep(c)
	} else {
		_ = c.c.Close()
	}
	return a
}

// eventTimeout is how long a client waits for the next event of a stream.
const eventTimeout = 8 * time.Second

// read reads an answer and reports whether the connection can be reused.
func (g *group) read(c *clientConn, a *Request) (keep bool) {
	resp, err := http.ReadResponse(c.br, nil)
	a.FirstByte, a.Done, a.LastEvent = time.Now(), time.Now(), time.Now()
	if err != nil {
		a.EndReason = err.Error()
		return false
	}
	a.Status = resp.StatusCode
	c.served++
	if a.Status != http.StatusOK {
		_, err = io.Copy(io.Discard, resp.Body)
		a.Done, a.Complete = time.Now(), err == nil
		return err == nil && !resp.Close
	}
	lines := bufio.NewReader(resp.Body)
	for done := false; ; {
		_ = c.c.SetReadDeadline(time.Now().Add(eventTimeout))
		line, err := lines.ReadString('\n')
		a.Done = time.Now()
		if err != nil {
			a.Complete = done && err == io.EOF
			if a.EndReason = err.Error(); err == io.EOF && !done {
				a.StreamError = "the stream ended cleanly before its last event"
			}
			return a.Complete && !resp.Close
		}
		a.LastEvent = a.Done
		done = done || strings.Contains(line, "[DONE]")
		a.event(strings.TrimSpace(strings.TrimPrefix(line, "data: ")))
	}
}

// event checks one event of a stream.
func (a *Request) event(text string) {
	var e struct {
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if text == "" || jsoniter.UnmarshalFromString(text, &e) != nil || len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
		return
	}
	t, err := parseToken(e.Choices[0].Delta.Content)
	if err != nil || t.id != a.ID || t.n != a.Tokens {
		a.StreamError = fmt.Sprintf("unexpected %q in place of token %d", e.Choices[0].Delta.Content, a.Tokens)
	}
	a.Tokens++
	a.MaxEventDelay = max(a.MaxEventDelay, time.Since(t.at))
}

// holdIdleConns opens up to size connections to the dispatcher and sends nothing on them until the
// channel fires or the clients stop.
func (g *group) holdIdleConns(size int, until <-chan time.Time) {
	defer g.clients.running.Done()
	var idle []net.Conn
	for range size {
		if c, err := net.DialTimeout("tcp", g.target.listen, time.Second); err == nil {
			idle = append(idle, c)
		}
	}
	select {
	case <-until:
	case <-g.clients.stop:
	}
	for _, c := range idle {
		_ = c.Close()
	}
}

// stalledClientMax is how long a client that stops in the middle of a request may wait for an error
// response or the close of the connection.
const stalledClientMax = 3 * time.Second

// stall sends a part of a request and waits. It returns how long it waited for the first byte of a
// response or the close of the connection, or an error if neither came.
func (g *group) stall(text string) (time.Duration, error) {
	c, err := net.DialTimeout("tcp", g.target.listen, time.Second)
	if err != nil {
		return 0, nil // the dispatcher is down
	}
	defer c.Close()
	began := time.Now()
	_, _ = io.WriteString(c, text) // the read below reports a closed connection
	_ = c.SetReadDeadline(began.Add(stalledClientMax + time.Second))
	_, err = c.Read(make([]byte, 1))
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return 0, errors.New("neither a response nor a close of the connection arrived")
	}
	return time.Since(began), nil
}

// isReady asks a dispatcher whether it is ready for requests.
func isReady(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}
