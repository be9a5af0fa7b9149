package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/fake"
)

// ReplicaEnv holds the ReplicaConfig of a process that is to be a replica.
const ReplicaEnv = "STANDPULLEY_SOAK_REPLICA"

// ReplicaConfig is what a replica process is told.
type ReplicaConfig struct {
	Name     string
	Reader   bool // else a writer
	Listen   string
	Registry string // where it reports
	Seed     uint64
}

// NoteKind says what a replica reports.
type ReportKind string

// What a replica reports.
const (
	Received      ReportKind = "taken"    // the last byte of a call has come
	ReadDone      ReportKind = "read"     // a prompt was read, its state waits
	Fetch         ReportKind = "fetch"    // a writer asks for the state; the registry answers
	StreamStarted ReportKind = "ran"      // a writer began to answer
	Ended         ReportKind = "ended"    // an attempt is over, whoever ended it
	Finished      ReportKind = "finished" // a writer's stream was written whole
	Released      ReportKind = "released" // a call to let go of what is held has come
	Abandoned     ReportKind = "gave up"  // by a link: a dispatcher has ended an attempt on a connection that is silent
)

// Note is one report of a replica.
type Report struct {
	At      time.Time
	Replica string
	Kind    ReportKind
	ID      string
}

// Conduct is how a replica treats calls from now on.
type Behavior struct {
	Error, Full, Break, BreakStream, Hang float64 // shares of calls
	Slow                                  float64 // multiplies its times; 0 counts as 1
}

// fetched is the registry's reply to a Fetch.
type registryMessage struct {
	Held    *bool     `json:",omitempty"`
	Conduct *Behavior `json:",omitempty"`
}

// replica plays one reader or writer.
type replica struct {
	cfg      ReplicaConfig
	reporter reporter
	mu       sync.Mutex // for all below
	behavior Behavior
	draw     *rand.Rand
}

// reporter is how a replica reaches the registry.
type reporter interface {
	// report books a note.
	report(Report)
	// fetch books a Fetch and tells whether the state was there.
	fetch(Report) bool
}

// remoteReporter reports over a connection, from another process.
type remoteReporter struct {
	mu      sync.Mutex // held for a write
	conn    net.Conn
	replyMu sync.Mutex // held by who waits for a reply
	replies chan bool
}

func (m *remoteReporter) report(n Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := jsoniter.Marshal(n)
	if err == nil {
		_, err = m.conn.Write(append(text, '\n'))
	}
	if err != nil {
		os.Exit(1) // without its registry nothing that it does counts
	}
}

func (m *remoteReporter) fetch(n Report) bool {
	m.replyMu.Lock()
	defer m.replyMu.Unlock()
	m.report(n)
	return <-m.replies
}

func newReplica(cfg ReplicaConfig, reporter reporter) *replica {
	return &replica{cfg: cfg, reporter: reporter, draw: rand.New(rand.NewPCG(cfg.Seed, uint64(os.Getpid())))}
}

// listen serves calls.
func (r *replica) listen() (*fake.Replica, error) {
	act := r.write
	if r.cfg.Reader {
		act = r.read
	}
	return fake.StartWithObserver(r.cfg.Listen, r.onCall, act)
}

// RunReplica is the process of a replica. It returns when its registry has gone.
func RunReplica(text string) error {
	var cfg ReplicaConfig
	if err := jsoniter.UnmarshalFromString(text, &cfg); err != nil {
		return fmt.Errorf("%s: %w", ReplicaEnv, err)
	}
	conn, err := net.Dial("tcp", cfg.Registry)
	if err != nil {
		return err
	}
	remote := &remoteReporter{conn: conn, replies: make(chan bool, 1)}
	r := newReplica(cfg, remote)
	if _, err := r.listen(); err != nil {
		return err
	}
	r.report(Received, "") // it is up
	return r.receive(remote)
}

// obey takes replies and conducts from the registry.
func (r *replica) receive(remote *remoteReporter) error {
	for lines := bufio.NewScanner(remote.conn); lines.Scan(); {
		var m registryMessage
		if err := jsoniter.Unmarshal(lines.Bytes(), &m); err != nil {
			return err
		}
		if m.Held != nil {
			remote.replies <- *m.Held
		}
		if m.Conduct != nil {
			r.mu.Lock()
			r.behavior = *m.Conduct
			r.mu.Unlock()
		}
	}
	return nil
}

