// Package proving is a test harness that runs several dispatcher processes together. The links
// between them drop, delay and reset traffic; processes are killed, stopped and lose their disks;
// clients and fake replicas record from outside what was done; and a judge checks that record
// against the guarantees of the cluster.
//
//	script.go            the scripts of trials, as TOML
//	generate.go          scripts generated from seeds
//	play.go              runs a script
//	propose.go           proposals in a script
//	operators.go         operator commands in a script, and conditions that it waits for
//	fleet.go             the processes, their files and links
//	program.go           the program under test, run by the test binary
//	relay.go             a link with its conditions
//	traffic.go           clients and replicas, and what they record
//	instructions.go      instructions that clients repeat, and the rules for them
//	registry.go          the registry of replicas with its agents, and the rules for drains
//	cold_load.go         the rule for the load of cold replicas
//	linearizable.go      the check that the history of versions is linearizable
//	judge.go             the checks of a record
//	faults.go            faults that are injected on purpose
//	measure.go           fleets that are measured
//	measure_ledger.go    measurements of the ledger
//	measure_lists.go     measurements of replica lists and recovery
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

// Script describes one trial.
type Script struct {
	Name   string `toml:"name"`
	Seed   uint64 `toml:"seed,omitempty"`
	Voters int    `toml:"voters"`
	Others int    `toml:"others"`
	Within string `toml:"within"`
	Alone  string `toml:"alone"`
	Rate   int    `toml:"rate"` // requests per second at each dispatcher
	Fault  string `toml:"fault,omitempty"`
	Lists  bool   `toml:"lists,omitempty"` // dispatchers also agree on lists of replicas
	Steps  []Step `toml:"step"`
	// OnRequest, with Lists, has dispatchers ask the registry for lists. Otherwise it pushes them to
	// the dispatchers' agents.
	OnRequest bool `toml:"on_request,omitempty"`
	// Last is how long the steps and the traffic run. Then all faults are undone, and all
	// dispatchers must agree again.
	Last string `toml:"last"`
	// Ledger says what the ledger of instructions must survive; clients repeat instructions under
	// the same key. Empty: no ledger and no repeats; "off": repeats without a ledger.
	Ledger          string `toml:"ledger,omitempty"`
	OrderedRecovery bool   `toml:"order,omitempty"` // with Lists: dispatchers recover in stages
	PowerLoss       bool   `toml:"power,omitempty"` // a killed process loses what it had not synced
	// Standalone, with Lists, runs dispatchers without a cluster: each uses its own registry agent
	// alone.
	Standalone bool `toml:"apart,omitempty"`
	// NeedClass are dispatchers whose own configuration needs the class "instruction", so that they
	// turn down a version that renames it in services.*.name.
	NeedClass []string `toml:"picky,omitempty"`
	// Stranded are voters that end the trial with the log of an abandoned cluster: they must never
	// act again.
	Stranded []string `toml:"astray,omitempty"`
}

// Step is one event of a script. Dispatchers are named v1, v2, ... (voters) and o1, o2, ...
// (others); "leader" is the voter that leads, "reader" one of the dispatchers that read the
// registry for all others, "nonreader" one of those others, and "*" stands for all dispatchers.
type Step struct {
	At    string `toml:"at"`
	Do    string `toml:"do"`
	Who   string `toml:"who,omitempty"`
	To    string `toml:"to,omitempty"`    // for links: the other end
	Delay string `toml:"delay,omitempty"` // for delay
	Rate  int    `toml:"rate,omitempty"`  // for throttle
	// Key is the setting that propose and hup change, and Value its new value as JSON.
	Key   string `toml:"key,omitempty"`
	Value string `toml:"value,omitempty"`
	// Base, for propose and rollback, is the version that the proposal is made from or goes back
	// to. For propose, 0 means the version in force at the time.
	Base uint64 `toml:"base,omitempty"`
	// WantError is a text that the error of propose, rollback or list must contain; "?" accepts any
	// outcome. For hup it is a text that the log must contain.
	WantError string `toml:"wants,omitempty"`
}

