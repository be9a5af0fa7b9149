package agreement

import (
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/raft/v3"
)

// ask begins a round for the reads that wait. One round is under way at a time.
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
		return // of a round that was given up
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

// surely runs f on the voter's goroutine, once it is sure to lead, and waits for it.
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
