// Command proving runs several dispatcher processes together, injects faults into the links between
// them and into the processes, and judges from outside whether the rules were kept.
package main

import (
	"errors"
	"fmt"
	"log"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"

	"standpulley/internal/proving"
	"standpulley/internal/soak"
)

type cli struct {
	Binary string `default:"bin/standpulley" help:"The program that is tried."`
	Keep   string `placeholder:"DIR" help:"Keep scripts, logs and files of trials that found something."`

	Play    playCmd          `cmd:"" help:"Play scripts."`
	Seeds   seedsCmd         `cmd:"" help:"Play the scripts of seeds FROM to TO."`
	Draw    drawCmd          `cmd:"" help:"Print the script of a seed."`
	Measure measureCmd       `cmd:"" help:"Measure: from a proposal to all, at rest, alone, with many members."`
	Lists   listsCmd         `cmd:"" help:"Measure lists of replicas: lag, load of the register, worth, beside dispatchers that go by their own registers."`
	Back    backCmd          `cmd:"" help:"Measure the return from a loss of power: worth served second by second, as before and with the stages."`
	Ledger  ledgerMeasureCmd `cmd:"" help:"Measure the ledger: what intents wait by mode and rate, and how long one of a million entries takes to open."`
	Soak    soakCmd          `cmd:"" help:"Play seeds of overlapping faults on real dispatchers and replicas, and judge what clients and replicas saw."`
	Scale   scaleCmd         `cmd:"" help:"Play one dispatcher before a fleet of the usual size and before a large one, with replicas replaced and a zone silent, and hold what it needs against the bounds."`
	Faults  faultsCmd        `cmd:"" help:"Put in each fault on purpose and count the seeds until it is found."`
}

