package fake

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

// unresponsiveTime is longer than any client waits for an answer.
const unresponsiveTime = 20 * time.Second

// Entry is one replica as discovery lists it.
type Entry = discovery.Entry

// Agent is a fake discovery agent. The test sets the list of replicas that it serves.
type Agent struct {
	Addr string

	ln             net.Listener
	mu             sync.Mutex
	version        int64
	list           []Entry
	changed        chan struct{} // closed when the list changes
	queries        []string      // query strings of all requests so far
	overloaded     bool
	unresponsive   bool
	limiter        *rate.Limiter // of the discovery service that all agents share; may be nil
	requests       [2]int        // accepted, refused
	bytesSent      int
	servedVersion  int64 // version of the full list that was served last
	servedRemovals removals
	heldRemovals   removals

	changedIn   map[string]int64 // by replica, the version that last changed it, from deltasSince on
	deltasSince int64            // oldest version for which a delta can be served; 0 if there is none
}

// StartAgent starts an agent that listens at addr and serves the given list as version 1.
func StartAgent(addr string, list ...Entry) (*Agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: ln.Addr().String(), ln: ln, version: 1, list: list, changed: make(chan struct{}), servedRemovals: newRemovals(), heldRemovals: newRemovals()}
	a.recordHeld()
	go func() { _ = fasthttp.Serve(ln, a.serve) }() // ends with the listener
	return a, nil
}

// Close closes the listener.
func (a *Agent) Close() { _ = a.ln.Close() }

// Set replaces the list under the next version. Pending watches are answered with the full list.
func (a *Agent) Set(list ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	a.list = list
	a.recordHeld()
	close(a.changed)
	a.changed = make(chan struct{})
}

// Update replaces or adds entries under the next version. From the first call on, watches are
// answered with a delta: the entries that have changed since the version they name.
func (a *Agent) Update(entries ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.deltasSince == 0 {
		a.deltasSince, a.changedIn = a.version, map[string]int64{}
	}
	a.version++
	index := make(map[string]int, len(a.list))
	for i, e := range a.list {
		index[e.ID] = i
	}
	a.list = append([]Entry(nil), a.list...)
	for _, e := range entries {
		a.changedIn[e.ID] = a.version
		if i, known := index[e.ID]; known {
			a.list[i] = e
		} else {
			a.list = append(a.list, e)
		}
	}
	a.recordHeld()
	close(a.changed)
	a.changed = make(chan struct{})
}

// changesSince returns the entries that have changed since a version; ok is false if no delta from
// that version can be served. The caller holds mu.
func (a *Agent) changesSince(version int64) (changes []Entry, ok bool) {
	if a.deltasSince == 0 || version < a.deltasSince || version > a.version {
		return nil, false
	}
	for _, e := range a.list {
		if a.changedIn[e.ID] > version {
			changes = append(changes, e)
		}
	}
	return changes, true
}

// SetAtVersion is like Set, but sets the version of the registry, which several agents of one
// registry share.
func (a *Agent) SetAtVersion(version int64, list ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = version
	a.list = list
	a.recordHeld()
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetUnresponsive makes the agent stop answering, or answer again. Requests to an unresponsive
// agent hang until their clients time out.
func (a *Agent) SetUnresponsive(enabled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = enabled
	a.recordHeld()
}

// isConnected reports whether the client has not closed its connection yet. A list sent to a client
// that has closed it must not count as served.
func isConnected(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	connected := true
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		connected = n > 0 || err == syscall.EAGAIN
	})
	return err == nil && connected
}

// RemovalServedAt returns when the agent first served a list in which a replica that it had served
// as in service no longer was, or the zero time if it has not served such a list. Serving the replica
// as in service again clears the time.
func (a *Agent) RemovalServedAt(replica string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.servedRemovals.since[replica]
}

// RemovalHeldAt is RemovalServedAt for the lists that the agent has, whether or not anybody asked for
// them. An agent that does not answer learns of nothing until it answers again.
func (a *Agent) RemovalHeldAt(replica string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heldRemovals.since[replica]
}

// recordHeld records the present list as one that the agent has. The caller holds mu.
func (a *Agent) recordHeld() {
	if !a.unresponsive {
		a.heldRemovals.record(a.list)
	}
}

// removals tells of a sequence of lists which replicas went out of service, and when.
type removals struct {
	inService map[string]bool // replicas that have been in service
	since     map[string]time.Time
}

func newRemovals() removals {
	return removals{inService: map[string]bool{}, since: map[string]time.Time{}}
}

// record takes the next list.
func (r removals) record(list []Entry) {
	now := map[string]bool{}
	for _, e := range list {
		if e.State == "in_service" {
			now[e.ID] = true
			r.inService[e.ID] = true
			delete(r.since, e.ID)
		}
	}
	for id := range r.inService {
		if _, recorded := r.since[id]; !now[id] && !recorded {
			r.since[id] = time.Now()
		}
	}
}

// SetOverloaded makes the agent refuse all requests with status 503, as it does while discovery is
// overloaded.
func (a *Agent) SetOverloaded(enabled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overloaded = enabled
}

// SetRateLimit sets the limiter of the discovery service that all agents share. The agent refuses
// requests beyond it with status 503.
func (a *Agent) SetRateLimit(l *rate.Limiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter = l
}

// Version returns the registry's version of the list that the agent has now.
func (a *Agent) Version() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// ServedVersion returns the version of the full list that the agent served last.
func (a *Agent) ServedVersion() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.servedVersion
}

// Stats returns the numbers of requests accepted and refused so far, and the bytes of lists served.
func (a *Agent) Stats() (accepted, refused, bytesSent int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests[0], a.requests[1], a.bytesSent
}

// Queries returns the query strings of all requests so far.
func (a *Agent) Queries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.queries...)
}

func (a *Agent) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/api/targets" {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	a.mu.Lock()
	a.queries = append(a.queries, string(ctx.QueryArgs().QueryString()))
	if a.overloaded || a.limiter != nil && !a.limiter.Allow() {
		a.requests[1]++
		a.mu.Unlock()
		ctx.Error("discovery is overloaded", fasthttp.StatusServiceUnavailable)
		return
	}
	a.requests[0]++ // counted before the answer, as the client may have closed the connection by then
	index, watch := int64(0), ctx.QueryArgs().Has("index")
	if watch {
		// An invalid index counts as 0, which is older than any list.
		index, _ = strconv.ParseInt(string(ctx.QueryArgs().Peek("index")), 10, 64)
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
	if a.unresponsive {
		a.mu.Unlock()
		time.Sleep(unresponsiveTime)
		return
	}
	// A client at another version gets the full list, even if the agent's version is older: a
	// registry that was restored from a backup goes back to an older version.
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
	a.bytesSent += len(text)
	// Recorded after encoding, which can take long: the list counts as served no earlier than this.
	if reply.Full && isConnected(ctx.Conn()) {
		a.servedRemovals.record(reply.Servers)
		a.servedVersion = reply.Version
	}
	a.mu.Unlock()
	ctx.SetBody(text)
}
