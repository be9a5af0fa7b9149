package bookkeeping

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerlog"
)

const (
	holderQueueSize    = 4096 // ops that wait
	maxCommitRecords   = 512  // records of one commit
	compactBatch       = 256  // records that are folded between two commits
	compactRatio       = 1.5  // records for each entry, and the oldest are folded
	clockCheckInterval = time.Second
	clockWriteInterval = 10 * time.Second // where nothing else is to be written
)

// holder keeps a part of the ledger: one goroutine owns the table and the file. What came while a commit ran goes into the next
// one together (group commit).
type holder struct {
	log          *ledgerlog.Log
	table        *ledger.Table
	inbox        chan queuedOp
	done         chan struct{}
	start        time.Time
	clockBase    time.Duration // what the file's clock had counted at the start
	recordCount  int           // in the file
	complete     atomic.Bool
	writes       atomic.Uint64 // commits, as others are told
	disk         uint64
	failed       atomic.Bool // the file can't be written: nothing is granted any more
	commits      atomic.Int64
	entries      atomic.Int64
	files        func() map[string]ledgerlog.FileVersion // of the others' files, which are remembered with the clock
	replyHook    func(*ledger.Reply)                     // a seam
	clockWritten time.Duration                           // when the clock was written last
}

// queuedOp is an op that waits, or something else that is to be done on the holder's goroutine.
type queuedOp struct {
	op    ledger.Op
	reply func(ledger.Reply)
	run   func() // instead of an op
}

var (
	errBusy   = errors.New("the ledger is busy")
	errFailed = errors.New("the ledger can't be written")
)

func openHolder(path string, opt Options, seen func() map[string]ledgerlog.FileVersion) (*holder, error) {
	h := &holder{table: ledger.NewTable(opt.Limits), inbox: make(chan queuedOp, holderQueueSize), done: make(chan struct{}), start: time.Now(), files: seen, replyHook: opt.Hooks.Reply}
	var last time.Duration
	var err error
	began := time.Now()
	h.log, err = ledgerlog.Open(path, opt.NewID, opt.Durability.synced(), func(r ledgerlog.Record) {
		h.recordCount++
		if opt.Hooks.SkipLoad {
			return
		}
		last = max(last, r.At)
		h.table.Merge(r.At, r.Key, r.Customer, r.Entry)
	})
	if err != nil {
		return nil, err
	}
	s := h.log.State()
	h.clockBase, h.disk = max(last, s.Clock), s.Disk
	h.writes.Store(s.Writes)
	h.entries.Store(int64(h.table.Len()))
	slog.Info("ledger: open", "entries", h.table.Len(), "records", h.recordCount, "whole", s.Whole, "took", time.Since(began).Round(time.Millisecond))
	return h, nil
}

// now is the holder's clock: it counts while the process runs, so that nothing is forgotten early whatever the wall clock says.
func (h *holder) now() time.Duration { return h.clockBase + time.Since(h.start) }

// ask hands an op to the holder. It does not block.
func (h *holder) submit(op ledger.Op, then func(ledger.Reply)) {
	select {
	case h.inbox <- queuedOp{op: op, reply: then}:
	default:
		then(ledger.Reply{Error: errBusy.Error()})
	}
}

// runWithin runs f on the holder's goroutine and waits for it, or gives up.
func (h *holder) runWithin(limit time.Duration, f func()) error {
	finished := make(chan struct{})
	select {
	case h.inbox <- queuedOp{run: func() { f(); close(finished) }}:
	case <-time.After(limit):
		return errBusy
	}
	select {
	case <-finished:
		return nil
	case <-time.After(limit):
		return errBusy
	case <-h.done:
		return errFailed
	}
}

// run owns the holder until stop is closed.
func (h *holder) run(stop <-chan struct{}) {
	defer close(h.done)
	tick := time.NewTicker(clockCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			if !h.failed.Load() {
				_ = h.log.Commit(nil, h.now()) // the clock; without it entries are kept a little longer
			}
			return
		case first := <-h.inbox:
			h.batch(first)
		case <-tick.C:
			h.writeClock()
		}
		h.compact()
	}
}

