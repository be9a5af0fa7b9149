package cluster

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math"
	"slices"
	"strconv"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"standpulley/internal/peers"
)

// handleFrames reads the raft messages of another voter, each prefixed with its length.
func (v *voter) handleFrames(from peers.Caller, body []byte) error {
	for len(body) > 0 {
		size, n := binary.Uvarint(body)
		if n <= 0 || size > uint64(len(body)-n) || size > math.MaxInt32 {
			v.n.counts.RecordDrop(peers.TooLarge, from.Name, "a frame of "+strconv.FormatUint(size, 10)+" bytes")
			return errors.New("a frame of a wrong size")
		}
		m := &raftpb.Message{}
		if err := proto.Unmarshal(body[n:n+int(size)], m); err != nil {
			v.n.counts.RecordDrop(peers.Malformed, from.Name, err.Error())
			return err
		}
		body = body[n+int(size):]
		if err := v.post(func() { v.handleMessage(from.Name, m) }); err != nil {
			return err
		}
	}
	return nil
}

// handleMessage passes a message to raft if it comes from the disk that holds the sender's seat, or if
// this voter does not know any seats yet.
func (v *voter) handleMessage(from string, m *raftpb.Message) {
	name, seated := v.voterNames[m.GetFrom()]
	problem := ""
	switch {
	case m.GetTo() != v.n.log.Identity().Disk:
		problem = fmt.Sprintf("for disk %x, which is not the disk of this voter", m.GetTo())
	case slices.Contains(v.record.RetiredDisks, m.GetFrom()):
		problem = fmt.Sprintf("from disk %x, whose seat was given to another disk", m.GetFrom())
	case seated && name != from:
		problem = fmt.Sprintf("from disk %x, which belongs to %s", m.GetFrom(), name)
	case !seated && v.record.Cluster != 0:
		problem = fmt.Sprintf("from disk %x, which has no seat", m.GetFrom())
	}
	if problem != "" {
		v.n.counts.RecordDrop(peers.NotMember, from, "a frame "+problem)
		return
	}
	v.voterNames[m.GetFrom()] = from
	if err := v.rn.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		slog.Warn("agreement: raft rejected a message", "from", from, "error", err)
	}
}

func (v *voter) send(m *raftpb.Message) {
	name := v.voterNames[m.GetTo()]
	s := v.senders[name]
	if s == nil || !s.enqueue(m) {
		v.rn.ReportUnreachable(m.GetTo())
		if m.GetType() == raftpb.MsgSnap {
			v.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
		}
	}
}

// raftLogger is the logger of the raft library. It drops everything below errors, as this package logs
// the events that matter to operators itself.
type raftLogger struct{}

func (raftLogger) Debug(...any)            {}
func (raftLogger) Debugf(string, ...any)   {}
func (raftLogger) Info(...any)             {}
func (raftLogger) Infof(string, ...any)    {}
func (raftLogger) Warning(...any)          {}
func (raftLogger) Warningf(string, ...any) {}
func (raftLogger) Error(v ...any)          { slog.Error("agreement: consensus", "error", fmt.Sprint(v...)) }
func (raftLogger) Errorf(f string, v ...any) {
	slog.Error("agreement: consensus", "error", fmt.Sprintf(f, v...))
}
func (raftLogger) Fatal(v ...any)            { log.Panic(v...) }
func (raftLogger) Fatalf(f string, v ...any) { log.Panicf(f, v...) }
func (raftLogger) Panic(v ...any)            { log.Panic(v...) }
func (raftLogger) Panicf(f string, v ...any) { log.Panicf(f, v...) }
