// Package fake has fakes of the dispatcher's peers, for tests and for the example: replicas whose
// answers follow a script, and a discovery agent. They implement the published protocol and listen on
// loopback addresses only.
package fake

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Call is one request that a fake replica has received completely.
type Call struct {
	Method, Path, ID, Body string
	Header                 map[string]string
}

// Replica is a fake replica. A script, the function given to Start, answers each request but DELETE,
// which is answered with status 204.
type Replica struct {
	Addr string

	observe func(Call)      // called with each request before the script runs; may be nil
	act     func(*Exchange) // the script
	ln      net.Listener
	mu      sync.Mutex
	calls   []Call
	conns   map[net.Conn]bool

	accepted     int // connections accepted so far
	unresponsive bool
}

// Start starts a replica that listens at addr ("127.0.0.1:0" picks a port) and answers each request
// with act.
func Start(addr string, act func(*Exchange)) (*Replica, error) {
	return StartWithObserver(addr, nil, act)
}

// StartWithObserver is like Start, but calls observe with each request before act runs. If observe
// is not nil, the replica does not record requests, and Calls returns none.
func StartWithObserver(addr string, observe func(Call), act func(*Exchange)) (*Replica, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Replica{Addr: ln.Addr().String(), observe: observe, act: act, ln: ln, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Close ends the replica as if its process were killed: open connections are reset, new ones refused.
func (r *Replica) Close() {
	_ = r.ln.Close() // it may be closed already
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// SetUnresponsive makes the replica stop answering, on open and on new connections, or answer again
// on new ones. A connection on which a request or an answer came while the replica was unresponsive
// is never answered again.
func (r *Replica) SetUnresponsive(enabled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = enabled
}

// IsUnresponsive reports whether the replica is unresponsive now.
func (r *Replica) IsUnresponsive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unresponsive
}

// Accepted returns the number of connections accepted so far.
func (r *Replica) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Calls returns the requests received so far with the given method, or all of them for "".
func (r *Replica) Calls(method string) []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []Call
	for _, c := range r.calls {
		if method == "" || c.Method == method {
			matching = append(matching, c)
		}
	}
	return matching
}

func (r *Replica) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.accepted++
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // the script may have closed it already
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		x := &Exchange{Conn: c, replica: r}
		if err := x.Req.Read(br); err != nil {
			return
		}
		if r.IsUnresponsive() {
			x.WaitClosed()
			return
		}
		x.Path = string(x.Req.URI().PathOriginal())
		x.ID = string(x.Req.Header.Peek("X-Trace-Id"))
		call := Call{Method: string(x.Req.Header.Method()), Path: x.Path, ID: x.ID, Body: string(x.Req.Body()), Header: map[string]string{}}
		for k, v := range x.Req.Header.All() {
			call.Header[string(k)] = string(v)
		}
		if r.observe != nil {
			r.observe(call)
		} else {
			r.mu.Lock()
			r.calls = append(r.calls, call)
			r.mu.Unlock()
		}
		if call.Method == fasthttp.MethodDelete {
			x.Status(fasthttp.StatusNoContent, false, "")
		} else {
			r.act(x)
		}
		if x.closed {
			return
		}
	}
}

// Exchange is one request, with methods that send correct and faulty answers to it.
type Exchange struct {
	Conn    net.Conn
	Req     fasthttp.Request
	ID      string
	Path    string
	replica *Replica
	closed  bool // the connection has ended, or ends after this exchange
	stalled bool // see Stalled
}

// Status sends an answer without a stream. If neverRan is set, the answer says that the request was
// not executed.
func (x *Exchange) Status(code int, neverRan bool, body string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", code, fasthttp.StatusMessage(code))
	if neverRan {
		b.WriteString("X-Never-Ran: 1\r\n")
	}
	if code != fasthttp.StatusNoContent {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	x.write(b.String() + "\r\n" + body)
}

// Read sends the answer of a reader that has read the prompt, cached tokens of it from its cache.
func (x *Exchange) Read(cached int) {
	x.Status(202, false, fmt.Sprintf(`{"cached_tokens":%d}`, cached))
}

// Head sends the header of a streamed answer.
func (x *Exchange) Head() {
	x.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// Event sends one server-sent event of a stream.
func (x *Exchange) Event(data string) {
	text := "data: " + data + "\n\n"
	x.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// Token sends one event with a piece of the answer's text.
func (x *Exchange) Token(text string) {
	x.Event(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, text))
}

// End sends the final events of a stream and its last chunk.
func (x *Exchange) End() {
	x.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	x.Event(`{"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}`)
	x.Event("[DONE]")
	x.write("0\r\n\r\n")
}

// Answer streams a complete answer with the given pieces of text.
func (x *Exchange) Answer(tokens ...string) {
	x.Head()
	for _, t := range tokens {
		x.Token(t)
	}
	x.End()
}

// Break resets the connection.
func (x *Exchange) Break() {
	x.closed = true
	reset(x.Conn)
}

// WaitClosed waits until the client has closed the connection, or sends anything on it.
func (x *Exchange) WaitClosed() {
	x.closed = true
	var b [1]byte
	_, _ = x.Conn.Read(b[:]) // every error means that the connection has ended
}

// Broken reports whether the connection has ended, or must end after this exchange.
func (x *Exchange) Broken() bool { return x.closed }

// WaitClosedFor waits for the given time, or until the client closes the connection, and reports
// whether it has closed it. The client must not send anything meanwhile.
func (x *Exchange) WaitClosedFor(wait time.Duration) (closed bool) {
	_ = x.Conn.SetReadDeadline(time.Now().Add(wait)) // if this fails, so does the read below
	_, err := x.Conn.Read(make([]byte, 1))
	_ = x.Conn.SetReadDeadline(time.Time{})
	var netErr net.Error
	closed = !errors.As(err, &netErr) || !netErr.Timeout()
	x.closed = x.closed || closed
	return closed
}

// Stalled reports whether the replica became unresponsive in the middle of the exchange and the
// client has closed the connection since.
func (x *Exchange) Stalled() bool { return x.stalled }

// write sends a part of the answer. If the replica is unresponsive, it sends nothing and returns once
// the client has closed the connection.
func (x *Exchange) write(text string) {
	if x.stalled {
		return
	}
	if x.replica.IsUnresponsive() {
		x.stalled = true
		x.WaitClosed()
		return
	}
	if _, err := x.Conn.Write([]byte(text)); err != nil {
		x.closed = true
	}
}

// reset closes a connection so that the client sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // otherwise the close is an orderly one, with FIN
	}
	_ = c.Close()
}
