package agreement

import (
	"errors"
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/raft/v3/raftpb"

	"standpulley/internal/agree"
)

// renew books a renewal and answers it. The lease counts for its dispatcher from when it sent the renewal; all that is
// told here was so after it had come.
func (v *voter) renew(r agree.Renewal) (renewed, error) {
	answer := make(chan renewed, 1)
	err := v.surely(v.n.opt.Timing.AcceptFor, func(sure bool) {
		a := renewed{Leader: v.leaderName(), Sure: sure && v.book.InForce() != nil, Cluster: v.book.Cluster, Stamp: v.book.Revision}
		if !a.Sure {
			a.Why = "no leader yet"
			answer <- a
			return
		}
		a.Lease = v.tally.Renew(v.n.now(), r, &v.book)
		a.Serves = v.tally.LongestServing(v.n.now(), r.Name)
		if r.WantsWarmRates {
			a.Bears = v.tally.WarmRates(v.n.now())
		}
		force := v.book.VersionFor(r.Name)
		a.Force = briefOf(force, r.CachedVersion == force.Number)
		if open := v.book.InProgress(); open != nil && open.Number != r.Checked {
			a.Open = briefOf(open, false)
		}
		switch {
		case !v.book.Complete:
			a.Why = fmt.Sprintf("%d of %d voters have taken their seats", len(v.book.Seats), v.book.RequiredSeats)
		case !a.Lease && r.Unfit == nil && !r.Leaving:
			a.Why = "a version is being put in force that this dispatcher has not checked"
		}
		if v.n.opt.Lists != nil {
			a.List = v.lists.news(v, r)
		}
		answer <- a
	})
	if err != nil {
		return renewed{}, err
	}
	return <-answer, nil
}

// propose brings an entry of a dispatcher before the voters.
func (v *voter) propose(e agree.Entry) (proposed, error) {
	id := e.Request()
	if p := e.Propose; p != nil {
		if len(p.Content) > agree.MaxContent {
			return proposed{Error: fmt.Sprintf("%d bytes are too many: a version holds %d at most", len(p.Content), agree.MaxContent)}, nil
		}
		if fault := agree.CheckKeys(p.Keys); fault != nil {
			return proposed{Error: fault.Error()}, nil
		}
	}
	if id == "" {
		return proposed{}, errors.New("no request that is brought before the voters, or without a number of its own")
	}
	answer := make(chan proposed, 2)
	err := v.post(func() {
		if !v.leads {
			answer <- v.elsewhere()
			return
		}
		v.answers[id] = answer
		if err := v.put(e); err != nil {
			delete(v.answers, id)
			answer <- v.elsewhere()
		}
	})
	if err != nil {
		return proposed{}, err
	}
	select {
	case p := <-answer:
		return p, nil
	case <-time.After(proposeWait):
		return proposed{}, errors.New("the voters take too long")
	case <-v.done:
		return proposed{}, errBusy
	}
}

// show gives the record, or parts of it, as it surely is.
func (v *voter) show(x ViewFilter) (*View, error) {
	answer := make(chan *View, 1)
	err := v.surely(proposeWait, func(sure bool) {
		if !sure {
			answer <- nil
			return
		}
		now := v.n.now()
		view := &View{Record: x.of(&v.book), Leader: v.n.opt.Name, Term: v.term, WaitingFor: v.tally.WaitingFor(now, &v.book)}
		v.lists.show(view)
		for _, m := range v.tally.Members {
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

// sit lets a voter take its seat: an empty one, or by an operator's word that of a disk that is lost.
func (v *voter) sit(s seat) (proposed, error) {
	answer := make(chan proposed, 1)
	err := v.surely(proposeWait, func(sure bool) {
		if !sure {
			answer <- v.elsewhere()
			return
		}
		if _, votes := v.n.opt.Voters[s.Name]; !votes {
			answer <- proposed{Error: fmt.Sprintf("%s is no voter by the file of %s", s.Name, v.n.opt.Name)}
			return
		}
		disk, taken := v.book.SeatOf(s.Name)
		var changes []*raftpb.ConfChangeSingle
		switch {
		case taken && disk == s.Disk:
			answer <- proposed{}
			return
		case taken && !s.Replace:
			answer <- proposed{Error: fmt.Sprintf("the seat of %s is that of disk %x, and this is %x: if its log is lost, an operator gives the seat on "+
				"(standpulley settings seat)", s.Name, disk, s.Disk)}
			return
		case taken:
			changes = append(changes, change(raftpb.ConfChangeRemoveNode, disk))
		}
		changes = append(changes, change(raftpb.ConfChangeAddNode, s.Disk))
		text, err := jsoniter.Marshal(agree.Entry{TakeSeat: &agree.Seat{Name: s.Name, Disk: s.Disk}})
		if err == nil {
			v.names[s.Disk] = s.Name
			err = v.rn.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes, Context: text})
		}
		if err != nil {
			answer <- proposed{Error: err.Error()}
			return
		}
		answer <- proposed{}
	})
	if err != nil {
		return proposed{}, err
	}
	return <-answer, nil
}

func change(kind raftpb.ConfChangeType, disk uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: &disk}
}

// wait gives the record's stamp once it is another than one that is known, or after a while.
func (v *voter) wait(known uint64, limit time.Duration) uint64 {
	s := v.state.Load()
	if s.stamp != known {
		return s.stamp
	}
	select {
	case <-s.changed:
	case <-time.After(limit):
	case <-v.done:
	}
	return v.state.Load().stamp
}
