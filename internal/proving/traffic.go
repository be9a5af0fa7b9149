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

	"standpulley/internal/standin"
)

// traffic is the clients and replicas of a trial, and what they record.
type traffic struct {
	now          func() time.Duration
	mu           sync.Mutex
	actions      []Action
	requests     []ClientRequest
	runs         map[string]int
	instructions *instructionSet // nil where clients repeat nothing
	surges       sync.Map        // dispatchers at which so many times the usual come
	hung         sync.Map        // replicas that say nothing any more
	maxStall     atomic.Int64    // the longest of late that this process itself was held up

	replicas    []*standin.Replica
	list        []standin.Entry
	spare       []standin.Entry
	client      *http.Client
	freshClient *http.Client // that keeps no connection
	inFlight    sync.WaitGroup
	stop        chan struct{}
}

const (
	readTime      = 30 * time.Millisecond
	readers       = 2
	writers       = 3
	spares        = 4                       // that no list names at first
	clientTimeout = 3500 * time.Millisecond // that clients wait
	fullOneIn     = 7                       // of so many calls of a writer one is turned away unrun, where clients repeat
	brokenOneIn   = 11                      // of so many answers of a writer breaks before it begins
)

func newTraffic() (*traffic, error) {
	t := &traffic{runs: map[string]int{}, stop: make(chan struct{}), freshClient: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}}
	for i := range readers + writers + spares {
		kind, handle := "reader", t.handleRead
		if i >= readers && i < readers+writers || i%2 == 0 && i >= readers {
			kind, handle = "writer", t.handleWrite
		}
		name := fmt.Sprintf("%s-%d", kind, i)
		r, err := standin.Start("127.0.0.1:0", func(x *standin.Exchange) { handle(x, name) })
		if err != nil {
			return nil, err
		}
		t.replicas = append(t.replicas, r)
		e := standin.Entry{ID: name, Addr: r.Addr, Zone: "z", Kind: kind, State: "in_service", Weight: 1}
		if i < readers+writers {
			t.list = append(t.list, e)
		} else {
			t.spare = append(t.spare, e)
		}
	}
	return t, nil
}

// kindOf gives the kind of a replica by its name.
func kindOf(name string) string {
	kind, _, _ := strings.Cut(name, "-")
	return kind
}

// saw records that an attempt has come. It left no later than now, and no earlier than this process was last not held up.
func (t *traffic) recordAttempt(x *standin.Exchange, name string) {
	to := t.now()
	from := to - time.Duration(t.maxStall.Load())
	mark := string(x.Req.Header.Peek("X-Settings"))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.actions = append(t.actions, Action{Kind: "send", ID: x.ID, Replica: name, VersionTag: mark, From: from, To: to})
}

func (t *traffic) handleRead(x *standin.Exchange, name string) {
	t.recordAttempt(x, name)
	t.waitIfHung(name)
	time.Sleep(readTime)
	x.Read(0)
}

func (t *traffic) handleWrite(x *standin.Exchange, name string) {
	t.recordAttempt(x, name)
	t.waitIfHung(name)
	t.mu.Lock()
	n := len(t.actions)
	if t.instructions != nil && n%fullOneIn == 0 {
		t.mu.Unlock()
		x.Status(http.StatusServiceUnavailable, true, "full")
		return
	}
	t.runs[x.ID]++
	t.mu.Unlock()
	if t.instructions != nil {
		t.instructions.countRun(x)
	}
	if n%brokenOneIn == 0 {
		x.Status(http.StatusInternalServerError, false, "spoilt")
		return
	}
	x.Answer("one", "two")
}

// hang waits for longer than any client where a replica has lost its power.
func (t *traffic) waitIfHung(name string) {
	if _, is := t.hung.Load(name); is {
		time.Sleep(2 * clientTimeout)
	}
}

// meter follows how long this process is held up by others on the machine.
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

// ask sends requests to a dispatcher at a steady pace, whether or not it answers.
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
			go t.instr(d, n)
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

// crowdCustomer is whose requests those of a crowd are.
const surgeCustomer = "crowd"

func (t *traffic) sendAndRecord(d *Dispatcher, n int, customer string) {
	defer t.inFlight.Done()
	a := t.sendNumbered(d, n, customer)
	t.mu.Lock()
	t.requests = append(t.requests, a)
	t.mu.Unlock()
}

// try sends a dispatcher one request.
func (t *traffic) sendNumbered(d *Dispatcher, n int, customer string) ClientRequest {
	id := fmt.Sprintf("%s-%06d", d.Name, n)
	return t.sendWithResend(d, ClientRequest{Dispatcher: d.Name, ID: id, Customer: customer, AtMostOnce: n%2 == 1}, "", `"`+id+`"`) // words of its own
}

// send sends it, with the key that names an instruction, if any. As the protocol page says of clients, one whose connection ends before the
// dispatcher has read its request sends it once more, on a new connection. Who was so slow to say something that the dispatcher had closed
// by then finds just that. What the dispatcher has read it must answer: the second sending has an id of its own, so that record can tell.
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

// came tells whether an attempt of a request has come to a replica.
func (t *traffic) reachedReplica(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.actions, func(a Action) bool { return a.ID == id })
}

// sendOnce sends it, and tells whether a connection was there for it.
func (t *traffic) sendOnce(client *http.Client, d *Dispatcher, a ClientRequest, key, body string) (ClientRequest, bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return a, false // the address is one of ours
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

func (t *traffic) close() {
	for _, r := range t.replicas {
		r.Close()
	}
	t.client.CloseIdleConnections()
}
