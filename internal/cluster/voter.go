package cluster

import (
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"standpulley/internal/clusterstate"
	"standpulley/internal/peers"
)

const (
	inboxSize       = 512
	compactEvery    = 128 // entries between snapshots of the record
	maxMessageBytes = 1 << 20
	proposeTimeout  = 3 * time.Second // how long a request waits for its entry to be applied
	changeTimeout   = 5 * time.Second
	retryTicks      = 4 // ticks before a due entry is proposed again
)

// voter is a member of the raft group. One goroutine owns raft, the log and the record; others post
// functions to it.
type voter struct {
	n     *Node
	inbox chan func()
	done  chan struct{}
	watch atomic.Pointer[revisionWatch] // for goroutines that wait for changes of the record

	// The fields below belong to the voter's goroutine.
	rn            *raft.RawNode
	confState     *raftpb.ConfState
	record        clusterstate.Record
	applied       uint64
	snapshotIndex uint64 // of the last snapshot
	seatsChanged  bool   // since the last snapshot: raft rejects a snapshot at a voter whose seat is not in it
	isLeader      bool
	leader        uint64
	term          uint64
	leases        *clusterstate.LeaseTable
	waitingReads  []pendingRead
	readsInFlight []pendingRead // wait for the ReadIndex round roundInFlight
	lastRound     uint64
	roundInFlight uint64
	roundStart    time.Duration
	proposals     map[string]chan proposeResponse // callers that wait for a result, by the proposal's ID
	nextProposal  time.Duration                   // earliest time of the next proposal of a due entry
	voterNames    map[uint64]string               // by disk
	lists         listLeader                      // the leader's part in agreeing on the list
	senders       map[string]*sender
}

// revisionWatch is a revision of the record, with a channel that is closed when there is another.
type revisionWatch struct {
	revision uint64
	changed  chan struct{}
}

// pendingRead waits until this voter is confirmed as the leader and has applied all entries that were
// committed before the read arrived.
type pendingRead struct {
	index uint64 // index that must be applied first; 0 while not known
	then  func(confirmed bool)
}

var errVoterBusy = errors.New("the voter is busy")

func newVoter(n *Node) (*voter, error) {
	v := &voter{n: n, inbox: make(chan func(), inboxSize), done: make(chan struct{}), proposals: map[string]chan proposeResponse{},
		voterNames: map[uint64]string{}, senders: map[string]*sender{}}
	v.watch.Store(&revisionWatch{0, make(chan struct{})})
	storage := n.log.Storage()
	snap, err := storage.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if err := v.restore(snap); err != nil {
			return nil, err
		}
	}
	v.rn, err = raft.NewRawNode(&raft.Config{ID: n.log.Identity().Disk, ElectionTick: clusterstate.ElectionTicks, HeartbeatTick: 1, Storage: storage,
		Applied: v.applied, MaxSizePerMsg: maxMessageBytes, MaxUncommittedEntriesSize: 4 * maxMessageBytes, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: raftLogger{}})
	if err != nil {
		return nil, err
	}
	for name, link := range n.links {
		v.senders[name] = newSender(n, name, link)
	}
	return v, nil
}

func (v *voter) restore(snap *raftpb.Snapshot) error {
	var record clusterstate.Record
	if err := jsoniter.Unmarshal(snap.GetData(), &record); err != nil {
		return fmt.Errorf("decoding the raft snapshot: %w", err)
	}
	v.record, v.applied, v.snapshotIndex, v.confState = record, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	v.nameSeats()
	return nil
}

func (v *voter) nameSeats() {
	for _, s := range v.record.Seats {
		v.voterNames[s.Disk] = s.Name
	}
}

// run is the voter's goroutine. It returns when the node ends or the log fails.
func (v *voter) run() {
	tick := time.NewTicker(v.n.opt.Timing.Tick)
	defer tick.Stop()
	defer close(v.done)
	defer func() {
		// The raft library panics if the log contradicts those of other voters. That happens if an older
		// copy of this voter's log was restored.
		if r := recover(); r != nil {
			slog.Error("agreement: this log contradicts what the voters hold, so this voter stops; its dispatcher goes on", "why", r)
		}
	}()
	ticks := 0
	for {
		select {
		case <-v.n.ctx.Done():
			return
		case f := <-v.inbox:
			f()
		case <-tick.C:
			v.rn.Tick()
			if v.roundInFlight != 0 && v.n.now()-v.roundStart > v.n.opt.Timing.Tick*clusterstate.ElectionTicks {
				v.failReads()
			}
			if ticks++; ticks%clusterstate.ElectionTicks == 0 && v.confState == nil {
				go v.n.requestSeat(false)
			}
		}
		if err := v.step(); err != nil {
			// A voter must not acknowledge entries that it can't write, so it stops voting. Its
			// dispatcher loses its lease in time.
			slog.Error("agreement: the log can't be written, so this voter stops", "error", err)
			return
		}
	}
}

// post passes f to the voter's goroutine. It fails if the inbox is full or the voter has stopped.
func (v *voter) post(f func()) error {
	select {
	case <-v.done:
		return errVoterBusy
	default:
	}
	select {
	case v.inbox <- f:
		return nil
	default:
		v.n.counts.RecordDrop(peers.QueueFull, v.n.opt.Name, "the voter's inbox is full")
		return errVoterBusy
	}
}

