// Package bookkeeping is a dispatcher's part in knowing what must not run twice. Every voter holds the ledger; the intent to send
// an attempt is noted with a majority of them before its first byte leaves, and a repeat asks a majority. What is decided stands in
// package ledger, what is on disk in package ledgerlog.
//
//	bookkeeping.go the part as a whole, and what operators ask for
//	holder.go      the goroutine that owns a part of the ledger
//	taker.go       intents, repeats and outcomes of what this dispatcher takes
//	refill.go      a holder that has lost what it knew
package bookkeeping

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerlog"
	"standpulley/logic"
)

// Durability says what the ledger outlives.
type Durability string

// The choices. With each an intent is with a majority of the holders before its first byte leaves.
const (
	DurabilityProcess Durability = "process" // the end of processes, in any order; not a loss of power at a majority of the holders
	DurabilitySite    Durability = "site"    // a loss of power everywhere, and the loss of fewer disks than a majority
	DurabilityDisk    Durability = "disk"    // the loss of all disks but one: each holder that can vote has it
)

// Valid tells whether it is one of them.
func (s Durability) Valid() bool {
	return s == DurabilityProcess || s == DurabilitySite || s == DurabilityDisk
}

func (s Durability) synced() bool { return s != DurabilityProcess }

// Options are what a dispatcher's part is told.
type Options struct {
	Name        string
	Boot        uint64
	Folder      string
	Holders     []string // the voters' names
	Limits      ledger.Limits
	FindTimeout time.Duration // that a repeat or an intent may take
	Durability  Durability
	Call        CallFunc
	NewID       func() uint64
	DiskRecord  DiskRecord
	Hooks       Hooks
}

// Hooks are where tests put faults in. The zero value puts in none.
type Hooks struct {
	Op                 func(*ledger.Op)                                   // before holders are asked
	Tally              func(*ledger.Tally)                                // before replies are added up
	Reply              func(*ledger.Reply)                                // of a holder, before it leaves
	Outcome            func(logic.Outcome, ledger.Outcome) ledger.Outcome // of an attempt
	Verdict            func(ledger.Op, ledger.Verdict) ledger.Verdict     // on what was asked
	SendBeforeRecorded bool                                               // an attempt leaves while its intent is being noted
	AssumeComplete     bool                                               // a new file, or an old copy, counts as one that knows all
	SkipLoad           bool                                               // what is on disk is not read at the start
}

// holderClient is who answers ops: this dispatcher's own holder, or a sender to another.
type holderClient interface {
	submit(op ledger.Op, then func(ledger.Reply))
}

// Service is the part.
type Service struct {
	opt           Options
	holder        *holder // nil where this dispatcher holds nothing
	holders       []holderClient
	stop          chan struct{}
	goroutines    sync.WaitGroup
	attemptNumber atomic.Uint64
	calls         atomic.Int64
	undelivered   atomic.Int64
	delivering    atomic.Int64 // outcomes that a holder has not heard yet
	start         time.Time
	readyAt       atomic.Int64 // since start, when a majority was heard to be whole
	checkingReady atomic.Bool  // whether that is so
	acceptLoss    atomic.Bool  // to be filled from one other holder
	waits         intentWaits
	files         fileVersions
}

// fileVersions is what was heard last of each holder's file.
type fileVersions struct {
	mu  sync.Mutex
	all map[string]ledgerlog.FileVersion
}

func (s *fileVersions) get(name string) ledgerlog.FileVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[name]
}

// update takes what a holder says of its file. Another file takes the place of the one before.
func (s *fileVersions) update(name string, is ledgerlog.FileVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if was := s.all[name]; was.Disk != is.Disk || was.Writes < is.Writes {
		s.all[name] = is
	}
}

func (s *fileVersions) snapshot() map[string]ledgerlog.FileVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.all)
}

// Open opens the ledger and begins.
func Open(opt Options) (*Service, error) {
	k := &Service{opt: opt, start: time.Now(), stop: make(chan struct{}), files: fileVersions{all: map[string]ledgerlog.FileVersion{}}}
	k.readyAt.Store(-int64(readyTTL)) // never yet
	if slices.Contains(opt.Holders, opt.Name) {
		h, err := openHolder(ledgerlog.Path(opt.Folder), opt, k.files.snapshot)
		if err != nil {
			return nil, err
		}
		k.holder = h
		for name, is := range h.log.State().Seen {
			k.files.update(name, is)
		}
		k.goroutines.Go(func() { h.run(k.stop) })
	}
	for _, name := range opt.Holders {
		if name == opt.Name {
			k.holders = append(k.holders, k.holder)
			continue
		}
		s := &sender{name: name, transport: opt.Call, timeout: opt.FindTimeout, inbox: make(chan queuedOp, senderQueueSize), calls: &k.calls, files: &k.files}
		k.holders = append(k.holders, s)
		k.goroutines.Go(func() { s.run(k.stop) })
	}
	return k, nil
}

