package dispatch

import (
	"cmp"
	"time"

	"standpulley/logic"
)

// Request is a request that a front submits.
type Request struct {
	ID        string
	Identity  string // what must not run twice; empty: ID
	Spec      logic.Request
	Received  time.Time // arrival of the last byte; the deadline counts from here
	Payload   Payload
	Size      int            // memory of the payload in bytes
	Intents   IntentRecorder // nil if the attempts need not be recorded
	Resumable bool           // the client asks another dispatcher for the rest if the stream ends early

	// ClientGone reports whether the client has closed its connection. It is called right before
	// the first byte of each attempt, from the goroutine of the attempt. It is nil if this cannot
	// be checked.
	ClientGone func() bool
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts.
const (
	Served     Verdict = iota // the answer is in Stream
	Refused                   // retrying is harmless
	Failed                    // no promise: the request may have run
	ClientLeft                // the client left before any other verdict; nothing is sent to it
)

func (v Verdict) String() string { return [...]string{"served", "refused", "failed", "left"}[v] }

// Answer is the one final answer to a request.
type Answer struct {
	Verdict         Verdict
	RetryAfter      time.Duration // with Refused: the client should not retry sooner
	Reason          string        // for people, not parsed
	SettingsVersion string        // version of the settings by which the request was decided
	MayRun          bool          // an attempt ran, may have run or may still run
	Stream          Stream        // with Served
}

// Ticket represents a submitted request. Exactly one Answer is delivered for it.
type Ticket struct {
	dispatcher *Dispatcher
	request    *request
	answer     chan Answer
	finished   chan struct{}
}

// Answer returns the channel on which the one final answer is delivered.
func (t *Ticket) Answer() <-chan Answer { return t.answer }

// Abandon reports that the client has gone. An answer is still delivered: ClientLeft, or what was
// decided before. No attempt starts after this call, even if the core has not yet processed the
// message.
func (t *Ticket) Abandon() {
	t.request.clientGone.Store(true)
	t.dispatcher.post(departure{t.request})
}

// Finish reports that the front has passed the answer on or has failed to. The front must call it
// after every Answer.
func (t *Ticket) Finish() {
	close(t.finished)
	t.dispatcher.Phases.end()
	t.dispatcher.Counts.addOpen(-1)
}

// Finished returns a channel that is closed by Finish.
func (t *Ticket) Finished() <-chan struct{} { return t.finished }

// Submit hands a request to the core.
func (d *Dispatcher) Submit(q Request) *Ticket {
	t := &Ticket{dispatcher: d, answer: make(chan Answer, 1), finished: make(chan struct{})}
	t.request = &request{id: q.ID, identity: cmp.Or(q.Identity, q.ID), spec: q.Spec, received: q.Received, payload: q.Payload, size: q.Size, resumable: q.Resumable, intents: q.Intents, ticket: t,
		checkClientGone: q.ClientGone}
	if t.request.hasSpace = d.payloads.reserve(q.Size); !t.request.hasSpace {
		t.request.payload = nil // not before the core refuses the request: the core may be behind
	}
	d.Phases.begin()
	d.Counts.addOpen(1)
	d.post(arrival{t.request})
	return t
}

type arrival struct{ request *request }

func (a arrival) apply(d *Dispatcher) { d.admit(a.request) }
