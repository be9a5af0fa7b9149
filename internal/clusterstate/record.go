// Package clusterstate holds the rules by which dispatchers agree on versions of their settings and
// of the list of replicas. It does no I/O, reads no clock and starts no goroutines: the same entries
// in the same order produce the same Record at every voter, and callers pass the time in.
//
//	keys.go         the table of settings keys, and which keys of two versions conflict
//	record.go       the replicated record of versions and voters' seats, changed by entries only
//	entry.go        the entries that change the record
//	lists.go        the part of the record about the list of replicas
//	leasetable.go   the leader's view of all leases, and when a version may be put in force
//	readers.go      which dispatchers read the registry, and which ones count as running
//	lease.go        a dispatcher's lease, which expires by its own monotonic clock
//	rebootstrap.go  a new record made from what is left of a lost cluster
package clusterstate

import (
	"fmt"
	"slices"
	"strings"

	"standpulley/internal/membership"
)

// Fault is the reason why a dispatcher turns a version down: a key and what is wrong with it.
type Fault struct {
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

func (f *Fault) Error() string {
	if f.Key == "" {
		return f.Reason
	}
	return fmt.Sprintf("key %s: %s", f.Key, f.Reason)
}

// State is the state of a version.
type State string

// The states of a version.
const (
	Pending    State = "pending"     // dispatchers are checking it; none acts on it
	Canary     State = "canary"      // only the canary dispatcher acts on it
	InForce    State = "in force"    // decided: each dispatcher acts on it or has no lease
	Superseded State = "superseded"  // was in force until a later version replaced it
	TurnedDown State = "turned down" // a dispatcher rejected it; it was never in force
	Withdrawn  State = "withdrawn"   // taken back before it was in force
)

// Version is one version of the settings. No number is ever used twice.
type Version struct {
	Number      uint64            `json:"number"`
	Base        uint64            `json:"base"` // the version that it was derived from
	State       State             `json:"state"`
	Content     string            `json:"content"` // JSON
	Keys        map[string]string `json:"keys"`    // the content, flattened to values by key path
	Fingerprint string            `json:"print"`   // of the content
	By          string            `json:"by"`
	Why         string            `json:"why,omitempty"`
	// wall-clock time at the proposing dispatcher, for display only
	At           string `json:"at"`
	CanaryMember string `json:"only,omitempty"`   // the dispatcher that acts on it first
	RollbackTo   uint64 `json:"back,omitempty"`   // the version whose content it restores
	Member       string `json:"member,omitempty"` // who turned it down or withdrew it
	Fault        *Fault `json:"fault,omitempty"`  // why it was turned down
}

// Seat is a voter's membership of the consensus group. Disk is a random number that is stored with
// the voter's log: a voter that has lost its log has another disk, so it no longer holds the seat.
type Seat struct {
	Name string `json:"name"`
	Disk uint64 `json:"disk"`
}

// Record is the replicated state, identical at all voters that have applied the same entries.
type Record struct {
	Cluster       uint64    `json:"cluster"`  // random, chosen when the cluster was bootstrapped
	RequiredSeats int       `json:"wanted"`   // no version takes effect until so many seats have been taken
	Complete      bool      `json:"complete"` // as many seats as required have been taken
	Seats         []Seat    `json:"seats"`
	RetiredDisks  []uint64  `json:"past"` // disks that had a seat and lost it
	Versions      []Version `json:"versions"`
	InForceNumber uint64    `json:"force"`  // 0 before the first
	LastNumber    uint64    `json:"last"`   // the highest number given to a version
	Results       []Result  `json:"done"`   // answers to the latest proposals
	Revision      uint64    `json:"stamp"`  // grows with each change of the record
	Decisions     uint64    `json:"decide"` // how many times a version was put in force

	List membership.List `json:"list"` // of replicas, if dispatchers agree on that too
	// the latest changes of List, for dispatchers that have missed only a few
	Changes []membership.Change `json:"changes"`
	Orders  membership.Orders   `json:"orders"`
	Census  membership.Census   `json:"census"`

	// by voter, the disk number of the ledger file that it last used
	LedgerDisks map[string]uint64 `json:"ledgers,omitempty"`
}

// Result is the answer to a proposal. It is kept because the proposer may repeat its proposal after
// a change of leader.
type Result struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"`
	Error  string `json:"error,omitempty"`
}

const (
	maxKeptVersions = 64 // the oldest are dropped first, never those in force, pending or canary
	maxKeptBytes    = 1 << 20
	maxKeptResults  = 128
	// MaxContent is the largest content of a version, in bytes.
	MaxContent = 256 << 10
)

