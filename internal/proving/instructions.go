package proving

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/boltfile"
	"standpulley/internal/cluster"
	"standpulley/internal/fake"
	"standpulley/internal/front/once"
	"standpulley/internal/ledger"
	"standpulley/internal/ledgerstore"
	"standpulley/internal/program"
)

// Instruction is one instruction as its client means it. It is sent under a key, and again under
// the same key to other dispatchers until the client knows its outcome or gives up.
type Instruction struct {
	Name          string
	Sends         int
	Served        int // complete answers
	MayHaveRun    int // answers 424: it may have run
	Runs          int // executions, counted by the writers
	LedgerStatus  ledger.Status
	ListedUnknown bool // listed among the instructions of unknown status at the end
	StatusRead    bool // LedgerStatus could be read at the end
}

// InstructionCounts sums up the instructions of a trial.
type InstructionCounts struct {
	Sent, Served, MayHaveRun, GivenUp, RanTwice, Unknown int
}

// Add adds the counts of another trial.
func (o *InstructionCounts) Add(x InstructionCounts) {
	o.Sent, o.Served, o.MayHaveRun, o.GivenUp, o.RanTwice, o.Unknown = o.Sent+x.Sent, o.Served+x.Served, o.MayHaveRun+x.MayHaveRun, o.GivenUp+x.GivenUp, o.RanTwice+x.RanTwice, o.Unknown+x.Unknown
}

func (o InstructionCounts) String() string {
	return fmt.Sprintf("instructions %d: served %d, told that they may have run %d, given up %d; ran twice %d, unknown in the end %d", o.Sent, o.Served, o.MayHaveRun,
		o.GivenUp, o.RanTwice, o.Unknown)
}

// instructionSet is all instructions of a trial.
type instructionSet struct {
	fleet  *Fleet
	mu     sync.Mutex
	rand   *rand.Rand
	byName map[string]*Instruction
}

const (
	// ledgerOff, as Script.Ledger, makes clients repeat instructions while the dispatchers keep no
	// common ledger.
	ledgerOff      = "off"
	maxRepeats     = 8
	maxRepeatDelay = 400 * time.Millisecond
	// One in twinOneIn instructions is sent to two dispatchers at the same instant.
	twinOneIn = 5
)

func newInstructionSet(seed uint64, f *Fleet) *instructionSet {
	return &instructionSet{fleet: f, rand: rand.New(rand.NewPCG(seed, 22)), byName: map[string]*Instruction{}}
}

// countRun counts an execution of an instruction at a writer.
func (o *instructionSet) countRun(x *fake.Exchange) {
	name := string(x.Req.Body())
	o.mu.Lock()
	defer o.mu.Unlock()
	if instr := o.byName[strings.Trim(name, "\"")]; instr != nil {
		instr.Runs++
	}
}

// sendInstruction sends an instruction and repeats it until its outcome is known.
func (t *traffic) sendInstruction(d *Dispatcher, n int) {
	defer t.inFlight.Done()
	o := t.instructions
	instr := &Instruction{Name: fmt.Sprintf("%s-%06d", d.Name, n)}
	o.mu.Lock()
	o.byName[instr.Name] = instr
	twin := o.rand.IntN(twinOneIn) == 0
	o.mu.Unlock()
	if twin {
		var both sync.WaitGroup
		both.Go(func() { t.trySendInstruction(instr, d) })
		both.Go(func() { t.trySendInstruction(instr, o.otherDispatcher(d)) })
		both.Wait()
	}
	for range maxRepeats {
		if t.trySendInstruction(instr, d) {
			return
		}
		o.mu.Lock()
		wait := time.Duration(o.rand.Float64() * float64(maxRepeatDelay))
		o.mu.Unlock()
		select {
		case <-t.stop:
			return
		case <-time.After(wait):
		}
		d = o.otherDispatcher(d)
	}
}

// otherDispatcher returns a random dispatcher other than except.
func (o *instructionSet) otherDispatcher(except *Dispatcher) *Dispatcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	for {
		if d := o.fleet.Dispatchers[o.rand.IntN(len(o.fleet.Dispatchers))]; d != except {
			return d
		}
	}
}

