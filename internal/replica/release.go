package replica

import (
	"bufio"
	"context"
	"log"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	releaseTry  = 100 * time.Millisecond // a replica that has not answered by then is passed over
	releaseMost = 64                     // calls under way at once
	releaseWait = 1024                   // and waiting; beyond that replicas free what they hold by themselves, later
)

// Releaser makes the calls that let go of what replicas hold for a request.
type Releaser struct {
	pool *Pool
	room chan struct{}
	open atomic.Int64 // calls under way or waiting
}

// NewReleaser makes calls on the pool's connections.
func NewReleaser(pool *Pool) *Releaser {
	return &Releaser{pool: pool, room: make(chan struct{}, releaseMost)}
}

// Release asks the replicas in turn until one has answered: each of them can release everything.
func (l *Releaser) Release(id string, addrs []string) {
	if l.open.Add(1) > releaseMost+releaseWait {
		l.open.Add(-1)
		log.Printf("release %s: too many calls wait", id)
		return
	}
	go func() {
		defer l.open.Add(-1)
		l.room <- struct{}{}
		defer func() { <-l.room }()
		for _, addr := range addrs {
			err := l.call(addr, id)
			if err == nil {
				return
			}
			log.Printf("release %s at %s: %v", id, addr, err)
		}
	}()
}

// AwaitIdle returns when no call is under way, or when ctx ends.
func (l *Releaser) AwaitIdle(ctx context.Context) {
	for l.open.Load() > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *Releaser) call(addr, id string) error {
	until := time.Now().Add(releaseTry)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	c, err := l.pool.get(ctx, addr, false)
	if err != nil {
		return err
	}
	_ = c.SetDeadline(until) // a failure shows in the write
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("/bootstrap/rooms/" + id)
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
		l.pool.drop(c)
		return err
	}
	l.pool.put(c)
	return nil
}