// writeClock writes the clock now and then, and what was heard of the others' files, where that has changed.
func (h *holder) writeClock() {
	now := h.now()
	if h.failed.Load() || !h.log.SetSeen(h.files()) && now-h.clockWritten < clockWriteInterval {
		return
	}
	h.clockWritten = now
	h.committed(h.log.Commit(nil, now))
}

// batch carries out what has come, writes it in one commit, and answers after that.
func (h *holder) batch(first queuedOp) {
	var records []ledgerlog.Record
	var answers []func()
	next, more := first, true
	for more {
		if next.run != nil {
			next.run()
		} else {
			h.apply(next, &records, &answers)
		}
		if len(records) >= maxCommitRecords {
			break
		}
		select {
		case next = <-h.inbox:
		default:
			more = false
		}
	}
	if len(records) > 0 {
		h.committed(h.log.Commit(records, h.now()))
		h.recordCount += len(records)
		h.entries.Store(int64(h.table.Len()))
	}
	for _, answer := range answers {
		answer()
	}
}

func (h *holder) apply(x queuedOp, records *[]ledgerlog.Record, answers *[]func()) {
	if h.failed.Load() && x.op.Kind != ledger.Lookup {
		*answers = append(*answers, func() { x.reply(ledger.Reply{Error: errFailed.Error()}) })
		return
	}
	r, learned := h.table.Do(h.now(), x.op)
	if len(learned.Attempts)+len(learned.Resolutions) > 0 {
		*records = append(*records, ledgerlog.Record{Key: x.op.Key, Customer: x.op.Customer, At: h.now(), Entry: learned})
	}
	*answers = append(*answers, func() {
		r.Complete = h.complete.Load()
		if r.Granted && h.failed.Load() {
			r = ledger.Reply{Error: errFailed.Error()} // it was not written
		}
		if h.replyHook != nil {
			h.replyHook(&r)
		}
		x.reply(r)
	})
}

// committed notes how a commit went. After one that failed nothing is granted: what is on disk is not known.
func (h *holder) committed(err error) {
	if err != nil {
		if !h.failed.Swap(true) {
			slog.Error("ledger: it can't be written, so this holder grants nothing more", "error", err)
		}
		return
	}
	h.commits.Add(1)
	h.writes.Store(h.log.State().Writes)
}

// compact takes old records out, a few at a time, so that the writer never waits long.
func (h *holder) compact() {
	if h.failed.Load() || h.recordCount < compactBatch || float64(h.recordCount) < compactRatio*float64(h.table.Len())+compactBatch {
		return
	}
	before := h.recordCount
	again := 0
	seen := map[ledger.Key]bool{}
	n, err := h.log.Compact(compactBatch, h.now(), func(r ledgerlog.Record) (ledgerlog.Record, bool) {
		e, customer, at := h.table.Get(h.now(), r.Key)
		if len(e.Attempts)+len(e.Resolutions) == 0 || seen[r.Key] {
			return r, false
		}
		seen[r.Key] = true
		again++
		return ledgerlog.Record{Key: r.Key, Customer: customer, At: at, Entry: e}, true
	})
	h.committed(err)
	h.recordCount = before - n + again
}

// dump gives what the file holds after a record, at most so many: it reads beside the writer, which does not wait. An entry may come
// in several parts.
func (h *holder) dump(after uint64, most int) (some []Row, next uint64, last bool, err error) {
	next, last, err = h.log.Read(after, most, func(r ledgerlog.Record) { some = append(some, Row{r.Key, r.Customer, r.Entry}) })
	return some, next, last, err
}

// unknown gives instructions whose fate nobody knows.
func (h *holder) unknown(most int) (some []Row) {
	all := h.table.Unknown(most)
	for _, k := range slices.SortedFunc(maps.Keys(all), ledger.Key.Compare) {
		some = append(some, Row{Key: k, Entry: all[k]})
	}
	return some
}
