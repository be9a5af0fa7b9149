// Package logic decides where a request router sends each prompt: which reader reads it, which
// writer answers it, when to try again and when to refuse. It does no I/O, keeps no goroutines and
// reads no clock: the host feeds events with the time and carries out the actions it gets back.
package logic

import "time"

// Role tells what a kind of server does.
type Role uint8

// The roles of server kinds.
const (
	Reader Role = iota // reads prompts and holds their state
	Writer             // fetches a state and streams the answer
	Mixed              // does both
)

func (r Role) String() string { return name(r, "reader", "writer", "mixed") }

// Repeat tells whether a class may run more than once.
type Repeat uint8

// The repeat classes.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // repeats are dropped within a group for a while
	Unsafe               // may run once only
)

func (r Repeat) String() string { return name(r, "safe", "keyed", "unsafe") }

// Scope is the group of servers that drops the repeats of a keyed request.
type Scope uint8

// The scopes.
const (
	AllServers Scope = iota
	SameZone
	SameCell
)

func (s Scope) String() string { return name(s, "all", "zone", "cell") }

// Kind describes one kind of server.
type Kind struct {
	Name         string
	Role         Role
	MemoryTokens int64 // 0 where unknown
}

// Class describes one class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // first token within this earns the full worth
	AimPer1K  time.Duration // added for each 1,000 prompt tokens
	TokenAim  time.Duration // wanted mean time between tokens
	Deadline  time.Duration
	LateWorth float64
	Worth     float64
	Repeat    Repeat
	Scope     Scope         // for Keyed
	Window    time.Duration // for Keyed
}

// Tenant describes one customer of the fleet.
type Tenant struct {
	Name     string
	QuotaRPS float64 // requests a second within its share, all routers together
}

// Settings is what an instance is told at its start.
type Settings struct {
	Siblings       int // instances of this tier, this one included
	Zone           string
	Kinds          []Kind
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64       // worth of what exceeds a tenant's share, as a fraction
	ReadInPlace    bool          // a writer without a state reads the prompt itself
	CanCancel      bool          // Cancel is allowed
	CancelEnds     bool          // what was given up is over; else its read may go on, as the end of a connection may not come to the server
	ListOnRequest  bool          // the list of servers comes only after Watch or Fetch
	MaxAttempts    int           // sends for a request, at most
	CrossZone      float64       // price of an attempt in another zone, as a share of a request's worth
	MaxRetryAfter  time.Duration // longest pause a client honours; 0 where none is conveyed
	ReleaseWithin  time.Duration // a held state is sent on or released within this
	ColdFrom       float64       // capacity of a just started server, at least
	RampTime       time.Duration // and it is warm no later than this
	FallMultiple   float64       // sent more than this multiple of its capacity
	FallTime       time.Duration // for this long, it falls over
	AskEvery       time.Duration // ask for the list no less often, where it must be asked

	// Bears is the requests a second that a warm server of a kind and of weight 1 is known to have borne for this router, for while
	// none of its kind is warm; none where nothing is known.
	Bears map[string]float64

	// What follows binds the host that carries out the actions; no decision reads it.
	DrainGrace     time.Duration // a draining or gone server gets nothing new later than this
	AnswerSlack    time.Duration // a final answer counts until so long after the deadline
	ConnIdle       time.Duration // a server closes a connection that has stood idle for this long
	ConnectTimeout time.Duration // a connection that is not up by then has failed
	MaxOpen        int           // requests open at once; 0 = no limit told
	Resume         bool          // clients ask for the rest of a stream that broke
}

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
	Probed                         // Server, Took, Outcome, Report: a probe's answer (never asked for)
	PlaceAnswered                  // RequestID, Server, Attempt: answer to a place held ahead (never asked for)
)

func (k EventKind) String() string {
	return name(k, "list-changed", "list-complete", "list-failed", "arrived", "stream-started", "ended",
		"departed", "timer-fired", "probed", "place-answered")
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
	Again        bool          // the client says that it tried before
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
	Kind      EventKind
	RequestID string
	Request   Request
	Server    string
	Attempt   int
	Took      time.Duration
	Outcome   Outcome
	Over      bool  // the request has ended
	Tokens    int64 // with ReadDone and Delivered: prompt tokens found kept
	NoState   bool  // nothing is left to fetch
	Report    *Report
	Servers   []ServerEntry // not kept after the call
	Tag       uint64
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
)

func (k ActionKind) String() string {
	return name(k, "send", "refuse", "fail", "release", "cancel", "wake", "watch")
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