// dispatcherEnv is the environment variable that makes this program run as a dispatcher with an
// injected fault.
const dispatcherEnv = "PROVING_AS_DISPATCHER"

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if os.Getenv(dispatcherEnv) != "" {
		if err := proving.RunDispatcher(os.Args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if text := os.Getenv(soak.ReplicaEnv); text != "" {
		if err := soak.RunReplica(text); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	var c cli
	k := kong.Parse(&c, kong.Description("Trials of several dispatchers together, on loopback addresses."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run(&c))
}

// program returns the program that a script is played with.
func (c *cli) program(s proving.Script) (proving.Program, error) {
	if s.Fault == "" && !s.PowerLoss {
		path, err := filepath.Abs(c.Binary)
		return proving.Program{Path: path}, err
	}
	if _, ok := proving.Faults[s.Fault]; !ok && s.Fault != "" {
		return proving.Program{}, fmt.Errorf("no such fault: %s", s.Fault)
	}
	self, err := os.Executable()
	return proving.Program{Path: self, Env: []string{dispatcherEnv + "=1"}}, err
}

// playWithRetry plays one script and judges the record. If the fleet does not start, because
// another process took one of its ports, it tries once more.
func (c *cli) playWithRetry(s proving.Script) (proving.Judgement, error) {
	j, err := c.play(s)
	if errors.Is(err, proving.ErrStart) && s.Fault == "" {
		j, err = c.play(s)
	}
	return j, err
}

func (c *cli) play(s proving.Script) (proving.Judgement, error) {
	program, err := c.program(s)
	if err != nil {
		return proving.Judgement{}, err
	}
	folder, err := os.MkdirTemp("", "proving-")
	if err != nil {
		return proving.Judgement{}, err
	}
	record, history, err := proving.Play(s, program, folder)
	if err != nil {
		return proving.Judgement{}, fmt.Errorf("%s: %w (its files: %s)", s.Name, err, folder)
	}
	j := proving.Judge(record)
	if !proving.IsLinearizable(history) {
		j.Findings = append(j.Findings, proving.Finding{Rule: "register", Text: "the proposals and reads are not linearizable"})
	}
	if len(j.Findings) > 0 && c.Keep != "" {
		to := filepath.Join(c.Keep, s.Name)
		if err := os.MkdirAll(c.Keep, 0o755); err != nil {
			return j, err
		}
		_ = os.RemoveAll(to) // left by an earlier trial
		if err := os.Rename(folder, to); err != nil {
			return j, err
		}
		return j, os.WriteFile(filepath.Join(to, "script.toml"), []byte(s.String()), 0o644)
	}
	return j, os.RemoveAll(folder)
}

func printJudgement(s proving.Script, j proving.Judgement) {
	fmt.Printf("%-28s acts %6d  served %5d  refused %5d  failed %4d  unheard %4d  longest contradiction %v of %s  cold %.2f\n", s.Name, j.Actions, j.Served, j.Refused,
		j.Failed, j.Unanswered, j.LongestContradiction.Round(time.Millisecond), s.Within, j.PeakColdLoad)
	if j.Instructions.Sent > 0 {
		fmt.Printf("  %v\n", j.Instructions)
	}
	for _, f := range j.Findings {
		fmt.Printf("  %s\n", f)
	}
}

var errViolation = errors.New("rules were violated")

type playCmd struct {
	Files []string `arg:"" help:"Scripts."`
}

func (p playCmd) Run(c *cli) error {
	found := false
	for _, file := range p.Files {
		s, err := proving.Load(file)
		if err != nil {
			return err
		}
		j, err := c.playWithRetry(s)
		if err != nil {
			return err
		}
		printJudgement(s, j)
		found = found || len(j.Findings) > 0
	}
	if found {
		return errViolation
	}
	return nil
}

// scriptOptions are the flags that scripts are generated from.
type scriptOptions struct {
	Voters int           `default:"5" help:"Dispatchers that vote."`
	Others int           `default:"10" help:"Further ones."`
	Within time.Duration `default:"1s" help:"The promise's time."`
	Lists  bool          `help:"Dispatchers agree on lists of replicas too, and the register has troubles of its own."`
	Ledger string        `placeholder:"MODE" help:"Dispatchers remember instructions together, which survives MODE (process, site, disk); clients repeat and power goes."`
	Order  bool          `help:"All lose power together and come back in stages, in any order. Needs --ledger."`
	Fault  string        `help:"A fault to put in on purpose."`
}

func (s scriptOptions) generate(seed uint64) proving.Script {
	script := proving.Generate(seed, proving.GeneratorOptions{Voters: s.Voters, Others: s.Others, Within: s.Within, Lists: s.Lists, Ledger: s.Ledger, OrderedRecovery: s.Order})
	script.Fault = s.Fault
	return script
}

type drawCmd struct {
	scriptOptions
	Seed uint64 `arg:""`
}

func (d drawCmd) Run(*cli) error {
	fmt.Print(d.generate(d.Seed))
	return nil
}

type seedsCmd struct {
	scriptOptions
	From     uint64 `arg:""`
	To       uint64 `arg:""`
	Parallel int    `default:"2" help:"Trials at once."`
}

func (s seedsCmd) Run(c *cli) error {
	bar := progressbar.NewOptions64(int64(s.To-s.From+1), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true))
	var mu sync.Mutex
	var all proving.Judgement
	bins := make([]int, 11) // of the longest contradiction, in tenths of Within
	found, broken := 0, 0
	slots := make(chan struct{}, max(s.Parallel, 1))
	var work sync.WaitGroup
	for seed := s.From; seed <= s.To; seed++ {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			script := s.generate(seed)
			j, err := c.playWithRetry(script)
			mu.Lock()
			defer mu.Unlock()
			_ = bar.Add(1) // a terminal that is gone is not an error
			if err != nil {
				broken++
				fmt.Println(err)
				return
			}
			if len(j.Findings) > 0 {
				found++
				printJudgement(script, j)
			}
			all.Actions += j.Actions
			all.Served += j.Served
			all.Refused += j.Refused
			all.Failed += j.Failed
			all.Unanswered += j.Unanswered
			all.LongestContradiction = max(all.LongestContradiction, j.LongestContradiction)
			all.Instructions.Add(j.Instructions)
			all.PeakColdLoad = max(all.PeakColdLoad, j.PeakColdLoad)
			bins[min(int(10*j.LongestContradiction/s.Within), 10)]++
		})
	}
	work.Wait()
	fmt.Printf("\nseeds %d to %d: %d voters, %d others, within %v\nacts %d, served %d, refused %d, failed %d, of dispatchers that went down %d\n", s.From, s.To, s.Voters, s.Others,
		s.Within, all.Actions, all.Served, all.Refused, all.Failed, all.Unanswered)
	fmt.Printf("longest contradiction %v; seeds by its tenths of %v: %v\nseeds with a finding %d, not played %d\n", all.LongestContradiction.Round(time.Millisecond), s.Within, bins, found, broken)
	if all.Instructions.Sent > 0 {
		fmt.Println(all.Instructions)
	}
	if s.Lists || s.Order {
		fmt.Printf("the most that a cold replica was sent in a span, of what the rule allows: %.2f\n", all.PeakColdLoad)
	}
	if found+broken > 0 {
		return errViolation
	}
	return nil
}

