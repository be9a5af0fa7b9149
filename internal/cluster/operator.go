package cluster

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"standpulley/internal/clusterstate"
	"standpulley/internal/intentlog"
	"standpulley/internal/membership"
	"standpulley/internal/peers"
)

const leaderTimeout = 10 * time.Second // how long a request waits for a leader

// Status is the state of one dispatcher as it knows it itself. Times are in milliseconds.
type Status struct {
	Name        string                       `json:"name"`
	Voter       bool                         `json:"voter"`
	Version     uint64                       `json:"version"`
	LeaseMS     int64                        `json:"lease_ms"` // remaining time for accepting new requests
	HeardMS     int64                        `json:"heard_ms"` // since the last granted renewal
	LostMS      int64                        `json:"lost_ms"`  // since the lease expired; 0 while it is valid
	Why         string                       `json:"why,omitempty"`
	Leader      string                       `json:"leader"`
	OnLeaseLoss clusterstate.LeaseLossPolicy `json:"alone"`
	// requests and attempts after the end of a lease, permitted by OnLeaseLoss
	LateActs    int64               `json:"late"`
	Unfit       *clusterstate.Fault `json:"unfit,omitempty"`
	Crashes     int                 `json:"crashes,omitempty"`
	TurnedDown  int64               `json:"turned_down"` // versions turned down by this dispatcher
	Elected     int64               `json:"elected"`     // how often this voter became leader
	Dropped     map[string]int64    `json:"dropped"`     // dropped calls and frames, by cause
	Calls       [2]int64            `json:"calls"`       // in, out
	Bytes       [2]int64            `json:"bytes"`       // in, out
	Disk        string              `json:"disk"`
	Cluster     string              `json:"cluster"`
	ListVersion uint64              `json:"list,omitempty"`   // of replicas
	Dispatchers int                 `json:"living,omitempty"` // number of dispatchers, by the last census
}

// Status returns the state of this dispatcher.
func (n *Node) Status() Status {
	m, now := &n.member, n.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	status := Status{Name: n.opt.Name, Voter: n.voter != nil, Version: m.active.Number, LeaseMS: max(m.lease.Remaining(now), 0).Milliseconds(), Why: m.reason,
		Leader: m.leader, OnLeaseLoss: n.opt.OnLeaseLoss, LateActs: m.lease.LateActs(), Unfit: m.unfit, Crashes: m.saved.Crashes, TurnedDown: m.n.turnedDown.Load(), Elected: n.elections.Load(),
		Dropped: n.counts.Dropped(), Calls: [2]int64{n.counts.In.Load(), n.counts.Out.Load()},
		Bytes: [2]int64{n.counts.BytesIn.Load(), n.counts.BytesOut.Load()},
		Disk:  strconv.FormatUint(n.log.Identity().Disk, 16), Cluster: strconv.FormatUint(n.clusterID.Load(), 16)}
	status.ListVersion, status.Dispatchers = m.list.Number, m.dispatchers
	if m.lastGrant != 0 {
		status.HeardMS = (now - m.lastGrant).Milliseconds()
	}
	if m.lostAt != 0 {
		status.LostMS = (now - m.lostAt).Milliseconds()
	}
	return status
}

// View asks the leader for a linearizable view of the record, or of parts of it.
func (n *Node) View(filter ViewFilter) (*View, error) {
	var view *View
	err := n.atLeader(func(local *voter, link *peers.Link) (notLeader bool, err error) {
		if local != nil {
			view, err = local.show(filter)
			return false, err
		}
		view = &View{}
		return false, callJSON(link, showCall, filter, view, proposeTimeout)
	})
	return view, err
}

// Propose proposes a version to the voters. It sets p.ID, so that a repeated proposal counts once.
// A returned number means that the proposal is in the record; it is not in force yet.
func (n *Node) Propose(p clusterstate.Propose) (uint64, error) {
	p.ID, p.At = strconv.FormatUint(NewID(), 16), n.opt.wallTime()
	return n.propose(clusterstate.Entry{Propose: &p})
}

// LedgerDisk returns the ledger file that a voter last used, by the record.
func (n *Node) LedgerDisk(name string) (disk uint64, known bool, err error) {
	view, err := n.View(ViewFilter{Section: SectionSettings})
	if err != nil {
		return 0, false, err
	}
	disk, known = view.Record.LedgerDisks[name]
	return disk, known, nil
}

// SetLedgerDisk records the ledger file that a voter uses from now on.
func (n *Node) SetLedgerDisk(name string, disk uint64) error {
	_, err := n.propose(clusterstate.Entry{Ledger: &clusterstate.SetLedger{Request: strconv.FormatUint(NewID(), 16), Name: name, Disk: disk}})
	return err
}

