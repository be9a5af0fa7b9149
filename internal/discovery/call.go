package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/logic"
)

// errUnusable reports that the agent was reached but did not answer with a usable list.
var errUnusable = errors.New("no list")

// agentConn is a connection to the agent that carries one call at a time.
type agentConn struct {
	net.Conn
	reader *bufio.Reader
}

// call is one request to the agent.
type call struct {
	addr      string
	path      string
	kind      callKind
	index     int64 // version of the list from which it asks
	started   time.Time
	conn      *agentConn // nil: none yet, or it can't be used again
	kinds     []logic.Kind
	cancel    context.CancelFunc
	abandoned bool // its answer is of no use any more
}

// result is what a call returned.
type result struct {
	call *call
	list List
	err  error
}

// run makes the call and returns its list. It ends when ctx does, and after answerTimeout at the
// latest. The connection is kept if it can carry another call.
func (c *call) run(ctx context.Context) (List, error) {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", c.addr)
		if err != nil {
			return List{}, err
		}
		c.conn = &agentConn{conn, bufio.NewReaderSize(conn, 16<<10)}
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the exchange
	list, reusable, err := c.exchange(conn)
	if !stop() || !reusable {
		_ = conn.Close()
		c.conn = nil
	}
	return list, err
}

// exchange sends the request and reads the answer. It reports whether the connection can carry
// another call.
func (c *call) exchange(conn *agentConn) (list List, reusable bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.path)
	req.Header.SetHost(c.addr)
	_ = conn.SetDeadline(time.Now().Add(answerTimeout)) // an error shows up in the write below
	writer := bufio.NewWriter(conn)
	if err := req.Write(writer); err != nil {
		return List{}, false, err
	}
	if err := writer.Flush(); err != nil {
		return List{}, false, err
	}
	if err := resp.ReadLimitBody(conn.reader, maxListBytes); err != nil {
		return List{}, false, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return List{}, false, fmt.Errorf("%w: %s answered %d", errUnusable, c.path, resp.StatusCode())
	}
	list, err = Decode(resp.Body())
	if err == nil {
		err = list.CheckKinds(c.kinds)
	}
	if err != nil {
		return List{}, false, fmt.Errorf("%w: %s: %w", errUnusable, c.path, err)
	}
	return list, !resp.ConnectionClose(), nil
}
