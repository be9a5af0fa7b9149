// Package cluster runs a dispatcher's part in agreeing on settings and on the list of replicas. It
// has the voter with its consensus (raft), if the dispatcher is one; the member, which renews the
// lease and activates versions; and the calls between dispatchers. The rules of the record and of
// leases are in package clusterstate; package peers is the network transport.
//
//	node.go      Node, a dispatcher's part as a whole
//	voter.go     the goroutine that owns raft, the log and the record
//	member.go    the goroutine that renews the lease, checks versions and activates them
//	saved.go     the state that a dispatcher keeps across restarts
//	reads.go     linearizable reads at the leader
//	requests.go  requests of other dispatchers to a voter
//	frames.go    raft messages from other voters
//	sender.go    raft messages to another voter
//	calls.go     paths and messages of the calls between dispatchers
//	lists.go     the list of replicas: the leader's part and the member's
//	operator.go  the operator API
//	recover.go   surveying what is left of a lost cluster, and bootstrapping a new one from it
package cluster

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

	"standpulley/internal/clusterstate"
	"standpulley/internal/membership"
	"standpulley/internal/peers"
	"standpulley/internal/raftlog"
)

// Program is the dispatcher program, which acts on versions and on the list of replicas.
type Program interface {
	// Check returns why this dispatcher can't act on a content, nil if it can. It must not block for
	// long.
	Check(content string) *clusterstate.Fault
	// Activate makes the program act on a version, as long as the lease permits.
	Activate(v clusterstate.Version, lease *clusterstate.Lease) error
	// ApplyList makes the program act on a list of replicas. It returns once nothing uses the
	// previous list any more. dispatchers is their number, and counted is set if this one may use
	// its share of the limits that are summed over them.
	ApplyList(l membership.List, dispatchers int, counted bool) error
	// SetReader makes this dispatcher a reader of the registry on behalf of all, or no longer one.
	SetReader(bool)
	// LeaseLost notifies the program that the lease has expired.
	LeaseLost()
	// RegistrySilent reports whether the registry is watched and gives no answers.
	RegistrySilent() bool
	// Phase returns the program's phase, for display only.
	Phase() string
	// ServingTime returns how long the program has served normally.
	ServingTime() time.Duration
	// WarmRates returns, by kind of replica, the requests per second of this dispatcher that a
	// replica can take. It is empty if the program does not know and wants to learn them from other
	// dispatchers, nil if it does not want them.
	WarmRates() map[string]float64
}

// Options configure a Node.
type Options struct {
	Name        string
	Cluster     string
	Listen      string            // address for calls of other dispatchers; empty if it is no voter
	Voters      map[string]string // addresses of the voters, by name
	IsMember    func(name string) bool
	Timing      clusterstate.Timing
	OnLeaseLoss clusterstate.LeaseLossPolicy
	MaxConns    int                // maximum of connections from other dispatchers
	Folder      string             // the state folder, which holds the log
	Handlers    map[string]Handler // handlers of further calls, by path
	Lists       *Lists             // nil if dispatchers do not agree on the list of replicas
	Hooks       Hooks
}

// Handler answers a call of another dispatcher.
type Handler func(from string, body []byte) (any, error)

// Lists configure how dispatchers agree on the list of replicas.
type Lists struct {
	MaxReaders int  // how many dispatchers read the registry at once
	CanRead    bool // this dispatcher can be one of them
	Limits     membership.Limits
}

// LogWriter writes raft state to stable storage before a voter sends messages that depend on it.
type LogWriter interface {
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error
}

// Hooks let tests inject faults. The zero value injects none.
type Hooks struct {
	LogWriter func(*raftlog.Log) LogWriter
	// changes the time from which a renewal counts
	RenewedAt func(sent, now time.Duration) time.Duration
	Leases    func(*clusterstate.LeaseTable)                  // called before each use
	Entry     func(*clusterstate.Record, *clusterstate.Entry) // called before the entry is applied
	Lease     func(*clusterstate.Lease)                       // called with each new lease
	// changes whether the active version counts as outdated
	Stale             func(bool) bool
	WallClock         func() time.Time
	Limits            func(*membership.Limits)
	ExtraRenewTimeout time.Duration // added to the timeout of renewals
	Rebootstrap       func(before, next *clusterstate.Record)
	SkipLeaderCheck   bool // the leader answers reads without confirming that it still leads
}

// Node is a dispatcher's part in the cluster.
type Node struct {
	opt        Options
	log        *raftlog.Log
	logWriter  LogWriter
	voter      *voter // nil if this dispatcher is no voter
	server     *peers.Server
	links      map[string]*peers.Link
	counts     peers.Counts
	program    Program
	start      time.Time
	boot       uint64
	clusterID  atomic.Uint64 // 0 while not known
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	wake       chan struct{}

	elections  atomic.Int64
	turnedDown atomic.Int64
	member     member
}

// LogPath returns the path of the log in a state folder.
func LogPath(folder string) string { return filepath.Join(folder, "agreement.db") }

// NewID returns a random ID that is unique for all practical purposes and never 0.
func NewID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])                      // never fails
	return binary.BigEndian.Uint64(b[:])>>1 | 1 // at most 63 bits, as some tools read it as a signed integer
}

// Open opens the log and loads the saved state. Run starts everything else.
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

// RestoreVersion returns the version to start on, with a lease that has not been granted yet. The
// version is nil if there is none.
func (n *Node) RestoreVersion() (*clusterstate.Version, *clusterstate.Lease) {
	return n.member.restore(n)
}

// Run starts the node: it listens for calls if this dispatcher is a voter, and renews the lease from
// now on.
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

// Leave gives up the lease. No part of this dispatcher may act after that.
func (n *Node) Leave() { n.member.leave() }

// Close stops the node and closes the log.
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

// now returns the node's monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Now returns the monotonic clock by which leases run.
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

// voterNames returns the names of the other voters, those given first, then the rest in an order that
// differs between dispatchers.
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

// requestSeat asks the leader for this voter's seat.
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

// Bootstrap writes the log of a new cluster's first voter, with the first version. The other voters
// take their seats when they start; nothing takes effect before all have.
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
	if fault := clusterstate.CheckKeys(keys); fault != nil {
		return fault
	}
	var record clusterstate.Record
	cluster, disk := NewID(), l.Identity().Disk
	if _, err := record.Apply(clusterstate.Entry{Bootstrap: &clusterstate.Bootstrap{Cluster: cluster, RequiredSeats: len(opt.Voters), Seat: clusterstate.Seat{Name: opt.Name, Disk: disk},
		First: clusterstate.Propose{Content: content, Keys: keys, Fingerprint: print, By: opt.Name, Why: "the cluster was founded", At: opt.wallTime()}}}); err != nil {
		return err
	}
	return writeInitialLog(l, &record)
}

// writeInitialLog writes a cluster's record as a snapshot into the empty log of its first voter.
func writeInitialLog(l *raftlog.Log, record *clusterstate.Record) error {
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

// wallTime returns the wall-clock time, for display only: no decision depends on it.
func (o *Options) wallTime() string {
	now := time.Now
	if o.Hooks.WallClock != nil {
		now = o.Hooks.WallClock
	}
	return now().UTC().Format(time.RFC3339)
}
