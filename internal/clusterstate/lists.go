package clusterstate

import (
	"fmt"
	"slices"

	"standpulley/internal/membership"
)

// PlaceOrder sets an operator's override of a replica. Request is an ID, so that a repeated request
// counts once.
type PlaceOrder struct {
	Request string           `json:"request"`
	Order   membership.Order `json:"order"`
}

// LiftOrder ends an override, at the request of its owner or because it has expired.
type LiftOrder struct {
	Request string `json:"request"`
	ID      string `json:"id"`
	Owner   string `json:"owner"`             // empty if the override has expired
	Version uint64 `json:"version,omitempty"` // the version of the list that the owner saw
}

// Bounds of the kept changes. A dispatcher that has missed more than these gets the whole list.
const (
	maxKeptChanges       = 256
	maxKeptChangeEntries = 4096 // in all kept changes together; the latest change is kept whatever its size
)

func (rec *Record) applyChange(c membership.Change) error {
	if err := rec.List.Apply(c); err != nil {
		return err
	}
	rec.Changes = append(rec.Changes, c)
	entries, from := 0, len(rec.Changes)
	for from > 0 && len(rec.Changes)-from < maxKeptChanges {
		entries += len(rec.Changes[from-1].Entries)
		if entries > maxKeptChangeEntries && from < len(rec.Changes) {
			break
		}
		from--
	}
	if from > 0 {
		rec.Changes = slices.Clone(rec.Changes[from:])
	}
	return nil
}

// Part returns the changes or the page that brings a copy of the list closer to the present version.
func (rec *Record) Part(cursor membership.Cursor, pager *membership.Pager) membership.Part {
	p := membership.Part{Number: rec.List.Number}
	changes, kept := rec.changesSince(cursor.Number)
	if !kept || cursor.After != "" {
		if !kept {
			cursor.After = ""
		}
		p.Page = pager.PageAfter(&rec.List, cursor.After)
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

// changesSince returns the changes from a version of the list to the present one, and false if not
// all of them are kept.
func (rec *Record) changesSince(number uint64) ([]membership.Change, bool) {
	if number == rec.List.Number {
		return nil, true
	}
	for i, c := range rec.Changes {
		if c.Number == number+1 {
			return rec.Changes[i:], true
		}
	}
	return nil, false
}

func (rec *Record) placeOrder(o membership.Order) error {
	if err := rec.Orders.Check(o, &rec.List); err != nil {
		return err
	}
	if rec.Orders == nil {
		rec.Orders = membership.Orders{}
	}
	rec.Orders[o.ID] = o
	// takes effect together with the order
	if e := rec.List.Entries[o.ID]; o.Do == membership.Drain && e.State == membership.InService {
		e.State = membership.Terminating
		return rec.applyChange(membership.Change{Number: rec.List.Number + 1, RegistryVersion: rec.List.RegistryVersion, Entries: []membership.Entry{e}, By: o.Owner, Why: o.Why})
	}
	return nil
}

func (rec *Record) liftOrder(lift *LiftOrder) error {
	order, ok := rec.Orders[lift.ID]
	switch {
	case !ok:
		return fmt.Errorf("%s has no order", lift.ID)
	case lift.Owner != "" && order.Owner != lift.Owner:
		return fmt.Errorf("the order on %s is by %s (%s: %s)", lift.ID, order.Owner, order.Do, order.Why)
	case lift.Owner != "" && lift.Version != rec.List.Number:
		return fmt.Errorf("seen was version %d of the list, and %d is in force", lift.Version, rec.List.Number)
	}
	delete(rec.Orders, lift.ID)
	return nil
}

func (rec *Record) applyCensus(c membership.Census) error {
	if c.Number != rec.Census.Number+1 {
		return fmt.Errorf("census %d does not follow %d", c.Number, rec.Census.Number)
	}
	rec.Census = c
	return nil
}
