package program

import (
	"sync/atomic"
	"time"

	"standpulley/internal/appliance"
	"standpulley/internal/config"
)

// reloadRequest asks the main goroutine of the program to apply a configuration.
type reloadRequest struct {
	cfg   config.Config
	reply chan error
}

// applianceConsole serves the console commands of an appliance.
type applianceConsole struct {
	dir     appliance.Dir
	since   time.Time
	reloads chan reloadRequest
	state   chan chan appliance.Reply
	done    chan struct{}
	// Set once the cluster node runs; nil if dispatchers do not agree on settings.
	agreement atomic.Pointer[agreementAdapter]
}

// State asks the main goroutine of the program for the state of the present stack.
func (m *applianceConsole) State() appliance.Reply {
	q := make(chan appliance.Reply, 1)
	select {
	case m.state <- q:
		return <-q
	case <-m.done:
		return appliance.Reply{Error: "the program is at its end"}
	}
}

// Reload applies the configuration in force in the state folder.
func (m *applianceConsole) Reload() error {
	cfg, err := m.dir.Load()
	if err != nil {
		return err
	}
	r := reloadRequest{cfg, make(chan error, 1)}
	select {
	case m.reloads <- r:
		return <-r.reply
	case <-m.done:
		return nil // the next start reads it
	}
}

// Settings answers a command about the agreed settings.
func (m *applianceConsole) Settings(text []byte) []byte {
	a := m.agreement.Load()
	if a == nil {
		return []byte(`{"error":"dispatchers do not agree on settings here: the file in force has no agree, or the program is just starting"}`)
	}
	return a.runCommand(text)
}

// RunAppliance serves the configuration in force in a state folder.
func RunAppliance(dir appliance.Dir) error {
	ln, err := dir.Listen()
	if err != nil {
		return err
	}
	m := &applianceConsole{dir: dir, since: time.Now(), reloads: make(chan reloadRequest), state: make(chan chan appliance.Reply), done: make(chan struct{})}
	defer close(m.done)
	defer ln.Close()
	go appliance.Serve(ln, m)
	return serve(dir.Load, m)
}
