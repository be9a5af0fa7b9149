package replica

import (
	"context"
	"errors"
	"fmt"
	"log"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	releaseCallTimeout = 250 * time.Millisecond // of one call
	releaseHedgeDelay  = 40 * time.Millisecond  // wait for an answer before the next replica is called too
	releaseRoundPause  = 50 * time.Millisecond  // the same wait once all replicas have been called
	releaseTimeout     = 5 * time.Second        // of a release; its state is long overdue by then
	maxActiveReleases  = 64                     // releases that make calls at once
	// Beyond maxWaitingReleases no release is queued, and replicas free their state by themselves,
	// later.
	maxWaitingReleases = 1024
	unresponsiveFor    = time.Second // a replica is called last for this long after an unanswered call
	maxReleaseCalls    = 32          // in flight at once; each uses a connection that attempts need too
)

// Releaser makes replicas release the state that they hold for requests.
type Releaser struct {
	pool      *Pool
	slots     chan struct{} // one for each release that makes calls
	callSlots chan struct{} // one for each call in flight

	mu           sync.Mutex           // guards the fields below
	open         int                  // releases in progress or waiting
	current      map[string]*release  // the latest release of each request ID
	unresponsive map[string]time.Time // when each replica last left a call unanswered
}

// release is a release in progress for one request.
type release struct {
	id          string
	addrs       []string
	superseded  chan struct{} // closed when a later release of the same request replaces this one
	onConfirmed []func()      // called once a replica has answered; guarded by mu of the Releaser
}

// NewReleaser returns a Releaser that makes its calls over connections of the pool.
func NewReleaser(pool *Pool) *Releaser {
	return &Releaser{pool: pool, slots: make(chan struct{}, maxActiveReleases), callSlots: make(chan struct{}, maxReleaseCalls), current: map[string]*release{}, unresponsive: map[string]time.Time{}}
}

// Release calls the replicas in turn, over and over, until one has answered: each of them can
// release everything. It may be that none of them is up at the moment. Replicas that hang must not
// delay the calls to the others.
func (l *Releaser) Release(id string, addrs []string) { l.start(id, addrs, func() {}) }

// ReleaseThen is like Release and calls then once: when a replica has answered or after the time
// within, whichever comes first.
func (l *Releaser) ReleaseThen(id string, addrs []string, within time.Duration, then func(confirmed bool)) {
	var once sync.Once
	time.AfterFunc(within, func() { once.Do(func() { then(false) }) })
	l.start(id, addrs, func() { once.Do(func() { then(true) }) })
}

// start begins a release. It replaces a release of the same request that is in progress, whose
// callback is called once the new one is confirmed.
func (l *Releaser) start(id string, addrs []string, onConfirmed func()) {
	if len(addrs) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= maxActiveReleases+maxWaitingReleases {
		log.Printf("release %s: dropped, too many releases are waiting", id)
		return
	}
	l.open++
	addrs = l.responsiveFirst(addrs)
	r := &release{id: id, addrs: slices.Insert(addrs, 0, addrs[0]), superseded: make(chan struct{}), onConfirmed: []func(){onConfirmed}}
	if before := l.current[id]; before != nil {
		r.onConfirmed = append(r.onConfirmed, before.onConfirmed...)
		close(before.superseded)
	}
	l.current[id] = r
	go l.run(r)
}

func (l *Releaser) run(r *release) {
	answered := false
	select {
	case l.slots <- struct{}{}:
		answered = l.callReplicas(r)
		<-l.slots
	case <-r.superseded:
	}
	l.mu.Lock()
	l.open--
	if l.current[r.id] == r {
		delete(l.current, r.id)
	} else {
		answered = false // the later release calls the callbacks
	}
	l.mu.Unlock()
	if answered {
		for _, notify := range r.onConfirmed {
			notify()
		}
	}
}

// callReplicas makes the calls of one release and reports whether a replica has answered. All open
// connections may be dead, so only the first call uses an idle connection; if that brings no
// answer, the same replica is called again over a new one. A call that fails for lack of a local
// resource says nothing about the replica, and the next call is made only after the usual delay.
func (l *Releaser) callReplicas(r *release) bool {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	answers := make(chan error)
	for i := 0; ; i++ {
		addr, lastOfRound := r.addrs[i%len(r.addrs)], (i+1)%len(r.addrs) == 0
		go func() {
			err := l.call(ctx, addr, r.id, i > 0)
			select {
			case answers <- err:
			case <-ctx.Done():
			}
		}()
		next := time.After(releaseHedgeDelay)
		if lastOfRound {
			next = time.After(releaseRoundPause)
		}
	wait:
		for {
			select {
			case err := <-answers:
				if err == nil {
					return true
				}
				if !lastOfRound && !localShortage(err) {
					break wait
				}
			case <-next:
				l.recordAnswer(addr, errSlow) // an answer undoes this
				break wait
			case <-r.superseded:
				return false
			case <-ctx.Done():
				log.Printf("release %s: timed out, no replica has answered", r.id)
				return false
			}
		}
	}
}

// AwaitIdle returns when no release is in progress, or when ctx ends.
func (l *Releaser) AwaitIdle(ctx context.Context) {
	for l.openReleases() > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

// openReleases returns the number of releases in progress or waiting.
func (l *Releaser) openReleases() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// responsiveFirst moves replicas that left a call unanswered recently to the end. The order is
// free, as each replica can release everything. The caller holds mu.
func (l *Releaser) responsiveFirst(addrs []string) []string {
	order := make([]string, 0, len(addrs)+1)
	var last []string
	for _, addr := range addrs {
		if at, ok := l.unresponsive[addr]; ok && time.Since(at) < unresponsiveFor {
			last = append(last, addr)
		} else {
			order = append(order, addr)
		}
	}
	return append(order, last...)
}

var errSlow = errors.New("no answer yet")

// recordAnswer records whether a replica has answered a call. Local failures and cancelled calls
// say nothing about the replica.
func (l *Releaser) recordAnswer(addr string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		delete(l.unresponsive, addr)
	} else if !localShortage(err) && !errors.Is(err, context.Canceled) {
		l.unresponsive[addr] = time.Now()
	}
}

// ReleaseAt calls one replica once and passes to then, from another goroutine, whether it has
// answered.
func (l *Releaser) ReleaseAt(id, addr string, then func(answered bool)) {
	go func() {
		err := l.doCall(context.Background(), addr, id, true)
		then(err == nil)
	}()
}

// call makes one call as soon as a slot is free, over a new connection if newConn is set.
func (l *Releaser) call(ctx context.Context, addr, id string, newConn bool) error {
	select {
	case l.callSlots <- struct{}{}:
		defer func() { <-l.callSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.doCall(ctx, addr, id, newConn)
}

// doCall makes one call and records whether the replica has answered. An answer other than 2xx is
// an error.
func (l *Releaser) doCall(ctx context.Context, addr, id string, newConn bool) error {
	status, err := l.pool.do(ctx, call{addr: addr, method: fasthttp.MethodDelete, path: "/bootstrap/rooms/" + id, timeout: releaseCallTimeout, urgent: true, newConn: newConn})
	if ctx.Err() != nil {
		return ctx.Err() // the release has ended, so this call says nothing about the replica
	}
	if err == nil && (status < fasthttp.StatusOK || status >= fasthttp.StatusMultipleChoices) {
		err = fmt.Errorf("unexpected status %d", status) // whatever answered may have released nothing
	}
	l.recordAnswer(addr, err)
	if err != nil {
		log.Printf("release %s at %s: %v", id, addr, err)
	}
	return err
}
