package cluster

import (
	"fmt"
	"log/slog"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/clusterstate"
)

// savedState is the state that a dispatcher keeps across restarts, to detect versions that crash it.
type savedState struct {
	ActsOn   clusterstate.Version `json:"acts"`    // the version that it activated last
	LastGood clusterstate.Version `json:"good"`    // the last version on which it ran for TrialTime
	Unproven bool                 `json:"young"`   // it has not yet run on ActsOn for TrialTime
	Crashes  int                  `json:"crashes"` // unplanned ends of the process while Unproven was set
}

const (
	savedStateKey  = "life"
	maxCrashes     = 2
	maxVotersAsked = 3 // by one renewal
)

// load reads the saved state. If the last run ended unproven, it counts as a crash.
func (m *member) load(n *Node) error {
	m.n, m.unresponsive = n, map[string]time.Duration{}
	m.registry.changed, m.leaveRequests = make(chan struct{}, 1), make(chan chan struct{})
	m.lease = &clusterstate.Lease{OnLeaseLoss: n.opt.OnLeaseLoss}
	data, err := n.log.Value(savedStateKey)
	if err != nil || data == nil {
		return err
	}
	if err := jsoniter.Unmarshal(data, &m.saved); err != nil {
		return fmt.Errorf("damaged: saved state of this dispatcher: %w", err)
	}
	if m.saved.Unproven {
		m.saved.Crashes++
		m.save()
	}
	return nil
}

func (m *member) save() {
	data, err := jsoniter.Marshal(&m.saved)
	if err == nil {
		err = m.n.log.SetValue(savedStateKey, data)
	}
	if err != nil {
		slog.Error("agreement: the state of this dispatcher can't be saved", "error", err)
	}
}

// restore returns the version to start on: the one that was active, or the last good one if the
// active one has crashed this dispatcher twice.
func (m *member) restore(n *Node) (*clusterstate.Version, *clusterstate.Lease) {
	v := m.saved.ActsOn
	if m.crashedTwiceOn(v.Number) {
		v = m.saved.LastGood
		slog.Warn("agreement: starting on the last good version: another one crashed this dispatcher", "version", v.Number,
			"other", m.saved.ActsOn.Number, "crashes", m.saved.Crashes, "each_within", clusterstate.TrialTime)
	}
	if v.Number == 0 {
		return nil, m.lease
	}
	m.active = v
	m.lease = &clusterstate.Lease{Number: v.Number, Fingerprint: v.Fingerprint, OnLeaseLoss: n.opt.OnLeaseLoss}
	return &v, m.lease
}

// crashedTwiceOn reports whether a version has crashed this dispatcher maxCrashes times and there is
// another good version to use instead.
func (m *member) crashedTwiceOn(number uint64) bool {
	return number != 0 && number == m.saved.ActsOn.Number && m.saved.Crashes >= maxCrashes && m.saved.LastGood.Number != 0 && m.saved.LastGood.Number != number
}
