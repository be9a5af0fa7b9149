// Package agreement is a dispatcher's part in agreeing on settings: the voter, where it is one, with the consensus and its
// log; the member, which keeps the lease and takes versions up; the calls among dispatchers. What is decided stands in
// package agree, what crosses the network goes by package peers.
//
//	node.go    a dispatcher's part as a whole
//	voter.go   the goroutine that owns consensus, log and record
//	life.go    what a dispatcher remembers over its end
//	member.go  the goroutine that renews the lease, checks versions and takes them up
//	reads.go   when a voter is sure of what it knows
//	counter.go what others ask of a voter
//	frames.go  frames of other voters
//	sender.go  frames to another voter
//	calls.go   what dispatchers say to each other
//	lists.go   lists of replicas: the leader's part and the member's
//	desk.go    what operators ask for
//	recover.go what is left of a cluster whose logs are lost, and a new one made from it
package agreement

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/raft/v3/raftpb"

	"standpulley/internal/agree"
	"standpulley/internal/membership"
	"standpulley/internal/peers"
	"standpulley/internal/raftlog"
)

// Program is what acts on versions.
type Program interface {
	// Check says why this dispatcher can't act on a content. It must not block for long.
	Check(content string) *agree.Fault
	// TakeUp puts a version in force under a lease, which is this dispatcher's leave to act on it.
	Activate(v agree.Version, lease *agree.Lease) error
	// TakeList acts on a list of replicas from now on; it returns when nothing goes by the one before any more. living is the
	// number of dispatchers, and counted whether this one may use its share of what is summed over them.
	ApplyList(l membership.List, living int, counted bool) error
	// Read starts or stops reading the register for all.
	SetReading(bool)
	// Alone tells that the lease is over.
	LeaseLost()
	// Deaf tells that the register is read and says nothing.
	RegistrySilent() bool
	// Phase is the program's phase, for people.
	Phase() string
	// Serves is how long the program has served as usual.
	ServingTime() time.Duration
	// Bears is what the program knows of what a replica of each kind bears of its requests a second; empty where it knows nothing, nil
	// where it does not want to know.
	WarmRates() map[string]float64
}

// Options are what a node is told.
type Options struct {
	Name        string
	Cluster     string
	Listen      string            // empty where it is no voter
	Voters      map[string]string // addresses by name
	IsMember    func(name string) bool
	Timing      agree.Timing
	OnLeaseLoss agree.LeaseLossPolicy
	MaxConns    int                // from other dispatchers, at most
	Folder      string             // holds the log
	Handlers    map[string]Handler // further ones that others may make here, by path
	Lists       *Lists             // nil where dispatchers do not agree on lists of replicas
	Hooks       Hooks
}

// Call answers a call of another dispatcher.
type Handler func(from string, body []byte) (any, error)

// Lists says how dispatchers agree on lists of replicas.
type Lists struct {
	MaxReaders int  // of the register, at once
	CanRead    bool // this dispatcher could be one
	Limits     membership.Limits
}

// Disk is where a voter writes before it speaks.
type LogWriter interface {
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error
}

// Seams are where tests put faults in. The zero value puts in none.
type Hooks struct {
	LogWriter         func(*raftlog.Log) LogWriter
	RenewedAt         func(sent, now time.Duration) time.Duration // from when a renewal counts
	Leases            func(*agree.LeaseTable)                     // before each use
	Entry             func(*agree.Record, *agree.Entry)           // before it is applied
	Lease             func(*agree.Lease)                          // a new one
	Stale             func(bool) bool                             // whether another version is in force than the one that is held
	WallClock         func() time.Time
	Limits            func(*membership.Limits)
	ExtraRenewTimeout time.Duration // more than is waited for a renewal
	Rebootstrap       func(before, next *agree.Record)
	SkipLeaderCheck   bool // a leader answers without asking the others whether it still leads
}

// Node is a dispatcher's part.
type Node struct {
	opt        Options
	log        *raftlog.Log
	logWriter  LogWriter
	voter      *voter // nil where it is none
	server     *peers.Server
	links      map[string]*peers.Link
	counts     peers.Counts
	program    Program
	start      time.Time
	boot       uint64
	clusterID  atomic.Uint64 // the cluster's
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	wake       chan struct{}

	elections  atomic.Int64
	turnedDown atomic.Int64
	member     member
}

// Path is the file of a state folder that holds the log.
func LogPath(folder string) string { return filepath.Join(folder, "agreement.db") }

// Draw gives a number that nobody else has, never 0.
func NewID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])                      // never fails
	return binary.BigEndian.Uint64(b[:])>>1 | 1 // some tools read it as a signed one
}

