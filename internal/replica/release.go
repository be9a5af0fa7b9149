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
	releaseCallTimeout = 250 * time.Millisecond // a call without an answer is given up
	releaseHedgeDelay  = 40 * time.Millisecond  // and before that the next replica is asked beside it
	releaseRoundPause  = 50 * time.Millisecond  // after all of them have been asked
	releaseTimeout     = 5 * time.Second        // what is held is long overdue by then
	maxActiveReleases  = 64                     // requests for which calls are under way at once
	maxWaitingReleases = 1024                   // and waiting; beyond that replicas free what they hold by themselves, later
	unresponsiveFor    = time.Second            // a replica that left a call unanswered is asked last for so long
	maxReleaseCalls    = 32                     // calls at once: each holds a connection that attempts want too
)

// Releaser makes the calls that let go of what replicas hold for a request.
type Releaser struct {
	pool      *Pool
	slots     chan struct{} // held by a request for which calls are made
	callSlots chan struct{} // held by a call

	mu           sync.Mutex           // for all below
	open         int                  // releases under way or waiting
	current      map[string]*release  // by request
	unresponsive map[string]time.Time // when replicas last left a call unanswered
}

// release is what is under way for one request.
type release struct {
	id          string
	addrs       []string
	superseded  chan struct{} // closed when a later one for the same request has taken its place
	onConfirmed []func()      // called when a replica has answered; guarded by the Releaser
}

// NewReleaser makes calls on the pool's connections.
func NewReleaser(pool *Pool) *Releaser {
	return &Releaser{pool: pool, slots: make(chan struct{}, maxActiveReleases), callSlots: make(chan struct{}, maxReleaseCalls), current: map[string]*release{}, unresponsive: map[string]time.Time{}}
}

// Release asks the replicas in turn, and again from the first, until one has answered: each of them can release everything. None of
// them may be up at this moment, and those that hang must not keep the others from being asked in time.
func (l *Releaser) Release(id string, addrs []string) { l.start(id, addrs, func() {}) }

// ReleaseThen is Release, and calls then once: when a replica has answered, or after a time, whichever comes first.
func (l *Releaser) ReleaseThen(id string, addrs []string, within time.Duration, then func(confirmed bool)) {
	var once sync.Once
	time.AfterFunc(within, func() { once.Do(func() { then(false) }) })
	l.start(id, addrs, func() { once.Do(func() { then(true) }) })
}

// start begins a release. One that is under way for the same request ends: what confirms the later one confirms it too.
func (l *Releaser) start(id string, addrs []string, confirmed func()) {
	if len(addrs) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= maxActiveReleases+maxWaitingReleases {
		log.Printf("release %s: too many calls wait", id)
		return
	}
	l.open++
	addrs = l.responsiveFirst(addrs)
	r := &release{id: id, addrs: slices.Insert(addrs, 0, addrs[0]), superseded: make(chan struct{}), onConfirmed: []func(){confirmed}}
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
		answered = false // the later one tells
	}
	l.mu.Unlock()
	if answered {
		for _, tell := range r.onConfirmed {
			tell()
		}
	}
}

// callReplicas makes the calls for one request, and tells whether a replica has answered one. All open connections may have fallen silent: only the
// first call goes out on an idle one, and the first replica is asked once more at once where that brings nothing. What fails for want of
// something on this machine says nothing of the replica, which is asked again after a moment.
func (l *Releaser) callReplicas(r *release) bool {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	answers := make(chan error)
	for i := 0; ; i++ {
		addr, whole := r.addrs[i%len(r.addrs)], (i+1)%len(r.addrs) == 0
		go func() {
			err := l.call(ctx, addr, r.id, i > 0)
			select {
			case answers <- err:
			case <-ctx.Done():
			}
		}()
		next := time.After(releaseHedgeDelay)
		if whole {
			next = time.After(releaseRoundPause)
		}
	wait:
		for {
			select {
			case err := <-answers:
				if err == nil {
					return true
				}
				if !whole && !localShortage(err) {
					break wait
				}
			case <-next:
				l.recordAnswer(addr, errSlow) // until it answers
				break wait
			case <-r.superseded:
				return false
			case <-ctx.Done():
				log.Printf("release %s: no replica has answered", r.id)
				return false
			}
		}
	}
}

// AwaitIdle returns when no call is under way, or when ctx ends.
func (l *Releaser) AwaitIdle(ctx context.Context) {
	for l.openReleases() > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

// openReleases counts the releases that are under way or wait.
func (l *Releaser) openReleases() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// responsiveFirst puts the replicas last that left a call unanswered lately: any of them can release everything. It needs mu.
func (l *Releaser) responsiveFirst(addrs []string) []string {
	order := make([]string, 0, len(addrs)+1)
	var ill []string
	for _, addr := range addrs {
		if at, is := l.unresponsive[addr]; is && time.Since(at) < unresponsiveFor {
			ill = append(ill, addr)
		} else {
			order = append(order, addr)
		}
	}
	return append(order, ill...)
}

var errSlow = errors.New("no answer yet")

// recordAnswer books whether a replica has answered a call.
func (l *Releaser) recordAnswer(addr string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		delete(l.unresponsive, addr)
	} else if !localShortage(err) && !errors.Is(err, context.Canceled) {
		l.unresponsive[addr] = time.Now()
	}
}

// ReleaseAt asks one replica once, and calls then with whether it has answered, from any goroutine.
func (l *Releaser) ReleaseAt(id, addr string, then func(answered bool)) {
	go func() {
		err := l.doCall(context.Background(), addr, id, true)
		then(err == nil)
	}()
}

// call makes one call, on a new connection if that is wanted, once there is room for it.
func (l *Releaser) call(ctx context.Context, addr, id string, fresh bool) error {
	select {
	case l.callSlots <- struct{}{}:
		defer func() { <-l.callSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.doCall(ctx, addr, id, fresh)
}

// doCall makes one call.
func (l *Releaser) doCall(ctx context.Context, addr, id string, fresh bool) error {
	status, err := l.pool.do(ctx, call{addr: addr, method: fasthttp.MethodDelete, path: "/bootstrap/rooms/" + id, timeout: releaseCallTimeout, urgent: true, newConn: fresh})
	if ctx.Err() != nil {
		return ctx.Err() // another replica has answered
	}
	if err == nil && (status < fasthttp.StatusOK || status >= fasthttp.StatusMultipleChoices) {
		err = fmt.Errorf("answered %d", status) // it came to somebody, who may have let go of nothing
	}
	l.recordAnswer(addr, err)
	if err != nil {
		log.Printf("release %s at %s: %v", id, addr, err)
	}
	return err
}
