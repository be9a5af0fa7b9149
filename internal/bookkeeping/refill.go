package bookkeeping

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerlog"
)

// DiskRecord is the agreed one, as far as it is about ledgers: which disk each holder had last.
type DiskRecord interface {
	Disk(name string) (disk uint64, known bool, err error)
	SetDisk(name string, disk uint64) error
}

const (
	checkInterval = 200 * time.Millisecond
	callTimeout   = 2 * time.Second
)

// check finds out whether this holder knows all that it ever acknowledged, and mends it where it does not. Until it does, what the
// holder does not know tells nothing. It ends once the holder is whole.
func (k *Service) check() {
	said := ""
	for {
		err := k.checkOnce()
		if err == nil {
			k.holder.complete.Store(true)
			slog.Info("ledger: this holder knows all that it acknowledged", "entries", k.holder.entries.Load())
			return
		}
		if text := err.Error(); text != said {
			said = text
			slog.Warn("ledger: what this holder does not know tells nothing yet", "why", text)
		}
		select {
		case <-k.stop:
			return
		case <-time.After(checkInterval):
		}
	}
}

func (k *Service) checkOnce() error {
	h := k.holder
	was, known, err := k.opt.DiskRecord.Disk(k.opt.Name)
	if err != nil {
		return fmt.Errorf("the agreed record can't be read: %w", err)
	}
	var state ledgerlog.State
	if err := h.runWithin(callTimeout, func() { state = h.log.State() }); err != nil {
		return err
	}
	switch {
	case k.opt.Hooks.AssumeComplete:
		return k.markComplete()
	case !known: // no holder of this name ever acknowledged anything
		if err := k.opt.DiskRecord.SetDisk(k.opt.Name, state.Disk); err != nil {
			return err
		}
		return k.markComplete()
	case was != state.Disk && !state.Whole:
		slog.Warn("ledger: this holder's file is new and the one before is lost: it is filled from the others", "lost", was, "new", state.Disk)
		if err := k.refill(); err != nil {
			return err
		}
		if err := k.markComplete(); err != nil {
			return err
		}
		return k.opt.DiskRecord.SetDisk(k.opt.Name, state.Disk)
	case was != state.Disk: // it was filled, and ended before that was on record
		return k.opt.DiskRecord.SetDisk(k.opt.Name, state.Disk)
	case !state.Whole: // it was new, and ended before it knew
		return k.markComplete()
	}
	old, err := k.isStaleCopy(state)
	if err == nil && old {
		slog.Warn("ledger: this holder's file is an old copy of what it was: it is filled from the others", "commits", state.Writes)
		if err = k.refill(); err == nil {
			err = k.markComplete()
		}
	}
	return err
}

// isStaleCopy asks enough others what they last heard of this holder's file. One that has fewer commits than that is a copy from before.
func (k *Service) isStaleCopy(state ledgerlog.State) (bool, error) {
	heard := 0
	for _, name := range k.opt.Holders {
		if name == k.opt.Name {
			continue
		}
		var a Answer
		if k.opt.Call(name, Call{LastSeenOf: k.opt.Name}, &a, callTimeout) != nil {
			continue
		}
		heard++
		if a.LastSeen.Disk == state.Disk && a.LastSeen.Writes > state.Writes {
			return true, nil
		}
	}
	if need := ledger.Majority(len(k.opt.Holders)) - 1; heard < need {
		return false, fmt.Errorf("whether the file is an old copy is not known: %d other holders answer, %d must", heard, need)
	}
	return false, nil
}

// Accept has this holder count as whole once it is filled from one other, by an operator's word: what was with none but lost files
// stays lost. Where all holders were needed for each intent, nothing was.
func (k *Service) Accept(by, why string) error {
	switch {
	case k.holder == nil:
		return errors.New("this dispatcher holds no ledger")
	case why == "":
		return errors.New("a word needs a reason")
	case k.holder.complete.Load():
		return errors.New("this holder knows all that it acknowledged: there is nothing to accept")
	}
	slog.Warn("ledger: this holder is to be filled from one other, by an operator's word", "by", by, "why", why)
	k.acceptLoss.Store(true)
	return nil
}

// refill takes over what the other holders know. Enough of them must be whole themselves.
func (k *Service) refill() error {
	need, taken := ledger.RefillQuorum(len(k.opt.Holders)), 0
	if k.acceptLoss.Load() {
		need = 1
	}
	for _, name := range k.opt.Holders {
		if name == k.opt.Name || taken == need {
			continue
		}
		rows, err := k.copyFrom(name)
		if err != nil {
			slog.Warn("ledger: a holder gives nothing to fill from", "holder", name, "why", err)
			continue
		}
		taken++
		slog.Info("ledger: filled", "from", name, "entries", rows)
	}
	if taken < need {
		return fmt.Errorf("its ledger is lost, and only %d of the other holders are there and whole: %d must be", taken, need)
	}
	return nil
}

func (k *Service) copyFrom(name string) (rows int, err error) {
	var after uint64
	for {
		var a Answer
		if err := k.opt.Call(name, Call{DumpAfter: &after}, &a, callTimeout); err != nil {
			return rows, err
		}
		if !a.Complete {
			return rows, fmt.Errorf("it is not whole itself")
		}
		after = a.Next
		failed := make(chan error, len(a.Rows))
		for _, r := range a.Rows {
			k.holder.submit(ledger.Op{Kind: ledger.Merge, Key: r.Key, Customer: r.Customer, Entry: r.Entry}, func(r ledger.Reply) {
				if r.Error != "" {
					failed <- fmt.Errorf("%s", r.Error)
					return
				}
				failed <- nil
			})
		}
		for range a.Rows {
			if err := <-failed; err != nil {
				return rows, err
			}
		}
		rows += len(a.Rows)
		if a.Last {
			return rows, nil
		}
	}
}

func (k *Service) markComplete() (err error) {
	h := k.holder
	if e := h.runWithin(callTimeout, func() { err = h.log.SetComplete(true, h.now()) }); e != nil {
		return e
	}
	return err
}