// Version returns the version with a number, nil if it is no longer kept or never existed.
func (rec *Record) Version(number uint64) *Version {
	for i := range rec.Versions {
		if rec.Versions[i].Number == number {
			return &rec.Versions[i]
		}
	}
	return nil
}

// InForce returns the version in force, nil before the first.
func (rec *Record) InForce() *Version { return rec.Version(rec.InForceNumber) }

// InProgress returns the version that is pending or canary, nil if there is none.
func (rec *Record) InProgress() *Version {
	for i := range rec.Versions {
		if s := rec.Versions[i].State; s == Pending || s == Canary {
			return &rec.Versions[i]
		}
	}
	return nil
}

// SeatOf returns the disk that holds a voter's seat.
func (rec *Record) SeatOf(name string) (disk uint64, taken bool) {
	for _, s := range rec.Seats {
		if s.Name == name {
			return s.Disk, true
		}
	}
	return 0, false
}

// Apply applies one entry. An entry that is not valid for the present state of the record changes
// nothing, and the error says why. The number is that of the version or list that the entry concerns.
func (rec *Record) Apply(e Entry) (number uint64, err error) {
	switch {
	case e.Bootstrap != nil:
		err = rec.bootstrap(e.Bootstrap)
	case e.Propose != nil:
		return rec.applyOnce(e.Propose.ID, func() (uint64, error) { return rec.propose(e.Propose) })
	case e.Withdraw != nil:
		return rec.applyOnce(e.Withdraw.ID, func() (uint64, error) { return e.Withdraw.Number, rec.withdraw(e.Withdraw) })
	case e.TurnDown != nil:
		number, err = e.TurnDown.Number, rec.turnDown(e.TurnDown)
	case e.Activate != nil:
		number, err = e.Activate.Number, rec.activate(e.Activate)
	case e.TakeSeat != nil:
		err = rec.takeSeat(*e.TakeSeat)
	case e.Order != nil:
		return rec.applyOnce(e.Order.Request, func() (uint64, error) { return rec.List.Number, rec.placeOrder(e.Order.Order) })
	case e.Lift != nil:
		return rec.applyOnce(e.Lift.Request, func() (uint64, error) { return rec.List.Number, rec.liftOrder(e.Lift) })
	case e.Ledger != nil:
		return rec.applyOnce(e.Ledger.Request, func() (uint64, error) {
			if rec.LedgerDisks == nil {
				rec.LedgerDisks = map[string]uint64{}
			}
			rec.LedgerDisks[e.Ledger.Name] = e.Ledger.Disk
			return 0, nil
		})
	case e.Change != nil:
		number, err = e.Change.Number, rec.applyChange(*e.Change)
	case e.Census != nil:
		err = rec.applyCensus(*e.Census)
	}
	if err == nil {
		rec.Revision++
	}
	return number, err
}

// applyOnce applies a change once for each ID; for a known ID it returns the recorded result.
func (rec *Record) applyOnce(id string, change func() (uint64, error)) (uint64, error) {
	for _, d := range rec.Results {
		if d.ID == id {
			if d.Error != "" {
				return d.Number, fmt.Errorf("%s", d.Error)
			}
			return d.Number, nil
		}
	}
	n, err := change()
	d := Result{ID: id, Number: n}
	if err != nil {
		d.Error = err.Error()
	} else {
		rec.Revision++
	}
	rec.Results = append(rec.Results, d)
	if len(rec.Results) > maxKeptResults {
		rec.Results = slices.Clone(rec.Results[len(rec.Results)-maxKeptResults:])
	}
	return n, err
}

func (rec *Record) bootstrap(f *Bootstrap) error {
	if rec.Cluster != 0 {
		return fmt.Errorf("the cluster was founded before")
	}
	rec.Cluster, rec.RequiredSeats, rec.Seats = f.Cluster, f.RequiredSeats, []Seat{f.Seat}
	rec.addVersion(&f.First)
	rec.putInForce(1)
	rec.Complete = len(rec.Seats) >= rec.RequiredSeats
	return nil
}

func (rec *Record) addVersion(p *Propose) uint64 {
	rec.LastNumber++
	rec.Versions = append(rec.Versions, Version{Number: rec.LastNumber, Base: p.Base, State: Pending, Content: p.Content, Keys: p.Keys,
		Fingerprint: p.Fingerprint, By: p.By, Why: p.Why, At: p.At, CanaryMember: p.CanaryMember, RollbackTo: p.RollbackTo})
	for i := 0; i < len(rec.Versions) && rec.overKeptLimits(); {
		if s := rec.Versions[i].State; s == InForce || s == Pending || s == Canary {
			i++
			continue
		}
		rec.Versions = slices.Delete(rec.Versions, i, i+1)
	}
	return rec.LastNumber
}

