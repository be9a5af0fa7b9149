package intentlog

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerstore"
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
func (s *Service) check() {
	lastReason := ""
	for {
		err := s.checkOnce()
		if err == nil {
			s.holder.complete.Store(true)
			slog.Info("ledger: this holder is complete", "entries", s.holder.entries.Load())
			return
		}
		if text := err.Error(); text != lastReason {
			lastReason = text
			slog.Warn("ledger: this holder does not count as complete yet", "why", text)
		}
		select {
		case <-s.stop:
			return
		case <-time.After(checkInterval):
		}
	}
}

func (s *Service) checkOnce() error {
	h := s.holder
	was, known, err := s.opt.DiskRecord.Disk(s.opt.Name)
	if err != nil {
		return fmt.Errorf("reading the agreed record: %w", err)
	}
	var state ledgerstore.State
	if err := h.runWithin(callTimeout, func() { state = h.log.State() }); err != nil {
		return err
	}
	switch {
	case s.opt.Hooks.AssumeComplete:
		return s.markComplete()
	case !known: // no holder of this name ever acknowledged anything
		if err := s.opt.DiskRecord.SetDisk(s.opt.Name, state.Disk); err != nil {
			return err
		}
		return s.markComplete()
	case was != state.Disk && !state.Whole:
		slog.Warn("ledger: the file is new and the previous one is lost; refilling from the other holders", "lost", was, "new", state.Disk)
		if err := s.refill(); err != nil {
			return err
		}
		if err := s.markComplete(); err != nil {
			return err
		}
		return s.opt.DiskRecord.SetDisk(s.opt.Name, state.Disk)
	case was != state.Disk: // it was refilled, but the process ended before SetDisk
		return s.opt.DiskRecord.SetDisk(s.opt.Name, state.Disk)
	case !state.Whole: // it was new, and the process ended before it was marked complete
		return s.markComplete()
	}
	stale, err := s.isStaleCopy(state)
	if err == nil && stale {
		slog.Warn("ledger: the file is an old copy; refilling from the other holders", "commits", state.Writes)
		if err = s.refill(); err == nil {
			err = s.markComplete()
		}
	}
	return err
}

// isStaleCopy asks the other holders for the last version of this holder's file that they have
// seen. If any has seen more commits than the file has, the file is an old copy that was put back,
// for instance from a backup.
func (s *Service) isStaleCopy(state ledgerstore.State) (bool, error) {
	answered := 0
	for _, name := range s.opt.Holders {
		if name == s.opt.Name {
			continue
		}
		var a Answer
		if s.opt.Call(name, Call{LastSeenOf: s.opt.Name}, &a, callTimeout) != nil {
			continue
		}
		answered++
		if a.LastSeen.Disk == state.Disk && a.LastSeen.Writes > state.Writes {
			return true, nil
		}
	}
	if need := ledger.Majority(len(s.opt.Holders)) - 1; answered < need {
		return false, fmt.Errorf("cannot determine whether the file is an old copy: %d other holders answer, %d are needed", answered, need)
	}
	return false, nil
}

// Accept lets this holder count as complete after a refill from a single other holder, on an
// operator's order. Entries that only lost files had stay lost. With DurabilityDisk there are none,
// as all holders record each intent.
func (s *Service) Accept(by, why string) error {
	switch {
	case s.holder == nil:
		return errors.New("this dispatcher holds no ledger")
	case why == "":
		return errors.New("a word needs a reason")
	case s.holder.complete.Load():
		return errors.New("this holder knows all that it acknowledged: there is nothing to accept")
	}
	slog.Warn("ledger: refilling from a single other holder, by an operator's order", "by", by, "why", why)
	s.acceptLoss.Store(true)
	return nil
}

// refill copies the entries of the other holders. Enough of them must be complete themselves.
func (s *Service) refill() error {
	need, copied := ledger.RefillQuorum(len(s.opt.Holders)), 0
	if s.acceptLoss.Load() {
		need = 1
	}
	for _, name := range s.opt.Holders {
		if name == s.opt.Name || copied == need {
			continue
		}
		rows, err := s.copyFrom(name)
		if err != nil {
			slog.Warn("ledger: cannot refill from a holder", "holder", name, "why", err)
			continue
		}
		copied++
		slog.Info("ledger: copied the entries of a holder", "from", name, "entries", rows)
	}
	if copied < need {
		return fmt.Errorf("the ledger is lost and only %d complete holders answer; refilling needs %d", copied, need)
	}
	return nil
}

// copyFrom merges all entries of another holder into this one and returns how many rows it copied.
func (s *Service) copyFrom(name string) (rows int, err error) {
	var after uint64
	for {
		var a Answer
		if err := s.opt.Call(name, Call{DumpAfter: &after}, &a, callTimeout); err != nil {
			return rows, err
		}
		if !a.Complete {
			return rows, fmt.Errorf("the holder is not complete itself")
		}
		after = a.Next
		failed := make(chan error, len(a.Rows))
		for _, r := range a.Rows {
			s.holder.submit(ledger.Op{Kind: ledger.Merge, Key: r.Key, Customer: r.Customer, Entry: r.Entry}, func(r ledger.Reply) {
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
func (s *Service) markComplete() (err error) {
	h := s.holder
	if e := h.runWithin(callTimeout, func() { err = h.log.SetComplete(true, h.now()) }); e != nil {
		return e
	}
	return err
}
