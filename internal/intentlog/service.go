// Package intentlog is a dispatcher's client and server for the ledger, which remembers the
// requests that must not run twice (instructions). Every voter holds a copy of the ledger. The
// intent to send an attempt is recorded by a majority of these holders before the first byte of the
// attempt is sent, and a repeat is checked against a majority. Package ledger has the rules;
// package ledgerstore stores the entries on disk.
//
//	service.go   the service, its options, and calls from other dispatchers
//	holder.go    the goroutine that owns this dispatcher's copy of the ledger
//	client.go    intents, repeats and outcomes of the instructions that this dispatcher takes
//	intent.go    the adapter by which the core records intents
//	operator.go  operators' commands
//	refill.go    restoring a holder that has lost data
package intentlog

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerstore"
	"standpulley/logic"
)

// Durability says which failures recorded intents survive.
type Durability string

// The choices. With each, an intent is recorded by a majority of the holders before the first byte
// of the attempt is sent.
const (
	DurabilityProcess Durability = "process" // processes that exit, in any order; not a power loss at a majority of the holders
	DurabilitySite    Durability = "site"    // a power loss everywhere, and the loss of fewer disks than a majority
	DurabilityDisk    Durability = "disk"    // the loss of all disks but one: every holder with a vote records each intent
)

// Valid reports whether s is one of the choices.
func (s Durability) Valid() bool {
	return s == DurabilityProcess || s == DurabilitySite || s == DurabilityDisk
}

func (s Durability) synced() bool { return s != DurabilityProcess }

// Options configure a Service.
type Options struct {
	Name        string
	Boot        uint64
	Folder      string
	Holders     []string // names of the voters
	Limits      ledger.Limits
	FindTimeout time.Duration // how long checking a repeat or recording an intent may take
	Durability  Durability
	Call        CallFunc
	NewID       func() uint64 // draws the disk number of a new file
	DiskRecord  DiskRecord
	Hooks       Hooks
}

// Hooks are where tests inject faults. The zero value injects none.
type Hooks struct {
	Op                 func(*ledger.Op)                                   // before an operation is sent to the holders
	Tally              func(*ledger.Tally)                                // before replies are counted
	Reply              func(*ledger.Reply)                                // of the own holder, before it is sent
	Outcome            func(logic.Outcome, ledger.Outcome) ledger.Outcome // of an attempt
	Verdict            func(ledger.Op, ledger.Verdict) ledger.Verdict     // on an operation
	SendBeforeRecorded bool                                               // an attempt is sent while its intent is being recorded
	AssumeComplete     bool                                               // a new file or an old copy counts as complete
	SkipLoad           bool                                               // the file's records are not loaded at start-up
}

// holderClient executes operations on a holder: the dispatcher's own holder, or a remote one
// through a sender.
type holderClient interface {
	submit(op ledger.Op, then func(ledger.Reply))
}

// Service is a dispatcher's part of the ledger.
type Service struct {
	opt           Options
	holder        *holder // nil if this dispatcher is no holder
	holders       []holderClient
	stop          chan struct{}
	goroutines    sync.WaitGroup
	attemptNumber atomic.Uint64
	calls         atomic.Int64
	undelivered   atomic.Int64
	delivering    atomic.Int64 // outcomes that are still to be delivered, one count for each holder
	start         time.Time
	readyAt       atomic.Int64 // time since start at which a majority was last found to be complete
	checkingReady atomic.Bool  // whether such a check is running
	acceptLoss    atomic.Bool  // refill from a single other holder
	waits         intentWaits
	files         fileVersions
}

// fileVersions are the last known versions of the holders' files, by the holder's name.
type fileVersions struct {
	mu  sync.Mutex
	all map[string]ledgerstore.FileVersion
}

func (s *fileVersions) get(name string) ledgerstore.FileVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[name]
}

// update stores the version that a holder reports for its file. A file with another disk number
// replaces the one before; otherwise the number of writes only grows.
func (s *fileVersions) update(name string, is ledgerstore.FileVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if was := s.all[name]; was.Disk != is.Disk || was.Writes < is.Writes {
		s.all[name] = is
	}
}

func (s *fileVersions) snapshot() map[string]ledgerstore.FileVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.all)
}

// Open opens the ledger file, if this dispatcher is a holder, and starts the goroutines.
func Open(opt Options) (*Service, error) {
	s := &Service{opt: opt, start: time.Now(), stop: make(chan struct{}), files: fileVersions{all: map[string]ledgerstore.FileVersion{}}}
	s.readyAt.Store(-int64(readyTTL)) // not yet ready
	if slices.Contains(opt.Holders, opt.Name) {
		h, err := openHolder(ledgerstore.Path(opt.Folder), opt, s.files.snapshot)
		if err != nil {
			return nil, err
		}
		s.holder = h
		for name, is := range h.log.State().Seen {
			s.files.update(name, is)
		}
		s.goroutines.Go(func() { h.run(s.stop) })
	}
	for _, name := range opt.Holders {
		if name == opt.Name {
			s.holders = append(s.holders, s.holder)
			continue
		}
		remote := &sender{name: name, transport: opt.Call, timeout: opt.FindTimeout, inbox: make(chan queuedOp, senderQueueSize), calls: &s.calls, files: &s.files}
		s.holders = append(s.holders, remote)
		s.goroutines.Go(func() { remote.run(s.stop) })
	}
	return s, nil
}

