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
func (p *play) order(s Step, d *Dispatcher) {
	r, err := p.f.Ask(d, agreement.Command{Do: "view", ViewFilter: agreement.ViewFilter{Section: agreement.SectionSettings}})
	if err != nil || r.View == nil {
		return
	}
	c := agreement.Command{Do: s.Value, ID: s.Key, By: d.Name, Why: "trial", ForMS: length(s.Delay).Milliseconds(), Seen: r.View.Record.List.Number}
	if s.Value == "drain" && s.Wants == "" {
		p.followDrain(s.Key, true)
		p.endDrain(s.Key, p.f.Now()+length(s.Delay)) // it runs out then at the earliest
	}
	r, err = p.f.Ask(d, c)
	if err == nil && r.Error == "" && s.Value == "drain" {
		p.agreedDrain(s.Key, p.f.Now()) // an order that was acknowledged is a version of the list
	}
	switch {
	case err == nil && r.Error == "" && s.Wants != "" && s.Wants != "?":
		p.fault("%s %s at %s was taken, wanted was: %s", s.Value, s.Key, d.Name, s.Wants)
	case r.Error != "" && s.Wants != "?" && (s.Wants == "" || !strings.Contains(r.Error, s.Wants)):
		p.fault("%s %s at %s: %s", s.Value, s.Key, d.Name, r.Error)
	case r.Error == "" && s.Value == "undrain":
		p.endDrain(s.Key, p.f.Now())
	}
}

// seat gives a voter's seat to its new disk, as an operator would, until it has it.
func (p *play) seat(d *Dispatcher) {
	text := ""
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var err error
		if text, err = p.f.Run(d, "settings", "seat"); err == nil {
			return
		}
	}
	p.fault("replace %s: %s", d.Name, text)
}

// accept has a holder filled from one other, once it runs and knows that it is not whole.
func (p *play) accept(d *Dispatcher) {
	text := ""
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := p.f.Ask(d, agreement.Command{Do: program.LedgerAccept, By: "trial", Why: "two disks are lost"})
		if err == nil && r.Error == "" {
			return
		}
		text = fmt.Sprint(err, r.Error)
	}
	p.fault("accept at %s: %s", d.Name, text)
}

// hup changes a dispatcher's file and sends SIGHUP; the log must name the key.
func (p *play) hup(s Step, d *Dispatcher) {
	before := d.file["settings"].(map[string]any)
	next, err := change(before, s.Key, s.Value)
	if err != nil {
		p.fault("hup: %v", err)
		return
	}
	d.file["settings"] = next
	err = d.write()
	p.f.Signal(d, syscall.SIGHUP)
	if s.Wants != "" && err == nil {
		err = p.f.awaitLog(d, s.Wants)
	}
	d.file["settings"] = before
	if err != nil {
		p.fault("hup %s: %v", d.Name, err)
	}
}

func (f *Fleet) awaitLog(d *Dispatcher, words string) error {
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		text, err := os.ReadFile(filepath.Join(f.folder, d.Name+".log"))
		if err != nil {
			return err
		}
		if strings.Contains(string(text), words) {
			return nil
		}
	}
	return fmt.Errorf("its log never says %q", words)
}

// expect waits until a dispatcher's own view holds a word of the script.
func (p *play) expect(s Step, d *Dispatcher) {
	if words, ok := strings.CutPrefix(s.Value, "log:"); ok {
		if err := p.f.awaitLog(d, words); err != nil {
			p.fault("%s: %v", d.Name, err)
		}
		return
	}
	for end := time.Now().Add(generous); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r, err := p.f.Ask(d, agreement.Command{Do: "own"}); err == nil && r.Status != nil {
			lease := r.Status.LeaseMS > 0
			if s.Value == "lease" && lease || s.Value == "no lease" && !lease {
				return
			}
		}
	}
	p.fault("%s never has: %s", d.Name, s.Value)
}
