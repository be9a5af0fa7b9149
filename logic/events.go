package logic

import "time"

// Events and actions: what the host tells a Router and what a Router has it do.

// EventKind names what has happened.
type EventKind uint8

// The events.
const (
	ListChanged   EventKind = iota // Servers holds changed entries
	ListComplete                   // Servers holds the complete list
	ListFailed                     // a Watch or Fetch failed, or the subscription broke
	Arrived                        // a request: RequestID and Request
	StreamStarted                  // RequestID, Server, Attempt, Took: the answer has begun
	Ended                          // RequestID, Server, Attempt, Took, Outcome, Over, Tokens, NoState, Report
	Departed                       // RequestID: the client is gone
	TimerFired                     // Tag
	Probed                         // Server, Took, Outcome, Report: a probe's answer
	PlaceAnswered                  // RequestID, Server, Attempt: answer to a place held ahead (never asked for)
	StateReleased                  // RequestID: the host has let go of the state that waited for it; it must be read anew
)

func (k EventKind) String() string {
	return name(k, "list-changed", "list-complete", "list-failed", "arrived", "stream-started", "ended",
		"departed", "timer-fired", "probed", "place-answered", "state-released")
}

// Availability is the state of a listed server.
type Availability uint8

// The availabilities.
const (
	Ready Availability = iota
	Draining
	Gone
)

func (a Availability) String() string { return name(a, "ready", "draining", "gone") }

// ServerEntry is one line of the list of servers.
type ServerEntry struct {
	ID           string
	Zone         string
	Kind         string
	Cell         int64
	Availability Availability
	Weight       float64
	Started      time.Duration // clock of the last start; 0 = long ago
}

// Request is what an arriving request tells of itself.
type Request struct {
	Class        string
	Tenant       string // "" where there are none
	Session      uint64 // 0 = none
	Prefix       uint64 // the beginning it shares with other sessions; 0 = none
	PrefixTokens int64
	PromptTokens int64
	MaxOutput    int64
	Retried      bool          // the client says that it tried before
	Resumed      bool          // its stream broke, and it asks for the rest
	OutputHint   time.Duration // guess of the answer's length at the token aim; 0 = none
	Remaining    time.Duration // until the client gives up
}

// Report is a server's load report; NaN marks a value that is not given.
type Report struct {
	MemoryHeld    float64 // share of memory held
	TokensWaiting float64 // prompt tokens that wait to be read or fetched
}

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Delivered   Outcome = iota // served
	ServerError                // the server says it failed; it may have run
	Full                       // turned away; with NoState, there was nothing to fetch
	TimedOut                   // it may have run or be running
	ConnectFailed
	ConnectionLost // it may have run
	Cancelled      // it may have run
	NotSent
	ReadDone // the prompt is read, its state waits at the reader
)

func (o Outcome) String() string {
	return name(o, "delivered", "server-error", "full", "timed-out", "connect-failed", "connection-lost",
		"cancelled", "not-sent", "read-done")
}

// Event is one thing that happened; its Kind tells which fields count.
type Event struct {
	Kind         EventKind
	RequestID    string
	Request      Request
	Server       string
	Attempt      int
	Took         time.Duration
	Outcome      Outcome
	RequestEnded bool  // the request has ended
	Tokens       int64 // with ReadDone and Delivered: prompt tokens found kept
	NoState      bool  // nothing is left to fetch
	Report       *Report
	Servers      []ServerEntry // not kept after the call
	Tag          uint64
}

// ActionKind names what the host is to do.
type ActionKind uint8

// The actions.
const (
	Send    ActionKind = iota // RequestID to Server, abandoned at Until
	Refuse                    // final: trying again is harmless, not before After
	Fail                      // final: promises nothing
	Release                   // let go of all that is held for RequestID
	Cancel                    // RequestID, Attempt
	Wake                      // a TimerFired with Tag after After
	Watch                     // subscribe to the list of servers
	Probe                     // Server: ask whether it is well; the answer is Probed
)

func (k ActionKind) String() string {
	return name(k, "send", "refuse", "fail", "release", "cancel", "wake", "watch", "probe")
}

// Action is one thing for the host to do.
type Action struct {
	Kind      ActionKind
	RequestID string
	Server    string
	Attempt   int
	Until     time.Duration // clock
	After     time.Duration // interval
	Tag       uint64
}

func name[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}
