package replica

import (
	"bufio"
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// call is one without a body, which is no attempt.
type call struct {
	addr, method, path string
	limit              time.Duration
	fresh              bool // on a new connection, as an idle one may have fallen silent; if need be beyond the pool's bound
}

// make makes a call and gives the status of its answer.
func (p *Pool) make(q call) (status int, err error) {
	until := time.Now().Add(q.limit)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var c *conn
	if q.fresh {
		c, err = p.dial(ctx, q.addr, freshMost)
	} else {
		c, err = p.get(ctx, q.addr, false)
	}
	if err != nil {
		return 0, err
	}
	_ = c.SetDeadline(until) // a failure shows in the write
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
		err = resp.ReadLimitBody(c.br, smallAnswer)
	}
	if err != nil || resp.ConnectionClose() {
		p.drop(c)
	} else {
		p.put(c)
	}
	return resp.StatusCode(), err
}
