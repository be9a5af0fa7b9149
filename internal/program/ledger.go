package program

import (
	"errors"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/cluster"
	"standpulley/internal/config"
	"standpulley/internal/intentlog"
	"standpulley/internal/ledger"
)

const ledgerCall = "/ledger"

// LedgerHooks are fault injection hooks for the ledger, set only in test builds. The zero value
// injects nothing.
var LedgerHooks struct {
	Options func(*intentlog.Options)
}

// openLedger opens this dispatcher's part of the ledger.
func (a *agreementAdapter) openLedger(cfg config.Config, folder string) (*intentlog.Service, error) {
	opt := intentlog.Options{Name: cfg.Name, Boot: a.node.Boot(), Folder: folder, Holders: cfg.Agree.VoterNames(), Limits: cfg.Ledger.Limits(),
		FindTimeout: cfg.Ledger.FindTimeout(), Durability: cfg.Ledger.Survive, NewID: cluster.NewID, DiskRecord: (*ledgerRecord)(a.node),
		Call: func(name string, ask, answer any, limit time.Duration) error {
			return a.node.Call(name, ledgerCall, ask, answer, limit)
		}}
	if LedgerHooks.Options != nil {
		LedgerHooks.Options(&opt)
	}
	return intentlog.Open(opt)
}

// ledgerCall answers a ledger call of another dispatcher.
func (a *agreementAdapter) ledgerCall(_ string, body []byte) (any, error) {
	var c intentlog.Call
	if err := jsoniter.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	return a.keeper.Serve(c)
}

// ledgerRecord gives the ledger access to the disk identities of ledgers in the agreed record.
type ledgerRecord cluster.Node

func (r *ledgerRecord) Disk(name string) (uint64, bool, error) {
	return (*cluster.Node)(r).LedgerDisk(name)
}

func (r *ledgerRecord) SetDisk(name string, disk uint64) error {
	return (*cluster.Node)(r).SetLedgerDisk(name, disk)
}

// Commands about the ledger.
const (
	LedgerUnknown = "ledger-unknown"
	LedgerShow    = "ledger-show"
	LedgerSettle  = "ledger-settle"
	LedgerAccept  = "ledger-accept"
	LedgerStatus  = "ledger-status"
	LedgerExport  = "ledger-export"
	LedgerImport  = "ledger-import"
)

// runLedgerCommand runs an operator's command about the ledger.
func (a *agreementAdapter) runLedgerCommand(c cluster.Command) (r cluster.Reply) {
	var key ledger.Key
	err := error(nil)
	if c.Do == LedgerShow || c.Do == LedgerSettle {
		err = key.UnmarshalText([]byte(c.ID))
	}
	if err == nil {
		switch c.Do {
		case LedgerUnknown:
			r.Ledger, err = a.keeper.Unknown()
		case LedgerShow:
			var row intentlog.Row
			row, err = a.keeper.Show(key)
			r.Ledger = []intentlog.Row{row}
		case LedgerSettle:
			err = a.keeper.Settle(key, ledger.Resolution{Ran: c.Ran, By: c.By, Why: c.Why, Wall: time.Now().UTC().Format(time.RFC3339)})
		case LedgerExport:
			r.Ledger, r.Number, r.Last, err = a.keeper.Export(c.Number)
		case LedgerImport:
			err = a.keeper.Import(c.Ledger)
		case LedgerStatus:
			f := a.keeper.Stats()
			r.Figures = &f
		case LedgerAccept:
			err = a.keeper.Accept(c.By, c.Why)
		default:
			err = errors.New("unknown command " + c.Do)
		}
	}
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

func (a *agreementAdapter) ledgerMetrics(emit func(name string, value int, kind string)) {
	f := a.keeper.Stats()
	emit("ledger.calls", int(f.Calls), "c")
	emit("ledger.untold", int(f.Untold), "c")
	emit("ledger.wait_p50_us", int(f.WaitP50.Microseconds()), "g")
	emit("ledger.wait_p99_us", int(f.WaitP99.Microseconds()), "g")
	if !f.Holds {
		return
	}
	emit("ledger.entries", int(f.Entries), "g")
	emit("ledger.commits", int(f.Commits), "c")
	emit("ledger.bytes", int(f.Bytes), "g")
	for name, is := range map[string]bool{"whole": f.Whole, "failed": f.Failed} {
		value := 0
		if is {
			value = 1
		}
		emit(fmt.Sprintf("ledger.%s", name), value, "g")
	}
}
