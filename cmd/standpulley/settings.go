package main

import (
	"errors"
	"fmt"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/cluster"
	"standpulley/internal/clusterstate"
	"standpulley/internal/config"
	"standpulley/internal/program"
)

// settingsCmd groups the commands about agreed settings. All except init talk to the program that
// runs on the state folder.
type settingsCmd struct {
	Init     initCmd     `cmd:"" help:"Found the cluster: make the log of its first voter, with the settings of the file in force as version 1. Once, at one voter, before its first run."`
	Propose  proposeCmd  `cmd:"" help:"Propose the settings of FILE as the next version, and wait until it is in force everywhere or turned down."`
	Show     showCmd     `cmd:"" help:"Show a version's content; without a number, that of the one in force."`
	Diff     diffCmd     `cmd:"" help:"Show how two versions differ, and which differences contradict each other."`
	History  historyCmd  `cmd:"" help:"Show all versions that are kept."`
	Rollback rollbackCmd `cmd:"" help:"Propose the content of an earlier version as the next one."`
	Withdraw withdrawCmd `cmd:"" help:"Take back a version that is not in force yet."`
	Status   statusCmd   `cmd:"" help:"Show for each dispatcher its version, lease and last contact."`
	Seat     seatCmd     `cmd:"" help:"Give the seat of this voter, whose log was lost, to its new log. The old one can never vote again."`
}

// printJSON prints a value as indented JSON.
func (c *cmdContext) printJSON(v any) error {
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out, string(text))
	return err
}

// send sends a command to the running program.
func (c *cmdContext) send(do cluster.Command) (cluster.Reply, error) {
	var r cluster.Reply
	if err := c.dir.Settings(do, &r); err != nil {
		return r, err
	}
	if r.Error != "" {
		c.code = exitError
		if strings.HasPrefix(r.Error, cluster.ErrOutcomeUnknown.Error()) {
			c.code = exitUnknown
		}
		return r, errors.New(r.Error)
	}
	return r, nil
}

// view returns the agreed record about settings.
func (c *cmdContext) view() (*cluster.View, error) {
	r, err := c.send(cluster.Command{Do: "view", ViewFilter: cluster.ViewFilter{Section: cluster.SectionSettings}})
	return r.View, err
}

type initCmd struct{}

func (initCmd) Run(c *cmdContext) error {
	if err := program.Bootstrap(c.dir); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "The cluster is created. Start all voters; version 1 is in force once each has taken its seat.")
	return nil
}

type proposeCmd struct {
	File   string        `arg:"" help:"An operator's file, or its settings alone."`
	From   uint64        `help:"The version that it was made from; refused if another is in force by now." required:""`
	Why    string        `help:"The reason, for the history."`
	Canary string        `placeholder:"NAME" help:"The dispatcher that acts on it first, for 10 s. Only for what contradicts nothing in force."`
	Wait   time.Duration `default:"60s" help:"How long to wait for it to be in force."`
}

func (p proposeCmd) Run(c *cmdContext) error {
	text, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	content, err := config.ReadContent(text)
	if err != nil {
		return fmt.Errorf("%s: %w", p.File, err)
	}
	return c.propose(cluster.Command{Do: "propose", Base: p.From, Content: content, Why: p.Why, CanaryMember: p.Canary}, p.Wait)
}

type rollbackCmd struct {
	Version uint64        `arg:"" help:"The version whose content is brought back."`
	Why     string        `help:"The reason, for the history."`
	Wait    time.Duration `default:"60s" help:"How long to wait for it to be in force."`
}

func (r rollbackCmd) Run(c *cmdContext) error {
	view, err := c.view()
	if err != nil {
		return err
	}
	v := view.Record.Version(r.Version)
	if v == nil {
		return fmt.Errorf("version %d is not in the history", r.Version)
	}
	return c.propose(cluster.Command{Do: "propose", Base: view.Record.InForceNumber, Content: v.Content, RollbackTo: r.Version, Why: r.Why}, r.Wait)
}

