// Package ledger decides what is known of instructions, which must not run twice: what each attempt of one came to, how what
// several dispatchers know is joined, when a repeat may be sent on, how many are kept and for whom, and who keeps them. It does
// no I/O, reads no clock and keeps no goroutines.
//
//	ledger.go  an instruction's entry: attempts, an operator's word, and what they come to
//	table.go   entries within bounds, with expiry, fair to customers
//	holder.go  what is asked of those who hold entries, and what their replies come to
package ledger

import (
	"cmp"
	"slices"
)

// Outcome is what is known of one attempt. A greater one includes the lesser: knowledge only grows, and where two
// dispatchers know differently the one that forbids more counts.
type Outcome uint8

// The outcomes.
const (
	Intent   Outcome = iota // it is about to leave, or has: it may have run, or may yet
	NeverRan                // proven by the wire never to have run
	Ran                     // it ran
)

func (o Outcome) String() string { return [...]string{"intent", "never ran", "ran"}[o] }

// Attempt names one send: by the dispatcher, its life and a number in it.
type Attempt struct {
	Owner string `json:"taker"`
	Boot  uint64 `json:"boot"`
	N     uint64 `json:"n"`
}

// Resolution is an operator's, who looked into the books. What it settled stands with the attempts; the words are the audit trail.
type Resolution struct {
	Ran  bool   `json:"ran"`
	By   string `json:"by"`
	Why  string `json:"why"`
	Wall string `json:"wall"` // for people
}

// Entry is what is known of one instruction. Its zero value knows nothing.
type Entry struct {
	Attempts    []AttemptRecord `json:"attempts"`        // in order
	Resolutions []Resolution    `json:"words,omitempty"` // all that were given, in order: an audit trail
}

// AttemptRecord is an attempt and what is known of it.
type AttemptRecord struct {
	Attempt
	Outcome Outcome `json:"outcome"`
}

func (a Attempt) compare(b Attempt) int {
	return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.N, b.N))
}

// Status is what an entry comes to.
type Status uint8

// The fates.
const (
	NeverSent Status = iota // nothing was ever sent
	NotRun                  // all that was sent is proven never to have run, or an operator says so
	Unknown                 // it may have run, or may yet
	DidRun                  // it ran
)

func (f Status) String() string { return [...]string{"fresh", "never ran", "unknown", "ran"}[f] }

// Status reads an entry. Only proof for every attempt, or an operator's word for those that have none, makes an instruction one
// that never ran; that one ran outweighs everything.
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

// MaySend tells whether a repeat may be sent on.
func (e *Entry) MaySend() bool { f := e.Status(); return f == NeverSent || f == NotRun }

// Settle takes an operator's word for the attempts whose fate nobody knows by now. It says nothing of later ones: those need
// another.
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

// Record adds what is known of an attempt.
func (e *Entry) Record(a Attempt, o Outcome) {
	at, there := slices.BinarySearchFunc(e.Attempts, a, func(t AttemptRecord, a Attempt) int { return t.compare(a) })
	if !there {
		e.Attempts = slices.Insert(e.Attempts, at, AttemptRecord{a, o})
	}
	e.Attempts[at].Outcome = max(e.Attempts[at].Outcome, o)
}

// trim drops attempts whose going changes no fate, where there are more than so many: those that never ran, then all but the last
// that ran. What nobody knows stays.
func (e *Entry) trim(most int) {
	ran := -1
	for i, t := range e.Attempts {
		if t.Outcome == Ran {
			ran = i
		}
	}
	over := len(e.Attempts) - most
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

// OutcomeOf tells what is known of an attempt.
func (e *Entry) OutcomeOf(a Attempt) (o Outcome, known bool) {
	at, there := slices.BinarySearchFunc(e.Attempts, a, func(t AttemptRecord, a Attempt) int { return t.compare(a) })
	if !there {
		return Intent, false
	}
	return e.Attempts[at].Outcome, true
}

// StatusOfOthers tells what the other attempts come to: whether this one may be sent beside them.
func (e *Entry) StatusOfOthers(a Attempt) Status {
	o := Entry{}
	for _, t := range e.Attempts {
		if t.Attempt != a {
			o.Attempts = append(o.Attempts, t)
		}
	}
	return o.Status()
}

// Merge adds what another dispatcher knows. It is commutative, associative and idempotent.
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

// Clone is a copy of its own.
func (e *Entry) Clone() Entry { return Entry{slices.Clone(e.Attempts), slices.Clone(e.Resolutions)} }
