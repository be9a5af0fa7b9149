package intentlog

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"standpulley/internal/ledger"
)

const (
	senderQueueSize    = 4096
	maxOpsSent         = 256                     // operations of one call
	minCallInterval    = 1500 * time.Microsecond // between two calls to one holder; stays below the rate that a holder accepts from one sender
	deliveryWindow     = time.Minute             // how long delivering an outcome to a holder is retried
	deliveryRetryDelay = 100 * time.Millisecond  // between two tries to deliver an outcome
)

// CallFunc makes a call to another dispatcher.
type CallFunc func(name string, call, answer any, limit time.Duration) error

// sender sends operations to one remote holder. Operations that arrive during a call share the next
// one.
type sender struct {
	name      string
	transport CallFunc
	timeout   time.Duration
	inbox     chan queuedOp
	calls     *atomic.Int64
	files     *fileVersions
}

func (s *sender) submit(op ledger.Op, then func(ledger.Reply)) {
	select {
	case s.inbox <- queuedOp{op: op, reply: then}:
	default:
		then(ledger.Reply{Error: errBusy.Error()})
	}
}

func (s *sender) run(stop <-chan struct{}) {
	for {
		var batch []queuedOp
		select {
		case <-stop:
			return
		case x := <-s.inbox:
			batch = append(batch, x)
		}
		for more := true; more && len(batch) < maxOpsSent; {
			select {
			case x := <-s.inbox:
				batch = append(batch, x)
			default:
				more = false
			}
		}
		began := time.Now()
		s.call(batch)
		if wait := minCallInterval - time.Since(began); wait > 0 {
			time.Sleep(wait)
		}
	}
}

func (s *sender) call(batch []queuedOp) {
	call := Call{Ops: make([]ledger.Op, len(batch))}
	for i, x := range batch {
		call.Ops[i] = x.op
	}
	var a Answer
	s.calls.Add(1)
	err := s.transport(s.name, call, &a, s.timeout)
	if err == nil {
		s.files.update(s.name, a.File)
	}
	if err == nil && len(a.Replies) != len(batch) {
		err = errors.New("the holder returned a wrong number of replies")
	}
	for i, x := range batch {
		if err != nil {
			x.reply(ledger.Reply{Error: err.Error()})
		} else {
			x.reply(a.Replies[i])
		}
	}
}

// queryHolders sends an operation to all holders and counts their replies until the verdict is no
// longer Pending, for at most limit.
func (s *Service) queryHolders(op ledger.Op, limit time.Duration, verdict func(*ledger.Tally) ledger.Verdict) (ledger.Verdict, *ledger.Tally) {
	if f := s.opt.Hooks.Op; f != nil {
		f(&op)
	}
	v, c := s.tallyReplies(op, limit, verdict)
	if f := s.opt.Hooks.Verdict; f != nil {
		v = f(op, v)
	}
	return v, c
}