// overKeptLimits reports whether more versions, or more bytes of content, are held than are kept.
func (rec *Record) overKeptLimits() bool {
	bytes := 0
	for _, v := range rec.Versions {
		bytes += len(v.Content)
	}
	return len(rec.Versions) > maxKeptVersions || bytes > maxKeptBytes
}

// propose adds a pending version for all dispatchers to check. It must be based on the version in
// force, and only one version may be in progress at a time.
func (rec *Record) propose(p *Propose) (uint64, error) {
	if candidate := rec.InProgress(); candidate != nil {
		return 0, fmt.Errorf("version %d by %s is under way; keys that it moves: %s", candidate.Number, candidate.By,
			changedKeys(rec.keysOf(candidate.Base), candidate.Keys))
	}
	if p.Base != rec.InForceNumber {
		return 0, fmt.Errorf("made from version %d, and %d is in force since; keys that moved: %s", p.Base, rec.InForceNumber,
			changedKeys(rec.keysOf(p.Base), rec.keysOf(rec.InForceNumber)))
	}
	if len(DifferingKeys(rec.keysOf(rec.InForceNumber), p.Keys)) == 0 {
		return 0, fmt.Errorf("no key differs from version %d, which is in force", rec.InForceNumber)
	}
	if p.CanaryMember != "" {
		if conflicts := ConflictingKeys(rec.keysOf(rec.InForceNumber), p.Keys); len(conflicts) > 0 {
			return 0, fmt.Errorf("%s alone may not act on it: it contradicts version %d in %s", p.CanaryMember, rec.InForceNumber, strings.Join(conflicts, ", "))
		}
	}
	return rec.addVersion(p), nil
}

func (rec *Record) keysOf(number uint64) map[string]string {
	if v := rec.Version(number); v != nil {
		return v.Keys
	}
	return nil
}

const maxListedKeys = 12

func changedKeys(from, to map[string]string) string {
	if from == nil {
		return "not known, the version is no longer kept"
	}
	changed := DifferingKeys(from, to)
	if len(changed) > maxListedKeys {
		return fmt.Sprintf("%s and %d more", strings.Join(changed[:maxListedKeys], ", "), len(changed)-maxListedKeys)
	}
	return strings.Join(changed, ", ")
}

func (rec *Record) checkInProgress(number uint64) (*Version, error) {
	v := rec.InProgress()
	if v == nil || v.Number != number {
		return nil, fmt.Errorf("version %d is not under way", number)
	}
	return v, nil
}

func (rec *Record) turnDown(t *TurnDown) error {
	v, err := rec.checkInProgress(t.Number)
	if err != nil {
		return err
	}
	v.State, v.Member, v.Fault = TurnedDown, t.Member, &t.Fault
	return nil
}

func (rec *Record) withdraw(w *Withdraw) error {
	v, err := rec.checkInProgress(w.Number)
	if err != nil {
		return err
	}
	v.State, v.Member = Withdrawn, w.By
	return nil
}

func (rec *Record) activate(a *Activate) error {
	v, err := rec.checkInProgress(a.Number)
	if err != nil {
		return err
	}
	if a.Canary && v.CanaryMember != "" {
		if v.State == Canary {
			return fmt.Errorf("version %d is at %s already", v.Number, v.CanaryMember)
		}
		v.State = Canary
		return nil
	}
	rec.putInForce(v.Number)
	return nil
}

func (rec *Record) putInForce(number uint64) {
	if previous := rec.InForce(); previous != nil {
		previous.State = Superseded
	}
	rec.Version(number).State = InForce
	rec.InForceNumber = number
	rec.Decisions++
}

// takeSeat gives a voter's seat to a disk. The disk that held the seat before can never have a seat
// again.
func (rec *Record) takeSeat(s Seat) error {
	if slices.Contains(rec.RetiredDisks, s.Disk) {
		return fmt.Errorf("the disk of %s had a seat before and lost it", s.Name)
	}
	for i := range rec.Seats {
		if rec.Seats[i].Disk == s.Disk {
			return fmt.Errorf("the disk of %s has a seat", s.Name)
		}
	}
	for i := range rec.Seats {
		if rec.Seats[i].Name == s.Name {
			rec.RetiredDisks = append(rec.RetiredDisks, rec.Seats[i].Disk)
			rec.Seats[i] = s
			return nil
		}
	}
	rec.Seats = append(rec.Seats, s)
	rec.Complete = rec.Complete || len(rec.Seats) >= rec.RequiredSeats
	return nil
}
