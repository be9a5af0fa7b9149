package replica

import (
	"context"
	"fmt"
	"log"
	"slices"
	"sync"
	"sync/atomic"
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

// Release asks the replicas in turn, and again from the first, until one has answered: each of them can release everything. None of
// them may be up at this moment, and those that hang must not keep the others from being asked in time.
func (l *Releaser) Release(id string, addrs []string) { l.start(id, addrs, func() {}) }

// ReleaseThen is Release, and calls then once: when a replica has answered, or after a time, whichever comes first.
func (l *Releaser) ReleaseThen(id string, addrs []string, within time.Duration, then func(confirmed bool)) {
	var once sync.Once
	time.AfterFunc(within, func() { once.Do(func() { then(false) }) })
	l.start(id, addrs, func() { once.Do(func() { then(true) }) })
}

func (l *Releaser) start(id string, addrs []string, confirmed func()) {
	if len(addrs) == 0 {
		return
	}
	if l.open.Add(1) > releaseMost+releaseWait {
		l.open.Add(-1)
		log.Printf("release %s: too many calls wait", id)
		return
	}
	go func() {
		defer l.open.Add(-1)
		l.room <- struct{}{}
		defer func() { <-l.room }()
		if l.ask(id, addrs) {
			confirmed()
		}
	}()
}

// ask makes the calls for one request, and tells whether a replica has answered one. All open connections may have fallen silent: only the
// first call goes out on an idle one, and the first replica is asked once more at once where that brings nothing.
func (l *Releaser) ask(id string, addrs []string) bool {
	ends := time.After(releaseFor)
	answers := make(chan error)
	over := make(chan struct{})
	defer close(over)
	addrs = slices.Insert(slices.Clone(addrs), 0, addrs[0])
	for i := 0; ; i++ {
		addr, fresh := addrs[i%len(addrs)], i > 0
		go func() {
			err := l.call(addr, id, fresh)
			if err != nil {
				log.Printf("release %s at %s: %v", id, addr, err)
			}
			select {
			case answers <- err:
			case <-over:
			}
		}()
		whole := (i+1)%len(addrs) == 0
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
				if !whole {
					break wait
				}
			case <-next:
				break wait
			case <-ends:
				log.Printf("release %s: no replica has answered", id)
				return false
			}
		}
	}
}

// AwaitIdle returns when no call is under way, or when ctx ends.
func (l *Releaser) AwaitIdle(ctx context.Context) {
	for l.open.Load() > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *Releaser) call(addr, id string, fresh bool) error {
	status, err := l.pool.make(call{addr: addr, method: fasthttp.MethodDelete, path: "/bootstrap/rooms/" + id, limit: releaseTry, fresh: fresh})
	if err == nil && (status < fasthttp.StatusOK || status >= fasthttp.StatusMultipleChoices) {
		return fmt.Errorf("answered %d", status) // it came to somebody, who may have let go of nothing
	}
	return err
}