// trySendInstruction sends the instruction once, and reports whether its client knows enough to
// stop.
func (t *traffic) trySendInstruction(instr *Instruction, d *Dispatcher) bool {
	o := t.instructions
	o.mu.Lock()
	instr.Sends++
	id := fmt.Sprintf("%s-%d", instr.Name, instr.Sends)
	o.mu.Unlock()
	a := t.sendWithResend(d, ClientRequest{Dispatcher: d.Name, ID: id, AtMostOnce: true}, instr.Name, "\""+instr.Name+"\"")
	t.mu.Lock()
	t.requests = append(t.requests, a)
	t.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case a.Status == http.StatusOK && a.Complete:
		instr.Served++
		return true
	case a.Status == http.StatusFailedDependency:
		instr.MayHaveRun++
		return true
	}
	return false
}

// collectStatuses asks the first dispatcher, once all faults are undone, for the ledger status of
// each instruction without a complete answer. If off is set there is no ledger to ask.
func (o *instructionSet) collectStatuses(p *play, off bool) []Instruction {
	listed := map[string]bool{}
	var err error
	if off {
		err = errors.New("off")
	}
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end) && !off; time.Sleep(100 * time.Millisecond) {
		var r cluster.Reply
		if r, err = o.fleet.SendCommand(o.fleet.Dispatchers[0], cluster.Command{Do: program.LedgerUnknown}); err == nil && r.Error == "" {
			for _, row := range r.Ledger {
				listed[row.Key.String()] = true
			}
			err = nil
			break
		}
		if err == nil {
			err = errors.New(r.Error)
		}
	}
	if err != nil && !off {
		p.problemf("the instructions of unknown status can't be listed: %v", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []Instruction
	for name, instr := range o.byName {
		if instr.Served == 0 && err == nil {
			var h fasthttp.RequestHeader
			h.Set("Idempotency-Key", name)
			key, _ := once.Key(&h, "", nil)
			r, err := o.fleet.SendCommand(o.fleet.Dispatchers[0], cluster.Command{Do: program.LedgerShow, ID: key.String()})
			if err == nil && r.Error == "" && len(r.Ledger) == 1 {
				instr.LedgerStatus, instr.StatusRead = r.Ledger[0].Entry.Status(), true
			}
			instr.ListedUnknown = listed[key.String()]
		}
		all = append(all, *instr)
	}
	return all
}

// checkInstructions reports instructions that ran twice, instructions that ran although the ledger
// rules that out, and instructions of unknown status that are not listed.
func (r *Record) checkInstructions(report func(rule, format string, args ...any), j *Judgement) {
	for _, o := range r.Instructions {
		j.Instructions.Sent++
		switch {
		case o.Served > 0:
			j.Instructions.Served++
		case o.MayHaveRun > 0:
			j.Instructions.MayHaveRun++
		default:
			j.Instructions.GivenUp++
		}
		if o.Runs > 1 {
			j.Instructions.RanTwice++
			report("twice", "instruction %s ran %d times in %d transmissions", o.Name, o.Runs, o.Sends)
		}
		if !o.StatusRead {
			continue
		}
		if o.LedgerStatus == ledger.Unknown {
			j.Instructions.Unknown++
			if !o.ListedUnknown {
				report("unknown", "instruction %s has an unknown status and is not listed", o.Name)
			}
		}
		if o.Runs > 0 && (o.LedgerStatus == ledger.NeverSent || o.LedgerStatus == ledger.NotRun) {
			report("forgotten", "instruction %s ran, but the ledger says: %v", o.Name, o.LedgerStatus)
		}
	}
}

// applyLedgerStep runs a script step on a dispatcher's ledger file.
func (f *Fleet) applyLedgerStep(s Step, d *Dispatcher) error {
	path := ledgerstore.Path(string(d.dir))
	copyPath := path + ".copy"
	remove := func(path string) error {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	switch s.Do {
	case doLoseLedger:
		f.Signal(d, syscall.SIGKILL)
		return remove(path)
	case doCopyLedger:
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(copyPath, text, 0o600)
	case doRestoreLedger:
		f.Signal(d, syscall.SIGKILL)
		return os.Rename(copyPath, path)
	}
	switch s.Value {
	case "stall":
		return os.WriteFile(path+boltfile.StallSuffix, nil, 0o600)
	case "full":
		return os.WriteFile(path+boltfile.FullSuffix, nil, 0o600)
	}
	return errors.Join(remove(path+boltfile.StallSuffix), remove(path+boltfile.FullSuffix))
}
