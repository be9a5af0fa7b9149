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
	releaseTry   = 250 * time.Millisecond // a call without an answer is given up
	releaseNext  = 40 * time.Millisecond  // and before that the next replica is asked beside it
	releasePause = 50 * time.Millisecond  // after all of them have been asked
	releaseFor   = 5 * time.Second        // what is held is long overdue by then
	releaseMost  = 64                     // requests for which calls are under way at once
	releaseWait  = 1024                   // and waiting; beyond that replicas free what they hold by themselves, later
	illFor       = time.Second            // a replica that left a call unanswered is asked last for so long
	releaseCalls = 32                     // calls at once: each holds a connection that attempts want too
)

// Releaser makes the calls that let go of what replicas hold for a request.
type Releaser struct {
	pool  *Pool
	room  chan struct{} // held by a request for which calls are made
	calls chan struct{} // held by a call

	mu   sync.Mutex           // for all below
	open int                  // releases under way or waiting
	now  map[string]*release  // by request
	ill  map[string]time.Time // when replicas last left a call unanswered
}

// release is what is under way for one request.
type release struct {
	id        string
	addrs     []string
	passed    chan struct{} // closed when a later one for the same request has taken its place
	confirmed []func()      // called when a replica has answered; guarded by the Releaser
}

// NewReleaser makes calls on the pool's connections.
func NewReleaser(pool *Pool) *Releaser {
	return &Releaser{pool: pool, room: make(chan struct{}, releaseMost), calls: make(chan struct{}, releaseCalls), now: map[string]*release{}, ill: map[string]time.Time{}}
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
	if l.open >= releaseMost+releaseWait {
		log.Printf("release %s: too many calls wait", id)
		return
	}
	l.open++
	addrs = l.wellFirst(addrs)
	r := &release{id: id, addrs: slices.Insert(addrs, 0, addrs[0]), passed: make(chan struct{}), confirmed: []func(){confirmed}}
	if before := l.now[id]; before != nil {
		r.confirmed = append(r.confirmed, before.confirmed...)
		close(before.passed)
	}
	l.now[id] = r
	go l.run(r)
}

func (l *Releaser) run(r *release) {
	answered := false
	select {
	case l.room <- struct{}{}:
		answered = l.ask(r)
		<-l.room
	case <-r.passed:
	}
	l.mu.Lock()
	l.open--
	if l.now[r.id] == r {
		delete(l.now, r.id)
	} else {
		answered = false // the later one tells
	}
	l.mu.Unlock()
	if answered {
		for _, tell := range r.confirmed {
			tell()
		}
	}
}

// ask makes the calls for one request, and tells whether a replica has answered one. All open connections may have fallen silent: only the
// first call goes out on an idle one, and the first replica is asked once more at once where that brings nothing. What fails for want of
// something on this machine says nothing of the replica, which is asked again after a moment.
func (l *Releaser) ask(r *release) bool {
	ctx, cancel := context.WithTimeout(context.Background(), releaseFor)
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
		next := time.After(releaseNext)
		if whole {
			next = time.After(releasePause)
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
				l.told(addr, errSlow) // until it answers
				break wait
			case <-r.passed:
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
	for l.underWay() > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

// underWay counts the releases that are under way or wait.
func (l *Releaser) underWay() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// wellFirst puts the replicas last that left a call unanswered lately: any of them can release everything. It needs mu.
func (l *Releaser) wellFirst(addrs []string) []string {
	order := make([]string, 0, len(addrs)+1)
	var ill []string
	for _, addr := range addrs {
		if at, is := l.ill[addr]; is && time.Since(at) < illFor {
			ill = append(ill, addr)
		} else {
			order = append(order, addr)
		}
	}
	return append(order, ill...)
}

var errSlow = errors.New("no answer yet")

// told books whether a replica has answered a call.
func (l *Releaser) told(addr string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		delete(l.ill, addr)
	} else if !localShortage(err) && !errors.Is(err, context.Canceled) {
		l.ill[addr] = time.Now()
	}
}

// ReleaseAt asks one replica once, and calls then with whether it has answered, from any goroutine.
func (l *Releaser) ReleaseAt(id, addr string, then func(answered bool)) {
	go func() {
		err := l.make(context.Background(), addr, id, true)
		then(err == nil)
	}()
}

// call makes one call, on a new connection if that is wanted, once there is room for it.
func (l *Releaser) call(ctx context.Context, addr, id string, fresh bool) error {
	select {
	case l.calls <- struct{}{}:
		defer func() { <-l.calls }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return l.make(ctx, addr, id, fresh)
}

// make makes one call.
func (l *Releaser) make(ctx context.Context, addr, id string, fresh bool) error {
	status, err := l.pool.make(ctx, call{addr: addr, method: fasthttp.MethodDelete, path: "/bootstrap/rooms/" + id, limit: releaseTry, urgent: true, fresh: fresh})
	if ctx.Err() != nil {
		return ctx.Err() // another replica has answered
	}
	if err == nil && (status < fasthttp.StatusOK || status >= fasthttp.StatusMultipleChoices) {
		err = fmt.Errorf("answered %d", status) // it came to somebody, who may have let go of nothing
	}
	l.told(addr, err)
	if err != nil {
		log.Printf("release %s at %s: %v", id, addr, err)
	}
	return err
}
