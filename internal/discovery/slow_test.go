package discovery_test

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/discovery"
	"standpulley/internal/dispatch"
)

// slowService is a discovery service that answers all that it is asked, each call late.
type slowService struct {
	delay time.Duration
	// queued: a call waits for its turn and is then carried out; otherwise it is carried out at once
	// and its answer comes late.
	queued bool

	mu      sync.Mutex
	version int64
	changed chan struct{}
	changes map[int64]time.Time // when each version came into being
	down    bool                // calls are never answered
}

func startSlowService(t *testing.T, delay time.Duration, queued bool) (*slowService, string) {
	t.Helper()
	s := &slowService{delay: delay, queued: queued, version: 1, changed: make(chan struct{}), changes: map[int64]time.Time{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: s.serve}
	go func() { _ = server.Serve(ln) }() // ends when the listener is closed
	t.Cleanup(func() { _ = ln.Close() }) // open calls end with the watcher
	return s, ln.Addr().String()
}

func (s *slowService) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changes[s.version] = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown starts or ends an outage. What has changed in it counts as changed at its end.
func (s *slowService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *slowService) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		time.Sleep(20 * time.Second)
		return
	}
	if s.queued {
		time.Sleep(s.delay)
	}
	version := s.evaluate(ctx)
	if !s.queued {
		time.Sleep(s.delay)
	}
	ctx.SetBodyString(fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","kind":"k","state":"in_service"}]}`, version))
}

// evaluate returns the version that a call is answered with: at once if it does not watch, or if
// something is newer than what it knows, otherwise when something changes or its wait is over.
func (s *slowService) evaluate(ctx *fasthttp.RequestCtx) int64 {
	index, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("index")), 10, 64) // none counts as 0
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("wait")) * time.Millisecond
	s.mu.Lock()
	changed, version := s.changed, s.version
	s.mu.Unlock()
	if !ctx.QueryArgs().Has("index") || version != index {
		return version
	}
	select {
	case <-changed:
	case <-time.After(wait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// checkTold checks that each version, or a later one, is passed on within listDeadline.
func (s *slowService) checkTold(t *testing.T, name string, told map[int64]time.Time) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for version, at := range s.changes {
		first := time.Time{}
		for v, when := range told {
			if v >= version && (first.IsZero() || when.Before(first)) {
				first = when
			}
		}
		if took := first.Sub(at); first.IsZero() || took > listDeadline {
			t.Errorf("%s: version %d was told after %v", name, version, took)
		}
	}
}

// TestSlowServiceIsHeardInTime guards against calls that are given up, and sent anew for ever, at a
// service that answers all of them, but each later than they wait: nothing was heard of it. A change
// must be told in time at the start, in steady state and after an outage.
func TestSlowServiceIsHeardInTime(t *testing.T) {
	t.Parallel()
	version := int64(1)
	var plays sync.WaitGroup // all at once, as they mostly wait
	for _, delay := range []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
		for _, queued := range []bool{true, false} {
			for _, pushed := range []bool{true, false} {
				for name, known := range map[string]*int64{"first list": nil, "known list": &version} {
					name = fmt.Sprintf("%v, queued %v, push mode %v, %s", delay, queued, pushed, name)
					s, addr := startSlowService(t, delay, queued)
					updates := startWatcher(t, &discovery.Watcher{Addr: addr, Siblings: 3, PushMode: pushed, KnownVersion: known})
					plays.Go(func() { s.play(t, name, updates) })
				}
			}
		}
	}
	plays.Wait()
}

// play changes the list at the start, in steady state and after an outage, and checks when the
// changes are told.
func (s *slowService) play(t *testing.T, name string, updates chan dispatch.Update) {
	told := map[int64]time.Time{}
	collect := func(d time.Duration) {
		for end := time.After(d); ; {
			select {
			case u := <-updates:
				if _, ok := told[u.Version]; !ok {
					told[u.Version] = time.Now()
				}
			case <-end:
				return
			}
		}
	}
	collect(100 * time.Millisecond)
	s.change()    // right after the start
	for range 8 { // in steady state, at times that fall into all parts of a watch
		collect(1300 * time.Millisecond)
		s.change()
	}
	collect(listDeadline + time.Second)
	s.setDown(true)
	collect(4 * time.Second)
	s.setDown(false)
	s.change()
	collect(300 * time.Millisecond)
	s.change()
	collect(listDeadline + 2*time.Second)
	s.checkTold(t, name, told)
}
