package replica

import (
	"bufio"
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// call is a request without a body that is not an attempt: a probe or a release.
type call struct {
	addr, method, path string
	timeout            time.Duration
	urgent             bool // may use the pool's reserved and extra connections
	newConn            bool // with urgent: always open a new connection, as an idle one may be dead
}

// do makes a call and returns the status of its answer. When ctx ends, the call is aborted and its
// connection is closed, so that it no longer counts against the bound of the pool.
func (p *Pool) do(ctx context.Context, q call) (status int, err error) {
	until := time.Now().Add(q.timeout)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	c, err := (*conn)(nil), errPoolExhausted
	if !q.newConn {
		c, err = p.get(ctx, q.addr, false)
	}
	if errors.Is(err, errPoolExhausted) && q.urgent {
		c, err = p.dial(ctx, q.addr, maxExtra)
	}
	if err != nil {
		return 0, err
	}
	_ = c.SetDeadline(until) // an error recurs in the write
	stopInterrupt := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now().Add(-time.Second)) })
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(q.method)
	req.SetRequestURI(q.path)
	req.Header.SetHost(q.addr)
	bw := bufio.NewWriter(c)
	err = req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err == nil {
		err = resp.ReadLimitBody(c.br, maxAnswer)
	}
	if !stopInterrupt() || err != nil || resp.ConnectionClose() {
		p.drop(c)
	} else {
		p.put(c)
	}
	return resp.StatusCode(), err
}
