// Package proving is the ground on which several processes of the real program are tried together: links between them that
// lose, delay and cut what is said, processes that are killed, stopped and lose their disk, clients and stand-in replicas
// that record what was done from outside, and a judge that holds the record against the promise.
//
//	script.go   what happens, as TOML
//	draw.go     scripts from seeds
//	relay.go    a link with its weather
//	fleet.go    the processes, their files and links
//	traffic.go  clients and replicas, and what they record
//	subject.go  the program that is tried, as a part of the tests
//	play.go     carries a script out
//	propose.go  the proposals in it
//	operators.go what operators do in it, and what it waits for
//	register.go the history of versions as a register
//	register_list.go the register of replicas with its agents
//	faults.go   faults put in on purpose
//	measure.go  fleets that are measured
//	cold.go     the rule on cold replicas
//	orders.go   instructions that clients repeat, and what must become of them
//	judge.go    the promise, over the record alone
package proving

import (
	"bytes"
	"embed"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Script is one trial.
type Script struct {
	Name            string `toml:"name"`
	Seed            uint64 `toml:"seed,omitempty"`
	Voters          int    `toml:"voters"`
	Others          int    `toml:"others"`
	Within          string `toml:"within"`
	Alone           string `toml:"alone"`
	Rate            int    `toml:"rate"` // requests a second at each dispatcher
	Fault           string `toml:"fault,omitempty"`
	Lists           bool   `toml:"lists,omitempty"` // dispatchers agree on lists of replicas too
	Steps           []Step `toml:"step"`
	Last            string `toml:"last"`             // how long the trial goes on after its start; then all is mended and must agree again
	Ledger          string `toml:"ledger,omitempty"` // dispatchers remember instructions together, and that survives this; clients repeat
	OrderedRecovery bool   `toml:"order,omitempty"`  // with Lists: dispatchers come back in stages
	PowerLoss       bool   `toml:"power,omitempty"`  // whoever is killed loses what was not synced
	Standalone      bool   `toml:"apart,omitempty"`  // with Lists: no agreement at all, each goes by its own register
	// Dispatchers that turn down what moves services.*.name away from "instruction", as their own file needs it.
	NeedClass []string `toml:"picky,omitempty"`
	// Voters that come back in the end with the log of a cluster that was given up: they may never act again.
	Stranded []string `toml:"astray,omitempty"`
}

// Step is one thing that happens. Dispatchers are v1, v2, ... and o1, o2, ...; "leader" is the voter that leads, "*" all.
type Step struct {
	At        string `toml:"at"`
	Do        string `toml:"do"`
	Who       string `toml:"who,omitempty"`
	To        string `toml:"to,omitempty"`    // for links: the other side
	Delay     string `toml:"delay,omitempty"` // for delay
	Rate      int    `toml:"rate,omitempty"`  // for throttle
	Key       string `toml:"key,omitempty"`   // for propose and hup: the setting that changes ...
	Value     string `toml:"value,omitempty"` // ... and its value as JSON
	Base      uint64 `toml:"base,omitempty"`  // for propose: 0 is the version in force by then
	WantError string `toml:"wants,omitempty"` // for propose, hup, rollback: "refused" with this word in the error, or any if "?"
}

// The steps.
const (
	doCut         = "cut"      // what Who sends does not get to To; connections stay open
	doMend        = "mend"     // all is well between Who and To
	doDelay       = "delay"    // what Who sends to To comes later by Delay and half as much jitter
	doThrottle    = "throttle" // ... and at Rate bytes a second
	doReset       = "reset"    // connections between Who and To break, and new ones are refused
	doKill        = "kill"
	doStart       = "start"
	doStop        = "stop" // SIGSTOP
	doCont        = "cont"
	doTerm        = "term"
	doLoseDisk    = "lose"     // kills it and takes its disk away
	doRemoveDisk  = "away"     // takes its disk away; it does not run
	doReturnDisk  = "back"     // kills it and puts that disk in the place of what it has by now
	doRebootstrap = "refound"  // makes a new cluster at Who of what all folders still know; nobody runs
	doReplace     = "replace"  // starts it with an empty disk, to which its seat is given on
	doPropose     = "propose"  // at Who
	doRollback    = "rollback" // at Who, to version Base
	doHup         = "hup"      // Who's file gets another value, and SIGHUP
	doRegistry    = "register" // the register changes, and the agents of Who hear of it: Value is a state of the replica Key, "gone",
	// "new", "restart" (all come back cold), "half" (all whose names begin with Key go), "empty", "back:N", "mute", "unmute" or "again"
	doSurge         = "crowd"   // Rate times as many requests come at Who from now on; those that are more are of one customer
	doLoseLedger    = "forget"  // kills it and takes its ledger away
	doCopyLedger    = "copy"    // keeps a copy of its ledger's file ...
	doRestoreLedger = "restore" // ... and kills it and puts that in the place of what it has by now
	doAcceptLedger  = "accept"  // an operator at Who has its ledger filled from one other
	doLedgerDisk    = "disk"    // Value: stall or full holds up Who's syncs or has them fail, well ends that
	doListOrder     = "list"    // an operator at Who: Value is drain, undrain, hold or confirm, Key the replica
	doExpect        = "expect"  // waits until Who's status has Value, generously
)

var stepNames = map[string]bool{doCut: true, doMend: true, doDelay: true, doThrottle: true, doReset: true, doKill: true, doStart: true, doStop: true,
	doCont: true, doTerm: true, doLoseDisk: true, doRebootstrap: true, doReplace: true, doPropose: true, doRollback: true, doHup: true, doExpect: true,
	doRegistry: true, doSurge: true, doListOrder: true, doLoseLedger: true, doCopyLedger: true, doRestoreLedger: true, doLedgerDisk: true, doAcceptLedger: true, doRemoveDisk: true, doReturnDisk: true}

// Parse reads a script and checks it.
func Parse(text []byte) (Script, error) {
	var s Script
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("script: %w", err)
	}
	return s, s.check()
}

