package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// Configurations in a row: files that change the chat object, discovery and classes in turn, each
// with a SIGHUP, faster than the requests of the one before end.

// reconfiguration is a series of configurations for one dispatcher.
type reconfiguration struct {
	At     time.Duration // of the first, since the start of the run
	Target int           // selects the dispatcher
	Pause  time.Duration // between two of them
}

func (c reconfiguration) String() string {
	return fmt.Sprintf("%.3f configurations in a row %d, %.2f s apart", c.At.Seconds(), c.Target, c.Pause.Seconds())
}

const (
	// reconfigurationStream selects the random numbers of reconfigurations, which are drawn apart from
	// those of the faults.
	reconfigurationStream = 0xc0f1
	reconfigurationEvery  = 3 * time.Second // on average
	reconfigurationPause  = 900 * time.Millisecond
	// oldDiscoveryStays is how long a discovery address that was replaced keeps its open connections.
	oldDiscoveryStays = 1500 * time.Millisecond
)

// reconfigurations draws the series of a run.
func reconfigurations(seed uint64, length time.Duration) (series []reconfiguration) {
	draw := rand.New(rand.NewPCG(seed, reconfigurationStream))
	for at := time.Second; at < length; at += time.Duration((0.5 + draw.Float64()) * float64(reconfigurationEvery)) {
		series = append(series, reconfiguration{At: at, Target: draw.IntN(1 << 16), Pause: time.Duration(draw.Float64() * float64(reconfigurationPause))})
	}
	return series
}

// reconfigure replaces the configuration of a dispatcher three times in a row. No key of the file
// before is lost.
func (r *run) reconfigure(c reconfiguration) {
	d := r.dispatchers[c.Target%len(r.dispatchers)]
	d.fileMu.Lock()
	defer d.fileMu.Unlock()
	for _, change := range []func(d *dispatcher, file map[string]any) error{r.changeChat, r.moveDiscovery, addClass} {
		if err := d.edit(change); err != nil {
			r.addProblem("%s: %v", d.name, err)
			return
		}
		d.signal(syscall.SIGHUP)
		time.Sleep(c.Pause)
	}
}

// edit changes the configuration file. The caller holds fileMu.
func (d *dispatcher) edit(change func(*dispatcher, map[string]any) error) error {
	text, err := os.ReadFile(d.file)
	if err != nil {
		return err
	}
	var file map[string]any
	if err := jsoniter.Unmarshal(text, &file); err != nil {
		return err
	}
	if err := change(d, file); err != nil {
		return err
	}
	if text, err = jsoniter.Marshal(file); err != nil {
		return err
	}
	return os.WriteFile(d.file, text, 0o600)
}

// changeChat adds a chat API at a new address, with one more model each time.
func (r *run) changeChat(_ *dispatcher, file map[string]any) error {
	models := map[string]any{}
	if chat, ok := file["chat"].(map[string]any); ok {
		models = chat["models"].(map[string]any)
	}
	models[fmt.Sprintf("model-%d", len(models))] = r.scenario.Classes[0].Name
	file["chat"] = map[string]any{"listen": r.addr(), "models": models, "max_output": 400}
	return nil
}

// moveDiscovery moves discovery to another address. The one before accepts no more connections, and
// ends the open ones some time later.
func (r *run) moveDiscovery(d *dispatcher, file map[string]any) error {
	next, err := NewLink(r.addr(), d.agent.Addr)
	if err != nil {
		return err
	}
	file["discovery"] = next.Addr
	if previous := d.discovery; previous != nil {
		previous.SetNew(Reset)
		time.AfterFunc(oldDiscoveryStays, previous.Close)
	}
	d.discovery = next
	return nil
}

// addClass adds a class that no client names.
func addClass(_ *dispatcher, file map[string]any) error {
	settings := file["settings"].(map[string]any)
	services := settings["services"].([]any)
	class := map[string]any{}
	for key, value := range services[0].(map[string]any) {
		class[key] = value
	}
	class["name"] = fmt.Sprintf("extra-%d", len(services))
	settings["services"] = append(services, class)
	return nil
}
