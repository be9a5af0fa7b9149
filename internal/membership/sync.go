package membership

import (
	"fmt"
	"maps"
	"slices"
)

// MaxPartEntries bounds the entries of one Part. Only a single change that holds more entries may
// exceed it.
const MaxPartEntries = 500

// Part is one step of bringing a copy of the list up to date: the changes that follow the copy's
// version, or a page of the whole list.
type Part struct {
	Number  uint64   `json:"number"` // version of the agreed list
	Changes []Change `json:"changes,omitempty"`
	Page    *Page    `json:"page,omitempty"`
}

// Page holds the entries of the list that follow the id After, sorted by id. The pages that make up
// one copy may come from different versions. That is safe because the changes since the first
// page's version are applied after the last page, and a change holds whole entries.
type Page struct {
	Number          uint64  `json:"number"` // version of the list that the page is taken from
	RegistryVersion int64   `json:"register"`
	After           string  `json:"after,omitempty"`
	Entries         []Entry `json:"entries"`
	Last            bool    `json:"last,omitempty"`
}

// Cursor tells how far a copy is: it is at version Number and, if After is set, has received the
// pages up to that id.
type Cursor struct {
	Number uint64 `json:"number"`
	After  string `json:"after,omitempty"`
}

// Pager splits lists into pages. It caches the sorted ids of the last list version.
type Pager struct {
	number uint64
	ids    []string
}

// PageAfter returns the page of l that starts after an id.
func (p *Pager) PageAfter(l *List, after string) *Page {
	if p.ids == nil || p.number != l.Number {
		p.number, p.ids = l.Number, slices.Sorted(maps.Keys(l.Entries))
	}
	at, found := slices.BinarySearch(p.ids, after)
	if found {
		at++
	}
	end := min(at+MaxPartEntries, len(p.ids))
	page := &Page{Number: l.Number, RegistryVersion: l.RegistryVersion, After: after, Last: end == len(p.ids), Entries: make([]Entry, 0, end-at)}
	for _, id := range p.ids[at:end] {
		page.Entries = append(page.Entries, l.Entries[id])
	}
	return page
}

// Copy is a dispatcher's copy of the list. List is the last complete version.
type Copy struct {
	List List

	pending *List // the version being received; nil if List is up to date
	after   string
}

// Cursor returns how far the copy is.
func (c *Copy) Cursor() Cursor {
	if c.pending == nil {
		return Cursor{Number: c.List.Number}
	}
	return Cursor{c.pending.Number, c.after}
}

// Apply adds a part and reports whether the copy has reached the agreed version. After an error the
// copy is received again from the first page.
func (c *Copy) Apply(p Part) (whole bool, err error) {
	defer func() {
		if err != nil {
			c.pending, c.after = &List{}, ""
		}
	}()
	switch page := p.Page; {
	case page != nil && page.After == "":
		c.pending = &List{Number: page.Number, RegistryVersion: page.RegistryVersion, Entries: make(map[string]Entry, len(page.Entries))}
	case page != nil && (c.pending == nil || c.after != page.After):
		return false, fmt.Errorf("a page after %q, wanted was one after %q", page.After, c.after)
	case c.pending == nil && len(p.Changes) > 0:
		next := c.List.Clone()
		c.pending = &next
	}
	if page := p.Page; page != nil {
		for _, e := range page.Entries {
			c.pending.Entries[e.ID] = e
		}
		c.after = ""
		if !page.Last {
			c.after = page.Entries[len(page.Entries)-1].ID
		}
	}
	for _, change := range p.Changes {
		if err := c.pending.Apply(change); err != nil {
			return false, err
		}
	}
	at := c.Cursor()
	switch {
	case at.After != "" || at.Number < p.Number:
		return false, nil
	case at.Number > p.Number:
		return false, fmt.Errorf("the copy is at version %d, and %d is agreed on", at.Number, p.Number)
	}
	if c.pending != nil {
		c.List, c.pending = *c.pending, nil
	}
	return true, nil
}
