package main

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"text/tabwriter"

	"standpulley/internal/cluster"
	"standpulley/internal/program"
)

// recoveryCmd groups the commands about recovery after a loss of power.
type recoveryCmd struct {
	Status  recoveryStatusCmd `cmd:"" help:"Show for each dispatcher in which stage it is, for how long, and what it waits for."`
	Survey  surveyCmd         `cmd:"" help:"Show what the disks of state folders still know of their cluster. No program may run on them."`
	Refound refoundCmd        `cmd:"" help:"Where the logs of a majority of the voters are lost for good: make a new cluster from the newest that is left."`
	Join    joinCmd           `cmd:"" help:"Have this dispatcher forget a cluster that is lost, so that it comes into the one that took its place."`
}

type recoveryStatusCmd struct{}

func (recoveryStatusCmd) Run(c *cmdContext) error {
	view, err := c.view()
	if err != nil {
		return err
	}
	if c.asJSON {
		return c.printJSON(view.Members)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DISPATCHER\tHEARD\tSTAGE")
	for _, m := range view.Members {
		fmt.Fprintf(w, "%s\t%d ms ago\t%s\n", m.Name, m.HeardMS, m.Phase)
	}
	return w.Flush()
}

type surveyCmd struct {
	Folders []string `arg:"" optional:"" help:"State folders, or copies of them; without any, the one of --state."`
}

func (s surveyCmd) Run(c *cmdContext) error {
	folders := s.Folders
	if len(folders) == 0 {
		folders = []string{string(c.dir)}
	}
	var all []cluster.SurveyResult
	for _, folder := range folders {
		r, err := cluster.Survey(folder)
		if errors.Is(err, fs.ErrNotExist) {
			err = fmt.Errorf("%s: no agreement log found", folder)
		}
		if err != nil {
			return err
		}
		all = append(all, r)
	}
	if c.asJSON {
		return c.printJSON(all)
	}
	c.printRemains(all)
	return nil
}

// printRemains prints what the state folders contain, and what would be lost without the others.
func (c *cmdContext) printRemains(all []cluster.SurveyResult) {
	newest := -1
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FOLDER\tCLUSTER\tDISK\tLOG TO (TERM, ENTRY)\tIN FORCE\tACTED ON\tLIST\tORDERS\tSEATS")
	for i := range all {
		r := &all[i]
		if !r.HasVoterLog {
			fmt.Fprintf(w, "%s\t%x\t%x\tno voter's log\t\t%d\t\t\t\n", r.Folder, r.Cluster, r.Disk, r.ActsOn.Number)
			continue
		}
		if newest < 0 || r.Newer(&all[newest]) {
			newest = i
		}
		var seats []string
		for _, s := range r.Record.Seats {
			seats = append(seats, s.Name)
		}
		fmt.Fprintf(w, "%s\t%x\t%x\t%d, %d\t%d\t%d\t%d\t%d\t%s\n", r.Folder, r.Cluster, r.Disk, r.Term, r.Index, r.Record.InForceNumber, r.ActsOn.Number, r.Record.List.Number,
			len(r.Record.Orders), strings.Join(seats, " "))
	}
	_ = w.Flush() // errors of the other prints to this output are not checked either
	if newest < 0 {
		fmt.Fprintln(c.out, "None of these folders holds a voter's log: a new cluster can only be created with settings init.")
		return
	}
	b := &all[newest].Record
	fmt.Fprintf(c.out, "The newest log is in %s. %d seats were taken: any %d of their logs together contain all that was acknowledged.\n", all[newest].Folder,
		len(b.Seats), len(b.Seats)/2+1)
	fmt.Fprintln(c.out, "With fewer logs, decisions after the last entry of the newest one are lost: versions that none of these dispatchers acted on, changes of the list, and orders.")
}

type refoundCmd struct {
	Lost string   `required:"" placeholder:"CLUSTER" help:"The number of the cluster that is given up, as survey shows it: your word that its other logs are lost."`
	From []string `placeholder:"DIR" help:"State folders, or copies of them, of all other dispatchers that are left."`
}

func (r refoundCmd) Run(c *cmdContext) error {
	lost, err := parseCluster(r.Lost)
	if err != nil {
		return err
	}
	book, err := program.Rebootstrap(c.dir, lost, r.From, operatorName())
	if err != nil {
		c.code = exitRefused
		return err
	}
	fmt.Fprintf(c.out, "Cluster %x replaces %x, with version %d in force once all %d voters have taken their seats.\n", book.Cluster, lost, book.InForceNumber, book.RequiredSeats)
	fmt.Fprintf(c.out, "Next: recovery join --lost %x at every other dispatcher whose folder is left, then start all. The old logs must not run again.\n", lost)
	return nil
}

type joinCmd struct {
	Lost string `required:"" placeholder:"CLUSTER" help:"The number of the cluster that is given up."`
}

func (j joinCmd) Run(c *cmdContext) error {
	lost, err := parseCluster(j.Lost)
	if err != nil {
		return err
	}
	if err := cluster.LeaveCluster(string(c.dir), lost); err != nil {
		c.code = exitRefused
		return err
	}
	return nil
}

func parseCluster(text string) (n uint64, err error) {
	if _, err = fmt.Sscanf(text, "%x", &n); err != nil || n == 0 {
		return 0, fmt.Errorf("--lost: %q is not a cluster number; recovery survey shows it", text)
	}
	return n, nil
}