//go:embed scripts/*.toml
var scriptFiles embed.FS

// Named gives the scripts of the hard cases.
func NamedScripts() ([]Script, error) {
	files, err := fs.Glob(scriptFiles, "scripts/*.toml")
	if err != nil {
		return nil, err
	}
	var all []Script
	for _, file := range files {
		text, err := scriptFiles.ReadFile(file)
		if err != nil {
			return nil, err
		}
		s, err := Parse(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		all = append(all, s)
	}
	return all, nil
}

// For tells whether a script could find a fault: one about lists or the ledger needs those.
func (s Script) CanDetect(fault string) bool {
	switch {
	case strings.HasPrefix(fault, "list-"):
		return s.Lists
	case strings.HasPrefix(fault, "ledger-"):
		return s.Ledger != ""
	case strings.HasPrefix(fault, "recovery-"):
		return s.OrderedRecovery
	}
	return s.Ledger == ""
}

// Load reads a script's file.
func Load(path string) (Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Script{}, err
	}
	s, err := Parse(text)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s *Script) check() error {
	if s.Voters != 3 && s.Voters != 5 {
		return fmt.Errorf("script %s: voters must be 3 or 5", s.Name)
	}
	for _, d := range []string{s.Within, s.Last} {
		if _, err := time.ParseDuration(d); err != nil {
			return fmt.Errorf("script %s: %w", s.Name, err)
		}
	}
	for i, p := range s.Steps {
		_, err := time.ParseDuration(p.At)
		if err == nil && p.Delay != "" {
			_, err = time.ParseDuration(p.Delay)
		}
		if err != nil {
			return fmt.Errorf("script %s: step %d: %w", s.Name, i, err)
		}
		if !stepNames[p.Do] {
			return fmt.Errorf("script %s: step %d: %q is not known", s.Name, i, p.Do)
		}
	}
	return nil
}

// String is the script as TOML.
func (s Script) String() string {
	var b strings.Builder
	if err := toml.NewEncoder(&b).SetIndentTables(false).Encode(s); err != nil {
		return err.Error()
	}
	return b.String()
}

func duration(text string) time.Duration {
	d, _ := time.ParseDuration(text) // check has seen to it
	return d
}
