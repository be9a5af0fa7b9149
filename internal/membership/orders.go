package membership

import "fmt"

// Order is an operator's override of one replica.
type Order struct {
	ID      string `json:"id"`
	Do      string `json:"do"` // drain or hold
	Owner   string `json:"owner"`
	Why     string `json:"why"`
	ForMS   int64  `json:"for_ms"`  // it runs out so long after a leader has it on record
	Version uint64 `json:"version"` // the list version that the operator saw
}

// What orders do.
const (
	Drain = "drain" // nothing new to it
	Hold  = "hold"  // its entry stays as it is, whatever the register says, unless that is stricter
)

// Orders are those in force, by replica.
type Orders map[string]Order

// apply makes what the register says stricter by the orders; have is what is agreed on.
func (o Orders) apply(want, have map[string]Entry) {
	for id, order := range o {
		e, ok := want[id]
		had, agreed := have[id]
		switch {
		case ok && order.Do == Drain && strictness(e.State) < strictness(Terminating):
			e.State = Terminating
			want[id] = e
		case ok && agreed && order.Do == Hold && Loosens(&had, &e):
			want[id] = had
		}
	}
}

// Check says why an order can't be given: to a replica that nobody knows, without a reason, or over somebody else's.
func (o Orders) Check(order Order, list *List) error {
	switch {
	case order.Do != Drain && order.Do != Hold:
		return fmt.Errorf("%q is neither %s nor %s", order.Do, Drain, Hold)
	case order.Why == "":
		return fmt.Errorf("an order needs a reason")
	case order.Version != list.Number:
		return fmt.Errorf("seen was version %d of the list, and %d is in force", order.Version, list.Number)
	}
	if _, ok := list.Entries[order.ID]; !ok {
		return fmt.Errorf("%s is not in the list", order.ID)
	}
	if had, ok := o[order.ID]; ok && had.Owner != order.Owner {
		return fmt.Errorf("%s has an order by %s (%s: %s)", order.ID, had.Owner, had.Do, had.Why)
	}
	return nil
}
