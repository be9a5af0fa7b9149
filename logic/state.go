package logic

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// What a Router remembers. Nothing in this file decides; the decisions are in logic.go.

type phase uint8

const (
	parked    phase = iota // no attempt is out; waits for a server
	reading                // an attempt at a reader is out
	writing                // an attempt at a writer is out, nothing has come yet
	streaming              // the answer runs
)

type request struct {
	Request
	id        string
	seq       uint64
	class     *classState
	phase     phase
	ended     bool          // answered or departed; kept only for the outcome that is still owed
	first     time.Duration // when its client first tried
	deadline  time.Duration
	parkUntil time.Duration
	attempts  int
	at        *server // where the attempt is out
	sentAt    time.Duration
	expected  float64 // seconds that the attempt should take, as foreseen
	cancelled bool
	state     *server // the reader where the read state waits
	claim     int64   // tokens the table said were kept
	ahead     float64 // unread tokens found at the reader when sent
	unread    int64   // tokens counted into the reader's unread
	held      float64 // tokens counted into the writer's memory
	ranAt     *server // an attempt that may have run, or may be out yet
	ranSince  time.Duration
	avoid     []*server
}

type classState struct {
	Class
}

type tenantState struct {
	rate, credit float64
	at           time.Duration
}

// laneKey tells the like of a request: its tenant and class.
type laneKey struct {
	tenant string
	class  *classState
}

// lane is how a server took the like of a request.
type lane struct {
	fullTill, pause time.Duration
}

func laneOf(r *request) laneKey { return laneKey{r.Tenant, r.class} }

func (s *server) lane(r *request) lane { return s.lanes[laneOf(r)] }

type server struct {
	ServerEntry
	role      Role
	memory    float64
	listed    bool
	offAt     time.Duration // when it was last named as not to be used
	waiting   []*request    // attempts out that have not begun to answer
	heard     time.Duration
	passed    time.Duration // the latest send that it has answered
	fails     int
	errors    int
	tried     decayed       // attempts that ended with an answer or an error
	erred     decayed       // and those with an error
	failedAt  time.Duration // when fails began
	backAt    time.Duration
	lanes     map[laneKey]lane
	hash      uint64  // of its ID
	turns     float64 // sends that the cold rule leaves this router, earned up to turnsAt
	turnsAt   time.Duration
	rate      decayed // reads ended and streams begun
	perToken  float64 // seconds a token, learned from reads, last at rateAt
	extra     float64 // seconds that reads waited beyond that
	rateAt    time.Duration
	unread    int64
	since     time.Duration // table entries older than this are of an earlier process
	held      float64       // tokens of our own writes there
	writes    int
	crowd     float64 // readers for each writer in its cell or zone, beside the whole fleet's
	zoneCrowd float64
	pull      float64 // how readily a reader is a home
	start     float64 // seconds to the first token, and when it was seen
	startAt   time.Duration
	report    Report
	reportAt  time.Duration
	sentTok   float64 // tokens sent since the report
}

// placeSum is what all readers and all writers of a place weigh: the fleet, a zone or a cell.
type placeSum [2]float64

// at gives a place's sum, a new one where there is none yet.
func at[K comparable](sums map[K]*placeSum, place K) *placeSum {
	if sums[place] == nil {
		sums[place] = &placeSum{}
	}
	return sums[place]
}

// decayed is a sum that fades with time.
type decayed struct {
	v  float64
	at time.Duration
}

func (d *decayed) add(now time.Duration, x float64, life time.Duration) float64 {
	if d.v != 0 {
		d.v *= math.Exp(-float64(now-d.at) / float64(life))
	}
	d.at = now
	d.v += x
	return d.v
}

// fade is what is left of something after a time, by its life.
func fade(age, life time.Duration) float64 { return math.Exp(-float64(age) / float64(life)) }

// tryKey tells a client's tries of one request from other requests.
type tryKey struct {
	session uint64
	tokens  int64
}

type tableKey struct {
	prefix bool
	key    uint64
}

