package agreement

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"standpulley/internal/agree"
	"standpulley/internal/bookkeeping"
	"standpulley/internal/membership"
	"standpulley/internal/peers"
)

const leaderTimeout = 10 * time.Second // for a leader to be there

// Own is what one dispatcher knows of itself. Times are in milliseconds.
type Status struct {
	Name        string                `json:"name"`
	Voter       bool                  `json:"voter"`
	Version     uint64                `json:"version"`
	LeaseMS     int64                 `json:"lease_ms"` // left for taking new work
	HeardMS     int64                 `json:"heard_ms"` // since the last renewal that was granted
	LostMS      int64                 `json:"lost_ms"`  // since the lease ended; 0 while it runs
	Why         string                `json:"why,omitempty"`
	Leader      string                `json:"leader"`
	OnLeaseLoss agree.LeaseLossPolicy `json:"alone"`
	LateActs    int64                 `json:"late"` // acts after the end of a lease, which alone allowed
	Unfit       *agree.Fault          `json:"unfit,omitempty"`
	Crashes     int                   `json:"crashes,omitempty"`
	TurnedDown  int64                 `json:"turned_down"` // versions by this dispatcher
	Elected     int64                 `json:"elected"`     // times that this voter became leader
	Dropped     map[string]int64      `json:"dropped"`     // calls and frames, by cause
	Calls       [2]int64              `json:"calls"`       // in, out
	Bytes       [2]int64              `json:"bytes"`       // in, out
	Disk        string                `json:"disk"`
	Cluster     string                `json:"cluster"`
	ListVersion uint64                `json:"list,omitempty"`   // version of the list of replicas
	Living      int                   `json:"living,omitempty"` // dispatchers, by the last census
}

// Own tells how this dispatcher stands.
func (n *Node) Status() Status {
	m, now := &n.member, n.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	o := Status{Name: n.opt.Name, Voter: n.voter != nil, Version: m.active.Number, LeaseMS: max(m.lease.Remaining(now), 0).Milliseconds(), Why: m.reason,
		Leader: m.leader, OnLeaseLoss: n.opt.OnLeaseLoss, LateActs: m.lease.LateActs(), Unfit: m.unfit, Crashes: m.saved.Crashes, TurnedDown: m.n.turnedDown.Load(), Elected: n.elections.Load(),
		Dropped: n.counts.Dropped(), Calls: [2]int64{n.counts.In.Load(), n.counts.Out.Load()},
		Bytes: [2]int64{n.counts.BytesIn.Load(), n.counts.BytesOut.Load()},
		Disk:  strconv.FormatUint(n.log.Identity().Disk, 16), Cluster: strconv.FormatUint(n.clusterID.Load(), 16)}
	o.ListVersion, o.Living = m.list.Number, m.dispatchers
	if m.lastGrant != 0 {
		o.HeardMS = (now - m.lastGrant).Milliseconds()
	}
	if m.lostAt != 0 {
		o.LostMS = (now - m.lostAt).Milliseconds()
	}
	return o
}

// View asks the voters for the record, or parts of it, as it surely is now.
func (n *Node) View(x ViewFilter) (*View, error) {
	var view *View
	err := n.atLeader(func(local *voter, link *peers.Link) (notLeader bool, err error) {
		if local != nil {
			view, err = local.show(x)
			return false, err
		}
		view = &View{}
		return false, callJSON(link, showCall, x, view, proposeTimeout)
	})
	return view, err
}

// Propose brings a version before the voters; p.ID is drawn here, so that no proposal counts twice. The number tells of an
// entry that was decided; whether the version is in force shows later.
func (n *Node) Propose(p agree.Propose) (uint64, error) {
	p.ID, p.At = strconv.FormatUint(NewID(), 16), n.opt.wallTime()
	return n.propose(agree.Entry{Propose: &p})
}

// Ledger gives the file with which a voter last held the ledger, by the record.
func (n *Node) LedgerDisk(name string) (disk uint64, known bool, err error) {
	view, err := n.View(ViewFilter{Section: SectionSettings})
	if err != nil {
		return 0, false, err
	}
	disk, known = view.Record.LedgerDisks[name]
	return disk, known, nil
}

// SetLedger notes the file with which a voter holds the ledger from now on.
func (n *Node) SetLedgerDisk(name string, disk uint64) error {
	_, err := n.propose(agree.Entry{Ledger: &agree.SetLedger{Request: strconv.FormatUint(NewID(), 16), Name: name, Disk: disk}})
	return err
}

// Back is what a dispatcher that comes back needs to know of the others.
type RecoveryInfo struct {
	Voters, VotersHeard int                // voters in all, and those that have answered since the start, this one among them
	ServingMS           int64              // how long another dispatcher has served as usual
	WarmRates           map[string]float64 // what others say that a replica of a kind bears of this one's requests a second; nil before they did
	Lease               bool
	ListVersion         uint64
	ListFresh           bool // the list holds what the register says by now, and not only what it said before
}

// Back tells it.
func (n *Node) RecoveryInfo() RecoveryInfo {
	b := RecoveryInfo{Voters: len(n.opt.Voters), ServingMS: n.member.othersServingMS.Load(), ListFresh: n.member.listFresh.Load()}
	if bears := n.member.othersWarmRates.Load(); bears != nil {
		b.WarmRates = *bears
	}
	if n.voter != nil {
		b.VotersHeard++
	}
	for _, l := range n.links {
		if l.Answered() {
			b.VotersHeard++
		}
	}
	m := &n.member
	m.mu.Lock()
	defer m.mu.Unlock()
	b.Lease, b.ListVersion = m.lease.Ready(n.now()), m.list.Number
	return b
}