// Run starts checking whether the ledger file is complete. The agreed record must be available, as
// the check reads it.
func (s *Service) Run() {
	if s.holder != nil {
		s.goroutines.Go(s.check)
	}
}

// closeTimeout is how long Close waits until the holders have received the latest outcomes. An
// outcome that a holder does not receive stays unknown to it.
const closeTimeout = 300 * time.Millisecond

// Close stops the service and closes the file.
func (s *Service) Close() error {
	for end := time.Now().Add(closeTimeout); s.delivering.Load() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	close(s.stop)
	s.goroutines.Wait()
	if s.holder != nil {
		return s.holder.log.Close()
	}
	return nil
}

// Call is a request from one dispatcher to the holder at another.
type Call struct {
	Ops        []ledger.Op `json:"ops,omitempty"`
	DumpAfter  *uint64     `json:"dump,omitempty"`    // return the records after this one
	MaxUnknown int         `json:"unknown,omitempty"` // return at most so many instructions of unknown status
	LastSeenOf string      `json:"about,omitempty"`   // return the last known version of this holder's file
}

// Answer is the response to a Call.
type Answer struct {
	Replies  []ledger.Reply          `json:"replies,omitempty"`
	Rows     []Row                   `json:"rows,omitempty"`
	Next     uint64                  `json:"next,omitempty"` // of a dump: the record to continue after
	Last     bool                    `json:"last,omitempty"`
	Complete bool                    `json:"whole"`
	File     ledgerstore.FileVersion `json:"file"` // version of the answering holder's file
	LastSeen ledgerstore.FileVersion `json:"about"`
}

// Row is one entry in a Call or Answer, or in an operator's command.
type Row struct {
	Key      ledger.Key   `json:"key"`
	Customer string       `json:"customer,omitempty"`
	Entry    ledger.Entry `json:"entry"`
}

const (
	maxDumpRows    = 1000 // records of one answer
	maxUnknownRows = 1000
	maxOpsServed   = 1024
)

// Serve answers a call from another dispatcher.
func (s *Service) Serve(c Call) (a Answer, err error) {
	h := s.holder
	if h == nil {
		return a, errors.New("this dispatcher holds no ledger")
	}
	if len(c.Ops) > maxOpsServed {
		return a, fmt.Errorf("%d questions are too many", len(c.Ops))
	}
	a = Answer{Replies: make([]ledger.Reply, len(c.Ops)), Complete: h.complete.Load(), File: ledgerstore.FileVersion{Disk: h.disk, Writes: h.writes.Load()}}
	var all sync.WaitGroup
	all.Add(len(c.Ops))
	for i, op := range c.Ops {
		h.submit(op, func(r ledger.Reply) { a.Replies[i] = r; all.Done() })
	}
	all.Wait()
	if c.LastSeenOf != "" {
		a.LastSeen = s.files.get(c.LastSeenOf)
	}
	if c.DumpAfter != nil {
		a.Rows, a.Next, a.Last, err = h.dump(*c.DumpAfter, maxDumpRows)
	}
	if c.MaxUnknown > 0 && err == nil {
		err = h.runWithin(time.Second, func() { a.Rows = h.unknown(min(c.MaxUnknown, maxUnknownRows)) })
	}
	return a, err
}

// Stats are the service's counters and gauges, for operators and metrics. They are encoded under
// their field names.
type Stats struct {
	Entries, Commits, Calls, Untold int64
	Whole, Failed, Holds            bool
	Bytes                           int64
	WaitP50, WaitP99                time.Duration
}

// Stats returns the current values.
func (s *Service) Stats() Stats {
	f := Stats{Calls: s.calls.Load(), Untold: s.undelivered.Load()}
	f.WaitP50, f.WaitP99 = s.waits.percentiles()
	if h := s.holder; h != nil {
		f.Holds, f.Entries, f.Commits, f.Whole, f.Failed, f.Bytes = true, h.entries.Load(), h.commits.Load(), h.complete.Load(), h.failed.Load(), h.log.Size()
	}
	return f
}

// intentWaits keeps how long the latest 1024 intents took to record.
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
	sorted := slices.Clone(w.last[:min(w.n, len(w.last))])
	w.mu.Unlock()
	if len(sorted) == 0 {
		return 0, 0
	}
	slices.Sort(sorted)
	return sorted[len(sorted)/2], sorted[len(sorted)*99/100]
}