type holding struct {
	at     *server
	tokens int64
	seen   time.Duration
	sure   bool
}

// Router decides for one router process. It is not safe for concurrent use.
type Router struct {
	set      Settings
	seed     uint64
	classes  map[string]*classState
	tenants  map[string]*tenantState
	servers  map[string]*server
	order    []*server // in order of first listing
	table    map[tableKey][]holding
	requests map[string]*request
	bySeq    map[uint64]*request
	open     []*request // in order of arrival
	seq      uint64
	now      time.Duration
	out      []Action
	ticking  bool
	watching bool
	swept    time.Duration
	average  float64
	retries  float64
	popular  map[uint64]decayed // arrivals by shared beginning, or by session
	arrivals decayed
	came     decayed                  // the same with the memory of rates
	tries    map[tryKey]time.Duration // when a request was first seen
	overdue  float64                  // seconds
	held     float64                  // tokens of all our writes, and the memory of all listed writers
	memory   float64
	usual    float64 // seconds that reads lately took
	extra    float64 // seconds that they waited beyond what was known here, last at extraAt
	extraAt  time.Duration
}

// match is what the table says of a prompt at a reader: the length it believes in and the one it claims, if sure.
type match struct {
	tokens, claim int64
	presumed      bool // by the key's hash alone
}

// drawn is a server with its lot for a key.
type drawn struct {
	at  *server
	lot float64
}

type readChoice struct {
	at         *server
	wait, read float64
	ahead      float64 // tokens
	match      match
	rehome     bool
}

func without(all []*request, r *request) []*request {
	return slices.DeleteFunc(all, func(x *request) bool { return x == r })
}

// keysOf gives the table keys of a request's session and of its shared beginning.
func keysOf(r *request) (session, prefix tableKey) {
	return tableKey{false, r.Session}, tableKey{true, r.Prefix}
}

func emptyRouter(seed uint64) *Router {
	return &Router{
		seed: seed, seq: tagRequests, retries: 1,
		servers: map[string]*server{},
		table:   map[tableKey][]holding{}, requests: map[string]*request{}, bySeq: map[uint64]*request{},
		tries: map[tryKey]time.Duration{}, popular: map[uint64]decayed{},
	}
}

// Movable tells whether a client whose stream ends early finds the rest of it at another router.
func (s Settings) Movable() bool { return s.Resume && s.Siblings > 1 }

// check names the first setting that no Router can work with.
func (s Settings) check() error {
	bad := func(name string, v any) error { return fmt.Errorf("logic: setting %s: %v is not allowed", name, v) }
	switch {
	case s.Siblings < 1:
		return bad("Siblings", s.Siblings)
	case s.MaxAttempts < 1:
		return bad("MaxAttempts", s.MaxAttempts)
	case len(s.Classes) == 0:
		return errors.New("logic: setting Classes: there is none")
	case len(s.Kinds) == 0:
		return errors.New("logic: setting Kinds: there is none")
	case s.ReleaseWithin < 0:
		return bad("ReleaseWithin", s.ReleaseWithin)
	case s.ColdFrom < 0 || s.ColdFrom > 1:
		return bad("ColdFrom", s.ColdFrom)
	case s.RampTime < 0 || s.FallTime < 0 || s.FallMultiple < 0:
		return bad("RampTime, FallTime, FallMultiple", "a negative figure")
	}
	for _, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return bad("Classes["+c.Name+"].Aim, Deadline", "a figure of 0 or less")
		}
	}
	return nil
}

// LeftAlone counts the listed servers that are passed over now because they failed.
func (l *Router) LeftAlone(now time.Duration) (n int) {
	for _, s := range l.order {
		if s.listed && s.fails > 0 && now < s.backAt {
			n++
		}
	}
	return n
}

// mix spreads a key over all 64 bits.
func mix(h uint64) uint64 {
	h = (h ^ h>>31) * 0x9e3779b97f4a7c15
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// unit is a number from 0 to 1 by a hash.
func unit(h uint64) float64 { return float64(mix(h)>>11) / (1 << 53) }