// RecoveryInfo is what a restarted dispatcher needs to know of the others.
type RecoveryInfo struct {
	// all voters, and those that have answered since the start, with this one
	Voters, VotersHeard int
	ServingMS           int64 // the longest time that another dispatcher has served normally
	// by kind of replica, the requests per second that a replica can take from this dispatcher, as
	// others report; nil before they did
	WarmRates   map[string]float64
	Lease       bool
	ListVersion uint64
	ListFresh   bool // the list holds what the registry says now, not only what it said earlier
}

// RecoveryInfo returns what is known of the other dispatchers.
func (n *Node) RecoveryInfo() RecoveryInfo {
	info := RecoveryInfo{Voters: len(n.opt.Voters), ServingMS: n.member.othersServingMS.Load(), ListFresh: n.member.listFresh.Load()}
	if rates := n.member.othersWarmRates.Load(); rates != nil {
		info.WarmRates = *rates
	}
	if n.voter != nil {
		info.VotersHeard++
	}
	for _, l := range n.links {
		if l.Answered() {
			info.VotersHeard++
		}
	}
	m := &n.member
	m.mu.Lock()
	defer m.mu.Unlock()
	info.Lease, info.ListVersion = m.lease.Ready(n.now()), m.list.Number
	return info
}

// SaveValue stores a small value of the program in the log's file.
func (n *Node) SaveValue(name string, value []byte) error {
	return n.log.SetValue("program."+name, value)
}

// LoadValue returns a value that SaveValue stored, nil if there is none.
func (n *Node) LoadValue(name string) ([]byte, error) { return n.log.Value("program." + name) }

// Boot returns the random ID of this run of the process.
func (n *Node) Boot() uint64 { return n.boot }

// Withdraw takes back a version that is not yet in force.
func (n *Node) Withdraw(number uint64, by string) error {
	_, err := n.propose(clusterstate.Entry{Withdraw: &clusterstate.Withdraw{ID: strconv.FormatUint(NewID(), 16), Number: number, By: by}})
	return err
}

// ErrOutcomeUnknown is returned if a proposal may or may not have been decided.
var ErrOutcomeUnknown = errors.New("no voter that leads answered in time: whether it was decided shows in the history")

func (n *Node) propose(e clusterstate.Entry) (uint64, error) {
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

// atLeader calls f for one voter after another, until f reports that it ran at the leader or
// leaderTimeout has passed. f gets either the local voter or a link to another one.
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

// Seat gives this voter's seat to its present disk, at the request of an operator.
func (n *Node) Seat() error {
	if n.voter == nil {
		return errors.New("this dispatcher is no voter")
	}
	return n.requestSeat(true)
}

// Command is a request of an operator from the command line.
type Command struct {
	// propose, view, own, withdraw, seat; drain, hold, undrain, confirm
	Do           string `json:"do"`
	Base         uint64 `json:"base,omitempty"`
	Content      string `json:"content,omitempty"`
	Why          string `json:"why,omitempty"`
	By           string `json:"by,omitempty"`
	CanaryMember string `json:"only,omitempty"`
	RollbackTo   uint64 `json:"back,omitempty"`
	Number       uint64 `json:"number,omitempty"`
	ID           string `json:"id,omitempty"` // of a replica, for drain, hold and undrain
	ForMS        int64  `json:"for_ms,omitempty"`
	Seen         uint64 `json:"seen,omitempty"` // the version of the list that the operator saw
	// whether the instruction ran, by the finding of an operator
	Ran        bool            `json:"ran,omitempty"`
	Ledger     []intentlog.Row `json:"ledger,omitempty"` // to import
	ViewFilter                 // for view
}

// Reply answers a Command.
type Reply struct {
	Error  string  `json:"error,omitempty"`
	Number uint64  `json:"number,omitempty"`
	View   *View   `json:"view,omitempty"`
	Status *Status `json:"own,omitempty"`

	Figures *intentlog.Stats `json:"figures,omitempty"` // of this dispatcher's part of the ledger
	Ledger  []intentlog.Row  `json:"ledger,omitempty"`  // entries of instructions
	Last    bool             `json:"last,omitempty"`    // of an export: there are no more entries

	// by replica, where this dispatcher's own registry differs from the agreed list
	RegistryDifferences map[string]RegistryDifference `json:"beside,omitempty"`
}

// RegistryDifference is the state of a replica in a dispatcher's own registry, where it differs from
// the agreed list.
type RegistryDifference struct {
	Registry string `json:"says"`
	ForMS    int64  `json:"for_ms"` // how long they have differed
}

// Do executes a command. keys flattens a version's content to values by key path, and print returns
// its fingerprint.
func (n *Node) Do(c Command, keys func(string) (map[string]string, error), print func(string) string) (r Reply) {
	var err error
	switch c.Do {
	case "propose":
		var flattened map[string]string
		if flattened, err = keys(c.Content); err == nil {
			r.Number, err = n.Propose(clusterstate.Propose{Base: c.Base, Content: c.Content, Keys: flattened, Fingerprint: print(c.Content), By: c.By, Why: c.Why,
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
	status := n.Status()
	r.Status = &status
	if err != nil {
		r.Error = err.Error()
	}
	return r
}
