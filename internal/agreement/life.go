package agreement

import (
	"fmt"
	"log/slog"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/agree"
)

// life is what a dispatcher remembers over its end.
type life struct {
	Acts    agree.Version `json:"acts"`    // on
	Good    agree.Version `json:"good"`    // the last one on which it lived for long enough
	Young   bool          `json:"young"`   // it has not lived on Acts for long enough yet
	Crashes int           `json:"crashes"` // so often did it end young by no order
}

const (
	lifeNote   = "life"
	crashesTwo = 2
	askedMost  = 3 // voters in one renewal
)

// recall reads what was remembered.
func (m *member) recall(n *Node) error {
	m.n, m.silent = n, map[string]time.Duration{}
	m.register.news, m.leaves = make(chan struct{}, 1), make(chan chan struct{})
	m.lease = &agree.Lease{OnLeaseLoss: n.opt.OnLeaseLoss}
	text, err := n.log.Value(lifeNote)
	if err != nil || text == nil {
		return err
	}
	if err := jsoniter.Unmarshal(text, &m.life); err != nil {
		return fmt.Errorf("damaged: what was remembered of the agreement: %w", err)
	}
	if m.life.Young {
		m.life.Crashes++
		m.remember()
	}
	return nil
}

func (m *member) remember() {
	text, err := jsoniter.Marshal(&m.life)
	if err == nil {
		err = m.n.log.SetValue(lifeNote, text)
	}
	if err != nil {
		slog.Error("agreement: what this dispatcher acts on can't be remembered", "error", err)
	}
}

// begin gives what to start on.
func (m *member) begin(n *Node) (*agree.Version, *agree.Lease) {
	v := m.life.Acts
	if m.holdsBack(v.Number) {
		v = m.life.Good
		slog.Warn("agreement: starting on the last good version: another brought this dispatcher down", "version", v.Number,
			"other", m.life.Acts.Number, "crashes", m.life.Crashes, "each_within", agree.TrialTime)
	}
	if v.Number == 0 {
		return nil, m.lease
	}
	m.holds = v
	m.lease = &agree.Lease{Number: v.Number, Fingerprint: v.Fingerprint, OnLeaseLoss: n.opt.OnLeaseLoss}
	return &v, m.lease
}

// holdsBack tells whether a version has brought this dispatcher down twice.
func (m *member) holdsBack(number uint64) bool {
	return number != 0 && number == m.life.Acts.Number && m.life.Crashes >= crashesTwo && m.life.Good.Number != 0 && m.life.Good.Number != number
}
