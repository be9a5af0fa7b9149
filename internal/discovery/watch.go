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

// What discovery has counts as told 6 s after it had it and could be reached, whatever calls failed, were refused or were given up
// before (the standing test's page), and a drain that is told of has a second more. So the sum is bounded below that, from the moment in
// which a watch falls silent, through one further call that goes wrong in any way, to the next one that is answered:
//
//	a watch that has fallen silent   the wait + maxStallDelay + reconnectDelay + dialTimeout
//	a call that is not answered      replyTimeout + reconnectDelay + dialTimeout
//	a call that is turned away       maxBackoff + dialTimeout
//
// All dispatchers may lose discovery at one moment; where they share a service, what follows is drawn for each.
const (
	watchWait     = 2 * time.Second
	minStallDelay = 300 * time.Millisecond // after the wait's end a watch without an answer is broken: from this ...
	maxStallDelay = time.Second
	replyTimeout  = 2200 * time.Millisecond // for a call that does not wait, at a service whose callers wait in turn
	// Where lists are pushed the agent answers at once and at no cost, and what it gets when discovery returns is told in that moment.
	agentWait    = time.Second
	agentTimeout = 600 * time.Millisecond
	dialTimeout  = 250 * time.Millisecond
	maxListBytes = 4 << 20

	reconnectDelay       = 50 * time.Millisecond   // after a broken connection: a watch goes on only if the next call comes within 200 ms
	backoffPerDispatcher = 100 * time.Millisecond  // for each dispatcher that asks the same service, after it turned a call away
	maxBackoff           = 2250 * time.Millisecond // to this the pause doubles
)

// Watcher follows the agent at Addr and hands each list to Tell. Behind the agents of all dispatchers stands one service:
// where it turns a call away or answers what can't be used, the next comes after a pause drawn from a time that grows with
// their number, Siblings (0 counts as 1), and doubles up to maxBackoff. Asked again at once by all, it would never have time
// to answer any.
type Watcher struct {
	Addr         string
	Siblings     int
	PushMode     bool         // lists are pushed to the agent, which answers by itself
	KnownVersion *int64       // version of the list that is known already; nil: none
	Kinds        []logic.Kind // those that lists may name
	OnUpdate     func(dispatch.Update)
	OnResult     func(bool) // after each call, whether it was answered; may be nil

	index int64 // version of the last list

	mu   sync.Mutex // guards conn, which the end of the context closes from outside
	conn net.Conn
	br   *bufio.Reader
}

// errUnusable tells that the agent can be reached, but its answer is of no use.
var errUnusable = errors.New("no list")

// Run watches until ctx ends. It begins with the whole list, or with what has changed of the one that is known, and tells of the first
// answer also where nothing has. After a call that nobody answered it asks for what it missed before it waits again: a call that waits
// would tell only by the end of its wait that nobody hears it.
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
		case first && w.KnownVersion == nil: // the whole list
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
			if errors.Is(err, errUnusable) { // it is there, and answers a watch at once if there is news: one call is enough
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

// replyTimeout is how long a call that does not wait may take.
func (w *Watcher) replyTimeout() time.Duration {
	if w.PushMode {
		return agentTimeout
	}
	return replyTimeout
}

// wait is how long a watch waits for news.
func (w *Watcher) watchWait() time.Duration {
	if w.PushMode {
		return agentWait
	}
	return watchWait
}

// silence draws how long a watch may take before it counts as silent.
func (w *Watcher) watchTimeout() time.Duration {
	return w.watchWait() + minStallDelay + rand.N(maxStallDelay-minStallDelay)
}

// backoff draws the pause after a call that was turned away, as were so many before it in a row: from half of the time to
// all of it.
func (w *Watcher) backoff(before int) time.Duration {
	most := min(backoffPerDispatcher*time.Duration(max(w.Siblings, 1))<<min(before, 10), maxBackoff)
	return most/2 + rand.N(most/2)
}

// call makes one call on the connection that is kept for it.
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
	_ = c.SetDeadline(time.Now().Add(limit)) // a failure shows in the write below
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
