// Package agree decides how dispatchers agree on versions of their settings. It does no I/O, reads no clock and keeps
// no goroutines: the same entries in the same order give the same Book everywhere, and times are handed in.
//
//	keys.go   which keys of two versions contradict each other
//	book.go   the agreed record: versions and the seats of voters, changed by entries alone
//	entry.go  what changes it
//	tally.go  the leader's view of who may act on what, and when a version may be put in force
//	lease.go  a dispatcher's leave to act, which runs out by its own monotonic clock
package agree

import (
	"fmt"
	"slices"
	"strings"

	"standpulley/internal/membership"
)

// Fault is why a version is turned down: a key and what is wrong with it.
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

// State is where a version stands.
type State string

// The states of a version.
const (
	Pending    State = "pending"     // dispatchers are checking it; nobody acts on it
	Canary     State = "canary"      // one dispatcher acts on it
	InForce    State = "in force"    // decided: all act on it or on nothing
	Superseded State = "superseded"  // it was in force
	TurnedDown State = "turned down" // never in force anywhere
	Withdrawn  State = "withdrawn"   // its operator took it back before it was in force
)

// Version is one content of the settings. Numbers are never used twice.
type Version struct {
	Number       uint64            `json:"number"`
	Base         uint64            `json:"base"` // the version that it was made from
	State        State             `json:"state"`
	Content      string            `json:"content"` // JSON
	Keys         map[string]string `json:"keys"`    // the same, by path
	Fingerprint  string            `json:"print"`   // fingerprint of the content
	By           string            `json:"by"`
	Why          string            `json:"why,omitempty"`
	At           string            `json:"at"`               // wall clock of the dispatcher that took it, for people
	CanaryMember string            `json:"only,omitempty"`   // the dispatcher that goes first
	RollbackTo   uint64            `json:"back,omitempty"`   // the version whose content it brings back
	Member       string            `json:"member,omitempty"` // who turned it down ...
	Fault        *Fault            `json:"fault,omitempty"`  // ... and why
}

// Seat is a voter's place. Its disk is drawn with its log: a voter that has lost its log is not the one that was seated.
type Seat struct {
	Name string `json:"name"`
	Disk uint64 `json:"disk"`
}

// Book is what all voters record alike.
type Record struct {
	Cluster       uint64    `json:"cluster"` // drawn when the cluster was founded
	RequiredSeats int       `json:"wanted"`  // seats: nothing is in force until all have been taken once
	Complete      bool      `json:"complete"`
	Seats         []Seat    `json:"seats"`
	RetiredDisks  []uint64  `json:"past"` // disks that had a seat
	Versions      []Version `json:"versions"`
	InForceNumber uint64    `json:"force"`  // the number in force; 0 before the first
	LastNumber    uint64    `json:"last"`   // the last number that was given out
	Results       []Result  `json:"done"`   // what was answered to the latest proposals
	Revision      uint64    `json:"stamp"`  // grows with every change
	Decisions     uint64    `json:"decide"` // entries that put something in force, counted: the history of decisions

	List    membership.List     `json:"list"`    // of replicas, where dispatchers agree on that too
	Changes []membership.Change `json:"changes"` // the latest, for who has missed few of them
	Orders  membership.Orders   `json:"orders"`
	Census  membership.Census   `json:"census"`

	LedgerDisks map[string]uint64 `json:"ledgers,omitempty"` // the file with which each voter last held the ledger
}

// Done is the answer to a proposal, kept as its proposer may ask again after a leader was lost.
type Result struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"`
	Error  string `json:"error,omitempty"`
}

const (
	maxKeptVersions = 64 // contents; the oldest go first, never those in force or pending
	maxKeptBytes    = 1 << 20
	maxKeptResults  = 128
	// MaxContent bounds a version's content, in bytes.
	MaxContent = 256 << 10
)

// At gives a version, nil if it is not known any more or never was.
func (rec *Record) Version(number uint64) *Version {
	for i := range rec.Versions {
		if rec.Versions[i].Number == number {
			return &rec.Versions[i]
		}
	}
	return nil
}

// InForce gives the version in force, nil before the first.
func (rec *Record) InForce() *Version { return rec.Version(rec.InForceNumber) }

// Open gives the version that is under way, if any.
func (rec *Record) InProgress() *Version {
	for i := range rec.Versions {
		if s := rec.Versions[i].State; s == Pending || s == Canary {
			return &rec.Versions[i]
		}
	}
	return nil
}

// SeatOf gives the disk that sits in a voter's seat.
func (rec *Record) SeatOf(name string) (disk uint64, taken bool) {
	for _, s := range rec.Seats {
		if s.Name == name {
			return s.Disk, true
		}
	}
	return 0, false
}

// Apply makes one change. An entry that does not fit the Book as it is by now changes nothing, and the error says why.
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

// answer makes a change once for each ID and repeats what was answered before.
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

// tooMuch tells whether the contents hold more than is kept.
func (rec *Record) overKeptLimits() bool {
	bytes := 0
	for _, v := range rec.Versions {
		bytes += len(v.Content)
	}
	return len(rec.Versions) > maxKeptVersions || bytes > maxKeptBytes
}

// propose enters a version for all to check. It must be made from the newest one.
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

// sit gives a disk the seat of a voter. The disk that sat there never comes back.
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
