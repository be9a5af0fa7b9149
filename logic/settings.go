package logic

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Settings and their validation.

const (
	quotaBurst = 2.0 // seconds of its quota that a tenant may send in one burst
)

// Role is the role of a kind of server.
type Role uint8

// Roles of server kinds.
const (
	Reader Role = iota // prefills prompts and holds their state
	Writer             // fetches a state and streams the answer
	Mixed              // does both
)

func (r Role) String() string { return name(r, "reader", "writer", "mixed") }

// Repeat says whether a request of a class may run more than once.
type Repeat uint8

// Repeat values.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // a group of servers deduplicates repeats for a while
	Unsafe               // may run only once
)

func (r Repeat) String() string { return name(r, "safe", "keyed", "unsafe") }

// Scope is the group of servers that deduplicates repeats of a keyed request.
type Scope uint8

// Scope values.
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
	MemoryTokens int64 // 0 if unknown
}

// Class describes one class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // target time to first token; an answer within it earns the full worth
	AimPer1K  time.Duration // added to Aim for each 1,000 prompt tokens
	TokenAim  time.Duration // target mean time between tokens
	Deadline  time.Duration
	LateWorth float64
	Worth     float64
	Repeat    Repeat
	Scope     Scope         // for Keyed
	Window    time.Duration // for Keyed
}

// Tenant describes one tenant of the fleet.
type Tenant struct {
	Name     string
	QuotaRPS float64 // its quota in requests per second, over all routers
}

// Settings is the configuration of one router.
type Settings struct {
	Siblings       int // routers of this tier, including this one
	Zone           string
	Kinds          []Kind
	Classes        []Class
	Tenants        []Tenant
	OverQuotaWorth float64 // worth of requests beyond a tenant's quota, as a fraction
	ReadInPlace    bool    // a writer without a state reads the prompt itself
	CanCancel      bool    // Cancel actions are allowed
	CanProbe       bool    // Probe actions are allowed
	ProbePrice     float64 // price of a probe, as a share of a request's worth
	// CancelStopsWork means that an abandoned attempt is over. Otherwise its read may go on, as the
	// close of the connection may not reach the server.
	CancelStopsWork  bool
	ListOnRequest    bool          // the list of servers arrives only after Watch
	MaxAttempts      int           // maximum number of sends for a request
	CrossZonePrice   float64       // price of an attempt in another zone, as a share of a request's worth
	MaxRetryAfter    time.Duration // longest pause that clients honour; 0 if it can't be conveyed
	ReleaseWithin    time.Duration // a held state is sent on or released within this
	ColdFrom         float64       // least capacity of a server that has just started, as a share of its full capacity
	RampTime         time.Duration // a server is warm after this at the latest
	FallMultiple     float64       // a server is overloaded when it is sent more than this multiple of its capacity ...
	FallTime         time.Duration // ... for this long
	ListPollInterval time.Duration // longest interval between polls of the list, where it must be polled

	// WarmRates is, by kind, the requests per second that a warm server with weight 1 is known to
	// have served for this router. It is used while no server of the kind is warm, and is empty if
	// nothing is known.
	WarmRates map[string]float64

	// The fields below are for the host that carries out the actions; no decision uses them.
	DrainGrace     time.Duration // a draining or gone server is sent nothing new after this
	AnswerSlack    time.Duration // a final answer still counts until this long after the deadline
	ConnIdle       time.Duration // a server closes connections that have been idle for this long
	ConnectTimeout time.Duration // a connection that is not established within this has failed
	MaxOpen        int           // maximum number of open requests; 0 if there is no limit
	Resume         bool          // clients ask for the rest of a broken stream
}

// Resumable reports whether a client whose stream breaks can get the rest of it from
// another router.
func (s Settings) Resumable() bool { return s.Resume && s.Siblings > 1 }

// check returns an error that names the first invalid setting.
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

// UpdateSettings applies new settings, or returns an error that names the invalid one. Learned
// estimates are kept, and open requests keep their class.
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

// setRole sets a server's role and memory from its kind.
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
