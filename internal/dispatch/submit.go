package dispatch

import (
	"time"

	"standpulley/logic"
)

// Request is what a front hands in.
type Request struct {
	ID        string
	Spec      logic.Request
	Received  time.Time // when its last byte came: its deadline counts from here
	Payload   Payload
	Size      int            // bytes of memory that the parcel holds
	Intents   IntentRecorder // nil where nobody is to find its attempts
	Resumable bool           // its client asks another dispatcher for the rest of a stream that ends early

	// ClientGone tells whether the client has ended its connection. It is asked right before the first byte of each attempt, from the
	// attempt's goroutine; nil where nobody can tell.
	ClientGone func() bool
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts.
const (
	Served     Verdict = iota // Stream is the answer
	Refused                   // trying again is harmless
	Failed                    // nothing is promised: it may have run
	ClientLeft                // the client left before any of these; nobody is told
)

func (v Verdict) String() string { return [...]string{"served", "refused", "failed", "left"}[v] }

// Answer is the one final answer to a request.
type Answer struct {
	Verdict         Verdict
	RetryAfter      time.Duration // with Refused: the client should not come back sooner
	Reason          string        // for people
	SettingsVersion string        // of the settings that decided
	MayRun          bool          // an attempt has run, may have, or may yet
	Stream          Stream        // with Served
}

// Ticket stands for a request that was taken. Exactly one Answer comes.
type Ticket struct {
	d        *Dispatcher
	r        *request
	answer   chan Answer
	finished chan struct{}
}

// Answer gives the channel on which the one final answer comes.
func (t *Ticket) Answer() <-chan Answer { return t.answer }

// Abandon says that the client has gone. The answer still comes: Left, or what was decided before.
// No attempt begins any more, also before the core has heard of it.
func (t *Ticket) Abandon() {
	t.r.clientGone.Store(true)
	t.d.post(departure{t.r})
}

// Finish says that the front has passed the answer on, or could not. The caller owes it after every Answer.
func (t *Ticket) Finish() {
	close(t.finished)
	t.d.Phases.end()
	t.d.Counts.addOpen(-1)
}

// Finished is closed by Finish.
func (t *Ticket) Finished() <-chan struct{} { return t.finished }

// Submit hands in a request.
func (d *Dispatcher) Submit(q Request) *Ticket {
	t := &Ticket{d: d, answer: make(chan Answer, 1), finished: make(chan struct{})}
	t.r = &request{id: q.ID, spec: q.Spec, received: q.Received, payload: q.Payload, size: q.Size, resumable: q.Resumable, intents: q.Intents, ticket: t,
		checkClientGone: q.ClientGone}
	d.Phases.begin()
	d.Counts.addOpen(1)
	d.post(arrival{t.r})
	return t
}

type arrival struct{ r *request }

func (a arrival) apply(d *Dispatcher) { d.admit(a.r) }