// Run begins to find out whether what is on disk is all that it was. The agreed record must be there to be asked.
func (k *Service) Run() {
	if k.holder != nil {
		k.goroutines.Go(k.check)
	}
}

// closeTimeout is how long an end waits for holders to hear what became of the last instructions. What they do not hear stays unknown.
const closeTimeout = 300 * time.Millisecond

// Close ends the part.
func (k *Service) Close() error {
	for end := time.Now().Add(closeTimeout); k.delivering.Load() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	close(k.stop)
	k.goroutines.Wait()
	if k.holder != nil {
		return k.holder.log.Close()
	}
	return nil
}

// Call is what one dispatcher asks of a holder.
type Call struct {
	Ops        []ledger.Op `json:"ops,omitempty"`
	DumpAfter  *uint64     `json:"dump,omitempty"`    // what the file holds after this record
	MaxUnknown int         `json:"unknown,omitempty"` // at most so many of which nobody knows the fate
	LastSeenOf string      `json:"about,omitempty"`   // what was heard last of this holder's file
}

// Answer is what it hears.
type Answer struct {
	Replies  []ledger.Reply        `json:"replies,omitempty"`
	Rows     []Row                 `json:"rows,omitempty"`
	Next     uint64                `json:"next,omitempty"` // of a dump: the record to go on from
	Last     bool                  `json:"last,omitempty"`
	Complete bool                  `json:"whole"`
	File     ledgerlog.FileVersion `json:"file"` // of the one that answers
	LastSeen ledgerlog.FileVersion `json:"about"`
}

// Row is one entry on its way.
type Row struct {
	Key      ledger.Key   `json:"key"`
	Customer string       `json:"customer,omitempty"`
	Entry    ledger.Entry `json:"entry"`
}

const (
	maxDumpRows    = 1000 // entries of one answer
	maxUnknownRows = 1000
	maxOpsServed   = 1024
)

// Serve answers a call of another dispatcher.
func (k *Service) Serve(c Call) (a Answer, err error) {
	h := k.holder
	if h == nil {
		return a, errors.New("this dispatcher holds no ledger")
	}
	if len(c.Ops) > maxOpsServed {
		return a, fmt.Errorf("%d questions are too many", len(c.Ops))
	}
	a = Answer{Replies: make([]ledger.Reply, len(c.Ops)), Complete: h.complete.Load(), File: ledgerlog.FileVersion{Disk: h.disk, Writes: h.writes.Load()}}
	var all sync.WaitGroup
	all.Add(len(c.Ops))
	for i, op := range c.Ops {
		h.submit(op, func(r ledger.Reply) { a.Replies[i] = r; all.Done() })
	}
	all.Wait()
	if c.LastSeenOf != "" {
		a.LastSeen = k.files.get(c.LastSeenOf)
	}
	if c.DumpAfter != nil {
		a.Rows, a.Next, a.Last, err = h.dump(*c.DumpAfter, maxDumpRows)
	}
	if c.MaxUnknown > 0 && err == nil {
		err = h.runWithin(time.Second, func() { a.Rows = h.unknown(min(c.MaxUnknown, maxUnknownRows)) })
	}
	return a, err
}

// Stats are what operators see.
type Stats struct {
	Entries, Commits, Calls, Untold int64
	Whole, Failed, Holds            bool
	Bytes                           int64
	WaitP50, WaitP99                time.Duration
}

// Stats gives them.
func (k *Service) Stats() Stats {
	f := Stats{Calls: k.calls.Load(), Untold: k.undelivered.Load()}
	f.WaitP50, f.WaitP99 = k.waits.percentiles()
	if h := k.holder; h != nil {
		f.Holds, f.Entries, f.Commits, f.Whole, f.Failed, f.Bytes = true, h.entries.Load(), h.commits.Load(), h.complete.Load(), h.failed.Load(), h.log.Size()
	}
	return f
}

// intentWaits are the latest times that intents took.
type intentWaits struct {
	mu   sync.Mutex
	last [1024]time.Duration
	n    int
}

func (w *intentWaits) add(d time.Duration) {
	w.mu.Lock()
	w.last[w.n%len(w.last)] = d
	w.n++
	w.mu.Unlock()
}

func (w *intentWaits) percentiles() (p50, p99 time.Duration) {
	w.mu.Lock()
	some := slices.Clone(w.last[:min(w.n, len(w.last))])
	w.mu.Unlock()
	if len(some) == 0 {
		return 0, 0
	}
	slices.Sort(some)
	return some[len(some)/2], some[len(some)*99/100]
}
