package discovery

import (
	"bufio"
	"context"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
)

const (
	watchWait  = 10 * time.Second // what comes later than 2 s after a wait's end counts as told: stay well inside
	replyLimit = time.Second      // an agent that says nothing is called anew after the wait and this
	dialLimit  = 250 * time.Millisecond
	retryPause = 50 * time.Millisecond // a watch goes on only if the next call comes within 200 ms
	maxList    = 4 << 20
)

// Watcher follows the agent at Addr and hands each list to Tell.
type Watcher struct {
	Addr string
	Tell func(dispatch.Update)

	index int64 // version of the last list

	mu   sync.Mutex // guards conn, which the end of the context closes from outside
	conn net.Conn
	br   *bufio.Reader
}

// Run watches until ctx ends. It begins with the whole list, as what is known may be old.
func (w *Watcher) Run(ctx context.Context) {
	defer w.hangUp()
	stop := context.AfterFunc(ctx, w.hangUp)
	defer stop()
	whole := true
	for ctx.Err() == nil {
		path, limit := "/api/targets", replyLimit
		if !whole {
			path = fmt.Sprintf("/api/targets?index=%d&wait=%d", w.index, watchWait.Milliseconds())
			limit += watchWait
		}
		list, err := w.call(path, limit)
		if err != nil {
			if ctx.Err() == nil {
				log.Printf("discovery: %v", err)
			}
			w.hangUp()
			pause(ctx, retryPause)
			continue
		}
		if list.Full || len(list.Servers) > 0 {
			w.Tell(list.Update())
		}
		w.index, whole = list.Version, false
	}
}

// call makes one call on the connection that is kept for it.
func (w *Watcher) call(path string, limit time.Duration) (List, error) {
	w.mu.Lock()
	c := w.conn
	w.mu.Unlock()
	if c == nil {
		var err error
		c, err = net.DialTimeout("tcp", w.Addr, dialLimit)
		if err != nil {
			return List{}, err
		}
		w.mu.Lock()
		w.conn, w.br = c, bufio.NewReaderSize(c, 16<<10)
		w.mu.Unlock()
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(path)
	req.Header.SetHost(w.Addr)
	_ = c.SetDeadline(time.Now().Add(limit)) // a failure shows in the write below
	bw := bufio.NewWriter(c)
	if err := req.Write(bw); err != nil {
		return List{}, err
	}
	if err := bw.Flush(); err != nil {
		return List{}, err
	}
	if err := resp.ReadLimitBody(w.br, maxList); err != nil {
		return List{}, err
	}
	if resp.ConnectionClose() {
		defer w.hangUp()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return List{}, fmt.Errorf("%s answered %d", path, resp.StatusCode())
	}
	return Decode(resp.Body())
}

func (w *Watcher) hangUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close() // nothing is lost with it
		w.conn = nil
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
