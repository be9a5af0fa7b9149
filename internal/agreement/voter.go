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
	inboxSize    = 512
	compactEvery = 128 // entries
	raftBytes    = 1 << 20
	proposeWait  = 3 * time.Second // for an entry to be applied
	newsWait     = 5 * time.Second
	retryTicks   = 4 // before what is due is proposed again
)

// voter is one of those who decide. One goroutine owns the consensus, the log and the record; others post to it.
type voter struct {
	n     *Node
	inbox chan func()
	done  chan struct{}
	state atomic.Pointer[stamped] // for who waits for news

	// What follows belongs to the goroutine.
	rn      *raft.RawNode
	conf    *raftpb.ConfState
	book    agree.Record
	applied uint64
	kept    uint64 // the index of the last snapshot
	seated  bool   // seats have changed since: a voter takes no snapshot from before it had one
	leads   bool
	leader  uint64
	term    uint64
	tally   *agree.LeaseTable
	waiting []read
	flying  []read // asked with the consensus, under the number asked
	rounds  uint64
	asked   uint64
	askedAt time.Duration
	answers map[string]chan proposed // by the proposal's ID
	dueAt   time.Duration            // what is due is not proposed again before
	names   map[uint64]string        // of voters by their disk
	lists   listing                  // the leader's view of the register
	senders map[string]*sender
}

// stamped is the record's stamp and what is closed when there is another.
type stamped struct {
	stamp   uint64
	changed chan struct{}
}

// read waits until it is sure that this voter leads and has applied all that was decided before the read came.
type read struct {
	index uint64 // to be applied first; 0 while that is not known
	then  func(sure bool)
}

var errBusy = errors.New("the voter is busy")

func newVoter(n *Node) (*voter, error) {
	v := &voter{n: n, inbox: make(chan func(), inboxSize), done: make(chan struct{}), answers: map[string]chan proposed{},
		names: map[uint64]string{}, senders: map[string]*sender{}}
	v.state.Store(&stamped{0, make(chan struct{})})
	store := n.log.Storage()
	snap, err := store.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if err := v.restore(snap); err != nil {
			return nil, err
		}
	}
	v.rn, err = raft.NewRawNode(&raft.Config{ID: n.log.Identity().Disk, ElectionTick: agree.ElectionTicks, HeartbeatTick: 1, Storage: store,
		Applied: v.applied, MaxSizePerMsg: raftBytes, MaxUncommittedEntriesSize: 4 * raftBytes, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		return nil, err
	}
	for name, link := range n.links {
		v.senders[name] = newSender(n, name, link)
	}
	return v, nil
}

func (v *voter) restore(snap *raftpb.Snapshot) error {
	var book agree.Record
	if err := jsoniter.Unmarshal(snap.GetData(), &book); err != nil {
		return fmt.Errorf("the snapshot of the agreement: %w", err)
	}
	v.book, v.applied, v.kept, v.conf = book, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	v.nameSeats()
	return nil
}

