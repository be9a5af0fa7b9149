package intentlog

import (
	"errors"
	"fmt"
	"time"

	"standpulley/internal/ledger"
)

// operatorTimeout is how long an operator's command waits for the holders.
const operatorTimeout = 3 * time.Second

// Unknown returns the instructions for which it is unknown whether they ran. It asks all holders
// and fails unless a majority answers. Each holder reports at most maxUnknownRows instructions.
func (s *Service) Unknown() ([]Row, error) {
	all := map[ledger.Key]Row{}
	var order []ledger.Key
	answered := 0
	for _, name := range s.opt.Holders {
		var a Answer
		var err error
		if name == s.opt.Name {
			a, err = s.Serve(Call{MaxUnknown: maxUnknownRows})
		} else {
			err = s.opt.Call(name, Call{MaxUnknown: maxUnknownRows}, &a, operatorTimeout)
		}
		if err != nil {
			continue
		}
		answered++
		for _, r := range a.Rows {
			if _, ok := all[r.Key]; !ok {
				order = append(order, r.Key)
			}
			all[r.Key] = r
		}
	}
	if answered < ledger.Majority(len(s.holders)) {
		return nil, fmt.Errorf("%d of %d holders answer: too few to know all", answered, len(s.holders))
	}
	var rows []Row
	for _, key := range order { // one holder may know what another does not
		row, err := s.Show(key)
		if err != nil {
			return nil, err
		}
		if row.Entry.Status() == ledger.Unknown {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Show returns all that is known of one instruction.
func (s *Service) Show(key ledger.Key) (Row, error) {
	_, c := s.queryHolders(ledger.Op{Kind: ledger.Lookup, Key: key}, operatorTimeout, func(c *ledger.Tally) ledger.Verdict {
		if c.Known() == ledger.Yes && !c.AllAnswered() {
			return ledger.Pending // wait for the replies of all holders
		}
		return c.Known()
	})
	if !c.MajorityAnswered() {
		return Row{}, errors.New("too few holders answer to know all of it")
	}
	return Row{Key: key, Customer: c.Customer, Entry: c.Entry}, nil
}

// Settle records an operator's resolution for the attempts of unknown outcome. It is in force once
// a majority of the holders has it on disk.
func (s *Service) Settle(key ledger.Key, w ledger.Resolution) error {
	row, err := s.Show(key)
	if err != nil {
		return err
	}
	switch f := row.Entry.Status(); {
	case w.Why == "":
		return errors.New("a word needs a reason")
	case f == ledger.NeverSent:
		return fmt.Errorf("nothing is known of %s", key)
	case f != ledger.Unknown:
		return fmt.Errorf("%s %s: there is nothing to settle", key, f)
	}
	e := row.Entry.Clone()
	e.Settle(w)
	v, _ := s.queryHolders(ledger.Op{Kind: ledger.Merge, Key: key, Customer: row.Customer, Entry: e}, operatorTimeout, (*ledger.Tally).Granted)
	if v != ledger.Yes {
		return errors.New("too few holders have noted it: whether it stands shows later")
	}
	return nil
}

// Ready reports whether a majority of the holders is reachable and complete, from a check of the
// last readyTTL. Without one it starts a check in the background and returns false.
func (s *Service) Ready() bool {
	if at := s.readyAt.Load(); time.Since(s.start) < time.Duration(at)+readyTTL {
		return true
	}
	if s.checkingReady.CompareAndSwap(false, true) {
		go func() {
			defer s.checkingReady.Store(false)
			if v, _ := s.queryHolders(ledger.Op{Kind: ledger.Lookup}, s.opt.FindTimeout, (*ledger.Tally).Known); v == ledger.Yes {
				s.readyAt.Store(int64(time.Since(s.start)))
			}
		}()
	}
	return false
}

// readyTTL is how long the result of a readiness check is used.
const readyTTL = time.Second

// Export returns records of this dispatcher's file that follow the given one, the record to
// continue after, and whether these were the last. An entry may be spread over several records.
func (s *Service) Export(after uint64) (rows []Row, next uint64, last bool, err error) {
	if s.holder == nil {
		return nil, 0, false, errors.New("this dispatcher holds no ledger: ask a voter")
	}
	return s.holder.dump(after, maxDumpRows)
}

// Import merges exported entries into the holders' ledgers. It has taken effect once a majority of
// the holders has all of them on disk.
func (s *Service) Import(rows []Row) error {
	for _, r := range rows {
		if v, _ := s.queryHolders(ledger.Op{Kind: ledger.Merge, Key: r.Key, Customer: r.Customer, Entry: r.Entry}, operatorTimeout, (*ledger.Tally).Granted); v != ledger.Yes {
			return fmt.Errorf("too few holders have noted %s: import it again, which does no harm", r.Key)
		}
	}
	return nil
}