// propose proposes a version to the voters and waits until it is in force, rejected or withdrawn.
func (c *cmdContext) propose(do cluster.Command, wait time.Duration) error {
	do.By = operatorName()
	r, err := c.send(do)
	if err != nil {
		if c.code != exitUnknown {
			c.code = exitRefused
		}
		return err
	}
	for end := time.Now().Add(wait); ; time.Sleep(50 * time.Millisecond) {
		view, err := c.view()
		if err != nil {
			return err
		}
		v := view.Record.Version(r.Number)
		if v == nil {
			return fmt.Errorf("version %d is no longer in the history", r.Number)
		}
		switch v.State {
		case clusterstate.InForce, clusterstate.Superseded:
			if c.asJSON {
				return c.printJSON(v)
			}
			fmt.Fprintf(c.out, "Version %d is in force.\n", v.Number)
			return nil
		case clusterstate.TurnedDown:
			c.code = exitRefused
			return fmt.Errorf("version %d was turned down by %s: %w", v.Number, v.Member, v.Fault)
		case clusterstate.Withdrawn:
			c.code = exitRefused
			return fmt.Errorf("version %d was withdrawn: %s", v.Number, v.Member)
		}
		if time.Now().After(end) {
			c.code = exitUnknown
			return fmt.Errorf("version %d is still %s; it waits for: %s", v.Number, v.State, strings.Join(view.WaitingFor, ", "))
		}
	}
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type showCmd struct {
	Version uint64 `arg:"" optional:"" help:"Its number."`
}

func (s showCmd) Run(c *cmdContext) error {
	view, err := c.view()
	if err != nil {
		return err
	}
	number := s.Version
	if number == 0 {
		number = view.Record.InForceNumber
	}
	v := view.Record.Version(number)
	if v == nil {
		return fmt.Errorf("version %d is not in the history", number)
	}
	if c.asJSON {
		return c.printJSON(v)
	}
	fmt.Fprintf(c.out, "# version %d, %s, by %s at %s %s\n%s\n", v.Number, v.State, v.By, v.At, v.Why, v.Content)
	return nil
}

type diffCmd struct {
	A uint64 `arg:"" help:"A version."`
	B uint64 `arg:"" help:"Another."`
}

// difference is a key whose value differs between two versions.
type difference struct {
	Key    string `json:"key"`
	A      string `json:"a"`
	B      string `json:"b"`
	Effect string `json:"effect"`
}

func (d diffCmd) Run(c *cmdContext) error {
	view, err := c.view()
	if err != nil {
		return err
	}
	a, b := view.Record.Version(d.A), view.Record.Version(d.B)
	if a == nil || b == nil {
		return fmt.Errorf("versions %d and %d are not both in the history", d.A, d.B)
	}
	all := []difference{}
	for _, key := range clusterstate.DifferingKeys(a.Keys, b.Keys) {
		effect, why := clusterstate.EffectOf(key)
		word := "may differ: " + why
		if effect == clusterstate.Harmful {
			word = "contradicts: " + why
		}
		all = append(all, difference{key, a.Keys[key], b.Keys[key], word})
	}
	if len(all) > 0 {
		c.code = exitChanges
	}
	if c.asJSON {
		return c.printJSON(all)
	}
	for _, x := range all {
		fmt.Fprintf(c.out, "~ %s = %s -> %s   (%s)\n", x.Key, x.A, x.B, x.Effect)
	}
	fmt.Fprintf(c.out, "%d keys differ.\n", len(all))
	return nil
}

type historyCmd struct{}

func (historyCmd) Run(c *cmdContext) error {
	view, err := c.view()
	if err != nil {
		return err
	}
	if c.asJSON {
		return c.printJSON(view.Record.Versions)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tFROM\tSTATE\tBY\tAT\tPRINT\tWHY")
	for _, v := range view.Record.Versions {
		why := v.Why
		if v.RollbackTo != 0 {
			why = strings.TrimSpace(fmt.Sprintf("back to %d. %s", v.RollbackTo, why))
		}
		if v.Fault != nil {
			why = strings.TrimSpace(fmt.Sprintf("%s: %v. %s", v.Member, v.Fault, why))
		}
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%.8s\t%s\n", v.Number, v.Base, v.State, v.By, v.At, v.Fingerprint, why)
	}
	return w.Flush()
}

type withdrawCmd struct {
	Version uint64 `arg:"" help:"The version that is under way."`
}

func (w withdrawCmd) Run(c *cmdContext) error {
	_, err := c.send(cluster.Command{Do: "withdraw", Number: w.Version, By: operatorName()})
	return err
}

type seatCmd struct{}

func (seatCmd) Run(c *cmdContext) error { return program.ReclaimSeat(c.dir) }

type statusCmd struct{}

func (statusCmd) Run(c *cmdContext) error {
	r, err := c.send(cluster.Command{Do: "view", ViewFilter: cluster.ViewFilter{Section: cluster.SectionSettings}})
	if err != nil && r.Status == nil {
		return err
	}
	c.code = 0
	if c.asJSON {
		return c.printJSON(r)
	}
	o := r.Status
	fmt.Fprintf(c.out, "%s: version %d, %s, cluster %s, disk %s\n", o.Name, o.Version, leaseText(o.LeaseMS, o.LostMS), o.Cluster, o.Disk)
	if o.Why != "" {
		fmt.Fprintf(c.out, "  %s; alone=%s\n", o.Why, o.OnLeaseLoss)
	}
	if r.View == nil {
		fmt.Fprintf(c.out, "the state of the other dispatchers is unknown: %v\n", err)
		c.code = exitError
		return nil
	}
	b := &r.View.Record
	fmt.Fprintf(c.out, "in force: version %d; leader %s, term %d; seats %d of %d\n", b.InForceNumber, r.View.Leader, r.View.Term, len(b.Seats), b.RequiredSeats)
	if open := b.InProgress(); open != nil {
		fmt.Fprintf(c.out, "under way: version %d, %s, by %s; waits for: %s\n", open.Number, open.State, open.By, strings.Join(r.View.WaitingFor, ", "))
	}
	slices.SortFunc(r.View.Members, func(a, b cluster.MemberView) int { return strings.Compare(a.Name, b.Name) })
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DISPATCHER\tVERSION\tLEASE AT MOST\tHEARD\tPHASE\tTROUBLE")
	for _, m := range r.View.Members {
		trouble := ""
		switch {
		case m.Unfit != nil:
			trouble = m.Unfit.Error()
		case m.Fault != nil:
			trouble = fmt.Sprintf("turned down version %d: %v", m.Checked, m.Fault)
		case m.Leaving:
			trouble = "has left"
		}
		fmt.Fprintf(w, "%s\t%d\t%d ms\t%d ms ago\t%s\t%s\n", m.Name, m.ActsOn, m.LeaseMS, m.HeardMS, m.Phase, trouble)
	}
	return w.Flush()
}

func leaseText(left, lost int64) string {
	if lost > 0 {
		return fmt.Sprintf("no lease for %d ms", lost)
	}
	return fmt.Sprintf("lease for %d ms", left)
}
