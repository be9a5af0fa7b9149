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

// Asked is one request as its client saw it.
type Request struct {
	ID            string
	Class         string
	Dispatcher    string // the dispatcher
	ClientAddr    string // the client's address
	PausedAfter   int    // bytes after which the client made a pause; -1: it made none
	FirstOnConn   bool   // the first on its connection, which was opened for it
	Sent          time.Time
	Timeout       time.Duration
	ClientClosed  time.Time // when the client closed its connection; zero: it did not
	Status        int       // 0: the connection ended without an answer
	FirstByte     time.Time // of the answer's bytes
	Done          time.Time
	Tokens        int
	Complete      bool
	StreamError   string // a piece that no replica made for this request, or out of its place
	MaxEventDelay time.Duration
	EndReason     string // how the connection ended, where there is no whole answer
}

// clients are those of all dispatchers.
type clients struct {
	mu       sync.Mutex // for all below
	requests []Request
	next     int

	classes  func() []class
	sessions int // that requests belong to
	open     sync.WaitGroup
	stop     chan struct{}
}

// clientConn is a connection that its client keeps.
type clientConn struct {
	c           net.Conn
	br          *bufio.Reader
	served      int
	openedAhead bool // it was opened ahead of its first request
}

// group is the clients of one dispatcher with the connections that they keep.
type group struct {
	clients *clients
	target  *dispatcher
	mu      sync.Mutex // for all below
	idle    []*clientConn
	draw    *rand.Rand
}

func (g *group) float() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draw.Float64()
}

// come has requests arrive at a dispatcher at a rate, whether or not it answers.
func (g *group) generate(perSecond float64) {
	defer g.clients.open.Done()
	for {
		wait := time.Duration((0.2 + 1.6*g.float()) / perSecond * float64(time.Second))
		select {
		case <-g.clients.stop:
			return
		case <-time.After(wait):
		}
		g.clients.open.Add(1)
		go func() {
			defer g.clients.open.Done()
			if g.float() < openAheadShare {
				g.askOnIdleConn()
			} else {
				g.request(g.takeConn)
			}
		}()
	}
}

// askLater opens a connection and makes its first request after a while, whatever has become of the dispatcher by then.
func (g *group) askOnIdleConn() {
	c, ok := g.dial()
	if !ok {
		return
	}
	c.openedAhead = true
	time.Sleep(time.Duration(g.float() * float64(openAheadMax)))
	g.request(func() (*clientConn, bool) { return c, true })
}

// conn gives a connection that was kept, or a new one where the front sends any.
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
	slowShare      = 0.05 // part of the clients that pause in the middle of a request
	leaveShare     = 0.06 // that leave before the answer
	openAheadShare = 0.15 // that open a connection some time before their request
	openAheadMax   = 3500 * time.Millisecond
	retries        = 2 // tries of a client that is refused
	answerSlack    = 500 * time.Millisecond
	readExtra      = time.Second // so that an answer that comes too late is seen
)

// ask makes one request, and repeats it where that is allowed: on a connection that ended between requests, and after a refusal.
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

// try sends one request and reads its answer.
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
	} // where it is ended already, an answer may have come before the end
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

// streamSilence is for how long a client waits for a further event.
const eventTimeout = 8 * time.Second

// read reads an answer, and tells whether its connection can be kept.
func (g *group) read(c *clientConn, a *Request) (keep bool) {
	resp, err := http.ReadResponse(c.br, nil)
	a.FirstByte, a.Done = time.Now(), time.Now()
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
				a.StreamError = "it was ended as whole before its last event"
			}
			return a.Complete && !resp.Close
		}
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
		a.StreamError = fmt.Sprintf("%q as piece %d", e.Choices[0].Delta.Content, a.Tokens)
	}
	a.Tokens++
	a.MaxEventDelay = max(a.MaxEventDelay, time.Since(t.at))
}

// crowd keeps so many connections to a dispatcher that never say anything.
func (g *group) holdIdleConns(size int, until <-chan time.Time) {
	defer g.clients.open.Done()
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

// badMost is how long a client that stops in the middle of a request may wait for an error or the end.
const stalledClientMax = 3 * time.Second

// stay sends a part of a request and waits. It tells how long it had to, or that nothing came.
func (g *group) stall(text string) (time.Duration, error) {
	c, err := net.DialTimeout("tcp", g.target.listen, time.Second)
	if err != nil {
		return 0, nil // it is down
	}
	defer c.Close()
	began := time.Now()
	_, _ = io.WriteString(c, text) // an end of the connection shows below
	_ = c.SetReadDeadline(began.Add(stalledClientMax + time.Second))
	_, err = c.Read(make([]byte, 1))
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return 0, errors.New("neither an error nor the end came")
	}
	return time.Since(began), nil
}

// isReady asks a dispatcher whether it takes requests.
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
