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

	"standpulley/internal/agreement"
	"standpulley/internal/boltfile"
	"standpulley/internal/front/once"
	"standpulley/internal/ledger"
	"standpulley/internal/ledgerlog"
	"standpulley/internal/program"
	"standpulley/internal/standin"
)

// Order is one instruction as its client means it. It is sent under a key, and again under the same key to other dispatchers until
// the client knows its fate or gives up.
type Order struct {
	Name   string
	Sends  int
	Served int // whole answers
	Told   int // 424: it may have run
	Ran    int // as the writers counted
	Fate   ledger.Status
	Listed bool // among the unknown ones in the end
	Shown  bool // its fate could be asked for in the end
}

// Orders sums them up.
type InstructionCounts struct {
	Sent, Served, Told, GivenUp, Twice, Unknown int
}

// Add adds another trial's.
func (o *InstructionCounts) Add(x InstructionCounts) {
	o.Sent, o.Served, o.Told, o.GivenUp, o.Twice, o.Unknown = o.Sent+x.Sent, o.Served+x.Served, o.Told+x.Told, o.GivenUp+x.GivenUp, o.Twice+x.Twice, o.Unknown+x.Unknown
}

func (o InstructionCounts) String() string {
	return fmt.Sprintf("instructions %d: served %d, told that they may have run %d, given up %d; ran twice %d, unknown in the end %d", o.Sent, o.Served, o.Told,
		o.GivenUp, o.Twice, o.Unknown)
}

// orders are those of a trial.
type orders struct {
	f    *Fleet
	mu   sync.Mutex
	rand *rand.Rand
	all  map[string]*Order
}

const (
	ledgerOff   = "off" // of a script: clients repeat, and each dispatcher goes by itself
	repeatsMost = 8
	repeatPause = 400 * time.Millisecond // at most
	twinOne     = 5                      // of so many one is sent to two dispatchers in one instant
)

func newOrders(seed uint64, f *Fleet) *orders {
	return &orders{f: f, rand: rand.New(rand.NewPCG(seed, 22)), all: map[string]*Order{}}
}

// ran counts a run of an order at a writer.
func (o *orders) ran(x *standin.Exchange) {
	name := string(x.Req.Body())
	o.mu.Lock()
	defer o.mu.Unlock()
	if order := o.all[strings.Trim(name, "\"")]; order != nil {
		order.Ran++
	}
}

// order sends an instruction and repeats it until its fate is known.
func (t *traffic) order(d *Dispatcher, n int) {
	defer t.open.Done()
	o := t.orders
	order := &Order{Name: fmt.Sprintf("%s-%06d", d.Name, n)}
	o.mu.Lock()
	o.all[order.Name] = order
	twin := o.rand.IntN(twinOne) == 0
	o.mu.Unlock()
	if twin {
		var both sync.WaitGroup
		both.Go(func() { t.ordered(order, d) })
		both.Go(func() { t.ordered(order, o.another(d)) })
		both.Wait()
	}
	for range repeatsMost {
		if t.ordered(order, d) {
			return
		}
		o.mu.Lock()
		wait := time.Duration(o.rand.Float64() * float64(repeatPause))
		o.mu.Unlock()
		select {
		case <-t.stop:
			return
		case <-time.After(wait):
		}
		d = o.another(d)
	}
}

func (o *orders) another(than *Dispatcher) *Dispatcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	for {
		if d := o.f.Dispatchers[o.rand.IntN(len(o.f.Dispatchers))]; d != than {
			return d
		}
	}
}

// ordered sends it once, and tells whether its client knows enough.
func (t *traffic) ordered(order *Order, d *Dispatcher) bool {
	o := t.orders
	o.mu.Lock()
	order.Sends++
	id := fmt.Sprintf("%s-%d", order.Name, order.Sends)
	o.mu.Unlock()
	a := t.send(d, Asked{Who: d.Name, ID: id, Once: true}, order.Name, "\""+order.Name+"\"")
	t.mu.Lock()
	t.asked = append(t.asked, a)
	t.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case a.Status == http.StatusOK && a.Whole:
		order.Served++
		return true
	case a.Status == http.StatusFailedDependency:
		order.Told++
		return true
	}
	return false
}

// settle asks, once all is well again, what the dispatchers say of each order whose client does not know its fate.
func (o *orders) settle(p *play, off bool) []Order {
	listed := map[string]bool{}
	var err error
	if off {
		err = errors.New("off")
	}
	for end := time.Now().Add(generous); time.Now().Before(end) && !off; time.Sleep(100 * time.Millisecond) {
		var r agreement.Reply
		if r, err = o.f.Ask(o.f.Dispatchers[0], agreement.Command{Do: program.LedgerUnknown}); err == nil && r.Error == "" {
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
		p.fault("the unknown ones are not listed: %v", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []Order
	for name, order := range o.all {
		if order.Served == 0 && err == nil {
			var h fasthttp.RequestHeader
			h.Set("Idempotency-Key", name)
			key, _ := once.Key(&h, "", nil)
			r, err := o.f.Ask(o.f.Dispatchers[0], agreement.Command{Do: program.LedgerShow, ID: key.String()})
			if err == nil && r.Error == "" && len(r.Ledger) == 1 {
				order.Fate, order.Shown = r.Ledger[0].Entry.Status(), true
			}
			order.Listed = listed[key.String()]
		}
		all = append(all, *order)
	}
	return all
}

// judgeOrders finds instructions that ran twice, and such that ran and are not known to have, or maybe to have.
func (r *Record) judgeOrders(find func(rule, form string, args ...any), j *Judgement) {
	for _, o := range r.Orders {
		j.Instructions.Sent++
		switch {
		case o.Served > 0:
			j.Instructions.Served++
		case o.Told > 0:
			j.Instructions.Told++
		default:
			j.Instructions.GivenUp++
		}
		if o.Ran > 1 {
			j.Instructions.Twice++
			find("twice", "instruction %s ran %d times in %d sends", o.Name, o.Ran, o.Sends)
		}
		if !o.Shown {
			continue
		}
		if o.Fate == ledger.Unknown {
			j.Instructions.Unknown++
			if !o.Listed {
				find("unknown", "instruction %s is unknown and not listed", o.Name)
			}
		}
		if o.Ran > 0 && (o.Fate == ledger.NeverSent || o.Fate == ledger.NotRun) {
			find("forgotten", "instruction %s ran, and the ledger says: %v", o.Name, o.Fate)
		}
	}
}

// disk carries out a step on a dispatcher's ledger.
func (f *Fleet) disk(s Step, d *Dispatcher) error {
	path := ledgerlog.Path(string(d.dir))
	copied := path + ".copy"
	gone := func(path string) error {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	switch s.Do {
	case doForget:
		f.Signal(d, syscall.SIGKILL)
		return gone(path)
	case doCopy:
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(copied, text, 0o600)
	case doRestore:
		f.Signal(d, syscall.SIGKILL)
		return os.Rename(copied, path)
	}
	switch s.Value {
	case "stall":
		return os.WriteFile(path+boltfile.StallSuffix, nil, 0o600)
	case "full":
		return os.WriteFile(path+boltfile.FullSuffix, nil, 0o600)
	}
	return errors.Join(gone(path+boltfile.StallSuffix), gone(path+boltfile.FullSuffix))
}
