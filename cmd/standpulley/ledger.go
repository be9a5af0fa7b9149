package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/cluster"
	"standpulley/internal/intentlog"
	"standpulley/internal/program"
)

// ledgerCmd groups the commands about instructions, which are requests that must not run twice.
type ledgerCmd struct {
	Status  ledgerStatusCmd  `cmd:"" help:"Show this dispatcher's part: whether it is whole, entries, what intents wait."`
	Unknown ledgerUnknownCmd `cmd:"" help:"Show the instructions of which nobody knows whether they ran, to be cleared against the books."`
	Show    ledgerShowCmd    `cmd:"" help:"Show all that is known of one instruction."`
	Accept  ledgerAcceptCmd  `cmd:"" help:"At a holder whose file is lost while others are too: fill it from the one that is left, and count that as all there was."`
	Export  ledgerExportCmd  `cmd:"" help:"Write what this voter holds to FILE, one entry or part of one a line, as JSON."`
	Import  ledgerImportCmd  `cmd:"" help:"Have all voters learn what an export holds. Doing it twice does no harm."`
	Settle  ledgerSettleCmd  `cmd:"" help:"Say whether an instruction ran, as the books have it. What is proven otherwise is not changed by it."`
}

type ledgerStatusCmd struct{}

func (ledgerStatusCmd) Run(c *cmdContext) error {
	r, err := c.send(cluster.Command{Do: program.LedgerStatus})
	if err != nil {
		return err
	}
	if c.asJSON {
		return c.printJSON(r.Figures)
	}
	f := r.Figures
	fmt.Fprintf(c.out, "intents wait %v, the slowest hundredth %v; outcomes that holders never heard: %d\n", f.WaitP50, f.WaitP99, f.Untold)
	switch {
	case !f.Holds:
		fmt.Fprintln(c.out, "this dispatcher holds no ledger; the voters do")
	case f.Failed:
		fmt.Fprintln(c.out, "its ledger cannot be written and grants nothing: see the log, repair the disk and restart this dispatcher")
	case !f.Whole:
		fmt.Fprintln(c.out, "its ledger is incomplete: a missing entry does not prove yet that an instruction never ran, see the log")
	}
	if f.Holds {
		fmt.Fprintf(c.out, "%d instructions, %d commits, %d bytes on disk\n", f.Entries, f.Commits, f.Bytes)
	}
	return nil
}

type ledgerUnknownCmd struct{}

func (ledgerUnknownCmd) Run(c *cmdContext) error {
	r, err := c.send(cluster.Command{Do: program.LedgerUnknown})
	if err != nil {
		return err
	}
	return c.printRows(r.Ledger)
}

type ledgerShowCmd struct {
	Key string `arg:"" help:"The instruction, as unknown shows it."`
}

func (l ledgerShowCmd) Run(c *cmdContext) error {
	r, err := c.send(cluster.Command{Do: program.LedgerShow, ID: l.Key})
	if err != nil {
		return err
	}
	return c.printRows(r.Ledger)
}

type ledgerSettleCmd struct {
	Key      string `arg:"" help:"The instruction, as unknown shows it."`
	Ran      bool   `xor:"fate" required:"" help:"It ran."`
	NeverRan bool   `xor:"fate" required:"" help:"It never ran: a repeat of it will be sent."`
	Why      string `required:"" help:"How it is known, for the audit trail."`
}

func (l ledgerSettleCmd) Run(c *cmdContext) error {
	_, err := c.send(cluster.Command{Do: program.LedgerSettle, ID: l.Key, Ran: l.Ran, By: operatorName(), Why: l.Why})
	return err
}

type ledgerAcceptCmd struct {
	Why string `required:"" help:"The reason, for the log."`
}

func (l ledgerAcceptCmd) Run(c *cmdContext) error {
	_, err := c.send(cluster.Command{Do: program.LedgerAccept, By: operatorName(), Why: l.Why})
	return err
}

type ledgerExportCmd struct {
	File string `arg:"" help:"It must not be there yet."`
}

func (l ledgerExportCmd) Run(c *cmdContext) error {
	f, err := os.OpenFile(l.File, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // Sync reports write errors
	w := bufio.NewWriter(f)
	out := jsoniter.ConfigCompatibleWithStandardLibrary.NewEncoder(w)
	rows := 0
	for after, last := uint64(0), false; !last; {
		r, err := c.send(cluster.Command{Do: program.LedgerExport, Number: after})
		if err != nil {
			return err
		}
		for _, row := range r.Ledger {
			if err := out.Encode(row); err != nil {
				return err
			}
		}
		rows, after, last = rows+len(r.Ledger), r.Number, r.Last
	}
	if err := errors.Join(w.Flush(), f.Sync()); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d lines\n", rows)
	return nil
}

type ledgerImportCmd struct {
	File string `arg:"" help:"An export."`
}

const (
	importBatch  = 200 // lines sent in one command
	maxLineBytes = 1 << 20
)

func (l ledgerImportCmd) Run(c *cmdContext) error {
	f, err := os.Open(l.File)
	if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // the file is only read
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineBytes)
	var rows []intentlog.Row
	send := func(line int) error {
		if len(rows) == 0 {
			return nil
		}
		if _, err := c.send(cluster.Command{Do: program.LedgerImport, Ledger: rows}); err != nil {
			return fmt.Errorf("%s: up to line %d: %w", l.File, line, err)
		}
		rows = nil
		return nil
	}
	line := 0
	for in.Scan() {
		line++
		var row intentlog.Row
		if err := jsoniter.Unmarshal(in.Bytes(), &row); err != nil {
			return fmt.Errorf("%s: line %d: %w", l.File, line, err)
		}
		if rows = append(rows, row); len(rows) == importBatch {
			if err := send(line); err != nil {
				return err
			}
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("%s: after line %d: %w", l.File, line, err)
	}
	return send(line)
}

// printRows prints instructions with their attempts and the operators' statements about them.
func (c *cmdContext) printRows(rows []intentlog.Row) error {
	if c.asJSON {
		return c.printJSON(rows)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTRUCTION\tCUSTOMER\tFATE\tATTEMPT\tOUTCOME")
	for _, r := range rows {
		for i, t := range r.Entry.Attempts {
			key, customer, fate := r.Key.String(), r.Customer, r.Entry.Status().String()
			if i > 0 {
				key, customer, fate = "", "", ""
			}
			fmt.Fprintf(w, "%s\t%s\t%s\tby %s, life %x, number %d\t%s\n", key, customer, fate, t.Owner, t.Boot, t.N, t.Outcome)
		}
		for _, x := range r.Entry.Resolutions {
			ran := "never ran"
			if x.Ran {
				ran = "ran"
			}
			fmt.Fprintf(w, "\t\t\t%s by %s: %s\t%s\n", x.Wall, x.By, x.Why, ran)
		}
	}
	return w.Flush()
}
