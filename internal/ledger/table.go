package ledger

import (
	"bytes"
	"container/heap"
	"encoding/hex"
	"fmt"
	"time"
)

// Key names an instruction: a hash over who asks and the key that the client gave, or the words.
type Key [16]byte

// Compare orders keys.
func (k Key) Compare(o Key) int { return bytes.Compare(k[:], o[:]) }

// MarshalText is the key in hex digits.
func (k Key) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText reads what MarshalText made.
func (k *Key) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(k) {
		return fmt.Errorf("%q is no key of %d hex digits", text, 2*len(k))
	}
	_, err := hex.Decode(k[:], text)
	return err
}

func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Limits are those of a table.
type Limits struct {
	MaxEntries int           // at most
	Retention  time.Duration // an entry is kept for so long after it was last added to
	Share      float64       // of the room that is free, a customer may hold so many times as much
}

// Table holds entries within its limits. Nothing is forgotten early: where there is no room, or a customer holds more than its
// share of what is left, a new instruction is refused. The share follows the room that is free (dynamic thresholds, Choudhury
// and Hahne 1998): alone a customer may take most of the table, and a flood of one always leaves room for others.
type Table struct {
	limits      Limits
	rows        map[Key]*row
	perCustomer map[string]int // entries by customer
	byExpiry    expiryHeap
}

type row struct {
	Entry
	key       Key
	customer  string
	expires   time.Duration // by the holder's monotonic clock, which runs on from what it was at a restart
	heapIndex int           // in old
}

// NewTable makes an empty one.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, rows: map[Key]*row{}, perCustomer: map[string]int{}}
}

// Refusal is why an instruction was not taken: it never ran, and may be tried again later.
type Refusal struct{ Reason string }

func (r *Refusal) Error() string { return r.Reason }

// Len is the number of entries.
func (t *Table) Len() int { return len(t.rows) }

// Lookup gives what is known of an instruction; a fresh entry where nothing is.
func (t *Table) Lookup(now time.Duration, key Key) Entry {
	t.expire(now)
	if r := t.rows[key]; r != nil {
		return r.Clone()
	}
	return Entry{}
}

// RecordIntent notes the intent to send an attempt of an instruction, or refuses. An entry that is there already always has room for
// what is learned of it.
func (t *Table) RecordIntent(now time.Duration, key Key, customer string, a Attempt) error {
	t.expire(now)
	r := t.rows[key]
	if r != nil && len(r.Attempts) >= maxAttempts {
		if _, known := r.OutcomeOf(a); !known {
			return &Refusal{fmt.Sprintf("%d attempts of these words are remembered, and nobody knows what became of them", len(r.Attempts))}
		}
	}
	if r == nil {
		free := t.limits.MaxEntries - len(t.rows)
		if free <= 0 {
			return &Refusal{fmt.Sprintf("%d instructions are remembered, as many as there is room for", len(t.rows))}
		}
		if held := t.perCustomer[customer]; float64(held) >= t.limits.Share*float64(free) {
			return &Refusal{fmt.Sprintf("%d instructions of this customer are remembered, its share of the room that is left", held)}
		}
		r = t.add(now, key, customer)
	}
	r.Record(a, Intent)
	t.extend(now, r)
	return nil
}

// Merge joins what is known elsewhere, or what became of an attempt. It is never refused: forgetting it could let it run twice.
func (t *Table) Merge(now time.Duration, key Key, customer string, e Entry) {
	t.expire(now)
	r := t.rows[key]
	if r == nil {
		r = t.add(now, key, customer)
	}
	r.Merge(e)
	t.extend(now, r)
}

func (t *Table) add(now time.Duration, key Key, customer string) *row {
	r := &row{key: key, customer: customer, expires: now + t.limits.Retention}
	t.rows[key] = r
	t.perCustomer[customer]++
	heap.Push(&t.byExpiry, r)
	return r
}

// maxAttempts bounds the attempts of one entry: the same words may well be meant many times.
const maxAttempts = 64

// touch keeps an entry for longer; never for less. Where it holds many attempts, those go that add nothing to its fate.
func (t *Table) extend(now time.Duration, r *row) {
	r.trim(maxAttempts / 2)
	r.expires = max(r.expires, now+t.limits.Retention)
	heap.Fix(&t.byExpiry, r.heapIndex)
}

// expire forgets what is old enough.
func (t *Table) expire(now time.Duration) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires <= now {
		r := heap.Pop(&t.byExpiry).(*row)
		delete(t.rows, r.key)
		if t.perCustomer[r.customer]--; t.perCustomer[r.customer] == 0 {
			delete(t.perCustomer, r.customer)
		}
	}
}

// Unknown gives the instructions whose fate nobody knows, for staff, at most so many.
func (t *Table) Unknown(most int) map[Key]Entry {
	some := map[Key]Entry{}
	for key, r := range t.rows {
		if len(some) >= most {
			break
		}
		if r.Status() == Unknown {
			some[key] = r.Clone()
		}
	}
	return some
}

// Get gives an entry with its customer and when it was last added to.
func (t *Table) Get(now time.Duration, key Key) (e Entry, customer string, at time.Duration) {
	t.expire(now)
	r := t.rows[key]
	if r == nil {
		return Entry{}, "", 0
	}
	return r.Clone(), r.customer, r.expires - t.limits.Retention
}

// expiryHeap orders rows by when they may be forgotten.
type expiryHeap []*row

func (a expiryHeap) Len() int           { return len(a) }
func (a expiryHeap) Less(i, j int) bool { return a[i].expires < a[j].expires }
func (a expiryHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i]; a[i].heapIndex, a[j].heapIndex = i, j }
func (a *expiryHeap) Push(x any)        { r := x.(*row); r.heapIndex = len(*a); *a = append(*a, r) }
func (a *expiryHeap) Pop() any {
	old := *a
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return r
}