// Open opens the log and reads what was known before. Run begins the rest.
func Open(opt Options) (*Node, error) {
	l, err := raftlog.Open(LogPath(opt.Folder), NewID)
	if err != nil {
		return nil, err
	}
	n := &Node{opt: opt, log: l, logWriter: l, links: map[string]*peers.Link{}, start: time.Now(), boot: NewID(), wake: make(chan struct{}, 1)}
	if opt.Hooks.LogWriter != nil {
		n.logWriter = opt.Hooks.LogWriter(l)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.clusterID.Store(l.Identity().Cluster)
	for name, addr := range opt.Voters {
		if name != opt.Name {
			n.links[name] = peers.NewLink(addr, opt.Cluster, opt.Name, n.clusterID.Load, &n.counts)
		}
	}
	if err := n.member.load(n); err != nil {
		return nil, errors.Join(err, n.Close())
	}
	return n, nil
}

// Known gives the last version that this dispatcher acted on, with a lease that has never begun; nil where there is none.
func (n *Node) RestoreVersion() (*agree.Version, *agree.Lease) { return n.member.restore(n) }

// Run begins: it listens where this dispatcher is a voter, and renews the lease from now on.
func (n *Node) Run(p Program) error {
	n.program = p
	if n.opt.Listen != "" {
		var err error
		if n.voter, err = newVoter(n); err != nil {
			return err
		}
		n.server = &peers.Server{Cluster: n.opt.Cluster, ClusterID: n.clusterID.Load, Counts: &n.counts, Handle: n.handle, IsMember: n.opt.IsMember}
		if err := n.server.Start(n.opt.Listen, n.opt.MaxConns); err != nil {
			return err
		}
		n.goroutines.Go(n.voter.run)
	}
	n.goroutines.Go(n.member.run)
	n.goroutines.Go(n.member.watchChanges)
	if n.opt.Lists != nil {
		n.goroutines.Go(n.member.reportRegistry)
	}
	return nil
}

// Leave tells the voters that this dispatcher acts no more. Nothing of it does after this.
func (n *Node) Leave() { n.member.leave() }

// Close ends the node.
func (n *Node) Close() error {
	n.cancel()
	if n.server != nil {
		n.server.Close()
	}
	n.goroutines.Wait()
	for _, l := range n.links {
		l.Close()
	}
	return n.log.Close()
}

// now is the node's monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Now is the clock by which leases run.
func (n *Node) Now() time.Duration { return n.now() }

func (n *Node) wakeMember() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) recordCluster(id uint64) {
	if !n.clusterID.CompareAndSwap(0, id) {
		return
	}
	if err := n.log.SetCluster(id); err != nil {
		slog.Error("agreement: the log can't be written", "error", err)
	}
}

// voters gives the names of the others, those to try first before the rest.
func (n *Node) voterNames(first ...string) []string {
	var names []string
	for _, name := range first {
		if n.links[name] != nil && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	rest := make([]string, 0, len(n.links))
	for name := range n.links {
		if !slices.Contains(names, name) {
			rest = append(rest, name)
		}
	}
	slices.Sort(rest)
	if len(rest) > 0 {
		offset := int(n.boot % uint64(len(rest)))
		rest = append(slices.Clone(rest[offset:]), rest[:offset]...)
	}
	return append(names, rest...)
}

// askSeat asks the voters for this voter's seat.
func (n *Node) requestSeat(replace bool) (err error) {
	err = errNoLeader
	queue := n.voterNames(n.member.knownLeader())
	for tried := 0; tried < 2*len(n.links) && len(queue) > 0; tried++ {
		name := queue[0]
		queue = queue[1:]
		var p proposeResponse
		if e := callJSON(n.links[name], seatCall, seatRequest{n.opt.Name, n.log.Identity().Disk, replace}, &p, proposeTimeout); e != nil {
			continue
		}
		switch {
		case p.Error != "":
			n.member.logNoLease("no seat: " + p.Error)
			return errors.New(p.Error)
		case !p.NotLeader:
			return nil
		case n.links[p.Leader] != nil:
			queue = append([]string{p.Leader}, queue...)
		}
	}
	return err
}

// Found makes the log of a cluster's first voter with its first version. The others take their seats when they start;
// nothing is in force before.
func Bootstrap(opt Options, content string, keys map[string]string, print string) error {
	l, err := raftlog.Open(LogPath(opt.Folder), NewID)
	if err != nil {
		return err
	}
	err = bootstrapLog(l, opt, content, keys, print)
	return errors.Join(err, l.Close())
}

func bootstrapLog(l *raftlog.Log, opt Options, content string, keys map[string]string, print string) error {
	if l.Identity().Cluster != 0 {
		return fmt.Errorf("%s belongs to a cluster already", LogPath(opt.Folder))
	}
	if fault := agree.CheckKeys(keys); fault != nil {
		return fault
	}
	var record agree.Record
	cluster, disk := NewID(), l.Identity().Disk
	if _, err := record.Apply(agree.Entry{Bootstrap: &agree.Bootstrap{Cluster: cluster, RequiredSeats: len(opt.Voters), Seat: agree.Seat{Name: opt.Name, Disk: disk},
		First: agree.Propose{Content: content, Keys: keys, Fingerprint: print, By: opt.Name, Why: "the cluster was founded", At: opt.wallTime()}}}); err != nil {
		return err
	}
	return writeInitialLog(l, &record)
}

// begin writes a cluster's record into the empty log of its first voter.
func writeInitialLog(l *raftlog.Log, record *agree.Record) error {
	data, err := jsoniter.Marshal(record)
	if err != nil {
		return err
	}
	one := uint64(1)
	err = l.Save(&raftpb.HardState{Term: &one, Commit: &one}, nil, &raftpb.Snapshot{Data: data,
		Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: []uint64{record.Seats[0].Disk}}}})
	if err != nil {
		return err
	}
	return l.SetCluster(record.Cluster)
}

// wall is the wall clock, for people alone: nothing is decided by it.
func (o *Options) wallTime() string {
	now := time.Now
	if o.Hooks.WallClock != nil {
		now = o.Hooks.WallClock
	}
	return now().UTC().Format(time.RFC3339)
}
