package proving

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"standpulley/internal/fake"
)

// traffic is the clients and replicas of a trial, and what they record.
type traffic struct {
	now          func() time.Duration
	mu           sync.Mutex
	actions      []Action
	requests     []ClientRequest
	runs         map[string]int
	instructions *instructionSet // nil where clients don't repeat instructions
	surges       sync.Map        // by dispatcher name: the factor by which its requests are multiplied
	hung         sync.Map        // by ID: replicas that no longer answer
	// maxStall bounds, in nanoseconds, how long this process itself was recently not scheduled.
	maxStall atomic.Int64

	replicas    []*fake.Replica
	list        []fake.Entry
	spare       []fake.Entry
	client      *http.Client
	freshClient *http.Client // uses a new connection for each request
	inFlight    sync.WaitGroup
	stop        chan struct{}
}

const (
	readTime      = 30 * time.Millisecond
	readerCount   = 2
	writerCount   = 3
	spareCount    = 4                       // running, but not in the registry at first
	clientTimeout = 3500 * time.Millisecond // how long clients wait for an answer
	// Where clients repeat instructions, a writer refuses one in refuseOneIn attempts without
	// executing it.
	refuseOneIn = 7
	// A writer's answer to one in failOneIn attempts fails before it begins.
	failOneIn = 11
)

func newTraffic() (*traffic, error) {
	t := &traffic{runs: map[string]int{}, stop: make(chan struct{}), freshClient: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}}
	for i := range readerCount + writerCount + spareCount {
		kind, handle := "reader", t.handleRead
		if i >= readerCount && i < readerCount+writerCount || i%2 == 0 && i >= readerCount {
			kind, handle = "writer", t.handleWrite
		}
		name := fmt.Sprintf("%s-%d", kind, i)
		r, err := fake.Start("127.0.0.1:0", func(x *fake.Exchange) { handle(x, name) })
		if err != nil {
			return nil, err
		}
		t.replicas = append(t.replicas, r)
		e := fake.Entry{ID: name, Addr: r.Addr, Zone: "z", Kind: kind, State: "in_service", Weight: 1}
		if i < readerCount+writerCount {
			t.list = append(t.list, e)
		} else {
			t.spare = append(t.spare, e)
		}
	}
	return t, nil
}

// kindOf returns the kind of a replica, which is the first part of its ID.
func kindOf(name string) string {
	kind, _, _ := strings.Cut(name, "-")
	return kind
}

// recordAttempt records an attempt that has arrived at a replica. It was sent no later than now,
// and no earlier than now minus the longest recent stall of this process.
func (t *traffic) recordAttempt(x *fake.Exchange, name string) {
	to := t.now()
	from := to - time.Duration(t.maxStall.Load())
	tag := string(x.Req.Header.Peek("X-Settings"))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.actions = append(t.actions, Action{Kind: "send", ID: x.ID, Replica: name, VersionTag: tag, From: from, To: to})
}

// handleRead answers a read.
func (t *traffic) handleRead(x *fake.Exchange, name string) {
	t.recordAttempt(x, name)
	t.waitIfHung(name)
	time.Sleep(readTime)
	x.Read(0)
}

// handleWrite answers a write; some are refused or fail, by their count.
func (t *traffic) handleWrite(x *fake.Exchange, name string) {
	t.recordAttempt(x, name)
	t.waitIfHung(name)
	t.mu.Lock()
	n := len(t.actions)
	if t.instructions != nil && n%refuseOneIn == 0 {
		t.mu.Unlock()
		x.Status(http.StatusServiceUnavailable, true, "full")
		return
	}
	t.runs[x.ID]++
	t.mu.Unlock()
	if t.instructions != nil {
		t.instructions.countRun(x)
	}
	if n%failOneIn == 0 {
		x.Status(http.StatusInternalServerError, false, "spoilt")
		return
	}
	x.Answer("one", "two")
}

// waitIfHung blocks for longer than any client waits, if the replica is meant to be without power.
func (t *traffic) waitIfHung(name string) {
	if _, hung := t.hung.Load(name); hung {
		time.Sleep(2 * clientTimeout)
	}
}

