// Package standin plays the parties around the dispatcher for tests and for the example: replicas whose answers
// follow a script, and a discovery agent. They speak the published protocol, on loopback addresses only.
package standin

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

// Call is one request that came in whole.
type Call struct {
	Method, Path, ID, Body string
	Header                 map[string]string
}

// Replica is a server whose every request is played by Act.
type Replica struct {
	Addr string

	seen  func(Call) // told of each call before it is played; may be nil
	act   func(*Exchange)
	ln    net.Listener
	mu    sync.Mutex
	calls []Call
	conns map[net.Conn]bool

	accepted int
	silent   bool
}

// Start listens at addr ("127.0.0.1:0" picks a port) and plays each request by act.
func Start(addr string, act func(*Exchange)) (*Replica, error) {
	return StartWithObserver(addr, nil, act)
}

// StartWithObserver is Start, and tells seen of each call before it is played. Calls are not kept then.
func StartWithObserver(addr string, seen func(Call), act func(*Exchange)) (*Replica, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Replica{Addr: ln.Addr().String(), seen: seen, act: act, ln: ln, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Close ends the replica as a killed process would end: its connections break, new ones are refused.
func (r *Replica) Close() {
	_ = r.ln.Close() // it may be closed already
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// SetUnresponsive has the replica say nothing and hear nothing from now on, on connections that are open or come up meanwhile, or speak again on new
// ones. A connection that has fallen silent stays so.
func (r *Replica) SetUnresponsive(is bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = is
}

// IsUnresponsive tells whether the replica is silent now.
func (r *Replica) IsUnresponsive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

// Accepted counts the connections that came up.
func (r *Replica) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Calls are the requests so far, of one method, or of all with "".
func (r *Replica) Calls(method string) []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	var some []Call
	for _, c := range r.calls {
		if method == "" || c.Method == method {
			some = append(some, c)
		}
	}
	return some
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
		_ = c.Close() // the script may have closed it
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		x := &Exchange{Conn: c, r: r}
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
		if r.seen != nil {
			r.seen(call)
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
		if x.broken {
			return
		}
	}
}

// Exchange is one request and the means to answer it, well or badly.
type Exchange struct {
	Conn   net.Conn
	Req    fasthttp.Request
	ID     string
	Path   string
	r      *Replica
	broken bool
	unsaid bool
}

// Status answers without a stream.
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

// Read answers as a reader that has read the prompt.
func (x *Exchange) Read(cached int) {
	x.Status(202, false, fmt.Sprintf(`{"cached_tokens":%d}`, cached))
}

// Head begins a stream.
func (x *Exchange) Head() {
	x.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// Event sends one event of a stream.
func (x *Exchange) Event(data string) {
	text := "data: " + data + "\n\n"
	x.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// Token sends one event with a piece of the answer.
func (x *Exchange) Token(text string) {
	x.Event(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, text))
}

// End sends the last events and the last chunk.
func (x *Exchange) End() {
	x.Event(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	x.Event(`{"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}`)
	x.Event("[DONE]")
	x.write("0\r\n\r\n")
}

// Answer streams a whole answer.
func (x *Exchange) Answer(tokens ...string) {
	x.Head()
	for _, t := range tokens {
		x.Token(t)
	}
	x.End()
}

// Break resets the connection.
func (x *Exchange) Break() {
	x.broken = true
	reset(x.Conn)
}

// WaitClosed waits until the other side has closed the connection.
func (x *Exchange) WaitClosed() {
	x.broken = true
	var b [1]byte
	_, _ = x.Conn.Read(b[:]) // any end will do
}

// Broken tells whether the connection has ended or must.
func (x *Exchange) Broken() bool { return x.broken }

// WaitClosedFor waits for a time, and tells whether the other side has closed the connection meanwhile. Nothing may come on it until the answer.
func (x *Exchange) WaitClosedFor(wait time.Duration) (gone bool) {
	_ = x.Conn.SetReadDeadline(time.Now().Add(wait)) // a failure shows in the read
	_, err := x.Conn.Read(make([]byte, 1))
	_ = x.Conn.SetReadDeadline(time.Time{})
	var late net.Error
	gone = !errors.As(err, &late) || !late.Timeout()
	x.broken = x.broken || gone
	return gone
}

// Stalled tells whether the replica fell silent in the middle of the exchange, and the other side has given it up since.
func (x *Exchange) Stalled() bool { return x.unsaid }

// write writes a part of the answer. On a silent replica's connection it comes to nobody, and the exchange lasts until the other side ends it.
func (x *Exchange) write(text string) {
	if x.unsaid {
		return
	}
	if x.r.IsUnresponsive() {
		x.unsaid = true
		x.WaitClosed()
		return
	}
	if _, err := x.Conn.Write([]byte(text)); err != nil {
		x.broken = true
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the end is a plain one
	}
	_ = c.Close()
}