func (r *replica) report(kind ReportKind, id string) {
	r.reporter.report(Report{At: time.Now(), Replica: r.cfg.Name, Kind: kind, ID: id})
}

// fetch asks whether the state of a request is there, and takes it.
func (r *replica) fetch(id string) bool {
	return r.reporter.fetch(Report{At: time.Now(), Replica: r.cfg.Name, Kind: Fetch, ID: id})
}

// ended reports the end of an attempt. Where the replica fell silent meanwhile, the dispatcher has given it up just now.
func (r *replica) ended(x *fake.Exchange) {
	if x.Stalled() {
		r.report(Abandoned, x.ID)
	}
	r.report(Ended, x.ID)
}

func (r *replica) onCall(c fake.Call) {
	switch c.Method {
	case "DELETE":
		r.report(Released, c.Path[len("/bootstrap/rooms/"):])
	case "POST":
		r.report(Received, c.ID)
	}
}

// misbehave plays what the conduct asks for instead of an answer, and tells whether it did.
func (r *replica) misbehave(x *fake.Exchange) bool {
	r.mu.Lock()
	c, p := r.behavior, r.draw.Float64()
	r.mu.Unlock()
	for _, way := range []struct {
		share float64
		play  func()
	}{
		{c.Error, func() { x.Status(500, false, "spoilt") }},
		{c.Full, func() { x.Status(503, true, "full") }},
		{c.Break, x.Break},
		{c.Hang, x.WaitClosed},
	} {
		if p -= way.share; p < 0 {
			way.play()
			return true
		}
	}
	return false
}

// span draws a time.
func (r *replica) randDuration(least, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := least + time.Duration(r.draw.Int64N(int64(most-least)))
	if r.behavior.Slow > 0 {
		wait = time.Duration(float64(wait) * r.behavior.Slow)
	}
	return wait
}

func (r *replica) read(x *fake.Exchange) {
	defer r.ended(x)
	if r.misbehave(x) || x.WaitClosedFor(r.randDuration(readMin, readMax)) {
		return
	}
	r.report(ReadDone, x.ID)
	x.Read(0)
}

const (
	readMin, readMax   = 10 * time.Millisecond, 150 * time.Millisecond
	queueMin, queueMax = time.Millisecond, 400 * time.Millisecond
	tokenMin, tokenMax = 5 * time.Millisecond, 40 * time.Millisecond
	extraTokensMax     = 150
)

func (r *replica) write(x *fake.Exchange) {
	defer r.ended(x)
	if r.misbehave(x) {
		return
	}
	if !r.fetch(x.ID) {
		x.Status(410, true, "nothing is held")
		return
	}
	if x.WaitClosedFor(r.randDuration(queueMin, queueMax)) {
		return
	}
	r.report(StreamStarted, x.ID)
	r.mu.Lock()
	tokens, breaks := 2+r.draw.IntN(extraTokensMax), r.draw.Float64() < r.behavior.BreakStream
	r.mu.Unlock()
	x.Head()
	for n := range tokens {
		if breaks && n == tokens/2 {
			x.Break()
			return
		}
		x.Token(token{x.ID, n, time.Now()}.String())
		if x.Broken() || x.WaitClosedFor(r.randDuration(tokenMin, tokenMax)) {
			return
		}
	}
	if x.End(); !x.Broken() {
		r.report(Finished, x.ID)
	}
}

// token is a piece of an answer, which tells whose it is, its place and when it was written.
type token struct {
	id string
	n  int
	at time.Time
}

func (t token) String() string { return fmt.Sprintf("%s %d %d;", t.id, t.n, t.at.UnixNano()) }

// parseToken reads what String writes.
func parseToken(text string) (t token, err error) {
	var at int64
	if _, err = fmt.Sscanf(text, "%s %d %d;", &t.id, &t.n, &at); err == nil {
		t.at = time.Unix(0, at)
	}
	return t, err
}
