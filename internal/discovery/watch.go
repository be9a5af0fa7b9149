package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/dispatch"
	"standpulley/logic"
)

// The requirement, as the standing test states it: a dispatcher is held to know a change 6 s after
// discovery had the change and could be reached, whatever calls failed, were refused or timed out
// before. A drain has to be obeyed one second after that. The timeouts below therefore keep the
// following sum under 6 s: a watch that stalls, then one more call that fails in any way, until the
// next call that is answered.
//
//	stalled watch         watchWait + maxStallDelay + reconnectDelay + dialTimeout
//	call without answer   replyTimeout + reconnectDelay + dialTimeout
//	rejected call         maxBackoff + dialTimeout
//
// All dispatchers may lose discovery at the same moment. Where they share one service, the delays
// that follow are randomised.
const (
	watchWait = 2 * time.Second
	// A watch that is not answered counts as stalled after its wait plus a random delay between
	// these two.
	minStallDelay = 300 * time.Millisecond
	maxStallDelay = time.Second
	replyTimeout  = 2200 * time.Millisecond // for a call that does not wait, at a service that queues its callers
	// In push mode the agent answers at once and at no cost, and a change counts as known as soon
	// as the agent has it when discovery returns. The dispatcher therefore asks a silent agent more
	// often.
	agentWait    = time.Second
	agentTimeout = 600 * time.Millisecond
	dialTimeout  = 250 * time.Millisecond
	maxListBytes = 4 << 20

	// The pause after a broken connection. The watch continues only if the next call comes within
	// 200 ms.
	reconnectDelay       = 50 * time.Millisecond
	backoffPerDispatcher = 100 * time.Millisecond  // after a rejected call, times the number of dispatchers that share the service
	maxBackoff           = 2250 * time.Millisecond // limit of the exponential backoff
)

// Watcher watches the discovery agent at Addr and passes each list to OnUpdate. The agents of all
// dispatchers use the same service. After a rejected call or an unusable answer the watcher waits
// for a random time that grows with the number of dispatchers, Siblings (0 counts as 1), and
// doubles with each rejection up to maxBackoff. If all dispatchers retried at once, an overloaded
// service would never have time to answer any of them.
type Watcher struct {
	Addr         string
	Siblings     int
	PushMode     bool         // lists are pushed to the agent, which answers without asking the service
	KnownVersion *int64       // version of the list that the caller already has; nil: none
	Kinds        []logic.Kind // kinds that lists may contain
	OnUpdate     func(dispatch.Update)
	OnResult     func(bool) // called after each call with whether it returned a usable list; may be nil

	index int64 // version of the last list

	mu   sync.Mutex // guards conn, which is closed from another goroutine when the context ends
	conn net.Conn
	br   *bufio.Reader
}

// errUnusable reports that the agent was reached but did not answer with a usable list.
var errUnusable = errors.New("no list")

// Run watches until ctx ends. It begins with the full list or, given KnownVersion, with the changes
// since that version, and passes on the first answer even if nothing has changed. After a call
// without an answer it first makes a call that does not wait, to fetch what it missed: a waiting
// call that nobody answers is noticed only at the end of its wait.
func (w *Watcher) Run(ctx context.Context) {
	defer w.closeConn()
	stop := context.AfterFunc(ctx, w.closeConn)
	defer stop()
	catchUp, first, rejected := true, true, 0
	if w.KnownVersion != nil {
		w.index = *w.KnownVersion
	}
	for ctx.Err() == nil {
		path, limit := "/api/targets", w.replyTimeout()
		switch {
		case first && w.KnownVersion == nil: // the full list
		case catchUp:
			path += fmt.Sprintf("?index=%d&wait=0", w.index)
		default:
			path += fmt.Sprintf("?index=%d&wait=%d", w.index, w.watchWait().Milliseconds())
			limit = w.watchTimeout()
		}
		list, err := w.call(path, limit)
		if w.OnResult != nil && ctx.Err() == nil {
			w.OnResult(err == nil)
		}
		if err != nil {
			if ctx.Err() == nil {
				log.Printf("discovery: %v", err)
			}
			w.closeConn()
			wait := reconnectDelay
			if errors.Is(err, errUnusable) {
				// The agent is reachable. The next watch returns any change at once, so no catch-up call is
				// needed.
				wait = w.backoff(rejected)
				rejected++
			} else {
				catchUp = true
			}
			pause(ctx, wait)
			continue
		}
		rejected = 0
		if list.Full || len(list.Servers) > 0 || first {
			w.OnUpdate(list.Update())
		}
		w.index, catchUp, first = list.Version, false, false
	}
}

// replyTimeout returns how long a call that does not wait may take.
func (w *Watcher) replyTimeout() time.Duration {
	if w.PushMode {
		return agentTimeout
	}
	return replyTimeout
}

// watchWait returns how long the agent may hold a watch open while nothing changes.
func (w *Watcher) watchWait() time.Duration {
	if w.PushMode {
		return agentWait
	}
	return watchWait
}

// watchTimeout returns a random time after which an unanswered watch counts as stalled.
func (w *Watcher) watchTimeout() time.Duration {
	return w.watchWait() + minStallDelay + rand.N(maxStallDelay-minStallDelay)
}

// backoff returns the random pause after a rejected call that followed so many other rejections in
// a row: between half of the backoff time and all of it.
func (w *Watcher) backoff(before int) time.Duration {
	most := min(backoffPerDispatcher*time.Duration(max(w.Siblings, 1))<<min(before, 10), maxBackoff)
	return most/2 + rand.N(most/2)
}

// call makes one request over the persistent connection, which it opens if necessary.
func (w *Watcher) call(path string, limit time.Duration) (List, error) {
	w.mu.Lock()
	c := w.conn
	w.mu.Unlock()
	if c == nil {
		var err error
		c, err = net.DialTimeout("tcp", w.Addr, dialTimeout)
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
	_ = c.SetDeadline(time.Now().Add(limit)) // an error shows up in the write below
	bw := bufio.NewWriter(c)
	if err := req.Write(bw); err != nil {
		return List{}, err
	}
	if err := bw.Flush(); err != nil {
		return List{}, err
	}
	if err := resp.ReadLimitBody(w.br, maxListBytes); err != nil {
		return List{}, err
	}
	if resp.ConnectionClose() {
		defer w.closeConn()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return List{}, fmt.Errorf("%w: %s answered %d", errUnusable, path, resp.StatusCode())
	}
	list, err := Decode(resp.Body())
	if err == nil {
		err = list.CheckKinds(w.Kinds)
	}
	if err != nil {
		return List{}, fmt.Errorf("%w: %s: %w", errUnusable, path, err)
	}
	return list, nil
}

func (w *Watcher) closeConn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close() // the connection is not used again
		w.conn = nil
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
