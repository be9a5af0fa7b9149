package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet is the stand-in for the replicas. Readers read prompts, first come first; the read state is
// held until a writer fetches it or a release comes; a writer that finds no state answers 410.
type fleet struct {
	mu   sync.Mutex
	held map[string]string // reader that holds the state of a request
	runs []run
	work []arrival
}

// run is an answer that a writer began: from then on the request has had its effect.
type run struct {
	at     time.Time
	writer string
	id     string
	body   string
}

// arrival is the first byte of a request for work at a replica.
type arrival struct {
	at      time.Time
	replica string
	id      string
	body    string
}

func newFleet() *fleet { return &fleet{held: map[string]string{}} }

type replica struct {
	fleet      *fleet
	id         string
	kind       string
	addr       string
	mu         sync.Mutex
	rate       float64    // prompt tokens a second
	slow       float64    // so many times slower
	turn       sync.Mutex // of a reader: one prompt at a time
	tokens     int        // of an answer
	gap        time.Duration
	server     *http.Server
	firstToken time.Duration // of a writer: from the start of the work to the first event
}

func (f *fleet) start(id, kind string) *replica {
	r := &replica{fleet: f, id: id, kind: kind, rate: 13000, slow: 1, tokens: 12, gap: 20 * time.Millisecond}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "a replica")
	r.addr = ln.Addr().String()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }()
	say("replica %s (%s) at %s", id, kind, r.addr)
	return r
}

func (r *replica) setSlow(by float64) {
	r.mu.Lock()
	r.slow = by
	r.mu.Unlock()
	say("%s runs %g times slower", r.id, by)
}

func (r *replica) setAnswer(tokens int, gap time.Duration) {
	r.mu.Lock()
	r.tokens, r.gap = tokens, gap
	r.mu.Unlock()
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	id := q.Header.Get("X-Trace-Id")
	if room, ok := strings.CutPrefix(q.URL.Path, "/bootstrap/rooms/"); ok {
		if q.Method == http.MethodDelete {
			r.fleet.mu.Lock()
			delete(r.fleet.held, room)
			r.fleet.mu.Unlock()
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if id == "" || q.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	text, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	body := string(text)
	r.fleet.mu.Lock()
	r.fleet.work = append(r.fleet.work, arrival{arrived, r.id, id, body})
	r.fleet.mu.Unlock()
	say("%s got %s, class %s: %s", r.id, id, q.Header.Get("X-Qos"), brief(body))
	if r.kind == "prompt-box" {
		r.read(w, q, id, len(body)/4)
		return
	}
	r.write(w, id, body)
}

func (r *replica) read(w http.ResponseWriter, q *http.Request, id string, tokens int) {
	r.turn.Lock()
	r.mu.Lock()
	took := time.Duration(float64(tokens) / r.rate * r.slow * float64(time.Second))
	r.mu.Unlock()
	time.Sleep(took)
	r.turn.Unlock()
	if q.Context().Err() != nil {
		say("%s: the read of %s was given up", r.id, id)
		return
	}
	r.fleet.mu.Lock()
	r.fleet.held[id] = r.id
	r.fleet.mu.Unlock()
	say("%s has read %s", r.id, id)
	answer := `{"cached_tokens":0}`
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusAccepted)
	_, _ = io.WriteString(w, answer)
}

func (r *replica) write(w http.ResponseWriter, id, body string) {
	r.fleet.mu.Lock()
	_, there := r.fleet.held[id]
	delete(r.fleet.held, id)
	r.fleet.mu.Unlock()
	if !there {
		say("%s finds no state of %s", r.id, id)
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	r.fleet.mu.Lock()
	r.fleet.runs = append(r.fleet.runs, run{time.Now(), r.id, id, body})
	r.fleet.mu.Unlock()
	say("%s RUNS %s: %s", r.id, id, brief(body))
	time.Sleep(r.firstToken)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	event := func(data string) {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		w.(http.Flusher).Flush()
	}
	r.mu.Lock()
	tokens, gap := r.tokens, r.gap
	r.mu.Unlock()
	for i := range tokens {
		event(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}]}`, i))
		time.Sleep(gap)
	}
	event(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	event(`{"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":12,"prompt_tokens_details":{"cached_tokens":0}}}`)
	event("[DONE]")
}

// runsOf counts the runs of requests whose body has the words.
func (f *fleet) runsOf(words string) (found []run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if strings.Contains(r.body, words) {
			found = append(found, r)
		}
	}
	return found
}

// workAt returns what came to a replica after a moment.
func (f *fleet) workAt(replica string, after time.Time) (found []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.work {
		if a.replica == replica && a.at.After(after) {
			found = append(found, a)
		}
	}
	return found
}

func brief(body string) string {
	if at := strings.LastIndex(body, "content"); at >= 0 {
		body = body[at:]
	}
	if len(body) > 100 {
		body = body[:50] + "..." + body[len(body)-45:]
	}
	return body
}

// agent is the stand-in for discovery.
type agent struct {
	addr    string
	mu      sync.Mutex
	version int64
	list    []object
	changed chan struct{}
}

func entry(r *replica, state string) object {
	return object{"id": r.id, "addr": r.addr, "zone": "half-way-tree", "kind": r.kind, "cell": 1, "state": state, "weight": 1.0, "started_ms": 0}
}

func startAgent(list ...object) *agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "discovery")
	a := &agent{addr: ln.Addr().String(), version: 1, list: list, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, a) }()
	say("discovery at %s", a.addr)
	return a
}

func (a *agent) set(list ...object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	a.list = list
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	index, _ := strconv.ParseInt(q.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait"))
	a.mu.Lock()
	changed := a.changed
	known := q.URL.Query().Has("index") && index == a.version
	a.mu.Unlock()
	if known {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
	a.mu.Lock()
	answer := object{"version": a.version, "full": true, "servers": a.list}
	if known && index == a.version {
		answer = object{"version": a.version, "full": false, "servers": []object{}}
	}
	a.mu.Unlock()
	var text bytes.Buffer
	_ = json.NewEncoder(&text).Encode(answer)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text.Bytes())
}
