package membership

import "fmt"

// Order is an operator's override of the state of one replica.
type Order struct {
	ID      string `json:"id"`
	Do      string `json:"do"` // drain or hold
	Owner   string `json:"owner"`
	Why     string `json:"why"`
	ForMS   int64  `json:"for_ms"`  // expires this long after a leader first sees it in the record
	Version uint64 `json:"version"` // the list version that the operator saw
}

// The values of Order.Do.
const (
	Drain = "drain" // sends the replica nothing new
	Hold  = "hold"  // keeps the replica's entry as it is; only stricter states from the registry still apply
)

// Orders holds the orders in force by replica id.
type Orders map[string]Order

// apply makes want, the list from the registry, stricter where orders say so; have is the agreed
// list.
func (o Orders) apply(want, have map[string]Entry) {
	for id, order := range o {
		e, ok := want[id]
		old, agreed := have[id]
		switch {
		case ok && order.Do == Drain && strictness(e.State) < strictness(Terminating):
			e.State = Terminating
			want[id] = e
		case ok && agreed && order.Do == Hold && Loosens(&old, &e):
			want[id] = old
		}
	}
}

// Check returns why an order is not acceptable: an unknown action or replica, no reason, a list
// version that the operator saw and that is outdated, or an order by another operator on the same
// replica.
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
	if old, ok := o[order.ID]; ok && old.Owner != order.Owner {
		return fmt.Errorf("%s has an order by %s (%s: %s)", order.ID, old.Owner, old.Do, old.Why)
	}
	return nil
}
