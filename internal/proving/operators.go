package proving

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"standpulley/internal/cluster"
	"standpulley/internal/program"
)

// changeList sends an operator's order about the list of replicas, which the operator reads first.
func (p *play) changeList(s Step, d *Dispatcher) {
	r, err := p.fleet.SendCommand(d, cluster.Command{Do: "view", ViewFilter: cluster.ViewFilter{Section: cluster.SectionSettings}})
	if err != nil || r.View == nil {
		return
	}
	c := cluster.Command{Do: s.Value, ID: s.Key, By: d.Name, Why: "trial", ForMS: duration(s.Delay).Milliseconds(), Seen: r.View.Record.List.Number}
	if s.Value == "drain" && s.WantError == "" {
		p.watchDrain(s.Key, true)
		p.markDrainEnd(s.Key, p.fleet.Now()+duration(s.Delay)) // the order expires then at the earliest
	}
	r, err = p.fleet.SendCommand(d, c)
	if err == nil && r.Error == "" && s.Value == "drain" {
		p.markDrainAgreed(s.Key, p.fleet.Now()) // an acknowledged order is part of a version of the list
	}
	switch {
	case err == nil && r.Error == "" && s.WantError != "" && s.WantError != "?":
		p.problemf("%s %s at %s was accepted, expected the error: %s", s.Value, s.Key, d.Name, s.WantError)
	case r.Error != "" && s.WantError != "?" && (s.WantError == "" || !strings.Contains(r.Error, s.WantError)):
		p.problemf("%s %s at %s: %s", s.Value, s.Key, d.Name, r.Error)
	case r.Error == "" && s.Value == "undrain":
		p.markDrainEnd(s.Key, p.fleet.Now())
	}
}

// assignSeat assigns a voter's seat to its new log, as an operator would, and repeats that until it
// succeeds.
func (p *play) assignSeat(d *Dispatcher) {
	text := ""
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var err error
		if text, err = p.fleet.Run(d, "settings", "seat"); err == nil {
			return
		}
	}
	p.problemf("replace %s: %s", d.Name, text)
}

// acceptLedger lets a ledger be refilled from only one other holder, and repeats the command until
// the dispatcher runs and knows that its ledger is incomplete.
func (p *play) acceptLedger(d *Dispatcher) {
	text := ""
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := p.fleet.SendCommand(d, cluster.Command{Do: program.LedgerAccept, By: "trial", Why: "two disks are lost"})
		if err == nil && r.Error == "" {
			return
		}
		text = fmt.Sprint(err, r.Error)
	}
	p.problemf("accept at %s: %s", d.Name, text)
}

// changeFileAndReload changes a setting in a dispatcher's file and sends SIGHUP. If the step wants a
// text, it waits until the log contains it. The settings in d.config are then restored; the file
// keeps the change until it is written again.
func (p *play) changeFileAndReload(s Step, d *Dispatcher) {
	before := d.config["settings"].(map[string]any)
	next, err := changeSetting(before, s.Key, s.Value)
	if err != nil {
		p.problemf("hup: %v", err)
		return
	}
	d.config["settings"] = next
	err = d.writeConfig()
	p.fleet.Signal(d, syscall.SIGHUP)
	if s.WantError != "" && err == nil {
		err = p.fleet.waitLog(d, s.WantError)
	}
	d.config["settings"] = before
	if err != nil {
		p.problemf("hup %s: %v", d.Name, err)
	}
}

// waitLog waits until a dispatcher's log contains a text.
func (f *Fleet) waitLog(d *Dispatcher, text string) error {
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		log, err := os.ReadFile(filepath.Join(f.folder, d.Name+".log"))
		if err != nil {
			return err
		}
		if strings.Contains(string(log), text) {
			return nil
		}
	}
	return fmt.Errorf("its log does not contain %q", text)
}

// expect waits until a dispatcher has the status that the step names, or its log contains the text.
func (p *play) expect(s Step, d *Dispatcher) {
	if text, ok := strings.CutPrefix(s.Value, "log:"); ok {
		if err := p.fleet.waitLog(d, text); err != nil {
			p.problemf("%s: %v", d.Name, err)
		}
		return
	}
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r, err := p.fleet.SendCommand(d, cluster.Command{Do: "own"}); err == nil && r.Status != nil {
			lease := r.Status.LeaseMS > 0
			if s.Value == "lease" && lease || s.Value == "no lease" && !lease {
				return
			}
		}
	}
	p.problemf("%s did not reach the status: %s", d.Name, s.Value)
}
