// Package standin has the stand-ins of the review's cases: a discovery agent, readers and writers that
// keep to the protocol page, and the dispatcher as a separate process. It listens on loopback addresses
// only, at ports that the system picks.
package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{f: f, start: time.Now()}, err
}

// Add writes a line with the time since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Entry is one replica in the agent's list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Agent is a discovery agent. It answers watches at once when its list has changed.
type Agent struct {
	Addr string

	// Told is called when a list has been written to the dispatcher; may be nil.
	Told func(list []Entry)
	// GivenUp is called when the dispatcher has closed the connection of a call that waits for its
	// turn; may be nil.
	GivenUp func(query string)

	ln      net.Listener
	server  *http.Server
	mu      sync.Mutex
	queue   time.Duration // how long a call waits for its turn
	version int64
	list    []Entry
	changed chan struct{} // closed when the list changes
}

// StartAgent starts an agent with a list.
func StartAgent(list []Entry) (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: ln.Addr().String(), ln: ln, list: list, version: 41, changed: make(chan struct{})}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(ln)
	return a, nil
}

// Set changes the list.
func (a *Agent) Set(list []Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetQueue sets how long each call waits for its turn before it is dealt with.
func (a *Agent) SetQueue(wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = wait
}

// Retire accepts no new connection from now on and closes the open ones after a time.
func (a *Agent) Retire(after time.Duration) {
	a.ln.Close()
	time.AfterFunc(after, func() { a.server.Close() })
}

func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	q := r.URL.Query()
	a.mu.Lock()
	queue := a.queue
	a.mu.Unlock()
	select {
	case <-time.After(queue):
	case <-r.Context().Done(): // the caller has given up
		if a.GivenUp != nil {
			a.GivenUp(r.URL.RawQuery)
		}
		return
	}
	a.mu.Lock()
	version, list, changed := a.version, a.list, a.changed
	a.mu.Unlock()
	full := q.Get("index") != fmt.Sprint(version)
	if !full {
		var ms int
		fmt.Sscan(q.Get("wait"), &ms)
		select {
		case <-time.After(time.Duration(min(ms, 60000)) * time.Millisecond):
		case <-changed:
			a.mu.Lock()
			full, version, list = true, a.version, a.list
			a.mu.Unlock()
		case <-r.Context().Done():
			return
		}
	}
	reply := map[string]any{"version": version, "full": full, "servers": []Entry{}}
	if full {
		reply["servers"] = list
	}
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		return
	}
	w.(http.Flusher).Flush()
	if full && a.Told != nil {
		a.Told(list)
	}
}

// Call is one request that a replica has received whole.
type Call struct {
	Replica *Replica
	ID      string
	Header  http.Header
	Body    []byte
	Arrived time.Time // when its head had come
}

// Fleet is the readers and writers of a case. It knows which read states are held.
type Fleet struct {
	Record *Record
	// ReadTime is how long a reader takes.
	ReadTime time.Duration
	// TurnAway reports whether a replica turns a request away; may be nil.
	TurnAway func(c Call) bool
	// Write answers a request at a writer whose state has been fetched.
	Write func(c Call, w *Stream)

	mu       sync.Mutex
	held     map[string]string // reader by request id
	replicas []*Replica
}

// Replica is a reader or a writer.
type Replica struct {
	Entry
	fleet *Fleet
}

// Add starts a replica of a kind; a reader answers 202, a writer streams.
func (f *Fleet) Add(id, kind, zone string, cell int) (*Replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{Entry{ID: id, Addr: ln.Addr().String(), Zone: zone, Kind: kind, Cell: cell, State: "in_service", Weight: 1}, f}
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	go (&http.Server{Handler: r}).Serve(ln)
	return r, nil
}

// List returns the entries of all replicas.
func (f *Fleet) List() (all []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		all = append(all, r.Entry)
	}
	return all
}

func (f *Fleet) hold(id, reader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == nil {
		f.held = map[string]string{}
	}
	f.held[id] = reader
}

// take removes the state of a request and reports whether one was held.
func (f *Fleet) take(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.held[id]
	delete(f.held, id)
	return ok
}

