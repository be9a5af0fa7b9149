package agreement

import (
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"standpulley/internal/agree"
	"standpulley/internal/peers"
)

const (
	inboxSize       = 512
	compactEvery    = 128 // entries
	maxMessageBytes = 1 << 20
	proposeTimeout  = 3 * time.Second // for an entry to be applied
	changeTimeout   = 5 * time.Second
	retryTicks      = 4 // before what is due is proposed again
)

// voter is one of those who decide. One goroutine owns the consensus, the log and the record; others post to it.
type voter struct {
	n     *Node
	inbox chan func()
	done  chan struct{}
	watch atomic.Pointer[revisionWatch] // for who waits for news

	// What follows belongs to the goroutine.
	rn            *raft.RawNode
	confState     *raftpb.ConfState
	record        agree.Record
	applied       uint64
	snapshotIndex uint64 // the index of the last snapshot
	seatsChanged  bool   // seats have changed since: a voter takes no snapshot from before it had one
	isLeader      bool
	leader        uint64
	term          uint64
	leases        *agree.LeaseTable
	waitingReads  []pendingRead
	readsInFlight []pendingRead // asked with the consensus, under the number asked
	lastRound     uint64
	roundInFlight uint64
	roundStart    time.Duration
	proposals     map[string]chan proposeResponse // by the proposal's ID
	nextProposal  time.Duration                   // what is due is not proposed again before
	voterNames    map[uint64]string               // of voters by their disk
	lists         listLeader                      // the leader's view of the register
	senders       map[string]*sender
}

// stamped is the record's stamp and what is closed when there is another.
type revisionWatch struct {
	revision uint64
	changed  chan struct{}
}

// read waits until it is sure that this voter leads and has applied all that was decided before the read came.
type pendingRead struct {
	index uint64 // to be applied first; 0 while that is not known
	then  func(sure bool)
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
	v.rn, err = raft.NewRawNode(&raft.Config{ID: n.log.Identity().Disk, ElectionTick: agree.ElectionTicks, HeartbeatTick: 1, Storage: storage,
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
	var record agree.Record
	if err := jsoniter.Unmarshal(snap.GetData(), &record); err != nil {
		return fmt.Errorf("the snapshot of the agreement: %w", err)
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

// run owns the voter until the node ends.
func (v *voter) run() {
	tick := time.NewTicker(v.n.opt.Timing.Tick)
	defer tick.Stop()
	defer close(v.done)
	defer func() {
		// The library panics where the log contradicts what others hold, as one that is not the newest of this voter may.
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
			if v.roundInFlight != 0 && v.n.now()-v.roundStart > v.n.opt.Timing.Tick*agree.ElectionTicks {
				v.failReads()
			}
			if ticks++; ticks%agree.ElectionTicks == 0 && v.confState == nil {
				go v.n.requestSeat(false)
			}
		}
		if err := v.step(); err != nil {
			// What can't be written must not be promised: this voter stops being one. Its dispatcher loses its lease in time.
			slog.Error("agreement: the log can't be written, so this voter stops", "error", err)
			return
		}
	}
}

// post hands something to the voter's goroutine, or says that it can't take more.
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

// step does what is due and carries out what the consensus wants: write, then send, then apply.
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

// lead notes who leads. A new leader knows nothing of the leases that others granted.
func (v *voter) setLeader(s *raft.SoftState) {
	wasLeader := v.isLeader
	v.isLeader, v.leader = s.RaftState == raft.StateLeader, s.Lead
	switch {
	case v.isLeader && !wasLeader:
		v.leases = agree.NewLeaseTable(v.n.now(), v.n.opt.Timing)
		v.lists.reset(v)
		v.n.elections.Add(1)
		slog.Info("agreement: this dispatcher leads the voters", "term", v.term)
	case wasLeader && !v.isLeader:
		v.leases = nil
		v.failReads()
		for id, c := range v.proposals { // whether they were decided another voter can tell
			c <- v.notLeader()
			delete(v.proposals, id)
		}
		slog.Info("agreement: this dispatcher leads no more", "term", v.term)
	}
}

// elsewhere says that this voter does not lead.
func (v *voter) notLeader() proposeResponse {
	return proposeResponse{NotLeader: true, Leader: v.leaderName()}
}

func (v *voter) leaderName() string { return v.voterNames[v.leader] }

// due proposes what the record and the leases allow.
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
			slog.Warn("agreement: what is due was not proposed", "error", err)
		}
	}
	v.lists.proposeDue(v, now)
}

func (v *voter) proposeEntry(e agree.Entry) error {
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
				slog.Warn("agreement: a seat was not taken", "error", err)
				v.confState = v.rn.ApplyConfChange(&raftpb.ConfChangeV2{}) // nothing changes
				return nil
			}
			v.nameSeats()
			slog.Info("agreement: a voter has taken its seat", "voter", change.TakeSeat.Name, "disk", fmt.Sprintf("%x", change.TakeSeat.Disk))
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

// join notes the cluster that this voter has a part in.
func (v *voter) recordCluster() {
	if v.record.Cluster != 0 && v.n.log.Identity().Cluster == 0 {
		v.n.recordCluster(v.record.Cluster)
	}
}

// change tells all that wait for news.
func (v *voter) notifyChange() {
	previous := v.watch.Swap(&revisionWatch{v.record.Revision, make(chan struct{})})
	close(previous.changed)
	v.n.wakeMember()
}
