package replica

import (
	"bufio"
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// call is one without a body, which is no attempt.
type call struct {
	addr, method, path string
	timeout            time.Duration
	urgent             bool // if need be beyond the pool's bound
	newConn            bool // likewise, and on a new connection, as an idle one may have fallen silent
}

// do makes a call and gives the status of its answer. The end of ctx ends it, and gives its connection's place free.
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
	_ = c.SetDeadline(until) // a failure shows in the write
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
		err = resp.ReadLimitBody(c.br, maxSmallAnswer)
	}
	if !stopInterrupt() || err != nil || resp.ConnectionClose() {
		p.drop(c)
	} else {
		p.put(c)
	}
	return resp.StatusCode(), err
}
