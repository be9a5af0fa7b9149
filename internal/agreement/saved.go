package agreement

import (
	"fmt"
	"log/slog"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/agree"
)

// life is what a dispatcher remembers over its end.
type savedState struct {
	ActsOn   agree.Version `json:"acts"`    // on
	LastGood agree.Version `json:"good"`    // the last one on which it lived for long enough
	Unproven bool          `json:"young"`   // it has not lived on Acts for long enough yet
	Crashes  int           `json:"crashes"` // so often did it end young by no order
}

const (
	savedStateNote = "life"
	maxCrashes     = 2
	maxVotersAsked = 3 // voters in one renewal
)

// recall reads what was remembered.
func (m *member) load(n *Node) error {
	m.n, m.unresponsive = n, map[string]time.Duration{}
	m.registry.changed, m.leaveRequests = make(chan struct{}, 1), make(chan chan struct{})
	m.lease = &agree.Lease{OnLeaseLoss: n.opt.OnLeaseLoss}
	text, err := n.log.Value(savedStateNote)
	if err != nil || text == nil {
		return err
	}
	if err := jsoniter.Unmarshal(text, &m.saved); err != nil {
		return fmt.Errorf("damaged: what was remembered of the agreement: %w", err)
	}
	if m.saved.Unproven {
		m.saved.Crashes++
		m.save()
	}
	return nil
}

func (m *member) save() {
	text, err := jsoniter.Marshal(&m.saved)
	if err == nil {
		err = m.n.log.SetValue(savedStateNote, text)
	}
	if err != nil {
		slog.Error("agreement: what this dispatcher acts on can't be remembered", "error", err)
	}
}

// begin gives what to start on.
func (m *member) restore(n *Node) (*agree.Version, *agree.Lease) {
	v := m.saved.ActsOn
	if m.crashedTwiceOn(v.Number) {
		v = m.saved.LastGood
		slog.Warn("agreement: starting on the last good version: another brought this dispatcher down", "version", v.Number,
			"other", m.saved.ActsOn.Number, "crashes", m.saved.Crashes, "each_within", agree.TrialTime)
	}
	if v.Number == 0 {
		return nil, m.lease
	}
	m.active = v
	m.lease = &agree.Lease{Number: v.Number, Fingerprint: v.Fingerprint, OnLeaseLoss: n.opt.OnLeaseLoss}
	return &v, m.lease
}

// holdsBack tells whether a version has brought this dispatcher down twice.
func (m *member) crashedTwiceOn(number uint64) bool {
	return number != 0 && number == m.saved.ActsOn.Number && m.saved.Crashes >= maxCrashes && m.saved.LastGood.Number != 0 && m.saved.LastGood.Number != number
}