// The kinds of steps. Who is the dispatcher of the step, To the other end of its links.
const (
	doCut        = "cut"      // drops what Who sends to To; connections stay open
	doMend       = "mend"     // undoes all faults of the links between Who and To
	doDelay      = "delay"    // delays what Who sends to To by Delay and up to half as much jitter
	doThrottle   = "throttle" // as delay, and limits it to Rate bytes per second
	doReset      = "reset"    // resets connections between Who and To and refuses new ones
	doKill       = "kill"
	doStart      = "start"
	doStop       = "stop" // sends SIGSTOP
	doCont       = "cont"
	doTerm       = "term"
	doLoseDisk   = "lose" // kills Who and deletes its cluster log
	doRemoveDisk = "away" // moves away the cluster log of Who, which is not running
	// doReturnDisk kills Who and puts the log that was moved away in place of its present one.
	doReturnDisk = "back"
	// doRebootstrap bootstraps a new cluster at Who from what all folders still have; no dispatcher
	// is running.
	doRebootstrap = "refound"
	doReplace     = "replace"  // starts Who, whose log was deleted; an operator assigns its seat to the new log
	doPropose     = "propose"  // proposes a change of a setting at Who
	doRollback    = "rollback" // proposes the content of version Base at Who
	doHup         = "hup"      // changes a value in Who's file and sends SIGHUP
	// doRegistry changes the registry and has Who's agents report the change. Value is a state of
	// the replica Key or one of the following, which registry.apply explains: "gone", "new",
	// "restart" (all replicas restart cold), "half" (all replicas whose IDs begin with Key are
	// removed), "empty", "back:N", "mute", "unmute", "again", "reborn", "many:N", "twice" and
	// "kind".
	doRegistry = "register"
	// doSurge multiplies the requests at Who by Rate from now on; the additional ones are of one
	// customer.
	doSurge         = "crowd"
	doLoseLedger    = "forget"  // kills Who and deletes its ledger
	doCopyLedger    = "copy"    // copies the ledger file of Who
	doRestoreLedger = "restore" // kills Who and replaces its ledger by that copy
	// doAcceptLedger has an operator at Who let its ledger be refilled from only one other ledger
	// holder.
	doAcceptLedger = "accept"
	// doLedgerDisk blocks Who's ledger syncs with the value "stall", makes them fail with "full",
	// and ends both with "well".
	doLedgerDisk = "disk"
	// doListOrder has an operator at Who order Value, which is drain, undrain, hold or confirm, for
	// the replica Key.
	doListOrder = "list"
	// doExpect waits until Who's status is Value, "lease" or "no lease", or its log contains the
	// text after "log:".
	doExpect = "expect"
)

var stepNames = map[string]bool{doCut: true, doMend: true, doDelay: true, doThrottle: true, doReset: true, doKill: true, doStart: true, doStop: true,
	doCont: true, doTerm: true, doLoseDisk: true, doRebootstrap: true, doReplace: true, doPropose: true, doRollback: true, doHup: true, doExpect: true,
	doRegistry: true, doSurge: true, doListOrder: true, doLoseLedger: true, doCopyLedger: true, doRestoreLedger: true, doLedgerDisk: true, doAcceptLedger: true, doRemoveDisk: true, doReturnDisk: true}

// Parse decodes a script and checks it.
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

// NamedScripts returns the scripts of the hard cases, which are built into the program.
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
		all = append(all, s.inEachMode()...)
	}
	return all, nil
}

// inEachMode returns a script that is about lists for each way in which lists come from the registry:
// pushed, and on request. Other scripts are returned as they are.
func (s Script) inEachMode() []Script {
	if !s.Lists || s.OrderedRecovery {
		return []Script{s}
	}
	onRequest := s
	onRequest.Name, onRequest.OnRequest = s.Name+"-on-request", true
	return []Script{s, onRequest}
}

// CanDetect reports whether a script could detect a fault: faults in lists, the ledger or recovery
// show only in scripts that use those.
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

// Load reads a script from a file.
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

// check validates the numbers, durations and step names of a script.
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
			return fmt.Errorf("script %s: step %d: unknown step %q", s.Name, i, p.Do)
		}
	}
	return nil
}

// String returns the script as TOML.
func (s Script) String() string {
	var b strings.Builder
	if err := toml.NewEncoder(&b).SetIndentTables(false).Encode(s); err != nil {
		return err.Error()
	}
	return b.String()
}

// duration parses a duration that check has validated; an empty text is 0.
func duration(text string) time.Duration {
	d, _ := time.ParseDuration(text) // check has validated it
	return d
}