func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodDelete && strings.HasPrefix(q.URL.Path, "/bootstrap/rooms/") {
		r.fleet.take(strings.TrimPrefix(q.URL.Path, "/bootstrap/rooms/"))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	arrived := time.Now()
	id := q.Header.Get("X-Trace-Id")
	if q.URL.Path != "/v1/chat/completions" || id == "" {
		http.NotFound(w, q)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.fleet.Record.Add("%s: received %s", r.ID, id)
	if f := r.fleet.TurnAway; f != nil && f(Call{r, id, q.Header, body, arrived}) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(r.Kind, "prompt") {
		time.Sleep(r.fleet.ReadTime)
		if q.Context().Err() != nil { // the dispatcher gave the read up
			r.fleet.Record.Add("%s: read of %s was given up", r.ID, id)
			return
		}
		r.fleet.hold(id, r.ID)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
		return
	}
	if !r.fleet.take(id) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	r.fleet.Write(Call{r, id, q.Header, body, arrived}, &Stream{W: w, Gone: q.Context()})
}

// Stream is the answer of a writer.
type Stream struct {
	W    http.ResponseWriter
	Gone context.Context // ends when the dispatcher closes the connection
}

// Head sends the head of the answer.
func (s *Stream) Head() {
	s.W.Header().Set("Content-Type", "text/event-stream")
	s.W.WriteHeader(http.StatusOK)
	s.flush()
}

func (s *Stream) flush() {
	if f, ok := s.W.(http.Flusher); ok {
		f.Flush()
	}
}

// Token sends an event with a piece of text.
func (s *Stream) Token(text string) {
	fmt.Fprintf(s.W, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
	s.flush()
}

// End sends the last events. The last chunk follows when the handler returns.
func (s *Stream) End() {
	io.WriteString(s.W, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	io.WriteString(s.W, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n")
	io.WriteString(s.W, "data: [DONE]\n\n")
	s.flush()
}

// Reset breaks the connection of the answer without a last chunk.
func (s *Stream) Reset() {
	c, _, err := s.W.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer ln.Close()
	return ln.Addr().String()
}

// The program is to end with this process, which the system ties to the thread that started it.
func init() { runtime.LockOSThread() }

// Dispatcher is the program under test.
type Dispatcher struct {
	Config string // path of its configuration file
	cmd    *exec.Cmd
	ended  chan struct{}
}

// RunLine returns the command in the deploy file's line of the given name.
func RunLine(root, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^` + name + `\s*=\s*"([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", name)
	}
	return string(m[1]), nil
}

// StartDispatcher starts the program with the deploy file's run line, by /bin/sh from the root.
func StartDispatcher(root, dir, name, config string, env ...string) (*Dispatcher, error) {
	line, err := RunLine(root, "run")
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, name+".tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	d := &Dispatcher{Config: config, cmd: exec.Command("/bin/sh", "-c", line), ended: make(chan struct{})}
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = root, logFile, logFile
	d.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "EDGE_NAME=" + name, "EDGE_CONFIG=" + config}, env...)
	// It ends with this process, however this one ends.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { d.cmd.Wait(); close(d.ended) }()
	return d, nil
}

// Signal sends a signal to the program.
func (d *Dispatcher) Signal(s syscall.Signal) error { return d.cmd.Process.Signal(s) }

// Ended reports whether the program has ended.
func (d *Dispatcher) Ended() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// Kill ends the program and waits for its end.
func (d *Dispatcher) Kill() {
	d.cmd.Process.Kill()
	<-d.ended
}

// AwaitReady waits until GET /-/ready at the address answers 200.
func AwaitReady(addr string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get("http://" + addr + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", addr, limit)
}

// ReadAnswer reads one answer from a client's connection: its status and its body.
func ReadAnswer(br *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// WriteJSON writes a file atomically, as an operator's tool does.
func WriteJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".next", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// Main runs a case with the arguments root, folder for temporary files, and record. The case returns
// how often the rule was broken. Without an error the exit status is 1 if it was broken and 0 if not;
// with one it is 2. trouble is false with TROUBLE=0.
func Main(run func(root, dir string, rec *Record, trouble bool) (broken int, err error)) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: case ROOT FOLDER RECORD")
		os.Exit(2)
	}
	rec, err := NewRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[1])
	if err == nil {
		trouble := os.Getenv("TROUBLE") != "0"
		rec.Add("trouble: %v", trouble)
		var broken int
		if broken, err = run(root, os.Args[2], rec, trouble); err == nil {
			rec.Add("the rule was broken %d times", broken)
			fmt.Printf("broken %d times\n", broken)
			os.Exit(min(broken, 1))
		}
	}
	rec.Add("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// Pid returns the program's process id.
func (d *Dispatcher) Pid() int { return d.cmd.Process.Pid }
