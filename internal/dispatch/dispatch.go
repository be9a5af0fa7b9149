// Package dispatch is the core of the dispatcher. It owns requests, their attempts and the
// outcomes, and does not depend on any wire protocol.
//
// One goroutine (Run) owns the decision module (package logic), the clock and the timers. All other
// goroutines post messages to it. A request passes through these stages, each in a file of its own:
//
//	submit.go  a front submits a request and gets a Ticket for its one final answer
//	admit.go   the request enters the table of open requests or is rejected
//	route.go   the decision module handles an event and its actions are executed
//	send.go    an attempt is sent if the rules on repeats allow it
//	relay.go   the stream of an attempt begins and is handed to the client
//	finish.go  an attempt ends or a client leaves, and state and table entries are cleaned up
package dispatch

import (
	"hash/maphash"
	"sync/atomic"
	"time"

	"standpulley/logic"
)

// Server is an entry of the list of replicas together with the address of the replica.
type Server struct {
	logic.ServerEntry
	Addr string
	// LastBoot is the process start by the wall clock of whoever made the list; zero means long
	// ago. The core derives Started from it.
	LastBoot time.Time

	// withdrawn is set by the core when a later list removes the replica, drains it or changes its
	// address.
	withdrawn *atomic.Bool
}

// Update is a change to the list of replicas, or the complete list if Full is set.
type Update struct {
	Version int64 // version of the list from discovery; 0 if it has none
	Full    bool
	Servers []Server
}

// Target is the destination and the time limit of an attempt.
type Target struct {
	Server string
	Addr   string
	Until  time.Time
	// NoReuse requires a new connection. On an idle one whose peer has disappeared unnoticed the
	// request could be lost, and it must not be repeated.
	NoReuse bool
	// BeforeSend is called right before the first byte is written, and its error stops the attempt.
	// Nil means that the attempt may always be sent.
	BeforeSend func() error
	// SettingsVersion is the version of the settings in force; empty if dispatchers do not agree on
	// settings.
	SettingsVersion string
}

// Payload is a request in the form of its wire protocol, which only the transport knows.
type Payload interface {
	// Send starts an attempt and returns at once. The attempt reports its progress to the
	// AttemptObserver.
	Send(to Target, observer AttemptObserver) Attempt
}

// Attempt is an attempt in flight.
type Attempt interface {
	// Cancel aborts the attempt without blocking. The attempt still reports its end.
	Cancel()
}

// AttemptObserver receives the progress of an attempt: Written and Began at most once each, then
// Ended exactly once.
type AttemptObserver interface {
	Written()
	Began(Stream)
	Ended(Result)
}

// Result is the result of an attempt that ended without a stream, or whose stream has ended.
type Result struct {
	Outcome logic.Outcome
	Tokens  int64 // with ReadDone: prompt tokens that were found in the cache of the reader
	// NoState is set if no state is left at the reader: with Full there was none to fetch, with any
	// other outcome the attempt has fetched it.
	NoState    bool
	NoLease    bool   // with NotSent: the dispatcher had no lease that allows sending
	ClientGone bool   // with NotSent: the client had closed its connection
	Broken     Cause  // why a stream broke off; empty for any other result
	Detail     string // for operators, not parsed
}

// Stream is an answer that has begun. Its holder must read it to the end or close it.
type Stream interface {
	// Next returns the next bytes, which are valid until the following call. It returns io.EOF at
	// the end of a complete stream and any other error if the stream is incomplete.
	Next() ([]byte, error)
	Close()
}

// Releaser makes replicas release everything that they hold for a request. It does not block.
// Replicas are tried in the order of addrs.
type Releaser interface {
	Release(id string, addrs []string)
	// ReleaseThen does the same and calls then once, from any goroutine: with true once a replica
	// has confirmed the release, or with false after the time within.
	ReleaseThen(id string, addrs []string, within time.Duration, then func(confirmed bool))
	// ReleaseAt makes one call to one replica and then calls then, from any goroutine, with whether
	// the replica answered.
	ReleaseAt(id, addr string, then func(answered bool))
}

// Prober sends health probes to replicas.
type Prober interface {
	// Probe sends a probe to the replica at addr without blocking. It calls then once, from any
	// goroutine, with Delivered or with the kind of failure.
	Probe(addr string, then func(logic.Outcome))
}

// Claims remembers the ids of requests that must not run twice. An id that was claimed may have run,
// or may run, also at another process of this dispatcher. Its methods do not block.
type Claims interface {
	// Claim claims an id and reports whether it was free.
	Claim(id string) bool
	// Release gives a claim back: the request has not run.
	Release(id string)
}

// Clock returns the current time. Only differences between its readings are used.
type Clock func() time.Time

// message is posted to the goroutine that owns the core, which calls apply.
type message interface{ apply(d *Dispatcher) }

