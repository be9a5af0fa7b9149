package agreement

import (
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/raft/v3"
)

// ask begins a round for the reads that wait. One round is under way at a time.
func (v *voter) ask() {
	if len(v.waiting) == 0 || v.asked != 0 {
		return
	}
	if !v.leads {
		for _, r := range v.waiting {
			r.then(false)
		}
		v.waiting = v.waiting[:0]
		return
	}
	if v.n.opt.Hooks.SkipLeaderCheck {
		for _, r := range v.waiting {
			r.then(true)
		}
		v.waiting = v.waiting[:0]
		return
	}
	v.rounds++
	v.asked, v.askedAt = v.rounds, v.n.now()
	v.flying, v.waiting = v.waiting, nil
	v.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, v.asked))
}

func (v *voter) found(s raft.ReadState) {
	if len(s.RequestCtx) != 8 || binary.BigEndian.Uint64(s.RequestCtx) != v.asked {
		return // of a round that was given up
	}
	for i := range v.flying {
		v.flying[i].index = max(s.Index, 1)
	}
	v.asked = 0
}

func (v *voter) answerReads() {
	if v.asked != 0 || len(v.flying) == 0 || v.flying[0].index > v.applied {
		return
	}
	now := v.flying
	v.flying = nil
	for _, r := range now {
		r.then(v.leads)
	}
}

func (v *voter) failReads() {
	for _, r := range append(v.flying, v.waiting...) {
		r.then(false)
	}
	v.flying, v.waiting, v.asked = nil, nil, 0
}

// surely runs f on the voter's goroutine, once it is sure to lead, and waits for it.
func (v *voter) surely(limit time.Duration, f func(sure bool)) error {
	finished := make(chan struct{})
	err := v.post(func() {
		v.waiting = append(v.waiting, read{then: func(sure bool) { f(sure); close(finished) }})
	})
	if err != nil {
		return err
	}
	select {
	case <-finished:
		return nil
	case <-time.After(limit):
		return errors.New("the voters take too long")
	case <-v.done:
		return errBusy
	}
}
