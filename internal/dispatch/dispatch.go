// Package dispatch is the core of the dispatcher: requests, attempts and outcomes. It knows no wire.
//
// One goroutine (Run) owns the decision module, the clock and the timers. Everybody else posts messages to it.
// A request passes the stages take in, admit, route, send, relay and book, each in a file of its own:
//
//	take.go   a front hands in a request and gets a Ticket for its one final answer
//	admit.go  the request enters the table of open requests, or is turned away
//	route.go  the module decides; its actions are carried out
//	send.go   an attempt goes out, if the rules on repeats let it
//	relay.go  an attempt's stream begins and is handed to the client
//	book.go   an attempt ends, a client leaves: what is owed and held is settled
package dispatch

import (
	"container/heap"
	"hash/maphash"
	"sync/atomic"
	"time"

	"standpulley/logic"
)

// Server is one entry of the list of replicas with the address at which it is reached.
type Server struct {
	logic.ServerEntry
	Addr     string
	LastBoot time.Time // when its process started, by the wall clock of who made the list; zero: long ago. The core derives Started.

	withdrawn *atomic.Bool // by a later list; the core's own
}

// Update is the whole list of replicas, or what changed of it.
type Update struct {
	Version int64 // of discovery's list; 0 where there is none
	Full    bool
	Servers []Server
}

// Target is where an attempt goes and how long it may take.
type Target struct {
	Server          string
	Addr            string
	Until           time.Time
	NoReuse         bool         // it would be lost on a connection whose other side is gone unseen
	BeforeSend      func() error // asked right before the first byte; nil: it may leave
	SettingsVersion string       // of the settings that it is sent by; empty where dispatchers do not agree on them
}

// Payload is a request in the form of its wire; only it knows how to travel.
type Payload interface {
	// Send starts an attempt and returns at once. The attempt tells of itself through Report.
	Send(to Target, tell AttemptObserver) Attempt
}

// Attempt is one that is out.
type Attempt interface {
	// Cancel gives it up. It does not block; the attempt still reports that it ended.
	Cancel()
}

// AttemptObserver is how an attempt tells of itself: Written and Began at most once, then Ended exactly once.
type AttemptObserver interface {
	Written()
	Began(Stream)
	Ended(Result)
}

// Result is how an attempt ended.
type Result struct {
	Outcome    logic.Outcome
	Tokens     int64  // prompt tokens found kept, with ReadDone
	NoState    bool   // with Full: there was no state to fetch; else: the attempt has taken it
	NoLease    bool   // with NotSent: there was no leave to send
	ClientGone bool   // with NotSent: the client had gone
	Detail     string // for people
}

// Stream is an answer that has begun. Whoever holds it reads to the end or closes it.
type Stream interface {
	// Next gives the next bytes, valid until the call after. io.EOF tells that the stream is whole; any other
	// error, that it is not.
	Next() ([]byte, error)
	Close()
}

// Releaser lets go of all that replicas hold for a request. It does not block. Replicas are asked in the order of their addresses.
type Releaser interface {
	Release(id string, addrs []string)
	// ReleaseThen does the same and calls then once, from any goroutine: when a replica has confirmed it, or after a time.
	ReleaseThen(id string, addrs []string, within time.Duration, then func(confirmed bool))
	// ReleaseAt asks one replica once, and calls then with whether it has answered, from any goroutine.
	ReleaseAt(id, addr string, then func(answered bool))
}

// Prober asks replicas whether they are well.
type Prober interface {
	// Probe asks the replica at addr and calls then once, from any goroutine, with Delivered or what went wrong. It does not block.
	Probe(addr string, then func(logic.Outcome))
}

// Clock tells the time. Only spans between its readings count.
type Clock func() time.Time

// message is what is posted to the goroutine that owns the core.
type message interface{ apply(d *Dispatcher) }

// Dispatcher is the core.
type Dispatcher struct {
	Phases *Phases
	Counts *Counts
	Delays *Delays
	Prober Prober // set before Run; nil: no replica answers probes

	set      logic.Settings
	router   *logic.Router
	releaser Releaser
	clock    Clock
	inbox    *inbox
	done     chan struct{}

	// What follows belongs to Run's goroutine.
	startedAt        time.Time // the core itself, by clock
	starts           *startTimes
	requests         map[string]*request
	servers          map[string]*Server
	releaseRanking   []string // addresses of the replicas, the surest to be there first; nil: to be made anew
	sampleSeed       maphash.Seed
	timers           timerHeap
	actions          []logic.Action
	events           []logic.Event // that answer actions at once
	bounds           Bounds
	openBytes        int // of the open requests
	lease            Lease
	admissionStopped bool // nothing more is taken
	overload         overload
	abandoned        map[string]*abandonedReads // by the replica's address
}

