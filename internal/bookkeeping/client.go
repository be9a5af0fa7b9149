package bookkeeping

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
	maxOpsSent         = 256                     // ops of one call
	minCallInterval    = 1500 * time.Microsecond // between two calls to one holder, at least: each holder bounds them
	deliveryWindow     = time.Minute             // what became of an attempt is told again for so long
	deliveryRetryDelay = 100 * time.Millisecond  // before it is told again
)

// CallFunc makes a call to another dispatcher.
type CallFunc func(name string, ask, answer any, limit time.Duration) error

// sender carries ops to one other holder, as many to a call as have come while the last one was under way.
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
		var some []queuedOp
		select {
		case <-stop:
			return
		case x := <-s.inbox:
			some = append(some, x)
		}
		for more := true; more && len(some) < maxOpsSent; {
			select {
			case x := <-s.inbox:
				some = append(some, x)
			default:
				more = false
			}
		}
		began := time.Now()
		s.call(some)
		if wait := minCallInterval - time.Since(began); wait > 0 {
			time.Sleep(wait)
		}
	}
}

func (s *sender) call(some []queuedOp) {
	ask := Call{Ops: make([]ledger.Op, len(some))}
	for i, x := range some {
		ask.Ops[i] = x.op
	}
	var a Answer
	s.calls.Add(1)
	err := s.transport(s.name, ask, &a, s.timeout)
	if err == nil {
		s.files.update(s.name, a.File)
	}
	if err == nil && len(a.Replies) != len(some) {
		err = errors.New("it answers another number of questions")
	}
	for i, x := range some {
		if err != nil {
			x.reply(ledger.Reply{Error: err.Error()})
		} else {
			x.reply(a.Replies[i])
		}
	}
}

// queryHolders asks all holders and waits until verdict is clear, for limit at most.
func (k *Service) queryHolders(op ledger.Op, limit time.Duration, verdict func(*ledger.Tally) ledger.Verdict) (ledger.Verdict, *ledger.Tally) {
	if f := k.opt.Hooks.Op; f != nil {
		f(&op)
	}
	v, c := k.tallyReplies(op, limit, verdict)
	if f := k.opt.Hooks.Verdict; f != nil {
		v = f(op, v)
	}
	return v, c
}

func (k *Service) tallyReplies(op ledger.Op, limit time.Duration, verdict func(*ledger.Tally) ledger.Verdict) (ledger.Verdict, *ledger.Tally) {
	replies := make(chan ledger.Reply, len(k.holders))
	for _, h := range k.holders {
		h.submit(op, func(r ledger.Reply) { replies <- r })
	}
	c := ledger.NewTally(len(k.holders), op.Exclusive)
	if k.opt.Durability == DurabilityDisk && op.Kind == ledger.RecordIntent {
		c.RequireAll()
	}
	if f := k.opt.Hooks.Tally; f != nil {
		f(c)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for range k.holders {
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

// Errors of what is asked of the ledger. Nothing was sent where one comes.
var (
	ErrMayHaveRun   error = &earlierAttemptError{"this instruction was taken before and may have run: it is not sent again"}
	ErrRan          error = &earlierAttemptError{"this instruction has run: it is not sent again"}
	ErrUndetermined       = errors.New("whether this instruction has run can't be found out now: it is not sent")
	ErrNotRecorded        = errors.New("the instruction can't be noted safely now: it is not sent")
)

// Refusal is why an instruction can't be remembered. It never ran, and may be tried again later.
type Refusal struct{ Reason string }

func (r *Refusal) Error() string { return r.Reason }

func errorForStatus(f ledger.Status) error {
	switch f {
	case ledger.DidRun:
		return ErrRan
	case ledger.Unknown:
		return ErrMayHaveRun
	}
	return nil
}

// Find says why a repeat of an instruction may not be taken, nil where nothing is known of an earlier one that could have run.
// It takes no longer than the find time, or until.
func (k *Service) CheckRepeat(key ledger.Key, until time.Time) error {
	v, c := k.queryHolders(ledger.Op{Kind: ledger.Lookup, Key: key}, min(k.opt.FindTimeout, time.Until(until)), (*ledger.Tally).Known)
	if err := errorForStatus(c.Entry.Status()); err != nil {
		return err
	}
	if v != ledger.Yes {
		return ErrUndetermined
	}
	return nil
}

// Instruction is one that this dispatcher has taken.
type Instruction struct {
	Key        ledger.Key
	Customer   string
	Identified bool // it is known to be the same as others of its key: by a key that the client gave, or as a marked repeat

	mu    sync.Mutex
	known ledger.Entry // what became of its attempts
}

// RecordIntent notes the intent to send an attempt with enough holders, and calls then once: with the attempt's name, or why it must not
// be sent. It does not block.
func (k *Service) RecordIntent(i *Instruction, until time.Time, then func(ledger.Attempt, error)) {
	a := ledger.Attempt{Owner: k.opt.Name, Boot: k.opt.Boot, N: k.attemptNumber.Add(1)}
	i.mu.Lock()
	own := i.known.Clone()
	i.mu.Unlock()
	if k.opt.Hooks.SendBeforeRecorded {
		then(a, nil)
		then = func(ledger.Attempt, error) {}
	}
	go func() {
		began := time.Now()
		v, c := k.queryHolders(ledger.Op{Kind: ledger.RecordIntent, Key: i.Key, Customer: i.Customer, Attempt: a, Exclusive: i.Identified, Entry: own},
			min(k.opt.FindTimeout, time.Until(until)), (*ledger.Tally).Granted)
		k.waits.add(time.Since(began))
		switch {
		case v == ledger.Yes:
			then(a, nil)
			return
		case v == ledger.No && c.Refusal != "":
			then(a, &Refusal{c.Refusal})
		case v == ledger.No:
			err := errorForStatus(c.Entry.StatusOfOthers(a))
			if err == nil {
				err = ErrMayHaveRun // another of the same key is on its way
			}
			then(a, err)
		default:
			then(a, ErrNotRecorded)
		}
		k.RecordOutcome(i, a, ledger.NeverRan) // some may have noted it
	}()
}

// RecordOutcome notes what became of an attempt, and tells the holders until enough of them have it.
func (k *Service) RecordOutcome(i *Instruction, a ledger.Attempt, o ledger.Outcome) {
	i.mu.Lock()
	i.known.Record(a, o)
	i.mu.Unlock()
	if o == ledger.Intent {
		return // nobody knows: that is what the holders have
	}
	k.deliver(ledger.Op{Kind: ledger.Merge, Key: i.Key, Customer: i.Customer, Entry: ledger.Entry{Attempts: []ledger.AttemptRecord{{Attempt: a, Outcome: o}}}})
}

// deliver has all holders learn something, each on its own.
func (k *Service) deliver(op ledger.Op) {
	end := time.Now().Add(deliveryWindow)
	k.delivering.Add(int64(len(k.holders)))
	for _, h := range k.holders {
		k.deliverTo(h, op, end)
	}
}

func (k *Service) deliverTo(h holderClient, op ledger.Op, end time.Time) {
	h.submit(op, func(r ledger.Reply) {
		if r.Error == "" {
			k.delivering.Add(-1)
			return
		}
		if time.Now().After(end) {
			k.delivering.Add(-1)
			k.undelivered.Add(1)
			slog.Warn("ledger: a holder could not be told what became of an instruction, which stays unknown to it", "error", r.Error)
			return
		}
		time.AfterFunc(deliveryRetryDelay, func() { k.deliverTo(h, op, end) })
	})
}