// step proposes due entries and processes the output of raft: it writes, then sends, then applies.
func (v *voter) step() error {
	v.proposeDue()
	v.startReadRound()
	for v.rn.HasReady() {
		rd := v.rn.Ready()
		if rd.SoftState != nil {
			v.setLeader(rd.SoftState)
		}
		if err := v.n.logWriter.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			return err
		}
		if rd.HardState != nil {
			v.term = rd.HardState.GetTerm()
		}
		for _, m := range rd.Messages {
			v.send(m)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := v.restore(rd.Snapshot); err != nil {
				return err
			}
			v.recordCluster()
			v.notifyChange()
		}
		for _, e := range rd.CommittedEntries {
			if err := v.apply(e); err != nil {
				return err
			}
		}
		for _, s := range rd.ReadStates {
			v.readIndexReady(s)
		}
		v.rn.Advance(rd)
		v.answerReads()
		v.proposeDue()
		v.startReadRound()
	}
	if v.applied >= v.snapshotIndex+compactEvery || v.seatsChanged {
		data, err := jsoniter.Marshal(&v.record)
		if err != nil {
			return err
		}
		if err := v.n.log.Compact(v.applied, v.confState, data); err != nil {
			return err
		}
		v.snapshotIndex, v.seatsChanged = v.applied, false
	}
	return nil
}

// setLeader records who the leader is. A new leader does not know the leases that earlier ones granted.
func (v *voter) setLeader(s *raft.SoftState) {
	wasLeader := v.isLeader
	v.isLeader, v.leader = s.RaftState == raft.StateLeader, s.Lead
	switch {
	case v.isLeader && !wasLeader:
		v.leases = clusterstate.NewLeaseTable(v.n.now(), v.n.opt.Timing)
		v.lists.reset(v)
		v.n.elections.Add(1)
		slog.Info("agreement: this dispatcher became the leader", "term", v.term)
	case wasLeader && !v.isLeader:
		v.leases = nil
		v.failReads()
		for id, c := range v.proposals { // the new leader knows whether they were decided
			c <- v.notLeader()
			delete(v.proposals, id)
		}
		slog.Info("agreement: this dispatcher is no longer the leader", "term", v.term)
	}
}

// notLeader returns the answer of a voter that is not the leader.
func (v *voter) notLeader() proposeResponse {
	return proposeResponse{NotLeader: true, Leader: v.leaderName()}
}

func (v *voter) leaderName() string { return v.voterNames[v.leader] }

// proposeDue proposes the entries that are due by the record and the leases.
func (v *voter) proposeDue() {
	now := v.n.now()
	if !v.isLeader || now < v.nextProposal {
		return
	}
	if v.n.opt.Hooks.Leases != nil {
		v.n.opt.Hooks.Leases(v.leases)
	}
	if e := v.leases.Next(now, &v.record); e != nil {
		v.nextProposal = now + retryTicks*v.n.opt.Timing.Tick
		if err := v.proposeEntry(*e); err != nil {
			slog.Warn("agreement: proposing a due entry failed", "error", err)
		}
	}
	v.lists.proposeDue(v, now)
}

func (v *voter) proposeEntry(e clusterstate.Entry) error {
	data, err := jsoniter.Marshal(&e)
	if err != nil {
		return err
	}
	return v.rn.Propose(data)
}

func (v *voter) apply(e *raftpb.Entry) error {
	v.applied = e.GetIndex()
	change, conf, err := decodeEntry(e)
	if err != nil {
		return err
	}
	if conf != nil {
		if change != nil {
			if _, err := v.record.Apply(*change); err != nil {
				slog.Warn("agreement: request for a seat rejected", "error", err)
				// an empty change, as raft expects one
				v.confState = v.rn.ApplyConfChange(&raftpb.ConfChangeV2{})
				return nil
			}
			v.nameSeats()
			slog.Info("agreement: voter took its seat", "voter", change.TakeSeat.Name, "disk", fmt.Sprintf("%x", change.TakeSeat.Disk))
		}
		v.confState, v.seatsChanged = v.rn.ApplyConfChange(conf), true
		v.recordCluster()
		v.notifyChange()
		return nil
	}
	if change == nil {
		return nil
	}
	if v.n.opt.Hooks.Entry != nil {
		v.n.opt.Hooks.Entry(&v.record, change)
	}
	number, err := v.record.Apply(*change)
	v.nextProposal = 0
	if change.Change != nil || change.Census != nil {
		v.lists.nextProposal = 0
	}
	id := change.Request()
	if c := v.proposals[id]; c != nil {
		p := proposeResponse{Number: number}
		if err != nil {
			p.Error = err.Error()
		}
		c <- p
		delete(v.proposals, id)
	}
	if err == nil {
		v.notifyChange()
	}
	return nil
}

// recordCluster stores the ID of the cluster that this voter has joined.
func (v *voter) recordCluster() {
	if v.record.Cluster != 0 && v.n.log.Identity().Cluster == 0 {
		v.n.recordCluster(v.record.Cluster)
	}
}

// notifyChange wakes all goroutines that wait for a change of the record.
func (v *voter) notifyChange() {
	previous := v.watch.Swap(&revisionWatch{v.record.Revision, make(chan struct{})})
	close(previous.changed)
	v.n.wakeMember()
}