// Bounds are those of the table of open requests.
type Bounds struct {
	Requests int
	Bytes    int // of their parcels together
}

// under gives the bounds that hold with some settings.
func (b Bounds) cappedBy(set logic.Settings) Bounds {
	if set.MaxOpen > 0 {
		b.Requests = min(b.Requests, set.MaxOpen)
	}
	return b
}

// New makes a Dispatcher that knows the replicas of an initial list.
func New(set logic.Settings, seed uint64, known Update, releaser Releaser, bounds Bounds) (*Dispatcher, error) {
	router, err := logic.New(set, seed)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Phases: newPhases(), Counts: &Counts{}, set: set, router: router, releaser: releaser,
		clock: time.Now, inbox: newInbox(), done: make(chan struct{}),
		abandoned: map[string]*abandonedReads{}, requests: map[string]*request{}, servers: map[string]*Server{}, bounds: bounds.cappedBy(set)}
	d.Delays = &Delays{windowStart: time.Now(), queued: d.inbox.queued}
	d.sampleSeed = maphash.MakeSeed()
	d.startedAt = d.clock()
	d.starts = newStartTimes(wallClock, d.now())
	d.applyList(known)
	return d, nil
}

// UpdateSettings puts other settings in force, or says which is wrong. Requests that are open keep their class. With a licence
// they keep to the stricter rule on repeats.
func (d *Dispatcher) UpdateSettings(set logic.Settings, bounds Bounds, lease Lease) error {
	q := settingsUpdate{set, bounds, lease, make(chan error, 1)}
	d.post(q)
	select {
	case err := <-q.reply:
		return err
	case <-d.done:
		return nil
	}
}

type settingsUpdate struct {
	set    logic.Settings
	bounds Bounds
	lease  Lease
	reply  chan error
}

func (q settingsUpdate) apply(d *Dispatcher) {
	err := d.router.UpdateSettings(q.set)
	if err == nil {
		d.set, d.bounds, d.releaseRanking = q.set, q.bounds.cappedBy(q.set), nil
		d.Phases.setCanServe(d.canServe())
		if q.lease != nil {
			d.SetLease(q.lease)
			d.applyStricterRepeats()
		}
	}
	q.reply <- err
}

// Run owns the core until Stop.
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

// await returns when something may have been posted, when the next timer is due, or at Stop.
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

// stopped tells whether Stop was called.
func (d *Dispatcher) stopped() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// Stop ends Run. Messages posted later are dropped.
func (d *Dispatcher) Stop() { close(d.done) }

// post hands a message to the core's goroutine. It does not block.
func (d *Dispatcher) post(m message) {
	if !d.stopped() {
		d.inbox.put(m)
	}
}

// UpdateServers takes a list of replicas.
func (d *Dispatcher) UpdateServers(u Update) { d.post(u) }

func (u Update) apply(d *Dispatcher) {
	d.starts.listReceived(d.now())
	d.applyList(u)
}

// alarm is a time at which something is to be done on the core's goroutine.
type timerEntry struct {
	at time.Time
	do func()
}

type timerHeap []timerEntry

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *timerHeap) Push(x any)        { *a = append(*a, x.(timerEntry)) }
func (a *timerHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*a = old[:len(old)-1]
	return x
}

func (d *Dispatcher) after(wait time.Duration, do func()) {
	heap.Push(&d.timers, timerEntry{d.clock().Add(wait), do})
}

// ring does what is due, but no more than one turn may, and tells whether anything was.
func (d *Dispatcher) runTimers() (busy bool) {
	for range maxPerIteration {
		if len(d.timers) == 0 || d.timers[0].at.After(d.clock()) {
			return busy
		}
		due, began := heap.Pop(&d.timers).(timerEntry), time.Now()
		due.do()
		now := time.Now()
		d.Delays.record(nil, began.Sub(due.at), now.Sub(began), now)
		busy = true
	}
	return busy
}
