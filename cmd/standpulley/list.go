package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"standpulley/internal/cluster"
	"standpulley/internal/membership"
)

// listCmd groups the commands about the agreed list of replicas.
type listCmd struct {
	Show    listShowCmd    `cmd:"" help:"Show each replica: its agreed state, and what this dispatcher's own register says where it differs."`
	History listHistoryCmd `cmd:"" help:"Show the latest versions of the list."`
	Drain   listDrainCmd   `cmd:"" help:"Send a replica nothing new for a while, whatever the register says."`
	Hold    listHoldCmd    `cmd:"" help:"Keep a replica's entry as it is for a while, unless the register makes it stricter."`
	Undrain listUndrainCmd `cmd:"" help:"End an order of one's own."`
	Confirm listConfirmCmd `cmd:"" help:"Let the change of the list pass that is held."`
}

func (c *cmdContext) listView(replica string) (cluster.Reply, error) {
	r, err := c.send(cluster.Command{Do: "view", ViewFilter: cluster.ViewFilter{Section: cluster.SectionList, Replica: replica}})
	if err == nil && r.View.Record.List.Number == 0 && len(r.View.RegistryReaders) == 0 {
		err = fmt.Errorf("dispatchers do not agree on lists here, or no dispatcher has read discovery yet")
	}
	return r, err
}

type listShowCmd struct {
	ID string `arg:"" optional:"" help:"Only this replica."`
}

func (l listShowCmd) Run(c *cmdContext) error {
	r, err := c.listView(l.ID)
	if err != nil {
		return err
	}
	if c.asJSON {
		return c.printJSON(r)
	}
	b := &r.View.Record
	fmt.Fprintf(c.out, "version %d, of the register's version %d; readers: %s; dispatchers that live: %d\n", b.List.Number, b.List.RegistryVersion,
		strings.Join(r.View.RegistryReaders, ", "), len(b.Census.Names))
	if h := r.View.Held; h != nil {
		fmt.Fprintf(c.out, "HELD, %d replicas: %s. Drains in it take effect anyway. A second reading of discovery or `list confirm` lets it pass.\n", len(h.Entries), h.Why)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REPLICA\tKIND\tZONE\tADDRESS\tAGREED\tOWN REGISTER\tORDER")
	entries := slices.SortedFunc(maps.Values(b.List.Entries), func(a, b membership.Entry) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range entries {
		order, own := "", ""
		if o, ok := b.Orders[e.ID]; ok {
			order = fmt.Sprintf("%s by %s: %s", o.Do, o.Owner, o.Why)
		}
		if n := r.View.Flapping[e.ID]; n > 0 {
			order = strings.TrimSpace(fmt.Sprintf("%s damped after %d turns", order, n))
		}
		if x, ok := r.RegistryDifferences[e.ID]; ok {
			own = fmt.Sprintf("%s for %v", x.Registry, (time.Duration(x.ForMS) * time.Millisecond).Round(100*time.Millisecond))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.ID, e.Kind, e.Zone, e.Addr, e.State, own, order)
	}
	for _, id := range slices.Sorted(maps.Keys(r.RegistryDifferences)) {
		if l.ID != "" && l.ID != id {
			continue
		}
		if _, ok := b.List.Entries[id]; !ok {
			fmt.Fprintf(w, "%s\t\t\t\t-\t%s\t\n", id, r.RegistryDifferences[id].Registry)
		}
	}
	return w.Flush()
}

type listHistoryCmd struct{}

func (listHistoryCmd) Run(c *cmdContext) error {
	r, err := c.listView("")
	if err != nil {
		return err
	}
	if c.asJSON {
		return c.printJSON(r.View.Record.Changes)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tREGISTER\tBY\tCHANGES")
	for _, x := range r.View.Record.Changes {
		var words []string
		for _, e := range x.Entries[:min(len(x.Entries), 6)] {
			words = append(words, e.ID+" "+e.State)
		}
		if more := len(x.Entries) - len(words); more > 0 {
			words = append(words, fmt.Sprintf("and %d more", more))
		}
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\n", x.Number, x.RegistryVersion, x.By, strings.Join(words, ", "))
	}
	return w.Flush()
}

// sendOrder sends an order about the list. The order is refused if the list is no longer at version
// seen; 0 stands for its present version.
func (c *cmdContext) sendOrder(do cluster.Command, seen uint64) error {
	if seen == 0 {
		r, err := c.listView("")
		if err != nil {
			return err
		}
		seen = r.View.Record.List.Number
	}
	do.By, do.Seen = operatorName(), seen
	_, err := c.send(do)
	if err != nil && c.code == exitError {
		c.code = exitRefused
	}
	return err
}

// orderFlags are the arguments and flags that drain and hold have in common.
type orderFlags struct {
	ID   string        `arg:"" help:"The replica."`
	For  time.Duration `required:"" help:"It runs out after this."`
	Why  string        `required:"" help:"The reason, for others."`
	Seen uint64        `help:"The version of the list that you go by; refused if there is another. Without it, the present one."`
}

type listDrainCmd struct{ orderFlags }

func (l listDrainCmd) Run(c *cmdContext) error {
	return c.sendOrder(cluster.Command{Do: membership.Drain, ID: l.ID, ForMS: l.For.Milliseconds(), Why: l.Why}, l.Seen)
}

type listHoldCmd struct{ orderFlags }

func (l listHoldCmd) Run(c *cmdContext) error {
	return c.sendOrder(cluster.Command{Do: membership.Hold, ID: l.ID, ForMS: l.For.Milliseconds(), Why: l.Why}, l.Seen)
}

type listUndrainCmd struct {
	ID   string `arg:"" help:"The replica."`
	Seen uint64 `help:"The version of the list that you go by."`
}

func (l listUndrainCmd) Run(c *cmdContext) error {
	return c.sendOrder(cluster.Command{Do: "undrain", ID: l.ID}, l.Seen)
}

type listConfirmCmd struct{}

func (listConfirmCmd) Run(c *cmdContext) error {
	_, err := c.send(cluster.Command{Do: "confirm"})
	return err
}
