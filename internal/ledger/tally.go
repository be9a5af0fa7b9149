package ledger

import (
	"cmp"
	"time"
)

// Op is an operation that a dispatcher requests from a ledger holder.
type Op struct {
	Kind     OpKind  `json:"do"`
	Key      Key     `json:"key"`
	Customer string  `json:"customer,omitempty"`
	Attempt  Attempt `json:"attempt"` // for RecordIntent
	// Exclusive, for RecordIntent, grants the intent only if no other attempt may have run: the
	// requests with this key are known to be the same instruction.
	Exclusive bool  `json:"check,omitempty"`
	Entry     Entry `json:"entry"` // for RecordIntent and Merge: what the caller knows
}

// OpKind selects the operation of an Op.
type OpKind uint8

// The operations.
const (
	Lookup       OpKind = iota // return what is known of an instruction
	RecordIntent               // record the intent to send an attempt, unless another attempt forbids it
	Merge                      // add outcomes of attempts, or operators' resolutions
)

// Reply is a holder's reply to an Op.
type Reply struct {
	Granted  bool   `json:"granted,omitempty"`  // for RecordIntent: the intent is recorded durably; for Merge: the entry was merged
	Entry    Entry  `json:"entry"`              // what is known, for Lookup and for an intent that is not granted
	Customer string `json:"customer,omitempty"` // the customer of the instruction, if known
	// Complete tells that the holder has all that it ever acknowledged: it never recorded an
	// attempt that is missing here.
	Complete bool   `json:"whole,omitempty"`
	Refusal  string `json:"refusal,omitempty"` // no room: the instruction never ran and may be tried again later
	Error    string `json:"error,omitempty"`   // the operation failed; it may or may not have been recorded
}

// Do executes an Op on a holder's table. The returned learned must be on disk before the Reply is
// sent; if it is empty, there is nothing to write.
func (t *Table) Do(now time.Duration, op Op) (r Reply, learned Entry) {
	switch op.Kind {
	case Lookup:
		r.Entry = t.Lookup(now, op.Key)
		if row := t.rows[op.Key]; row != nil {
			r.Customer = row.customer
		}
	case Merge:
		t.Merge(now, op.Key, op.Customer, op.Entry)
		r.Granted = true
		learned = op.Entry
	case RecordIntent:
		known := t.Lookup(now, op.Key)
		known.Merge(op.Entry)
		if o, tried := known.OutcomeOf(op.Attempt); tried && o != Intent {
			r.Entry = known // the attempt has already ended, as its caller gave it up
			return r, Entry{}
		}
		if f := known.StatusOfOthers(op.Attempt); op.Exclusive && f != NeverSent && f != NotRun {
			r.Entry = known
			return r, Entry{}
		}
		if err := t.RecordIntent(now, op.Key, op.Customer, op.Attempt); err != nil {
			r.Refusal = err.Error()
			return r, Entry{}
		}
		if len(op.Entry.Attempts)+len(op.Entry.Resolutions) > 0 {
			t.Merge(now, op.Key, op.Customer, op.Entry)
		}
		r.Granted = true
		learned = op.Entry.Clone()
		learned.Record(op.Attempt, Intent)
	}
	return r, learned
}

// Majority returns how many of n holders must have recorded an intent before the first byte of the
// attempt is sent, and how many must answer a lookup. Any two majorities share a holder, so a
// lookup finds every such intent.
func Majority(n int) int { return n/2 + 1 }

// RefillQuorum returns how many complete other holders a holder that lost its data must copy from
// before it counts as complete again. Of each entry that the holder recorded as part of a bare
// majority, at least one among so many others has a copy.
func RefillQuorum(n int) int { return n - Majority(n) + 1 }

// Verdict is the result of counting the holders' replies to an Op.
type Verdict uint8

// The verdicts.
const (
	Pending Verdict = iota // more replies are needed
	Yes                    // enough holders granted the operation, or answered the lookup
	No                     // so many holders turned the operation down that the others cannot make up for it
	Unclear                // too few holders answer to decide
)

// Tally counts the replies of the holders to one Op.
type Tally struct {
	holders, granted, denied, complete, failed int
	exclusive                                  bool
	required                                   int

	Entry    Entry  // all replies merged
	Customer string // the first customer that a reply names
	Refusal  string // the first refusal
}

// NewTally returns a tally for n holders. With exclusive, only a complete holder counts as granting
// the operation, since a holder that lost its disk no longer knows the attempts that forbid it and
// would grant it twice.
func NewTally(n int, exclusive bool) *Tally {
	return &Tally{holders: n, exclusive: exclusive, required: Majority(n)}
}

// RequireAll requires all holders to grant the operation, so that what is recorded survives the
// loss of all disks but one.
func (c *Tally) RequireAll() { c.Require(c.holders) }

// Require sets how many holders must grant the operation.
func (c *Tally) Require(n int) { c.required = n }

// Add counts a reply; nil is a holder that did not answer.
func (c *Tally) Add(r *Reply) {
	switch {
	case r == nil || r.Error != "":
		c.failed++
		return
	case r.Granted && c.exclusive && !r.Complete:
		c.failed++
	case r.Granted:
		c.granted++
	case r.Refusal != "":
		c.denied++
		if c.Refusal == "" {
			c.Refusal = r.Refusal
		}
	default:
		c.denied++
	}
	if r.Complete {
		c.complete++
	}
	c.Entry.Merge(r.Entry)
	c.Customer = cmp.Or(c.Customer, r.Customer)
}

// Granted returns the verdict on a RecordIntent or Merge.
func (c *Tally) Granted() Verdict {
	need := c.required
	switch {
	case c.granted >= need:
		return Yes
	case c.denied > c.holders-need:
		return No
	case c.granted+c.denied+c.failed == c.holders && c.denied > 0 && c.granted+c.failed >= need:
		return No // turned down, and the holders that might have granted it did not answer
	case c.failed > c.holders-need || c.granted+c.denied+c.failed == c.holders:
		return Unclear
	}
	return Pending
}

// AllAnswered reports whether every holder has answered or failed to answer.
func (c *Tally) AllAnswered() bool { return c.granted+c.denied+c.failed == c.holders }

// MajorityAnswered reports whether a majority of the holders has answered.
func (c *Tally) MajorityAnswered() bool { return c.granted+c.denied >= Majority(c.holders) }

// Known returns the verdict on a Lookup. It is Yes once a majority of complete holders has
// answered, or as soon as any holder knows an attempt that forbids a repeat. It is Unclear only
// after all holders have answered or failed to.
func (c *Tally) Known() Verdict {
	need := Majority(c.holders)
	switch {
	case c.complete >= need || !c.Entry.MaySend():
		return Yes
	case c.AllAnswered():
		return Unclear
	}
	return Pending
}