type faultsCmd struct {
	scriptOptions
	Most     int      `default:"40" help:"Seeds for each fault, at most."`
	Parallel int      `default:"4" help:"Trials at once."`
	Only     []string `help:"These faults alone."`
}

// Run plays each fault with generated scripts, and with the named scripts that can detect it.
func (f faultsCmd) Run(c *cli) error {
	names := f.Only
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(proving.Faults))
	}
	misjudged := 0
	for _, name := range names {
		f.Fault = name
		var scripts []proving.Script
		f.Order = f.Order || strings.HasPrefix(name, "recovery-")
		if (strings.HasPrefix(name, "ledger-") || f.Order) && f.Ledger == "" {
			f.Ledger = "site"
		}
		for seed := range f.Most {
			scripts = append(scripts, f.generate(uint64(seed+1)))
		}
		named, err := proving.NamedScripts()
		if err != nil {
			return err
		}
		for _, s := range named {
			if !s.CanDetect(name) {
				continue
			}
			s.Fault = name
			scripts = append(scripts, s)
		}
		foundBy, finding, tried := f.firstFinding(c, scripts)
		harmless := proving.Faults[name].Harmless
		switch {
		case foundBy == "" && !harmless:
			misjudged++
			fmt.Printf("%-22s NOT FOUND in %d scripts: %s\n", name, tried, proving.Faults[name].Description)
		case foundBy == "":
			fmt.Printf("%-22s rightly nothing found in %d scripts: %s\n", name, tried, proving.Faults[name].Description)
		default:
			fmt.Printf("%-22s found by %s after %d scripts: %.150s\n", name, foundBy, tried, finding)
			if harmless {
				misjudged++
			}
		}
	}
	if misjudged > 0 {
		return fmt.Errorf("%d faults were not detected, or were detected although they are harmless", misjudged)
	}
	return nil
}

// firstFinding returns the first script, in order, whose trial has a finding or fails to start.
func (f faultsCmd) firstFinding(c *cli, scripts []proving.Script) (by, finding string, tried int) {
	for len(scripts) > 0 {
		batch := scripts[:min(f.Parallel, len(scripts))]
		scripts = scripts[len(batch):]
		findings := make([]string, len(batch))
		var work sync.WaitGroup
		for i, s := range batch {
			work.Go(func() {
				if j, err := c.playWithRetry(s); err != nil {
					findings[i] = "start: " + err.Error()
				} else if len(j.Findings) > 0 {
					findings[i] = j.Findings[0].String()
				}
			})
		}
		work.Wait()
		for i, s := range batch {
			tried++
			if findings[i] != "" {
				return s.Name, findings[i], tried
			}
		}
	}
	return "", "", tried
}
