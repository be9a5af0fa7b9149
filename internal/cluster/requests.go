package cluster

import (
	"errors"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/raft/v3/raftpb"

	"standpulley/internal/clusterstate"
)

// renew records a renewal and answers it. The dispatcher counts its lease from when it sent the
// renewal, and everything in the answer was still true after the renewal had arrived.
func (v *voter) renew(r clusterstate.Renewal) (renewResponse, error) {
	answer := make(chan renewResponse, 1)
	err := v.asLeader(v.n.opt.Timing.AcceptFor, func(confirmed bool) {
		a := renewResponse{Leader: v.leaderName(), Confirmed: confirmed && v.record.InForce() != nil, Cluster: v.record.Cluster, Revision: v.record.Revision}
		if !a.Confirmed {
			a.Why = "no leader yet"
			answer <- a
			return
		}
		a.Lease = v.leases.Renew(v.n.now(), r, &v.record)
		a.ServingMS = v.leases.LongestServing(v.n.now(), r.Name)
		if r.WantsWarmRates {
			a.WarmRates = v.leases.WarmRates(v.n.now())
		}
		inForce := v.record.VersionFor(r.Name)
		a.InForce = versionInfoOf(inForce, r.CachedVersion == inForce.Number)
		if candidate := v.record.InProgress(); candidate != nil && candidate.Number != r.Checked {
			a.InProgress = versionInfoOf(candidate, false)
		}
		switch {
		case !v.record.Complete:
			a.Why = fmt.Sprintf("%d of %d voters have taken their seats", len(v.record.Seats), v.record.RequiredSeats)
		case !a.Lease && r.Unfit == nil && !r.Leaving:
			a.Why = "a version is being put in force that this dispatcher has not checked"
		}
		if v.n.opt.Lists != nil {
			a.List = v.lists.update(v, r)
		}
		answer <- a
	})
	if err != nil {
		return renewResponse{}, err
	}
	return <-answer, nil
}

// propose proposes an entry of a dispatcher to the voters and waits until it is applied.
func (v *voter) propose(e clusterstate.Entry) (proposeResponse, error) {
	id := e.Request()
	if p := e.Propose; p != nil {
		if len(p.Content) > clusterstate.MaxContent {
			return proposeResponse{Error: fmt.Sprintf("%d bytes are too many: a version holds %d at most", len(p.Content), clusterstate.MaxContent)}, nil
		}
		if fault := clusterstate.CheckKeys(p.Keys); fault != nil {
			return proposeResponse{Error: fault.Error()}, nil
		}
	}
	if id == "" {
		return proposeResponse{}, errors.New("no request that is brought before the voters, or without a number of its own")
	}
	answer := make(chan proposeResponse, 2)
	err := v.post(func() {
		if !v.isLeader {
			answer <- v.notLeader()
			return
		}
		v.proposals[id] = answer
		if err := v.proposeEntry(e); err != nil {
			delete(v.proposals, id)
			answer <- v.notLeader()
		}
	})
	if err != nil {
		return proposeResponse{}, err
	}
	select {
	case p := <-answer:
		return p, nil
	case <-time.After(proposeTimeout):
		return proposeResponse{}, errors.New("the voters take too long")
	case <-v.done:
		return proposeResponse{}, errVoterBusy
	}
}

// show returns a linearizable view of the record, or of parts of it.
func (v *voter) show(filter ViewFilter) (*View, error) {
	answer := make(chan *View, 1)
	err := v.asLeader(proposeTimeout, func(confirmed bool) {
		if !confirmed {
			answer <- nil
			return
		}
		now := v.n.now()
		view := &View{Record: filter.copyFrom(&v.record), Leader: v.n.opt.Name, Term: v.term, WaitingFor: v.leases.WaitingFor(now, &v.record)}
		v.lists.addTo(view)
		for _, m := range v.leases.Members {
			view.Members = append(view.Members, MemberView{m.Renewal, max(m.LeaseEnd-now, 0).Milliseconds(), (now - m.LastRenewal).Milliseconds()})
		}
		answer <- view
	})
	if err != nil {
		return nil, err
	}
	if view := <-answer; view != nil {
		return view, nil
	}
	return nil, errNoLeader
}

// takeSeat gives a voter its seat: an empty one, or at the request of an operator the one of a lost
// disk.
func (v *voter) takeSeat(s seatRequest) (proposeResponse, error) {
	answer := make(chan proposeResponse, 1)
	err := v.asLeader(proposeTimeout, func(confirmed bool) {
		if !confirmed {
			answer <- v.notLeader()
			return
		}
		if _, votes := v.n.opt.Voters[s.Name]; !votes {
			answer <- proposeResponse{Error: fmt.Sprintf("%s is no voter by the file of %s", s.Name, v.n.opt.Name)}
			return
		}
		disk, taken := v.record.SeatOf(s.Name)
		var changes []*raftpb.ConfChangeSingle
		switch {
		case taken && disk == s.Disk:
			answer <- proposeResponse{}
			return
		case taken && !s.Replace:
			answer <- proposeResponse{Error: fmt.Sprintf("the seat of %s is that of disk %x, and this is %x: if its log is lost, an operator gives the seat on "+
				"(standpulley settings seat)", s.Name, disk, s.Disk)}
			return
		case taken:
			changes = append(changes, confChange(raftpb.ConfChangeRemoveNode, disk))
		}
		changes = append(changes, confChange(raftpb.ConfChangeAddNode, s.Disk))
		data, err := jsoniter.Marshal(clusterstate.Entry{TakeSeat: &clusterstate.Seat{Name: s.Name, Disk: s.Disk}})
		if err == nil {
			v.voterNames[s.Disk] = s.Name
			err = v.rn.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes, Context: data})
		}
		if err != nil {
			answer <- proposeResponse{Error: err.Error()}
			return
		}
		answer <- proposeResponse{}
	})
	if err != nil {
		return proposeResponse{}, err
	}
	return <-answer, nil
}

func confChange(kind raftpb.ConfChangeType, disk uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: &disk}
}

// waitForChange returns the revision of the record once it differs from the known one, or after the
// timeout.
func (v *voter) waitForChange(known uint64, timeout time.Duration) uint64 {
	s := v.watch.Load()
	if s.revision != known {
		return s.revision
	}
	select {
	case <-s.changed:
	case <-time.After(timeout):
	case <-v.done:
	}
	return v.watch.Load().revision
}
