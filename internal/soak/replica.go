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

// ReplicaEnv is the environment variable that holds the ReplicaConfig of a replica process.
const ReplicaEnv = "STANDPULLEY_SOAK_REPLICA"

// ReplicaConfig is the configuration of a replica process.
type ReplicaConfig struct {
	Name     string
	Reader   bool // otherwise a writer
	Listen   string
	Registry string // address of the registry that gets the reports
	Seed     uint64
	// SpoiltShare is the share of the answers that deviate from the usual form.
	SpoiltShare float64
}

// ReportKind says what a replica reports.
type ReportKind string

// The kinds of reports.
const (
	Received      ReportKind = "taken"    // the last byte of a call has arrived
	ReadDone      ReportKind = "read"     // a reader has finished the prefill and holds its state
	Fetch         ReportKind = "fetch"    // a writer asks for the state; the registry says whether it is held
	StreamStarted ReportKind = "ran"      // a writer begins to stream its answer
	Ended         ReportKind = "ended"    // an attempt is over, whichever side ended it
	Writing       ReportKind = "writing"  // a writer has written a part of a long event
	Spoilt        ReportKind = "spoilt"   // a writer goes on with something that is no sound stream
	Finished      ReportKind = "finished" // a writer has written its stream completely
	Released      ReportKind = "released" // a call to release held state has arrived
	Abandoned     ReportKind = "gave up"  // reported by the link: a dispatcher ended an attempt on a silent connection
)

// Report is one report about a replica.
type Report struct {
	At      time.Time
	Replica string
	Kind    ReportKind
	ID      string
	Detail  string // with Spoilt: in which way
}

// Behavior says how a replica treats calls.
type Behavior struct {
	Error, Full, Break, BreakStream, Hang float64 // shares of the calls that fail in this way
	Slow                                  float64 // multiplies all processing times; 0 counts as 1
}

// registryMessage is a message from the registry to a replica: the reply to a Fetch, or a new
// Behavior.
type registryMessage struct {
	Held    *bool     `json:",omitempty"`
	Conduct *Behavior `json:",omitempty"`
}

// replica simulates one reader or writer.
type replica struct {
	cfg      ReplicaConfig
	reporter reporter
	mu       sync.Mutex // guards the fields below
	behavior Behavior
	draw     *rand.Rand
}

// reporter sends the reports of a replica to the registry.
type reporter interface {
	// report records a report.
	report(Report)
	// fetch records a Fetch and reports whether the state was held.
	fetch(Report) bool
}

// remoteReporter sends reports over a connection, from a process of its own.
type remoteReporter struct {
	mu      sync.Mutex // held during a write
	conn    net.Conn
	replyMu sync.Mutex // held while waiting for a reply
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
		os.Exit(1) // a replica that can't report is of no use to the run
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

// listen starts the server of the replica.
func (r *replica) listen() (*fake.Replica, error) {
	act := r.write
	if r.cfg.Reader {
		act = r.read
	}
	return fake.StartWithObserver(r.cfg.Listen, r.onCall, act)
}

// RunReplica runs the replica that the JSON text configures. It returns when the connection to the
// registry is closed.
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
	r.report(Received, "") // tells the registry that the replica is up
	return r.receive(remote)
}

// receive handles the messages from the registry.
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

// fetch asks whether the state of a request is held, and takes it over.
func (r *replica) fetch(id string) bool {
	return r.reporter.fetch(Report{At: time.Now(), Replica: r.cfg.Name, Kind: Fetch, ID: id})
}

// ended reports the end of an attempt. If the replica stopped responding during the attempt, the
// dispatcher has given up on it just now.
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

// misbehave acts out a fault in place of an answer if the current behavior asks for one, and
// reports whether it did.
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

// randDuration draws a random duration, multiplied by the current slowdown.
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
	deviation, deviatesAt := r.drawDeviation(tokens)
	x.Head()
	for n := range tokens {
		if deviation != nil && n == deviatesAt && !r.deviate(x, deviation) {
			return
		}
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

// token is one token of an answer. It carries the request's ID, its position and the time of its
// writing.
type token struct {
	id string
	n  int
	at time.Time
}

func (t token) String() string { return fmt.Sprintf("%s %d %d;", t.id, t.n, t.at.UnixNano()) }

// parseToken parses the output of String.
func parseToken(text string) (t token, err error) {
	var at int64
	if _, err = fmt.Sscanf(text, "%s %d %d;", &t.id, &t.n, &at); err == nil {
		t.at = time.Unix(0, at)
	}
	return t, err
}