// measureStalls keeps track of how long this process is not scheduled because of others on the
// machine.
func (t *traffic) measureStalls() {
	var worstDelays [64]time.Duration // of the last seconds
	for i := 0; ; i++ {
		begin := time.Now()
		worst := time.Duration(0)
		for time.Since(begin) < 50*time.Millisecond {
			at := time.Now()
			time.Sleep(time.Millisecond)
			worst = max(worst, time.Since(at)-time.Millisecond)
		}
		worstDelays[i%len(worstDelays)] = worst
		all := time.Duration(0)
		for _, l := range worstDelays {
			all = max(all, l)
		}
		t.maxStall.Store(int64(2*all + 5*time.Millisecond))
		select {
		case <-t.stop:
			return
		default:
		}
	}
}

// sendLoop sends requests to a dispatcher at a constant rate, whether or not it answers.
func (t *traffic) sendLoop(d *Dispatcher, rate int) {
	defer t.inFlight.Done()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-tick.C:
		}
		t.inFlight.Add(1)
		if t.instructions != nil && n%2 == 1 {
			go t.sendInstruction(d, n)
		} else {
			go t.sendAndRecord(d, n, "")
		}
		if x, ok := t.surges.Load(d.Name); ok {
			for range x.(int) - 1 {
				n++
				t.inFlight.Add(1)
				go t.sendAndRecord(d, n, surgeCustomer)
			}
		}
	}
}

// surgeCustomer is the customer of the additional requests in a surge.
const surgeCustomer = "crowd"

// sendAndRecord sends one request and records the result.
func (t *traffic) sendAndRecord(d *Dispatcher, n int, customer string) {
	defer t.inFlight.Done()
	a := t.sendNumbered(d, n, customer)
	t.mu.Lock()
	t.requests = append(t.requests, a)
	t.mu.Unlock()
}

// sendNumbered sends a dispatcher the request with this number. Odd numbers are instructions.
func (t *traffic) sendNumbered(d *Dispatcher, n int, customer string) ClientRequest {
	id := fmt.Sprintf("%s-%06d", d.Name, n)
	// each request has a body of its own
	return t.sendWithResend(d, ClientRequest{Dispatcher: d.Name, ID: id, Customer: customer, AtMostOnce: n%2 == 1}, "", `"`+id+`"`)
}

// sendWithResend sends a request, under an idempotency key if one is given. As the protocol
// requires of clients, a request whose connection ends before the dispatcher has read it is sent
// once more on a new connection. A client may meet this when it was slow to send and the dispatcher
// had closed the idle connection by then. A request that the dispatcher has read must be answered:
// the second transmission has an ID of its own, so that the record can tell them apart.
func (t *traffic) sendWithResend(d *Dispatcher, a ClientRequest, key, body string) ClientRequest {
	first := a
	a, connected := t.sendOnce(t.client, d, a, key, body)
	var slow net.Error
	if a.Status != 0 || a.Err == nil || !connected || errors.As(a.Err, &slow) && slow.Timeout() || t.reachedReplica(a.ID) {
		return a
	}
	again := first
	again.ID, again.ResendOf = first.ID+"r", first.ID
	a, _ = t.sendOnce(t.freshClient, d, again, key, body)
	return a
}

// reachedReplica reports whether an attempt of a request has arrived at a replica.
func (t *traffic) reachedReplica(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.actions, func(a Action) bool { return a.ID == id })
}

// sendOnce sends a request, and reports whether it got a connection.
func (t *traffic) sendOnce(client *http.Client, d *Dispatcher, a ClientRequest, key, body string) (ClientRequest, bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return a, false // can't happen: the address is one that the fleet chose
	}
	class := "enquiry"
	if a.AtMostOnce {
		class = "instruction"
	}
	req.Header.Set("X-Trace-Id", a.ID)
	req.Header.Set("X-Qos", class)
	req.Header.Set("X-Expires-In", fmt.Sprintf("%dm", clientTimeout.Milliseconds()))
	req.Header.Set("X-Props", "prompt_len=100,max_out=10")
	if a.Customer != "" {
		req.Header.Set("X-Customer", a.Customer)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	var connected atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}))
	a.Sent = t.now()
	resp, err := client.Do(req)
	if a.Err = err; err == nil {
		a.Status, a.VersionTag = resp.StatusCode, resp.Header.Get("X-Settings")
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Complete = err == nil && strings.HasSuffix(string(text), "[DONE]\n\n")
	}
	a.Done = t.now()
	return a, connected.Load()
}

// close stops the replicas.
func (t *traffic) close() {
	for _, r := range t.replicas {
		r.Close()
	}
	t.client.CloseIdleConnections()
}
