// Package ledger holds what is known of instructions, which are requests that must not run twice.
// It decides what the recorded outcomes of an instruction's attempts add up to, how the records of
// several dispatchers are merged, when a repeat may be sent, how many instructions are remembered
// for each customer, and what the replies of the ledger holders amount to. It does no I/O, reads no
// clock and starts no goroutines.
//
//	ledger.go  the entry of an instruction: its attempts, operators' resolutions and the resulting status
//	table.go   a bounded table of entries with expiry and a fair share for each customer
//	tally.go   operations on a holder, and counting the holders' replies
package ledger

import (
	"cmp"
	"slices"
)

// Outcome is what is known of one attempt. Outcomes are ordered: a greater one includes the
// knowledge of a lesser one. An outcome never decreases, and where two dispatchers disagree, the
// greater one wins.
type Outcome uint8

// The outcomes of an attempt.
const (
	Intent   Outcome = iota // the attempt is about to be sent or was sent: it may have run, or may still run
	NeverRan                // the transport proves that the attempt never ran
	Ran                     // the attempt ran
)

func (o Outcome) String() string { return [...]string{"intent", "never ran", "ran"}[o] }

// Attempt identifies one send of an instruction: by the dispatcher that sent it, that dispatcher's
// process start (boot) and a sequence number within it.
type Attempt struct {
	Owner string `json:"taker"`
	Boot  uint64 `json:"boot"`
	N     uint64 `json:"n"`
}

// Resolution is an operator's statement that an instruction ran or never ran, made after checking
// the business records. Settle applies it to the attempts; the resolution itself is kept as an
// audit trail.
type Resolution struct {
	Ran  bool   `json:"ran"`
	By   string `json:"by"`
	Why  string `json:"why"`
	Wall string `json:"wall"` // wall-clock time, for display only
}

// Entry is what is known of one instruction. The zero value is an instruction that was never sent.
type Entry struct {
	Attempts    []AttemptRecord `json:"attempts"`        // sorted by Attempt
	Resolutions []Resolution    `json:"words,omitempty"` // all that were given, sorted; an audit trail
}

// AttemptRecord is an attempt with its outcome.
type AttemptRecord struct {
	Attempt
	Outcome Outcome `json:"outcome"`
}

func (a Attempt) compare(b Attempt) int {
	return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.N, b.N))
}

// Status is what an entry says of its instruction as a whole.
type Status uint8

// The statuses of an instruction.
const (
	NeverSent Status = iota // no attempt was sent
	NotRun                  // each attempt is proven never to have run, or an operator says so
	Unknown                 // an attempt may have run, or may still run
	DidRun                  // an attempt ran
)

func (f Status) String() string { return [...]string{"fresh", "never ran", "unknown", "ran"}[f] }

// Status derives the status of the instruction from its attempts. It is DidRun if any attempt ran.
// It is NotRun only if for every attempt there is proof, or an operator's resolution, that it never
// ran.
func (e *Entry) Status() Status {
	worst := NeverSent
	for _, t := range e.Attempts {
		switch t.Outcome {
		case Ran:
			return DidRun
		case Intent:
			worst = Unknown
		case NeverRan:
			worst = max(worst, NotRun)
		}
	}
	return worst
}

// MaySend reports whether a repeat may be sent.
func (e *Entry) MaySend() bool { f := e.Status(); return f == NeverSent || f == NotRun }

// Settle applies an operator's resolution to the attempts whose outcome is unknown at this time. It
// does not apply to later attempts, which need a resolution of their own.
func (e *Entry) Settle(w Resolution) {
	outcome := NeverRan
	if w.Ran {
		outcome = Ran
	}
	for i := range e.Attempts {
		if t := &e.Attempts[i]; t.Outcome == Intent {
			t.Outcome = outcome
		}
	}
	e.Merge(Entry{Resolutions: []Resolution{w}})
}

// Record adds an attempt or raises its outcome.
func (e *Entry) Record(a Attempt, o Outcome) {
	at, there := slices.BinarySearchFunc(e.Attempts, a, func(t AttemptRecord, a Attempt) int { return t.compare(a) })
	if !there {
		e.Attempts = slices.Insert(e.Attempts, at, AttemptRecord{a, o})
	}
	e.Attempts[at].Outcome = max(e.Attempts[at].Outcome, o)
}

// trim drops attempts, down to limit if possible, without changing the status: attempts that never
// ran, and all but the last that ran. Attempts of unknown outcome are always kept, so that more than
// limit may be left.
func (e *Entry) trim(limit int) {
	ran := -1
	for i, t := range e.Attempts {
		if t.Outcome == Ran {
			ran = i
		}
	}
	over := len(e.Attempts) - limit
	if over <= 0 {
		return
	}
	kept := e.Attempts[:0]
	for i, t := range e.Attempts {
		if over > 0 && (t.Outcome == NeverRan && (ran >= 0 || i < len(e.Attempts)-1) || t.Outcome == Ran && i != ran) {
			over--
			continue
		}
		kept = append(kept, t)
	}
	clear(e.Attempts[len(kept):])
	e.Attempts = kept
}

// OutcomeOf returns the outcome of an attempt and whether the attempt is in the entry.
func (e *Entry) OutcomeOf(a Attempt) (o Outcome, known bool) {
	at, there := slices.BinarySearchFunc(e.Attempts, a, func(t AttemptRecord, a Attempt) int { return t.compare(a) })
	if !there {
		return Intent, false
	}
	return e.Attempts[at].Outcome, true
}

// StatusOfOthers returns the status that the entry has without the given attempt. It decides
// whether that attempt may be sent beside the others.
func (e *Entry) StatusOfOthers(a Attempt) Status {
	o := Entry{}
	for _, t := range e.Attempts {
		if t.Attempt != a {
			o.Attempts = append(o.Attempts, t)
		}
	}
	return o.Status()
}

// Merge adds what another dispatcher knows of the instruction. It is commutative, associative and
// idempotent.
func (e *Entry) Merge(o Entry) {
	for _, t := range o.Attempts {
		e.Record(t.Attempt, t.Outcome)
	}
	for _, w := range o.Resolutions {
		if !slices.Contains(e.Resolutions, w) {
			e.Resolutions = append(e.Resolutions, w)
		}
	}
	slices.SortFunc(e.Resolutions, func(a, b Resolution) int {
		return cmp.Or(cmp.Compare(a.Wall, b.Wall), cmp.Compare(a.By, b.By), cmp.Compare(a.Why, b.Why), cmp.Compare(boolToInt(a.Ran), boolToInt(b.Ran)))
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Clone returns a deep copy.
func (e *Entry) Clone() Entry { return Entry{slices.Clone(e.Attempts), slices.Clone(e.Resolutions)} }
