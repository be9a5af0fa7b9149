package intentlog

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerstore"
)

const (
	holderQueueSize  = 4096 // queued operations
	maxCommitRecords = 512  // records of one commit
	compactBatch     = 256  // records that are compacted between two commits
	// with more records per entry than this, the oldest records are compacted
	compactRatio       = 1.5
	clockCheckInterval = time.Second
	clockWriteInterval = 10 * time.Second // for writing the clock when there is nothing else to write
)

// holder keeps this dispatcher's copy of the ledger. One goroutine owns the table and the file.
// Operations that arrive during a commit share the next one (group commit).
type holder struct {
	log          *ledgerstore.Log
	table        *ledger.Table
	inbox        chan queuedOp
	done         chan struct{}
	start        time.Time
	clockBase    time.Duration // value of the persisted clock at start-up
	recordCount  int           // in the file
	complete     atomic.Bool
	writes       atomic.Uint64 // commits, as reported to other dispatchers
	disk         uint64
	failed       atomic.Bool // the file cannot be written, so nothing is granted any more
	commits      atomic.Int64
	entries      atomic.Int64
	files        func() map[string]ledgerstore.FileVersion // versions of the other holders' files, which are stored with the clock
	replyHook    func(*ledger.Reply)                       // Hooks.Reply
	clockWritten time.Duration                             // when the clock was last written
}

// queuedOp is a queued operation, or a function to run on the holder's goroutine.
type queuedOp struct {
	op    ledger.Op
	reply func(ledger.Reply)
	run   func() // instead of op
}

var (
	errBusy   = errors.New("the ledger is busy")
	errFailed = errors.New("the ledger can't be written")
)

func openHolder(path string, opt Options, seen func() map[string]ledgerstore.FileVersion) (*holder, error) {
	h := &holder{table: ledger.NewTable(opt.Limits), inbox: make(chan queuedOp, holderQueueSize), done: make(chan struct{}), start: time.Now(), files: seen, replyHook: opt.Hooks.Reply}
	var last time.Duration
	var err error
	began := time.Now()
	h.log, err = ledgerstore.Open(path, opt.NewID, opt.Durability.synced(), func(r ledgerstore.Record) {
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
	slog.Info("ledger: file opened", "entries", h.table.Len(), "records", h.recordCount, "whole", s.Whole, "took", time.Since(began).Round(time.Millisecond))
	return h, nil
}

// now returns the holder's clock. It advances only while the process runs, so that no entry expires
// early, whatever the wall clock does.
func (h *holder) now() time.Duration { return h.clockBase + time.Since(h.start) }

// submit queues an operation without blocking. If the queue is full, it replies with an error.
func (h *holder) submit(op ledger.Op, then func(ledger.Reply)) {
	select {
	case h.inbox <- queuedOp{op: op, reply: then}:
	default:
		then(ledger.Reply{Error: errBusy.Error()})
	}
}

// runWithin runs f on the holder's goroutine and waits until it has finished, or until the limit
// has passed.
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

// run processes operations until stop is closed.
func (h *holder) run(stop <-chan struct{}) {
	defer close(h.done)
	tick := time.NewTicker(clockCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			if !h.failed.Load() {
				_ = h.log.Commit(nil, h.now()) // writes the clock; if that fails, entries are only kept a little longer
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

// writeClock writes the clock and the versions of the other holders' files if a version has
// changed, and otherwise every clockWriteInterval.
func (h *holder) writeClock() {
	now := h.now()
	if h.failed.Load() || !h.log.SetSeen(h.files()) && now-h.clockWritten < clockWriteInterval {
		return
	}
	h.clockWritten = now
	h.committed(h.log.Commit(nil, now))
}

// batch executes the queued operations, writes their records in one commit and then replies.
func (h *holder) batch(first queuedOp) {
	var records []ledgerstore.Record
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

func (h *holder) apply(x queuedOp, records *[]ledgerstore.Record, answers *[]func()) {
	if h.failed.Load() && x.op.Kind != ledger.Lookup {
		*answers = append(*answers, func() { x.reply(ledger.Reply{Error: errFailed.Error()}) })
		return
	}
	r, learned := h.table.Do(h.now(), x.op)
	if len(learned.Attempts)+len(learned.Resolutions) > 0 {
		*records = append(*records, ledgerstore.Record{Key: x.op.Key, Customer: x.op.Customer, At: h.now(), Entry: learned})
	}
	*answers = append(*answers, func() {
		r.Complete = h.complete.Load()
		if r.Granted && h.failed.Load() {
			r = ledger.Reply{Error: errFailed.Error()} // the record was not written
		}
		if h.replyHook != nil {
			h.replyHook(&r)
		}
		x.reply(r)
	})
}

// committed handles the result of a commit. After a failed commit nothing is granted any more, as
// it is not known what is on disk.
func (h *holder) committed(err error) {
	if err != nil {
		if !h.failed.Swap(true) {
			slog.Error("ledger: the file cannot be written; this holder grants nothing until it is restarted", "error", err)
		}
		return
	}
	h.commits.Add(1)
	h.writes.Store(h.log.State().Writes)
}

// compact removes old records, at most compactBatch at a time so that operations never wait long.
func (h *holder) compact() {
	if h.failed.Load() || h.recordCount < compactBatch || float64(h.recordCount) < compactRatio*float64(h.table.Len())+compactBatch {
		return
	}
	before := h.recordCount
	kept := 0
	seen := map[ledger.Key]bool{}
	n, err := h.log.Compact(compactBatch, h.now(), func(r ledgerstore.Record) (ledgerstore.Record, bool) {
		e, customer, at := h.table.Get(h.now(), r.Key)
		if len(e.Attempts)+len(e.Resolutions) == 0 || seen[r.Key] {
			return r, false
		}
		seen[r.Key] = true
		kept++
		return ledgerstore.Record{Key: r.Key, Customer: customer, At: at, Entry: e}, true
	})
	h.committed(err)
	h.recordCount = before - n + kept
}

// dump returns at most limit records of the file that follow the given one. It reads concurrently
// with the writer, which does not wait. An entry may be spread over several records.
func (h *holder) dump(after uint64, limit int) (rows []Row, next uint64, last bool, err error) {
	next, last, err = h.log.Read(after, limit, func(r ledgerstore.Record) { rows = append(rows, Row{r.Key, r.Customer, r.Entry}) })
	return rows, next, last, err
}

// unknown returns instructions of unknown status.
func (h *holder) unknown(limit int) (rows []Row) {
	all := h.table.Unknown(limit)
	for _, k := range slices.SortedFunc(maps.Keys(all), ledger.Key.Compare) {
		rows = append(rows, Row{Key: k, Entry: all[k]})
	}
	return rows
}
