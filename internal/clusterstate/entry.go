package clusterstate

import "standpulley/internal/membership"

// Entry is one change of the Record, as stored in the consensus log. Exactly one field is set.
type Entry struct {
	Bootstrap *Bootstrap         `json:"found,omitempty"`
	Propose   *Propose           `json:"propose,omitempty"`
	TurnDown  *TurnDown          `json:"turn_down,omitempty"`
	Activate  *Activate          `json:"activate,omitempty"`
	Withdraw  *Withdraw          `json:"withdraw,omitempty"`
	Change    *membership.Change `json:"change,omitempty"` // of the list of replicas
	Order     *PlaceOrder        `json:"order,omitempty"`  // sets an operator's override of a replica
	Lift      *LiftOrder         `json:"lift,omitempty"`   // ends an override
	Census    *membership.Census `json:"census,omitempty"`
	Ledger    *SetLedger         `json:"ledger,omitempty"` // records which ledger file a voter uses
	// takes an empty seat, or replaces the disk that holds the seat
	TakeSeat *Seat `json:"sit,omitempty"`
}

// Request returns the ID that the proposer chose for its entry and under which it is answered. It is
// empty for an entry whose proposer does not wait for an answer.
func (e *Entry) Request() string {
	switch {
	case e.Propose != nil:
		return e.Propose.ID
	case e.Withdraw != nil:
		return e.Withdraw.ID
	case e.Order != nil:
		return e.Order.Request
	case e.Lift != nil:
		return e.Lift.Request
	case e.Ledger != nil:
		return e.Ledger.Request
	}
	return ""
}

// SetLedger records which ledger file a voter uses. Disk is the random number stored in that file.
type SetLedger struct {
	Request string `json:"request"`
	Name    string `json:"name"`
	Disk    uint64 `json:"disk"`
}

// Bootstrap creates a cluster with its first voter and its first version.
type Bootstrap struct {
	Cluster       uint64  `json:"cluster"`
	RequiredSeats int     `json:"wanted"`
	Seat          Seat    `json:"seat"`
	First         Propose `json:"first"`
}

// Propose proposes a new version.
type Propose struct {
	// chosen by the proposer, so that a repeated proposal counts once
	ID           string            `json:"id"`
	Base         uint64            `json:"base"`
	Content      string            `json:"content"`
	Keys         map[string]string `json:"keys"`
	Fingerprint  string            `json:"print"`
	By           string            `json:"by"`
	Why          string            `json:"why,omitempty"`
	At           string            `json:"at"`
	CanaryMember string            `json:"only,omitempty"`
	RollbackTo   uint64            `json:"back,omitempty"`
}

// TurnDown ends a version because a dispatcher can't act on it.
type TurnDown struct {
	Number uint64 `json:"number"`
	Member string `json:"member"`
	Fault  Fault  `json:"fault"`
}

// Activate puts a version in force, or with Canary set, only at its canary dispatcher.
type Activate struct {
	Number uint64 `json:"number"`
	Canary bool   `json:"canary,omitempty"`
}

// Withdraw takes back a version that is not yet in force.
type Withdraw struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"`
	By     string `json:"by"`
}
