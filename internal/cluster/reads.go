package cluster

import (
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/raft/v3"
)

// startReadRound starts a ReadIndex round for all waiting reads. Only one round is in flight at a time.
// A voter that is not the leader fails the reads at once.
func (v *voter) startReadRound() {
	if len(v.waitingReads) == 0 || v.roundInFlight != 0 {
		return
	}
	if !v.isLeader {
		for _, r := range v.waitingReads {
			r.then(false)
		}
		v.waitingReads = v.waitingReads[:0]
		return
	}
	if v.n.opt.Hooks.SkipLeaderCheck {
		for _, r := range v.waitingReads {
			r.then(true)
		}
		v.waitingReads = v.waitingReads[:0]
		return
	}
	v.lastRound++
	v.roundInFlight, v.roundStart = v.lastRound, v.n.now()
	v.readsInFlight, v.waitingReads = v.waitingReads, nil
	v.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, v.roundInFlight))
}

func (v *voter) readIndexReady(s raft.ReadState) {
	if len(s.RequestCtx) != 8 || binary.BigEndian.Uint64(s.RequestCtx) != v.roundInFlight {
		return // the answer of an abandoned round
	}
	for i := range v.readsInFlight {
		v.readsInFlight[i].index = max(s.Index, 1)
	}
	v.roundInFlight = 0
}

func (v *voter) answerReads() {
	if v.roundInFlight != 0 || len(v.readsInFlight) == 0 || v.readsInFlight[0].index > v.applied {
		return
	}
	reads := v.readsInFlight
	v.readsInFlight = nil
	for _, r := range reads {
		r.then(v.isLeader)
	}
}

func (v *voter) failReads() {
	for _, r := range append(v.readsInFlight, v.waitingReads...) {
		r.then(false)
	}
	v.readsInFlight, v.waitingReads, v.roundInFlight = nil, nil, 0
}

// asLeader runs f on the voter's goroutine and waits for it. f gets true once a quorum has confirmed,
// after this call, that this voter is the leader, and false if it is not.
func (v *voter) asLeader(timeout time.Duration, f func(confirmed bool)) error {
	finished := make(chan struct{})
	err := v.post(func() {
		v.waitingReads = append(v.waitingReads, pendingRead{then: func(confirmed bool) { f(confirmed); close(finished) }})
	})
	if err != nil {
		return err
	}
	select {
	case <-finished:
		return nil
	case <-time.After(timeout):
		return errors.New("the voters take too long")
	case <-v.done:
		return errVoterBusy
	}
}
