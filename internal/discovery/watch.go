package discovery

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"slices"
	"time"

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
// A service that is slow can't be told from one that is silent. A call that is not answered in time
// is therefore not given up: it stays open beside the next one, for up to answerTimeout. The slower
// the answers are, the sooner the next call follows, so that a service that takes up to 5 s for each
// tells a change in time.
//
// All dispatchers may lose discovery at the same moment. Where they share one service, the delays
// that follow are randomised.
const (
	watchWait = 2 * time.Second
	// A watch that is not answered counts as stalled after its wait plus a random delay between
	// these two.
	minStallDelay = 300 * time.Millisecond
	maxStallDelay = 850 * time.Millisecond
	replyTimeout  = 800 * time.Millisecond // for a call that does not wait
	// In push mode the agent answers at once and at no cost, and a change counts as known as soon
	// as the agent has it when discovery returns. The dispatcher therefore asks a silent agent more
	// often.
	agentWait     = time.Second
	agentTimeout  = 600 * time.Millisecond
	dialTimeout   = 250 * time.Millisecond
	answerTimeout = 8 * time.Second // for any call: a watch that waits, and an answer that takes 5 s
	maxListBytes  = 4 << 20

	listDeadline   = 6 * time.Second        // a change is told by then ...
	deadlineMargin = 400 * time.Millisecond // ... with this much to spare for what is not measured
	minInterval    = 500 * time.Millisecond // between calls that are not answered
	// maxOutstanding bounds the calls, and so the connections, that are open at the same time.
	maxOutstanding = 10

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

	index       int64         // version of the last list
	received    bool          // a list was received
	next        callKind      // kind of the next call
	timer       *time.Timer   // expires when the next call is due
	newest      *call         // the call after whose answer the next one is made; nil: none
	rejections  int           // calls in a row that were rejected
	outstanding []*call       // calls that may still be answered, oldest first
	latency     time.Duration // how long the last answer took
	free        *agentConn    // a connection without a call; nil: none
	results     chan result
}

// callKind is what a call asks for.
type callKind uint8

const (
	fullList callKind = iota
	catchUp           // what has changed so far
	watch             // what has changed or will change within the wait
)

// Run watches until ctx ends. It begins with the full list or, given KnownVersion, with the changes
// since that version, and passes on the first answer even if nothing has changed. After a call
// without an answer it first makes a call that does not wait, to fetch what it missed: a waiting
// call that nobody answers is noticed only at the end of its wait.
func (w *Watcher) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	w.results = make(chan result)
	defer func() {
		cancel()
		for len(w.outstanding) > 0 {
			w.remove((<-w.results).call)
		}
		w.keepFree(nil)
	}()
	if w.KnownVersion != nil {
		w.index, w.next = *w.KnownVersion, catchUp
	}
	w.timer = time.NewTimer(0)
	defer w.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.timer.C:
			w.startNext(ctx)
		case r := <-w.results:
			w.remove(r.call)
			if ctx.Err() == nil {
				w.handle(r)
			}
		}
	}
}

// startNext makes the call that is due. The newest one may be unanswered; it stays open.
func (w *Watcher) startNext(ctx context.Context) {
	if w.newest != nil {
		w.report(fmt.Errorf("%s is not answered yet", w.newest.path))
		w.catchUpNext()
	}
	w.newest = w.start(ctx, w.next)
	w.timer.Reset(w.patience(w.next))
}

// catchUpNext makes the next call one that does not wait.
func (w *Watcher) catchUpNext() {
	if w.next == watch || w.received {
		w.next = catchUp
	}
}

