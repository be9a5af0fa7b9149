package ledger

import (
	"cmp"
	"time"
)

// Op is what a dispatcher asks of a holder.
type Op struct {
	Kind      OpKind  `json:"do"`
	Key       Key     `json:"key"`
	Customer  string  `json:"customer,omitempty"`
	Attempt   Attempt `json:"attempt"`         // for Take
	Exclusive bool    `json:"check,omitempty"` // for Take: other attempts forbid it, as this is known to be the same instruction
	Entry     Entry   `json:"entry"`           // for Take and Learn: what the asker knows
}

// OpKind is what an Op wants.
type OpKind uint8

// The kinds.
const (
	Lookup       OpKind = iota // what is known of an instruction
	RecordIntent               // note the intent to send an attempt, if nothing forbids it
	Merge                      // add what became of attempts, or an operator's word
)

// Reply answers an Op.
type Reply struct {
	Granted  bool   `json:"granted,omitempty"`  // for Take: the intent is noted, and will still be
	Entry    Entry  `json:"entry"`              // what is known, where it is not granted, or was asked for
	Customer string `json:"customer,omitempty"` // whose it is, where that is known
	Complete bool   `json:"whole,omitempty"`    // the holder knows all that it ever acknowledged: what it does not know, it never took
	Refusal  string `json:"refusal,omitempty"`  // no room: the instruction never ran, and may be tried again later
	Error    string `json:"error,omitempty"`    // nothing was noted, or may have been
}

// Do carries out an Op on a holder's table. Learned is what must be on disk before the Reply leaves; nothing where it is empty.
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
			r.Entry = known // it has ended already, as what asks for it was given up
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

// Majority is how many of n holders must have noted an intent before its first byte leaves, and how many must be asked for
// what is known: any two majorities share one that has it.
func Majority(n int) int { return n/2 + 1 }

// RefillQuorum is how many other holders a holder must hear whole that has lost what it knew, before it counts as whole again: one
// of them has each entry that it noted with the fewest others.
func RefillQuorum(n int) int { return n - Majority(n) + 1 }

// Verdict is what the holders' replies come to.
type Verdict uint8

// The verdicts.
const (
	Pending Verdict = iota // more replies are awaited
	Yes                    // enough have granted it, or have said what they know
	No                     // so many turned it down that the others can't make up for it
	Unclear                // too few answer: it can't be found out
)

// Tally adds up replies of n holders to one Op.
type Tally struct {
	holders, granted, denied, complete, failed int
	exclusive                                  bool
	required                                   int

	Entry    Entry  // all that was said
	Customer string // likewise
	Refusal  string // the first
}

// NewTally begins for n holders. Where other attempts forbid what is asked for, only those count as granting it that would know
// of them: one that has lost its disk would grant it twice.
func NewTally(n int, check bool) *Tally {
	return &Tally{holders: n, exclusive: check, required: Majority(n)}
}

// RequireAll has all holders be needed, so that what is noted outlives the loss of all disks but one.
func (c *Tally) RequireAll() { c.Require(c.holders) }

// Require sets how many must grant it.
func (c *Tally) Require(n int) { c.required = n }

// Add takes a reply, or that a holder gave none.
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

// Granted is the verdict on a Take or Learn.
func (c *Tally) Granted() Verdict {
	need := c.required
	switch {
	case c.granted >= need:
		return Yes
	case c.denied > c.holders-need:
		return No
	case c.granted+c.denied+c.failed == c.holders && c.denied > 0 && c.granted+c.failed >= need:
		return No // it was turned down, and who might have granted it does not answer
	case c.failed > c.holders-need || c.granted+c.denied+c.failed == c.holders:
		return Unclear
	}
	return Pending
}

// AllAnswered tells whether all holders have answered, or failed to.
func (c *Tally) AllAnswered() bool { return c.granted+c.denied+c.failed == c.holders }

// MajorityAnswered tells whether a majority has answered.
func (c *Tally) MajorityAnswered() bool { return c.granted+c.denied >= Majority(c.holders) }

// Known is the verdict on a Look: Yes once a majority that is whole has said what it knows. What forbids a repeat counts
// whoever says it, so all are heard before it is unclear.
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
