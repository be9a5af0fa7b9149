package bookkeeping

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerlog"
)

// DiskRecord is the part of the agreed record that concerns ledgers: the disk number of the file
// that each holder had last. A file that is created anew gets another number.
type DiskRecord interface {
	Disk(name string) (disk uint64, known bool, err error)
	SetDisk(name string, disk uint64) error
}

const (
	checkInterval = 200 * time.Millisecond
	callTimeout   = 2 * time.Second
)

// check determines whether this holder has all that it ever acknowledged, and refills it from the
// other holders if it does not. Until then the holder does not count as complete: that an
// instruction is missing from its ledger proves nothing. check returns once the holder is complete.
func (k *Service) check() {
	said := ""
	for {
		err := k.checkOnce()
		if err == nil {
			k.holder.complete.Store(true)
			slog.Info("ledger: this holder is complete", "entries", k.holder.entries.Load())
			return
		}
		if text := err.Error(); text != said {
			said = text
			slog.Warn("ledger: this holder does not count as complete yet", "why", text)
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
		return fmt.Errorf("reading the agreed record: %w", err)
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
		slog.Warn("ledger: the file is new and the previous one is lost; refilling from the other holders", "lost", was, "new", state.Disk)
		if err := k.refill(); err != nil {
			return err
		}
		if err := k.markComplete(); err != nil {
			return err
		}
		return k.opt.DiskRecord.SetDisk(k.opt.Name, state.Disk)
	case was != state.Disk: // it was refilled, but the process ended before SetDisk
		return k.opt.DiskRecord.SetDisk(k.opt.Name, state.Disk)
	case !state.Whole: // it was new, and the process ended before it was marked complete
		return k.markComplete()
	}
	old, err := k.isStaleCopy(state)
	if err == nil && old {
		slog.Warn("ledger: the file is an old copy; refilling from the other holders", "commits", state.Writes)
		if err = k.refill(); err == nil {
			err = k.markComplete()
		}
	}
	return err
}

// isStaleCopy asks the other holders for the last version of this holder's file that they have
// seen. If any has seen more commits than the file has, the file is an old copy that was put back,
// for instance from a backup.
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
		return false, fmt.Errorf("cannot determine whether the file is an old copy: %d other holders answer, %d are needed", heard, need)
	}
	return false, nil
}

// Accept lets this holder count as complete after a refill from a single other holder, on an
// operator's order. Entries that only lost files had stay lost. With DurabilityDisk there are none,
// as all holders record each intent.
func (k *Service) Accept(by, why string) error {
	switch {
	case k.holder == nil:
		return errors.New("this dispatcher holds no ledger")
	case why == "":
		return errors.New("a word needs a reason")
	case k.holder.complete.Load():
		return errors.New("this holder knows all that it acknowledged: there is nothing to accept")
	}
	slog.Warn("ledger: refilling from a single other holder, by an operator's order", "by", by, "why", why)
	k.acceptLoss.Store(true)
	return nil
}

// refill copies the entries of the other holders. Enough of them must be complete themselves.
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
			slog.Warn("ledger: cannot refill from a holder", "holder", name, "why", err)
			continue
		}
		taken++
		slog.Info("ledger: copied the entries of a holder", "from", name, "entries", rows)
	}
	if taken < need {
		return fmt.Errorf("the ledger is lost and only %d complete holders answer; refilling needs %d", taken, need)
	}
	return nil
}

// copyFrom merges all entries of another holder into this one and returns how many rows it copied.
func (k *Service) copyFrom(name string) (rows int, err error) {
	var after uint64
	for {
		var a Answer
		if err := k.opt.Call(name, Call{DumpAfter: &after}, &a, callTimeout); err != nil {
			return rows, err
		}
		if !a.Complete {
			return rows, fmt.Errorf("the holder is not complete itself")
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

// markComplete stores in the file that this holder is complete.
func (k *Service) markComplete() (err error) {
	h := k.holder
	if e := h.runWithin(callTimeout, func() { err = h.log.SetComplete(true, h.now()) }); e != nil {
		return e
	}
	return err
}