// handle processes the result of a call and schedules the next one.
func (w *Watcher) handle(r result) {
	succeeded, rejected := r.err == nil && !r.call.abandoned, errors.Is(r.err, errUnusable)
	if succeeded {
		w.report(nil)
		w.receive(r.call, r.list)
	}
	if r.call != w.newest && !rejected {
		return // the newest call goes on
	}
	w.newest = nil
	switch {
	case succeeded:
		w.next, w.rejections = watch, 0
		w.timer.Reset(0)
	case rejected:
		// The agent is reachable. The next watch returns any change at once, so no catch-up call is
		// needed.
		w.report(r.err)
		w.timer.Reset(w.backoff(w.rejections))
		w.rejections++
	default:
		w.report(r.err)
		w.catchUpNext()
		w.timer.Reset(reconnectDelay)
	}
}

// receive passes on the list that a call has returned, unless a later one is known. A version that
// went back is believed only of a call that asked for what follows the list that is known.
func (w *Watcher) receive(c *call, list List) {
	w.latency = time.Since(c.started)
	if list.Version == c.index {
		w.latency -= w.wait(c.kind)
	}
	if list.Version <= w.index && c.index != w.index {
		return
	}
	if list.Version < w.index {
		w.abandonOutstanding() // they may still tell of later versions that are no more
	}
	if list.Full || len(list.Servers) > 0 || !w.received {
		w.OnUpdate(list.Update())
	}
	w.index, w.received = list.Version, true
}

// report logs the failure of a call, nil if it succeeded, and tells OnResult.
func (w *Watcher) report(err error) {
	if err != nil {
		log.Printf("discovery: %v", err)
	}
	if w.OnResult != nil {
		w.OnResult(err == nil)
	}
}

// patience returns how long a call may remain unanswered before the next one is made.
func (w *Watcher) patience(kind callKind) time.Duration {
	usual := w.replyTimeout()
	if kind == watch {
		usual = w.watchTimeout()
	}
	return max(min(usual, listDeadline-deadlineMargin-w.slowness()), minInterval)
}

// slowness returns how long the service takes for an answer, beside the time for which it was asked
// to wait: as long as for the last one, or longer where a call is still outstanding.
func (w *Watcher) slowness() time.Duration {
	slowness := w.latency
	for _, c := range w.outstanding {
		slowness = max(slowness, time.Since(c.started)-w.wait(c.kind))
	}
	return slowness
}

// wait returns how long a call asks the agent to wait for changes.
func (w *Watcher) wait(kind callKind) time.Duration {
	if kind == watch {
		return w.watchWait()
	}
	return 0
}

// replyTimeout returns how long a call that does not wait may take before the next one is made.
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

// start makes a call. If too many are outstanding, the oldest is given up.
func (w *Watcher) start(ctx context.Context, kind callKind) *call {
	if len(w.outstanding) >= maxOutstanding {
		w.outstanding[0].cancel()
	}
	path := "/api/targets"
	if kind != fullList {
		path += fmt.Sprintf("?index=%d&wait=%d", w.index, w.wait(kind).Milliseconds())
	}
	c := &call{addr: w.Addr, path: path, kind: kind, index: w.index, started: time.Now(), conn: w.free, kinds: w.Kinds}
	w.free = nil
	ctx, c.cancel = context.WithCancel(ctx)
	w.outstanding = append(w.outstanding, c)
	go func() {
		list, err := c.run(ctx)
		w.results <- result{c, list, err}
	}()
	return c
}

// remove ends a call that has returned, and keeps its connection for the next one.
func (w *Watcher) remove(c *call) {
	c.cancel()
	w.outstanding = slices.DeleteFunc(w.outstanding, func(o *call) bool { return o == c })
	if c.conn != nil {
		w.keepFree(c.conn)
	}
}

// keepFree keeps a connection, nil for none, for the next call, in place of the one before.
func (w *Watcher) keepFree(conn *agentConn) {
	if w.free != nil {
		_ = w.free.Close() // no call is on it
	}
	w.free = conn
}

// abandonOutstanding gives up all calls that were not answered yet.
func (w *Watcher) abandonOutstanding() {
	for _, c := range w.outstanding {
		c.abandoned = true
		c.cancel()
	}
}
