package agree

import (
	"fmt"
	"slices"

	"standpulley/internal/membership"
)

// Ordered is an operator's override of a replica, with a number of its own, so that asking twice makes one.
type PlaceOrder struct {
	Request string           `json:"request"`
	Order   membership.Order `json:"order"`
}

// Lifted ends an override: by its owner, or because it ran out.
type LiftOrder struct {
	Request string `json:"request"`
	ID      string `json:"id"`
	Owner   string `json:"owner"`             // empty where it ran out
	Version uint64 `json:"version,omitempty"` // the list version that its owner saw
}

// Changes are kept for who has missed no more; others get the whole list.
const (
	maxKeptChanges       = 256
	maxKeptChangeEntries = 4096 // of all of them together, but for the last
)

func (b *Record) applyChange(c membership.Change) error {
	if err := b.List.Apply(c); err != nil {
		return err
	}
	b.Changes = append(b.Changes, c)
	entries, from := 0, len(b.Changes)
	for from > 0 && len(b.Changes)-from < maxKeptChanges {
		entries += len(b.Changes[from-1].Entries)
		if entries > maxKeptChangeEntries && from < len(b.Changes) {
			break
		}
		from--
	}
	if from > 0 {
		b.Changes = slices.Clone(b.Changes[from:])
	}
	return nil
}

// Part gives what brings a copy of the list nearer to the present one.
func (b *Record) Part(at membership.Cursor, pager *membership.Pager) membership.Part {
	p := membership.Part{Number: b.List.Number}
	changes, kept := b.changesSince(at.Number)
	if !kept || at.After != "" {
		if !kept {
			at.After = ""
		}
		p.Page = pager.PageAfter(&b.List, at.After)
		return p
	}
	entries := 0
	for _, c := range changes {
		if entries += len(c.Entries); entries > membership.MaxPartEntries && len(p.Changes) > 0 {
			break
		}
		p.Changes = append(p.Changes, c)
	}
	return p
}

// since gives the changes that lead from a version of the list to the present one; false where not all are kept.
func (b *Record) changesSince(number uint64) ([]membership.Change, bool) {
	if number == b.List.Number {
		return nil, true
	}
	for i, c := range b.Changes {
		if c.Number == number+1 {
			return b.Changes[i:], true
		}
	}
	return nil, false
}

func (b *Record) placeOrder(o membership.Order) error {
	if err := b.Orders.Check(o, &b.List); err != nil {
		return err
	}
	if b.Orders == nil {
		b.Orders = membership.Orders{}
	}
	b.Orders[o.ID] = o
	if e := b.List.Entries[o.ID]; o.Do == membership.Drain && e.State == membership.InService { // in force with the order itself
		e.State = membership.Terminating
		return b.applyChange(membership.Change{Number: b.List.Number + 1, RegistryVersion: b.List.RegistryVersion, Entries: []membership.Entry{e}, By: o.Owner, Why: o.Why})
	}
	return nil
}

func (b *Record) liftOrder(l *LiftOrder) error {
	had, ok := b.Orders[l.ID]
	switch {
	case !ok:
		return fmt.Errorf("%s has no order", l.ID)
	case l.Owner != "" && had.Owner != l.Owner:
		return fmt.Errorf("the order on %s is by %s (%s: %s)", l.ID, had.Owner, had.Do, had.Why)
	case l.Owner != "" && l.Version != b.List.Number:
		return fmt.Errorf("seen was version %d of the list, and %d is in force", l.Version, b.List.Number)
	}
	delete(b.Orders, l.ID)
	return nil
}

func (b *Record) applyCensus(c membership.Census) error {
	if c.Number != b.Census.Number+1 {
		return fmt.Errorf("census %d does not follow %d", c.Number, b.Census.Number)
	}
	b.Census = c
	return nil
}
