package ledger

import (
	"bytes"
	"container/heap"
	"encoding/hex"
	"fmt"
	"time"
)

// Key identifies an instruction: a hash of the customer and of the key that the client gave or,
// without one, of the request body.
type Key [16]byte

// Compare orders keys bytewise.
func (k Key) Compare(o Key) int { return bytes.Compare(k[:], o[:]) }

// MarshalText returns the key in hex digits.
func (k Key) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText parses the form that MarshalText returns.
func (k *Key) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(k) {
		return fmt.Errorf("%q is no key of %d hex digits", text, 2*len(k))
	}
	_, err := hex.Decode(k[:], text)
	return err
}

func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Limits bound a Table.
type Limits struct {
	MaxEntries int           // maximum number of entries
	Retention  time.Duration // how long an entry is kept after its last update
	Share      float64       // a customer may hold at most Share times the number of free entries
}

// Table holds entries within its limits. No entry is evicted before its retention time has passed:
// when the table is full, or a customer holds more than its share of the free room, a new
// instruction is refused. The share follows the free room (dynamic thresholds, Choudhury and Hahne
// 1998), so that a single customer may use most of the table, yet a flood from one customer always
// leaves room for others.
type Table struct {
	limits      Limits
	rows        map[Key]*row
	perCustomer map[string]int // number of entries of each customer
	byExpiry    expiryHeap
}

type row struct {
	Entry
	key      Key
	customer string
	// expires is a time on the holder's monotonic clock, which continues across restarts.
	expires   time.Duration
	heapIndex int // position in Table.byExpiry
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, rows: map[Key]*row{}, perCustomer: map[string]int{}}
}

// Refusal is the error for an instruction that was refused for lack of room. It never ran and may
// be tried again later.
type Refusal struct{ Reason string }

func (r *Refusal) Error() string { return r.Reason }

// Len returns the number of entries, including those that expired since the last call with a time.
func (t *Table) Len() int { return len(t.rows) }

// Lookup returns a copy of the entry of an instruction, or an empty entry if there is none.
func (t *Table) Lookup(now time.Duration, key Key) Entry {
	t.expire(now)
	if r := t.rows[key]; r != nil {
		return r.Clone()
	}
	return Entry{}
}

// RecordIntent records the intent to send an attempt of an instruction, or returns a Refusal. An
// instruction that already has an entry needs no further room in the table.
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

// Merge merges what is known elsewhere, or the outcome of an attempt, into an entry. It ignores the
// limits, as an instruction whose attempts are forgotten could run twice.
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

// maxAttempts bounds the attempts of one entry. Instructions without a client's key are identified
// by their body, and a client may legitimately send the same body many times.
const maxAttempts = 64

// extend restarts the retention time of an entry, without ever shortening it, and trims its
// attempts.
func (t *Table) extend(now time.Duration, r *row) {
	r.trim(maxAttempts / 2)
	r.expires = max(r.expires, now+t.limits.Retention)
	heap.Fix(&t.byExpiry, r.heapIndex)
}

// expire removes the entries whose retention time has passed.
func (t *Table) expire(now time.Duration) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires <= now {
		r := heap.Pop(&t.byExpiry).(*row)
		delete(t.rows, r.key)
		if t.perCustomer[r.customer]--; t.perCustomer[r.customer] == 0 {
			delete(t.perCustomer, r.customer)
		}
	}
}

// Unknown returns at most limit instructions of unknown status, for operators.
func (t *Table) Unknown(limit int) map[Key]Entry {
	found := map[Key]Entry{}
	for key, r := range t.rows {
		if len(found) >= limit {
			break
		}
		if r.Status() == Unknown {
			found[key] = r.Clone()
		}
	}
	return found
}

// Get returns a copy of an entry with its customer and the time of its last update.
func (t *Table) Get(now time.Duration, key Key) (e Entry, customer string, at time.Duration) {
	t.expire(now)
	r := t.rows[key]
	if r == nil {
		return Entry{}, "", 0
	}
	return r.Clone(), r.customer, r.expires - t.limits.Retention
}

// expiryHeap is a min-heap of rows ordered by expiry time.
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
