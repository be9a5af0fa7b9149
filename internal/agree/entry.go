package agree

import "standpulley/internal/membership"

// Entry is one change of the Book. Exactly one of its fields is set.
type Entry struct {
	Bootstrap *Bootstrap         `json:"found,omitempty"`
	Propose   *Propose           `json:"propose,omitempty"`
	TurnDown  *TurnDown          `json:"turn_down,omitempty"`
	Activate  *Activate          `json:"activate,omitempty"`
	Withdraw  *Withdraw          `json:"withdraw,omitempty"`
	Change    *membership.Change `json:"change,omitempty"` // of the list of replicas
	Order     *PlaceOrder        `json:"order,omitempty"`  // an operator's override
	Lift      *LiftOrder         `json:"lift,omitempty"`   // ends one
	Census    *membership.Census `json:"census,omitempty"`
	Ledger    *SetLedger         `json:"ledger,omitempty"` // notes the file with which a voter holds the ledger
	TakeSeat  *Seat              `json:"sit,omitempty"`    // takes an empty seat, or that of the voter that Sit replaces
}

// Request is the number that a proposer drew for its entry, by which it is answered; empty where nobody waits for it.
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

// Ledger is the file with which a voter holds the ledger.
type SetLedger struct {
	Request string `json:"request"`
	Name    string `json:"name"`
	Disk    uint64 `json:"disk"`
}

// Found begins a cluster with its first voter and version.
type Bootstrap struct {
	Cluster       uint64  `json:"cluster"`
	RequiredSeats int     `json:"wanted"`
	Seat          Seat    `json:"seat"`
	First         Propose `json:"first"`
}

// Propose asks for a new version.
type Propose struct {
	ID           string            `json:"id"` // drawn by the proposer: the same proposal twice is one
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

// TurnDown says that a dispatcher can't act on a version.
type TurnDown struct {
	Number uint64 `json:"number"`
	Member string `json:"member"`
	Fault  Fault  `json:"fault"`
}

// Activate puts a version in force, at one dispatcher first where that was asked for.
type Activate struct {
	Number uint64 `json:"number"`
	Canary bool   `json:"canary,omitempty"`
}

// Withdraw takes back a version that is not in force.
type Withdraw struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"`
	By     string `json:"by"`
}
