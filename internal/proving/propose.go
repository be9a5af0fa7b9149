package proving

import (
	"fmt"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/cluster"
	"standpulley/internal/clusterstate"
	"standpulley/internal/config"
)

// changeSetting returns a copy of the settings with one key changed.
func changeSetting(settings map[string]any, key, value string) (map[string]any, error) {
	text, err := jsoniter.Marshal(settings)
	if err != nil {
		return nil, err
	}
	var all map[string]any
	if err := jsoniter.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	var v any
	if value == "large" {
		v = strings.Repeat("x", 1<<20)
	} else if err := jsoniter.UnmarshalFromString(value, &v); err != nil {
		return nil, fmt.Errorf("%q: %w", value, err)
	}
	var at any = all
	parts := strings.Split(key, ".")
	for _, part := range parts[:len(parts)-1] {
		switch x := at.(type) {
		case map[string]any:
			if x[part] == nil {
				x[part] = map[string]any{}
			}
			at = x[part]
		case []any:
			at = x[part[0]-'0']
		}
	}
	m, ok := at.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s is not the key of a setting", key)
	}
	m[parts[len(parts)-1]] = v
	return all, nil
}

// propose proposes a change to the version in force at the time, or to version Base, and waits for
// the outcome. If another proposal is in progress it tries again, unless any outcome is accepted.
func (p *play) propose(s Step, d *Dispatcher) {
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !d.Running() || d.stopped.Load() || !p.tryPropose(s, d) {
			return // the dispatcher is down, or the proposal is done
		}
	}
	p.problemf("propose %s=%s at %s: other proposals were in progress until the time limit", s.Key, s.Value, d.Name)
}

// buildCommand makes the command of a proposal from the settings record.
func buildCommand(s Step, d *Dispatcher, view *cluster.View) (c cluster.Command, err error) {
	c = cluster.Command{Do: "propose", Base: view.Record.InForceNumber, By: d.Name}
	if s.Do == doRollback {
		if v := view.Record.Version(s.Base); v != nil {
			c.Content, c.RollbackTo = v.Content, s.Base
			return c, nil
		}
		return c, fmt.Errorf("version %d is no longer kept", s.Base)
	}
	if s.Base != 0 {
		c.Base = s.Base
	}
	c.Content, err = editContent(view.Record.InForce().Content, s.Key, s.Value)
	return c, err
}

// tryPropose makes one proposal and reports whether to try again.
func (p *play) tryPropose(s Step, d *Dispatcher) (again bool) {
	view, err := p.view(d)
	if err != nil {
		// the version in force can't be read now, so there is nothing to propose a change to
		return s.WantError != "?"
	}
	c, err := buildCommand(s, d, view)
	if err != nil {
		p.problemf("propose: %v", err)
		return false
	}
	op := Operation{Call: p.fleet.Now(), Base: c.Base, Kind: "propose", Dispatcher: d.Name}
	r, err := p.fleet.SendCommand(d, c)
	// conflict with another proposal
	conflict := strings.Contains(r.Error, "is under way") || strings.Contains(r.Error, "in force since")
	switch {
	case err != nil || strings.HasPrefix(r.Error, cluster.ErrOutcomeUnknown.Error()):
		op.Unknown = true
		p.recordOperation(op)
	case r.Error == "":
		p.waitDecided(d, r.Number, op, s)
	case s.WantError == "?" || s.WantError != "" && strings.Contains(r.Error, s.WantError):
	case conflict:
		return true
	default:
		p.problemf("propose %s=%s at %s: %s", s.Key, s.Value, d.Name, r.Error)
	}
	return false
}

// waitDecided waits until a recorded version is in force, turned down or withdrawn.
func (p *play) waitDecided(d *Dispatcher, number uint64, op Operation, s Step) {
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !d.Running() {
			break
		}
		view, err := p.view(d)
		if err != nil {
			continue
		}
		v := view.Record.Version(number)
		if v == nil {
			p.problemf("version %d was recorded but is missing", number)
			return
		}
		switch v.State {
		case clusterstate.InForce, clusterstate.Superseded:
			now := p.fleet.Now()
			p.mu.Lock()
			if _, ok := p.acknowledgedAt[number]; !ok {
				p.acknowledgedAt[number] = now
			}
			p.mu.Unlock()
			op.Return, op.Number = now, number
			p.recordOperation(op)
			if s.WantError != "" && s.WantError != "?" {
				p.problemf("version %d (%s=%s) is in force, expected the error: %s", number, s.Key, s.Value, s.WantError)
			}
			return
		case clusterstate.TurnedDown, clusterstate.Withdrawn:
			if s.WantError == "" {
				p.problemf("version %d (%s=%s): %s by %s: %v", number, s.Key, s.Value, v.State, v.Member, v.Fault)
			} else if s.WantError != "?" && v.Fault != nil && !strings.Contains(v.Fault.Error(), s.WantError) {
				p.problemf("version %d: turned down because of %v, expected the error: %s", number, v.Fault, s.WantError)
			}
			return
		}
	}
	op.Unknown = true
	p.recordOperation(op)
}

// editContent returns the content of a version with one key changed.
func editContent(content, key, value string) (string, error) {
	var all map[string]any
	if err := jsoniter.UnmarshalFromString(content, &all); err != nil {
		return "", err
	}
	all, err := changeSetting(all, key, value)
	if err != nil {
		return "", err
	}
	text, err := jsoniter.Marshal(all)
	if err != nil {
		return "", err
	}
	return config.ReadContent(text)
}