// Dispatcher is the core: it owns the open requests and executes the actions of the decision
// module.
type Dispatcher struct {
	Phases *Phases
	Counts *Counts
	Delays *Delays
	Prober Prober // set before Run; nil: probes count as unanswered
	Claims Claims // set before Run; nil: ids are known while their requests are open

	settings logic.Settings
	router   *logic.Router
	releaser Releaser
	clock    Clock
	inbox    *inbox
	done     chan struct{}

	// The fields below belong to the goroutine of Run.
	startedAt time.Time // start of the core by clock
	starts    *startTimes
	requests  map[string]*request
	servers   map[string]*Server
	// releaseRanking holds the addresses of all replicas in order of preference for releases; nil
	// means that it must be rebuilt.
	releaseRanking   []string
	sampleSeed       maphash.Seed
	timers           timerHeap
	actions          []logic.Action
	events           []logic.Event // being routed; actions that end at once append further ones
	bounds           Bounds
	payloads         payloadSpace // safe for concurrent use
	lease            Lease
	admissionStopped bool // all new requests are refused
	overload         overload
	abandoned        map[string]*abandonedReads // by address of the replica
}

// Bounds are the limits of the table of open requests.
type Bounds struct {
	Requests int
	Bytes    int // sum of the payload sizes
}

// cappedBy returns the bounds, with Requests limited to MaxOpen of the settings.
func (b Bounds) cappedBy(settings logic.Settings) Bounds {
	if settings.MaxOpen > 0 {
		b.Requests = min(b.Requests, settings.MaxOpen)
	}
	return b
}

// New returns a Dispatcher that starts with the replicas of an initial list.
func New(settings logic.Settings, seed uint64, known Update, releaser Releaser, bounds Bounds) (*Dispatcher, error) {
	router, err := logic.New(settings, seed)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Phases: newPhases(), Counts: &Counts{}, settings: settings, router: router, releaser: releaser,
		clock: time.Now, inbox: newInbox(), done: make(chan struct{}),
		abandoned: map[string]*abandonedReads{}, requests: map[string]*request{}, servers: map[string]*Server{}, bounds: bounds.cappedBy(settings)}
	d.payloads.limit.Store(int64(bounds.Bytes))
	d.Delays = &Delays{windowStart: time.Now(), queued: d.inbox.queued}
	d.sampleSeed = maphash.MakeSeed()
	d.startedAt = d.clock()
	d.starts = newStartTimes(wallClock, d.now())
	d.applyList(known)
	return d, nil
}

// UpdateSettings puts new settings in force, or returns an error that names the invalid setting.
// Open requests keep their class. If a lease is given, open requests follow the stricter of the old
// and the new rule on repeats.
func (d *Dispatcher) UpdateSettings(settings logic.Settings, bounds Bounds, lease Lease) error {
	q := settingsUpdate{settings, bounds, lease, make(chan error, 1)}
	d.post(q)
	select {
	case err := <-q.reply:
		return err
	case <-d.done:
		return nil
	}
}

type settingsUpdate struct {
	settings logic.Settings
	bounds   Bounds
	lease    Lease
	reply    chan error
}

func (q settingsUpdate) apply(d *Dispatcher) {
	err := d.router.UpdateSettings(q.settings)
	if err == nil {
		d.settings, d.bounds, d.releaseRanking = q.settings, q.bounds.cappedBy(q.settings), nil
		d.payloads.limit.Store(int64(q.bounds.Bytes))
		d.Phases.setCanServe(d.canServe())
		if q.lease != nil {
			d.SetLease(q.lease)
			d.applyStricterRepeats()
		}
	}
	q.reply <- err
}

// Run runs the event loop of the core until Stop.
func (d *Dispatcher) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.stopped() {
		if !d.iterate() {
			d.await(timer)
		}
	}
	d.checkExit()
}

// await returns when a message may have been posted, when the next timer is due, or at Stop.
func (d *Dispatcher) await(timer *time.Timer) {
	wait := time.Hour
	if len(d.timers) > 0 {
		wait = time.Until(d.timers[0].at)
	}
	timer.Reset(wait)
	select {
	case <-d.inbox.wake:
	case <-timer.C:
	case <-d.done:
	}
}

// stopped reports whether Stop was called.
func (d *Dispatcher) stopped() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// Stop ends Run. Messages that are posted later are dropped.
func (d *Dispatcher) Stop() { close(d.done) }

// post queues a message for the core's goroutine without blocking.
func (d *Dispatcher) post(m message) {
	if !d.stopped() {
		d.inbox.put(m)
	}
}

// UpdateServers applies a change of the list of replicas.
func (d *Dispatcher) UpdateServers(u Update) { d.post(u) }

func (u Update) apply(d *Dispatcher) {
	d.starts.listReceived(d.now(), func(id string) bool { return d.servers[id] != nil })
	d.applyList(u)
}