func (v *voter) nameSeats() {
	for _, s := range v.book.Seats {
		v.names[s.Disk] = s.Name
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
	join := 0
	for {
		select {
		case <-v.n.ctx.Done():
			return
		case f := <-v.inbox:
			f()
		case <-tick.C:
			v.rn.Tick()
			if v.asked != 0 && v.n.now()-v.askedAt > v.n.opt.Timing.Tick*agree.ElectionTicks {
				v.failReads()
			}
			if join++; join%agree.ElectionTicks == 0 && v.conf == nil {
				go v.n.askSeat(false)
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
		return errBusy
	default:
	}
	select {
	case v.inbox <- f:
		return nil
	default:
		v.n.counts.RecordDrop(peers.QueueFull, v.n.opt.Name, "the voter's inbox is full")
		return errBusy
	}
}

// step does what is due and carries out what the consensus wants: write, then send, then apply.
func (v *voter) step() error {
	v.due()
	v.ask()
	for v.rn.HasReady() {
		rd := v.rn.Ready()
		if rd.SoftState != nil {
			v.lead(rd.SoftState)
		}
		if err := v.n.disk.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
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
			v.join()
			v.change()
		}
		for _, e := range rd.CommittedEntries {
			if err := v.apply(e); err != nil {
				return err
			}
		}
		for _, s := range rd.ReadStates {
			v.found(s)
		}
		v.rn.Advance(rd)
		v.answerReads()
		v.due()
		v.ask()
	}
	if v.applied >= v.kept+compactEvery || v.seated {
		data, err := jsoniter.Marshal(&v.book)
		if err != nil {
			return err
		}
		if err := v.n.log.Compact(v.applied, v.conf, data); err != nil {
			return err
		}
		v.kept, v.seated = v.applied, false
	}
	return nil
}

// lead notes who leads. A new leader knows nothing of the leases that others granted.
func (v *voter) lead(s *raft.SoftState) {
	was := v.leads
	v.leads, v.leader = s.RaftState == raft.StateLeader, s.Lead
	switch {
	case v.leads && !was:
		v.tally = agree.NewLeaseTable(v.n.now(), v.n.opt.Timing)
		v.lists.begin(v)
		v.n.elections.Add(1)
		slog.Info("agreement: this dispatcher leads the voters", "term", v.term)
	case was && !v.leads:
		v.tally = nil
		v.failReads()
		for id, c := range v.answers { // whether they were decided another voter can tell
			c <- v.elsewhere()
			delete(v.answers, id)
		}
		slog.Info("agreement: this dispatcher leads no more", "term", v.term)
	}
}

// elsewhere says that this voter does not lead.
func (v *voter) elsewhere() proposed { return proposed{Elsewhere: true, Leader: v.leaderName()} }

func (v *voter) leaderName() string { return v.names[v.leader] }

// due proposes what the record and the leases allow.
func (v *voter) due() {
	now := v.n.now()
	if !v.leads || now < v.dueAt {
		return
	}
	if v.n.opt.Hooks.Leases != nil {
		v.n.opt.Hooks.Leases(v.tally)
	}
	if e := v.tally.Next(now, &v.book); e != nil {
		v.dueAt = now + retryTicks*v.n.opt.Timing.Tick
		if err := v.put(*e); err != nil {
			slog.Warn("agreement: what is due was not proposed", "error", err)
		}
	}
	v.lists.due(v, now)
}

func (v *voter) put(e agree.Entry) error {
	data, err := jsoniter.Marshal(&e)
	if err != nil {
		return err
	}
	return v.rn.Propose(data)
}

func (v *voter) apply(e *raftpb.Entry) error {
	v.applied = e.GetIndex()
	change, seats, err := changeOf(e)
	if err != nil {
		return err
	}
	if seats != nil {
		if change != nil {
			if _, err := v.book.Apply(*change); err != nil {
				slog.Warn("agreement: a seat was not taken", "error", err)
				v.conf = v.rn.ApplyConfChange(&raftpb.ConfChangeV2{}) // nothing changes
				return nil
			}
			v.nameSeats()
			slog.Info("agreement: a voter has taken its seat", "voter", change.TakeSeat.Name, "disk", fmt.Sprintf("%x", change.TakeSeat.Disk))
		}
		v.conf, v.seated = v.rn.ApplyConfChange(seats), true
		v.join()
		v.change()
		return nil
	}
	if change == nil {
		return nil
	}
	if v.n.opt.Hooks.Entry != nil {
		v.n.opt.Hooks.Entry(&v.book, change)
	}
	number, err := v.book.Apply(*change)
	v.dueAt = 0
	if change.Change != nil || change.Census != nil {
		v.lists.dueAt = 0
	}
	id := change.Request()
	if c := v.answers[id]; c != nil {
		p := proposed{Number: number}
		if err != nil {
			p.Error = err.Error()
		}
		c <- p
		delete(v.answers, id)
	}
	if err == nil {
		v.change()
	}
	return nil
}

// join notes the cluster that this voter has a part in.
func (v *voter) join() {
	if v.book.Cluster != 0 && v.n.log.Identity().Cluster == 0 {
		v.n.noteCluster(v.book.Cluster)
	}
}

// change tells all that wait for news.
func (v *voter) change() {
	before := v.state.Swap(&stamped{v.book.Revision, make(chan struct{})})
	close(before.changed)
	v.n.poke()
}