// Remember keeps a small value of the program's beside the log, and Recall gives it; nil if there is none.
func (n *Node) SaveValue(name string, value []byte) error {
	return n.log.SetValue("program."+name, value)
}

// Recall is told by Remember.
func (n *Node) LoadValue(name string) ([]byte, error) { return n.log.Value("program." + name) }

// Boot is a number of this life of the dispatcher.
func (n *Node) Boot() uint64 { return n.boot }

// Withdraw takes back a version that is not in force.
func (n *Node) Withdraw(number uint64, by string) error {
	_, err := n.propose(agree.Entry{Withdraw: &agree.Withdraw{ID: strconv.FormatUint(NewID(), 16), Number: number, By: by}})
	return err
}

// ErrUnknown says that a proposal may or may not have been decided.
var ErrOutcomeUnknown = errors.New("no voter that leads answered in time: whether it was decided shows in the history")

func (n *Node) propose(e agree.Entry) (uint64, error) {
	var p proposeResponse
	err := n.atLeader(func(local *voter, link *peers.Link) (notLeader bool, err error) {
		p = proposeResponse{}
		if local != nil {
			p, err = local.propose(e)
		} else {
			err = callJSON(link, proposeCall, e, &p, proposeTimeout)
		}
		return p.NotLeader, err
	})
	if err != nil {
		return 0, fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	if p.Error != "" {
		return p.Number, errors.New(p.Error)
	}
	return p.Number, nil
}

// atLeader does something at the voter that leads, which may take some tries: f tells if it is not there.
func (n *Node) atLeader(f func(local *voter, link *peers.Link) (notLeader bool, err error)) error {
	lastErr := errNoLeader
	for deadline := n.now() + leaderTimeout; n.now() < deadline; {
		names := n.voterNames(n.member.knownLeader())
		if n.voter != nil {
			names = append([]string{n.opt.Name}, names...)
		}
		for _, name := range names {
			var notLeader bool
			var err error
			if name == n.opt.Name {
				notLeader, err = f(n.voter, nil)
			} else {
				notLeader, err = f(nil, n.links[name])
			}
			switch {
			case err != nil:
				lastErr = err
			case notLeader:
				lastErr = errNoLeader
			default:
				return nil
			}
		}
		n.member.sleep(n.opt.Timing.Renew)
		if n.ctx.Err() != nil {
			return n.ctx.Err()
		}
	}
	return lastErr
}

// Seat gives the seat of this voter to the disk that it has now, by an operator's word.
func (n *Node) Seat() error {
	if n.voter == nil {
		return errors.New("this dispatcher is no voter")
	}
	return n.requestSeat(true)
}

// Command is what operators ask for by the command line.
type Command struct {
	Do           string            `json:"do"` // propose, view, own, withdraw, seat; drain, hold, undrain, confirm
	Base         uint64            `json:"base,omitempty"`
	Content      string            `json:"content,omitempty"`
	Why          string            `json:"why,omitempty"`
	By           string            `json:"by,omitempty"`
	CanaryMember string            `json:"only,omitempty"`
	RollbackTo   uint64            `json:"back,omitempty"`
	Number       uint64            `json:"number,omitempty"`
	ID           string            `json:"id,omitempty"` // of a replica, for drain, hold and undrain
	ForMS        int64             `json:"for_ms,omitempty"`
	Seen         uint64            `json:"seen,omitempty"`   // the version of the list that the operator saw
	Ran          bool              `json:"ran,omitempty"`    // what an operator found of an instruction
	Ledger       []bookkeeping.Row `json:"ledger,omitempty"` // to import
	ViewFilter                     // for view
}

// Reply answers a Command.
type Reply struct {
	Error  string  `json:"error,omitempty"`
	Number uint64  `json:"number,omitempty"`
	View   *View   `json:"view,omitempty"`
	Status *Status `json:"own,omitempty"`

	Figures *bookkeeping.Stats `json:"figures,omitempty"` // of this dispatcher's part of the ledger
	Ledger  []bookkeeping.Row  `json:"ledger,omitempty"`  // instructions
	Last    bool               `json:"last,omitempty"`    // of an export: there are no more

	RegistryDifferences map[string]RegistryDifference `json:"beside,omitempty"` // replicas on which this dispatcher's own register differs
}

// Beside is what a dispatcher's own register says of a replica, where that is not what is agreed on.
type RegistryDifference struct {
	Registry string `json:"says"`
	ForMS    int64  `json:"for_ms"` // so long already
}

// Do carries out a command. keys flattens a content and print is its fingerprint.
func (n *Node) Do(c Command, keys func(string) (map[string]string, error), print func(string) string) (r Reply) {
	var err error
	switch c.Do {
	case "propose":
		var k map[string]string
		if k, err = keys(c.Content); err == nil {
			r.Number, err = n.Propose(agree.Propose{Base: c.Base, Content: c.Content, Keys: k, Fingerprint: print(c.Content), By: c.By, Why: c.Why,
				CanaryMember: c.CanaryMember, RollbackTo: c.RollbackTo})
		}
	case "withdraw":
		err = n.Withdraw(c.Number, c.By)
	case "view":
		r.View, err = n.View(c.ViewFilter)
	case membership.Drain, membership.Hold:
		err = n.PlaceOrder(membership.Order{ID: c.ID, Do: c.Do, Owner: c.By, Why: c.Why, ForMS: c.ForMS, Version: c.Seen})
	case "undrain":
		err = n.LiftOrder(c.ID, c.By, c.Seen)
	case "confirm":
		err = n.Confirm()
	case "own":
	case "seat":
		err = n.Seat()
	default:
		err = fmt.Errorf("unknown command %q", c.Do)
	}
	own := n.Status()
	r.Status = &own
	if err != nil {
		r.Error = err.Error()
	}
	return r
}
