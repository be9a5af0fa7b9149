package cluster

import (
	"context"
	"encoding/binary"
	"sync"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"standpulley/internal/peers"
)

const maxQueueBytes = 8 << 20

// sender sends raft messages to another voter, in order, with all queued ones in one call. A message
// that does not fit into the queue is dropped, as raft sends it again.
type sender struct {
	n    *Node
	name string
	link *peers.Link

	mu        sync.Mutex
	queue     []byte
	snapshots []uint64 // disks of the recipients of queued snapshots
	work      chan struct{}
}

func newSender(n *Node, name string, link *peers.Link) *sender {
	s := &sender{n: n, name: name, link: link, work: make(chan struct{}, 1)}
	go s.run(n.ctx)
	return s
}

// enqueue queues a message and reports whether there was room for it.
func (s *sender) enqueue(m *raftpb.Message) bool {
	data, err := proto.Marshal(m)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+len(data) > maxQueueBytes {
		s.n.counts.RecordDrop(peers.QueueFull, s.name, "the queue of messages to this voter is full")
		return false
	}
	s.queue = append(binary.AppendUvarint(s.queue, uint64(len(data))), data...)
	if m.GetType() == raftpb.MsgSnap {
		s.snapshots = append(s.snapshots, m.GetTo())
	}
	select {
	case s.work <- struct{}{}:
	default:
	}
	return true
}

func (s *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.work:
		}
		s.mu.Lock()
		frames, snapshots := s.queue, s.snapshots
		s.queue, s.snapshots = nil, nil
		s.mu.Unlock()
		_, err := s.link.Call(peers.RaftPath, frames, s.n.opt.Timing.AcceptFor)
		status := raft.SnapshotFinish
		if err != nil {
			status = raft.SnapshotFailure
		}
		for _, disk := range snapshots {
			// if the inbox is full, raft sends the snapshot again later
			_ = s.n.voter.post(func() { s.n.voter.rn.ReportSnapshot(disk, status) })
		}
	}
}