func (s *Service) tallyReplies(op ledger.Op, limit time.Duration, verdict func(*ledger.Tally) ledger.Verdict) (ledger.Verdict, *ledger.Tally) {
	replies := make(chan ledger.Reply, len(s.holders))
	for _, h := range s.holders {
		h.submit(op, func(r ledger.Reply) { replies <- r })
	}
	c := ledger.NewTally(len(s.holders), op.Exclusive)
	if s.opt.Durability == DurabilityDisk && op.Kind == ledger.RecordIntent {
		c.RequireAll()
	}
	if f := s.opt.Hooks.Tally; f != nil {
		f(c)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for range s.holders {
		select {
		case r := <-replies:
			c.Add(&r)
		case <-timer.C:
			return ledger.Unclear, c
		}
		if v := verdict(c); v != ledger.Pending {
			return v, c
		}
	}
	return ledger.Unclear, c
}

// The errors of ledger queries. Nothing was sent for a request that gets one of them.
var (
	ErrMayHaveRun   error = &earlierAttemptError{"this instruction was taken before and may have run: it is not sent again"}
	ErrRan          error = &earlierAttemptError{"this instruction has run: it is not sent again"}
	ErrUndetermined       = errors.New("whether this instruction has run can't be found out now: it is not sent")
	ErrNotRecorded        = errors.New("the instruction can't be noted safely now: it is not sent")
)

// Refusal is the error for an instruction that the ledger has no room for. It never ran and may be
// tried again later.
type Refusal struct{ Reason string }

func (r *Refusal) Error() string { return r.Reason }

// errorForStatus returns the error for a status that forbids a repeat, and nil for any other.
func errorForStatus(f ledger.Status) error {
	switch f {
	case ledger.DidRun:
		return ErrRan
	case ledger.Unknown:
		return ErrMayHaveRun
	}
	return nil
}

// CheckRepeat returns the reason why a repeat of an instruction must not be taken, or nil if no
// earlier attempt may have run. It takes at most Options.FindTimeout and no longer than until.
func (s *Service) CheckRepeat(key ledger.Key, until time.Time) error {
	v, c := s.queryHolders(ledger.Op{Kind: ledger.Lookup, Key: key}, min(s.opt.FindTimeout, time.Until(until)), (*ledger.Tally).Known)
	if err := errorForStatus(c.Entry.Status()); err != nil {
		return err
	}
	if v != ledger.Yes {
		return ErrUndetermined
	}
	return nil
}

// Instruction is an instruction that this dispatcher has taken.
type Instruction struct {
	Key      ledger.Key
	Customer string
	// Identified tells that requests with this key are known to be the same instruction, as the
	// client gave the key or marked the request as a repeat.
	Identified bool

	mu    sync.Mutex
	known ledger.Entry // outcomes of the attempts that this dispatcher made
}

// RecordIntent records the intent to send an attempt at enough holders. It does not block. It calls
// then once, with the attempt's identity and, if the attempt must not be sent, the reason.
func (s *Service) RecordIntent(i *Instruction, until time.Time, then func(ledger.Attempt, error)) {
	a := ledger.Attempt{Owner: s.opt.Name, Boot: s.opt.Boot, N: s.attemptNumber.Add(1)}
	i.mu.Lock()
	own := i.known.Clone()
	i.mu.Unlock()
	if s.opt.Hooks.SendBeforeRecorded {
		then(a, nil)
		then = func(ledger.Attempt, error) {}
	}
	go func() {
		began := time.Now()
		v, c := s.queryHolders(ledger.Op{Kind: ledger.RecordIntent, Key: i.Key, Customer: i.Customer, Attempt: a, Exclusive: i.Identified, Entry: own},
			min(s.opt.FindTimeout, time.Until(until)), (*ledger.Tally).Granted)
		s.waits.add(time.Since(began))
		switch {
		case v == ledger.Yes:
			then(a, nil)
			return
		case v == ledger.No && c.Refusal != "":
			then(a, &Refusal{c.Refusal})
		case v == ledger.No:
			err := errorForStatus(c.Entry.StatusOfOthers(a))
			if err == nil {
				err = ErrMayHaveRun // a concurrent request with the same key is being sent
			}
			then(a, err)
		default:
			then(a, ErrNotRecorded)
		}
		s.RecordOutcome(i, a, ledger.NeverRan) // some holders may have recorded the intent
	}()
}

// RecordOutcome records the outcome of an attempt and delivers it to the holders.
func (s *Service) RecordOutcome(i *Instruction, a ledger.Attempt, o ledger.Outcome) {
	i.mu.Lock()
	i.known.Record(a, o)
	i.mu.Unlock()
	if o == ledger.Intent {
		return // the holders already have the attempt as Intent
	}
	s.deliver(ledger.Op{Kind: ledger.Merge, Key: i.Key, Customer: i.Customer, Entry: ledger.Entry{Attempts: []ledger.AttemptRecord{{Attempt: a, Outcome: o}}}})
}

// deliver sends an operation to all holders and retries each holder separately on errors.
func (s *Service) deliver(op ledger.Op) {
	end := time.Now().Add(deliveryWindow)
	s.delivering.Add(int64(len(s.holders)))
	for _, h := range s.holders {
		s.deliverTo(h, op, end)
	}
}

func (s *Service) deliverTo(h holderClient, op ledger.Op, end time.Time) {
	h.submit(op, func(r ledger.Reply) {
		if r.Error == "" {
			s.delivering.Add(-1)
			return
		}
		if time.Now().After(end) {
			s.delivering.Add(-1)
			s.undelivered.Add(1)
			slog.Warn("ledger: the outcome of an attempt could not be delivered to a holder; the instruction stays unknown there", "error", r.Error)
			return
		}
		time.AfterFunc(deliveryRetryDelay, func() { s.deliverTo(h, op, end) })
	})
}
