package bookkeeping

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
func (k *Service) Unknown() ([]Row, error) {
	all := map[ledger.Key]Row{}
	var order []ledger.Key
	heard := 0
	for _, name := range k.opt.Holders {
		var a Answer
		var err error
		if name == k.opt.Name {
			a, err = k.Serve(Call{MaxUnknown: maxUnknownRows})
		} else {
			err = k.opt.Call(name, Call{MaxUnknown: maxUnknownRows}, &a, operatorTimeout)
		}
		if err != nil {
			continue
		}
		heard++
		for _, r := range a.Rows {
			if _, ok := all[r.Key]; !ok {
				order = append(order, r.Key)
			}
			all[r.Key] = r
		}
	}
	if heard < ledger.Majority(len(k.holders)) {
		return nil, fmt.Errorf("%d of %d holders answer: too few to know all", heard, len(k.holders))
	}
	var rows []Row
	for _, key := range order { // one holder may know what another does not
		row, err := k.Show(key)
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
func (k *Service) Show(key ledger.Key) (Row, error) {
	_, c := k.queryHolders(ledger.Op{Kind: ledger.Lookup, Key: key}, operatorTimeout, func(c *ledger.Tally) ledger.Verdict {
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
func (k *Service) Settle(key ledger.Key, w ledger.Resolution) error {
	row, err := k.Show(key)
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
	v, _ := k.queryHolders(ledger.Op{Kind: ledger.Merge, Key: key, Customer: row.Customer, Entry: e}, operatorTimeout, (*ledger.Tally).Granted)
	if v != ledger.Yes {
		return errors.New("too few holders have noted it: whether it stands shows later")
	}
	return nil
}

// Ready reports whether a majority of the holders is reachable and complete, from a check of the
// last readyTTL. Without one it starts a check in the background and returns false.
func (k *Service) Ready() bool {
	if at := k.readyAt.Load(); time.Since(k.start) < time.Duration(at)+readyTTL {
		return true
	}
	if k.checkingReady.CompareAndSwap(false, true) {
		go func() {
			defer k.checkingReady.Store(false)
			if v, _ := k.queryHolders(ledger.Op{Kind: ledger.Lookup}, k.opt.FindTimeout, (*ledger.Tally).Known); v == ledger.Yes {
				k.readyAt.Store(int64(time.Since(k.start)))
			}
		}()
	}
	return false
}

// readyTTL is how long the result of a readiness check is used.
const readyTTL = time.Second

// Export returns records of this dispatcher's file that follow the given one, the record to
// continue after, and whether these were the last. An entry may be spread over several records.
func (k *Service) Export(after uint64) (rows []Row, next uint64, last bool, err error) {
	if k.holder == nil {
		return nil, 0, false, errors.New("this dispatcher holds no ledger: ask a voter")
	}
	return k.holder.dump(after, maxDumpRows)
}

// Import merges exported entries into the holders' ledgers. It has taken effect once a majority of
// the holders has all of them on disk.
func (k *Service) Import(rows []Row) error {
	for _, r := range rows {
		if v, _ := k.queryHolders(ledger.Op{Kind: ledger.Merge, Key: r.Key, Customer: r.Customer, Entry: r.Entry}, operatorTimeout, (*ledger.Tally).Granted); v != ledger.Yes {
			return fmt.Errorf("too few holders have noted %s: import it again, which does no harm", r.Key)
		}
	}
	return nil
}
