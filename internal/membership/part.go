package membership

import (
	"fmt"
	"maps"
	"slices"
)

// MaxPartEntries bounds the entries that one answer brings, but for a change that holds more by itself.
const MaxPartEntries = 500

// Part brings a copy of the list nearer to the agreed one: changes that follow it, or a page of the whole list.
type Part struct {
	Number  uint64   `json:"number"` // of the agreed list
	Changes []Change `json:"changes,omitempty"`
	Page    *Page    `json:"page,omitempty"`
}

// Page holds the entries of the list that follow an id, in order. Pages of one copy may be cut from different versions: the
// changes since the first page's version follow the last page, and make up for that, as a change says what an entry is.
type Page struct {
	Number          uint64  `json:"number"` // the version that it was cut from
	RegistryVersion int64   `json:"register"`
	After           string  `json:"after,omitempty"`
	Entries         []Entry `json:"entries"`
	Last            bool    `json:"last,omitempty"`
}

// Cursor is how far a copy is: it holds Number, and is taking pages up to After if that is set.
type Cursor struct {
	Number uint64 `json:"number"`
	After  string `json:"after,omitempty"`
}

// Pager cuts pages. It keeps the order of ids of the list that it saw last.
type Pager struct {
	number uint64
	ids    []string
}

// PageAfter gives the page that follows an id.
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

// Copy is a dispatcher's copy of the list. List is the last version that it has whole.
type Copy struct {
	List List

	pending *List // being brought up to date; nil where List is
	after   string
}

// Cursor tells how far it is.
func (c *Copy) Cursor() Cursor {
	if c.pending == nil {
		return Cursor{Number: c.List.Number}
	}
	return Cursor{c.pending.Number, c.after}
}

// Apply adds a part and tells whether the copy has the agreed version by now. After an error it begins anew.
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
