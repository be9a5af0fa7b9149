package replica

import (
	"bufio"
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// call makes a call without a body, which is no attempt, and gives the status of its answer.
func (p *Pool) call(addr, method, path string, limit time.Duration) (status int, err error) {
	until := time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	c, err := p.get(ctx, addr, false)
	if err != nil {
		return 0, err
	}
	_ = c.SetDeadline(until) // a failure shows in the write
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(addr)
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
