package bookkeeping

import (
	"errors"
	"fmt"
	"time"

	"standpulley/internal/ledger"
)

// operatorTimeout is how long an operator waits for the holders.
const operatorTimeout = 3 * time.Second

// Unknown gives the instructions of which nobody knows whether they ran, as far as holders know that are there, and at most as many
// as one answer holds.
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

// Show gives all that is known of one instruction.
func (k *Service) Show(key ledger.Key) (Row, error) {
	_, c := k.queryHolders(ledger.Op{Kind: ledger.Lookup, Key: key}, operatorTimeout, func(c *ledger.Tally) ledger.Verdict {
		if c.Known() == ledger.Yes && !c.AllAnswered() {
			return ledger.Pending // all that answer are wanted
		}
		return c.Known()
	})
	if !c.MajorityAnswered() {
		return Row{}, errors.New("too few holders answer to know all of it")
	}
	return Row{Key: key, Customer: c.Customer, Entry: c.Entry}, nil
}

// Settle notes an operator's word, who looked into the books, for the attempts whose fate nobody knows. It stands once a majority of
// the holders has it on disk.
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

// Ready tells whether a majority of the holders is there and whole, as far as was heard of late. It asks where nothing was.
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

// readyTTL is how long what was heard of the holders counts.
const readyTTL = time.Second

// Export gives what this dispatcher's file holds after a record, with the record to go on from and whether that was all. An entry may
// come in several parts.
func (k *Service) Export(after uint64) (rows []Row, next uint64, last bool, err error) {
	if k.holder == nil {
		return nil, 0, false, errors.New("this dispatcher holds no ledger: ask a voter")
	}
	return k.holder.dump(after, maxDumpRows)
}

// Import has the holders learn entries, as they were exported. It stands once a majority of them has all of it on disk.
func (k *Service) Import(rows []Row) error {
	for _, r := range rows {
		if v, _ := k.queryHolders(ledger.Op{Kind: ledger.Merge, Key: r.Key, Customer: r.Customer, Entry: r.Entry}, operatorTimeout, (*ledger.Tally).Granted); v != ledger.Yes {
			return fmt.Errorf("too few holders have noted %s: import it again, which does no harm", r.Key)
		}
	}
	return nil
}
