package proving

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"standpulley/internal/agreement"
	"standpulley/internal/program"
)

// order is what an operator does to the list; he sees the list first.
func (p *play) changeList(s Step, d *Dispatcher) {
	r, err := p.fleet.SendCommand(d, agreement.Command{Do: "view", ViewFilter: agreement.ViewFilter{Section: agreement.SectionSettings}})
	if err != nil || r.View == nil {
		return
	}
	c := agreement.Command{Do: s.Value, ID: s.Key, By: d.Name, Why: "trial", ForMS: duration(s.Delay).Milliseconds(), Seen: r.View.Record.List.Number}
	if s.Value == "drain" && s.WantError == "" {
		p.watchDrain(s.Key, true)
		p.markDrainEnd(s.Key, p.fleet.Now()+duration(s.Delay)) // it runs out then at the earliest
	}
	r, err = p.fleet.SendCommand(d, c)
	if err == nil && r.Error == "" && s.Value == "drain" {
		p.markDrainAgreed(s.Key, p.fleet.Now()) // an order that was acknowledged is a version of the list
	}
	switch {
	case err == nil && r.Error == "" && s.WantError != "" && s.WantError != "?":
		p.problemf("%s %s at %s was taken, wanted was: %s", s.Value, s.Key, d.Name, s.WantError)
	case r.Error != "" && s.WantError != "?" && (s.WantError == "" || !strings.Contains(r.Error, s.WantError)):
		p.problemf("%s %s at %s: %s", s.Value, s.Key, d.Name, r.Error)
	case r.Error == "" && s.Value == "undrain":
		p.markDrainEnd(s.Key, p.fleet.Now())
	}
}

// seat gives a voter's seat to its new disk, as an operator would, until it has it.
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

// accept has a holder filled from one other, once it runs and knows that it is not whole.
func (p *play) acceptLedger(d *Dispatcher) {
	text := ""
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := p.fleet.SendCommand(d, agreement.Command{Do: program.LedgerAccept, By: "trial", Why: "two disks are lost"})
		if err == nil && r.Error == "" {
			return
		}
		text = fmt.Sprint(err, r.Error)
	}
	p.problemf("accept at %s: %s", d.Name, text)
}

// hup changes a dispatcher's file and sends SIGHUP; the log must name the key.
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
	return fmt.Errorf("its log never says %q", text)
}

// expect waits until a dispatcher's own view holds a word of the script.
func (p *play) expect(s Step, d *Dispatcher) {
	if text, ok := strings.CutPrefix(s.Value, "log:"); ok {
		if err := p.fleet.waitLog(d, text); err != nil {
			p.problemf("%s: %v", d.Name, err)
		}
		return
	}
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r, err := p.fleet.SendCommand(d, agreement.Command{Do: "own"}); err == nil && r.Status != nil {
			lease := r.Status.LeaseMS > 0
			if s.Value == "lease" && lease || s.Value == "no lease" && !lease {
				return
			}
		}
	}
	p.problemf("%s never has: %s", d.Name, s.Value)
}
