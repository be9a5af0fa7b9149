package logic

import "time"

// Events and actions: what the host reports to a Router and what a Router asks the host to do.

// EventKind is the type of an event.
type EventKind uint8

// Event kinds, with the fields that each one sets.
const (
	ListChanged   EventKind = iota // Servers holds the changed entries
	ListComplete                   // Servers holds the complete list
	ListFailed                     // fetching the list failed, or the subscription to it broke
	Arrived                        // RequestID and Request: a new request
	StreamStarted                  // RequestID, Server, Attempt, Took: the first token of the answer has arrived
	Ended                          // RequestID, Server, Attempt, Took, Outcome, RequestEnded, Tokens, NoState, Report
	Departed                       // RequestID: the client has disconnected
	TimerFired                     // Tag
	Probed                         // Server, Took, Outcome, Report: the answer to a probe
	PlaceAnswered                  // RequestID, Server, Attempt: the answer to a reservation, which a Router never makes
	StateReleased                  // RequestID: the host has released the held state; the prompt must be read again
)

func (k EventKind) String() string {
	return name(k, "list-changed", "list-complete", "list-failed", "arrived", "stream-started", "ended",
		"departed", "timer-fired", "probed", "place-answered", "state-released")
}

// Availability is the state of a listed server.
type Availability uint8

// Availability values.
const (
	Ready Availability = iota
	Draining
	Gone
)

func (a Availability) String() string { return name(a, "ready", "draining", "gone") }

// ServerEntry is one entry of the list of servers.
type ServerEntry struct {
	ID           string
	Zone         string
	Kind         string
	Cell         int64
	Availability Availability
	Weight       float64
	Started      time.Duration // time of the last start; 0 if long ago
}

// Request holds the properties of an arriving request.
type Request struct {
	Class        string
	Tenant       string // "" if the request belongs to none
	Session      uint64 // 0 if the request belongs to none
	Prefix       uint64 // hash of the prefix that the prompt shares with other sessions; 0 if none
	PrefixTokens int64
	PromptTokens int64
	MaxOutput    int64
	Retried      bool          // the client reports an earlier attempt
	Resumed      bool          // the client's stream broke, and it asks for the rest
	OutputHint   time.Duration // estimated length of the answer, as time at the target time per token; 0 if unknown
	Remaining    time.Duration // time until the client gives up
}

// Report is a server's load report; NaN marks a missing value.
type Report struct {
	MemoryHeld    float64 // share of its memory in use
	TokensWaiting float64 // prompt tokens waiting to be read or fetched
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Delivered   Outcome = iota // the answer is complete
	ServerError                // the server reported an error; the request may have run
	Full                       // the server rejected the request; with NoState, it found no state to fetch
	TimedOut                   // the request may have run or still be running
	ConnectFailed
	ConnectionLost // the request may have run
	Cancelled      // the request may have run
	NotSent
	ReadDone // the prompt is read, and its state is held by the reader
)

func (o Outcome) String() string {
	return name(o, "delivered", "server-error", "full", "timed-out", "connect-failed", "connection-lost",
		"cancelled", "not-sent", "read-done")
}

// Event is one event for a Router; Kind says which fields are set.
type Event struct {
	Kind         EventKind
	RequestID    string
	Request      Request
	Server       string
	Attempt      int
	Took         time.Duration
	Outcome      Outcome
	RequestEnded bool  // the client has been answered or has left: no further attempt is needed
	Tokens       int64 // for ReadDone and Delivered: prompt tokens that were cached at the server
	NoState      bool  // no state is left to fetch
	Report       *Report
	Servers      []ServerEntry // not retained after the call
	Tag          uint64
}

// ActionKind is the type of an action.
type ActionKind uint8

// Action kinds, with the fields that each one uses.
const (
	Send    ActionKind = iota // RequestID to Server; the host abandons the attempt at Until
	Refuse                    // RequestID: final answer; a retry is harmless, but not before After
	Fail                      // RequestID: final answer; the request may have run
	Release                   // RequestID: release everything that servers hold for it
	Cancel                    // RequestID, Attempt
	Wake                      // send a TimerFired with Tag after After; not needed once RequestID, if set, has ended
	Watch                     // subscribe to the list of servers
	Probe                     // Server: ask whether it is healthy; the answer is a Probed event
)

func (k ActionKind) String() string {
	return name(k, "send", "refuse", "fail", "release", "cancel", "wake", "watch", "probe")
}

// Action is one instruction to the host.
type Action struct {
	Kind      ActionKind
	RequestID string
	Server    string
	Attempt   int
	Until     time.Duration // point in time
	After     time.Duration // duration
	Tag       uint64
}

func name[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}
