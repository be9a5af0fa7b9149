package standin

import (
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"standpulley/internal/discovery"
)

const muteTime = 20 * time.Second // longer than any caller waits

// Entry is one replica as discovery lists it.
type Entry = discovery.Entry

// Agent is a discovery agent whose list is set by the story.
type Agent struct {
	Addr string

	ln      net.Listener
	mu      sync.Mutex
	version int64
	list    []Entry
	changed chan struct{} // closed when the list changes
	asked   []string      // the queries so far
	busy    bool
	mute    bool
	limit   *rate.Limiter   // of the one service behind all agents; nil: none
	calls   [2]int          // taken, turned away
	bytes   int             // handed out
	handed  int64           // the version of the list that was handed out last
	named   map[string]bool // replicas that were handed out in service
	without map[string]time.Time

	changedAt map[string]int64 // by replica, the version that changed it, since deltas are told
	deltaFrom int64            // the oldest version from which deltas are told; 0: none are
}

// StartAgent listens at addr.
func StartAgent(addr string, list ...Entry) (*Agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: ln.Addr().String(), ln: ln, version: 1, list: list, changed: make(chan struct{}), named: map[string]bool{}, without: map[string]time.Time{}}
	go func() { _ = fasthttp.Serve(ln, a.serve) }() // ends with the listener
	return a, nil
}

// Close stops listening.
func (a *Agent) Close() { _ = a.ln.Close() }

// Set replaces the list; watches that wait are answered with the whole of it.
func (a *Agent) Set(list ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	a.list = list
	close(a.changed)
	a.changed = make(chan struct{})
}

// Update changes or adds entries; watches are answered with what has changed since the version that they know.
func (a *Agent) Update(entries ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.deltaFrom == 0 {
		a.deltaFrom, a.changedAt = a.version, map[string]int64{}
	}
	a.version++
	place := make(map[string]int, len(a.list))
	for i, e := range a.list {
		place[e.ID] = i
	}
	a.list = append([]Entry(nil), a.list...)
	for _, e := range entries {
		a.changedAt[e.ID] = a.version
		if i, known := place[e.ID]; known {
			a.list[i] = e
		} else {
			a.list = append(a.list, e)
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// changesSince gives the entries that have changed since a version, and whether they can be told. It needs mu.
func (a *Agent) changesSince(version int64) (changes []Entry, ok bool) {
	if a.deltaFrom == 0 || version < a.deltaFrom || version > a.version {
		return nil, false
	}
	for _, e := range a.list {
		if a.changedAt[e.ID] > version {
			changes = append(changes, e)
		}
	}
	return changes, true
}

// SetAtVersion is Set with the register's version, which agents of one register share.
func (a *Agent) SetAtVersion(version int64, list ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = version
	a.list = list
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetUnresponsive has the agent say nothing any more, or again: calls wait until their callers give up.
func (a *Agent) SetUnresponsive(is bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mute = is
}

// heard tells whether a caller that waited is still there: what is said to one that has hung up is told to nobody.
func heard(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	there := true
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		there = n > 0 || err == syscall.EAGAIN
	})
	return err == nil && there
}

// RemovalServedAt gives when the agent first handed out a list without a replica in service that had named it before; zero if it has
// not.
func (a *Agent) RemovalServedAt(replica string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.without[replica]
}

// hand notes what a list that is handed out tells. It needs mu.
func (a *Agent) hand(list []Entry) {
	now := map[string]bool{}
	for _, e := range list {
		if e.State == "in_service" {
			now[e.ID] = true
			a.named[e.ID] = true
			delete(a.without, e.ID)
		}
	}
	for id := range a.named {
		if _, told := a.without[id]; !now[id] && !told {
			a.without[id] = time.Now()
		}
	}
}

// SetOverloaded has the agent turn calls away, as it does while discovery can't take them all.
func (a *Agent) SetOverloaded(is bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy = is
}

// SetRateLimit has the agent turn away what a service that all agents share can't take.
func (a *Agent) SetRateLimit(l *rate.Limiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = l
}

// Version gives the register's version that the agent knows, and Handed the one that it handed out last.
func (a *Agent) Version() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// ServedVersion is told by Version.
func (a *Agent) ServedVersion() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handed
}

// Stats gives the calls that were taken and turned away so far, and the bytes that were handed out.
func (a *Agent) Stats() (answered, away, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls[0], a.calls[1], a.bytes
}

// Queries gives the queries so far.
func (a *Agent) Queries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.asked...)
}

func (a *Agent) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/api/targets" {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	a.mu.Lock()
	a.asked = append(a.asked, string(ctx.QueryArgs().QueryString()))
	if a.busy || a.limit != nil && !a.limit.Allow() {
		a.calls[1]++
		a.mu.Unlock()
		ctx.Error("discovery is overloaded", fasthttp.StatusServiceUnavailable)
		return
	}
	a.calls[0]++ // who asks may have hung up by the answer
	index, watch := int64(0), ctx.QueryArgs().Has("index")
	if watch {
		index, _ = strconv.ParseInt(string(ctx.QueryArgs().Peek("index")), 10, 64) // 0 is older than any list
	}
	changed := a.changed
	if watch && index == a.version {
		a.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(ctx.QueryArgs().GetUintOrZero("wait")) * time.Millisecond):
		}
		a.mu.Lock()
	}
	if a.mute {
		a.mu.Unlock()
		time.Sleep(muteTime)
		return
	}
	// Another version than the caller's is handed out whole, an older one too: a register that was restored has gone back.
	reply := discovery.List{Version: a.version, Full: !watch || a.version != index}
	if reply.Full {
		reply.Servers = a.list
	}
	if changes, ok := a.changesSince(index); watch && reply.Full && ok {
		reply.Full, reply.Servers = false, changes
	}
	a.mu.Unlock()
	text, err := jsoniter.Marshal(reply)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	a.mu.Lock()
	a.bytes += len(text)
	if reply.Full && heard(ctx.Conn()) { // told no earlier than this, however long it took to write the list down
		a.hand(reply.Servers)
		a.handed = reply.Version
	}
	a.mu.Unlock()
	ctx.SetBody(text)
}
