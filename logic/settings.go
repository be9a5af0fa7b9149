package logic

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Settings and their checks.

const (
	quotaBurst = 2.0 // seconds of its share that a tenant may send at once
)

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
	Siblings         int // instances of this tier, this one included
	Zone             string
	Kinds            []Kind
	Classes          []Class
	Tenants          []Tenant
	OverQuotaWorth   float64       // worth of what exceeds a tenant's share, as a fraction
	ReadInPlace      bool          // a writer without a state reads the prompt itself
	CanCancel        bool          // Cancel is allowed
	CanProbe         bool          // Probe is allowed
	ProbePrice       float64       // price of a probe for each request, as a share of its worth
	CancelStopsWork  bool          // what was given up is over; else its read may go on, as the end of a connection may not come to the server
	ListOnRequest    bool          // the list of servers comes only after Watch or Fetch
	MaxAttempts      int           // sends for a request, at most
	CrossZonePrice   float64       // price of an attempt in another zone, as a share of a request's worth
	MaxRetryAfter    time.Duration // longest pause a client honours; 0 where none is conveyed
	ReleaseWithin    time.Duration // a held state is sent on or released within this
	ColdFrom         float64       // capacity of a just started server, at least
	RampTime         time.Duration // and it is warm no later than this
	FallMultiple     float64       // sent more than this multiple of its capacity
	FallTime         time.Duration // for this long, it falls over
	ListPollInterval time.Duration // ask for the list no less often, where it must be asked

	// WarmRates is the requests a second that a warm server of a kind and of weight 1 is known to have borne for this router, for while
	// none of its kind is warm; none where nothing is known.
	WarmRates map[string]float64

	// What follows binds the host that carries out the actions; no decision reads it.
	DrainGrace     time.Duration // a draining or gone server gets nothing new later than this
	AnswerSlack    time.Duration // a final answer counts until so long after the deadline
	ConnIdle       time.Duration // a server closes a connection that has stood idle for this long
	ConnectTimeout time.Duration // a connection that is not up by then has failed
	MaxOpen        int           // requests open at once; 0 = no limit told
	Resume         bool          // clients ask for the rest of a stream that broke
}

// CanResumeElsewhere tells whether a client whose stream ends early finds the rest of it at another router.
func (s Settings) CanResumeElsewhere() bool { return s.Resume && s.Siblings > 1 }

// check names the first setting that no Router can work with.
func (s Settings) check() error {
	invalid := func(name string, v any) error { return fmt.Errorf("logic: setting %s: %v is not allowed", name, v) }
	switch {
	case s.Siblings < 1:
		return invalid("Siblings", s.Siblings)
	case s.MaxAttempts < 1:
		return invalid("MaxAttempts", s.MaxAttempts)
	case len(s.Classes) == 0:
		return errors.New("logic: setting Classes: there is none")
	case len(s.Kinds) == 0:
		return errors.New("logic: setting Kinds: there is none")
	case s.ReleaseWithin < 0:
		return invalid("ReleaseWithin", s.ReleaseWithin)
	case s.ColdFrom < 0 || s.ColdFrom > 1:
		return invalid("ColdFrom", s.ColdFrom)
	case s.RampTime < 0 || s.FallTime < 0 || s.FallMultiple < 0:
		return invalid("RampTime, FallTime, FallMultiple", "a negative figure")
	}
	for _, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return invalid("Classes["+c.Name+"].Aim, Deadline", "a figure of 0 or less")
		}
	}
	return nil
}

// UpdateSettings puts other settings in force, or says which is wrong. What was learned stays, and so do the classes of
// the requests that are open.
func (l *Router) UpdateSettings(set Settings) error {
	if err := set.check(); err != nil {
		return err
	}
	l.applySettings(set)
	for _, s := range l.order {
		l.setRole(s)
	}
	l.rebuildIndex()
	l.updateHomeWeights()
	return nil
}

func (l *Router) applySettings(set Settings) {
	l.set = set
	shortestAim, classes, tenants := time.Duration(math.MaxInt64), map[string]*classState{}, map[string]*tenantState{}
	for _, c := range set.Classes {
		shortestAim = min(shortestAim, c.Aim)
		if classes[c.Name] = l.classes[c.Name]; classes[c.Name] == nil || classes[c.Name].Class != c {
			classes[c.Name] = &classState{Class: c}
		}
	}
	l.minOverdue = overdueAimShare * shortestAim.Seconds()
	for _, t := range set.Tenants {
		rate := t.QuotaRPS / float64(set.Siblings)
		if tenants[t.Name] = l.tenants[t.Name]; tenants[t.Name] == nil {
			tenants[t.Name] = &tenantState{credit: rate * quotaBurst}
		}
		tenants[t.Name].rate = rate
	}
	l.classes, l.tenants = classes, tenants
}

// place finds a server's role and memory by its kind.
func (l *Router) setRole(s *server) {
	for _, k := range l.set.Kinds {
		if k.Name == s.Kind {
			s.role, s.memoryTokens = k.Role, float64(k.MemoryTokens)
		}
	}
}

type classState struct {
	Class
}
