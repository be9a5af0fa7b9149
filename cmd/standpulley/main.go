// Command standpulley is the dispatcher: one program between clients and a two-stage fleet of
// replicas. Without a command it serves the platform as its environment configures it; the commands
// run and manage an appliance.
package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"standpulley/internal/appliance"
	"standpulley/internal/program"
)

const description = `Dispatcher for a two-stage model-serving fleet. Without a command it serves the platform; EDGE_CONFIG names the
configuration.

Exit codes: 0 done; 1 an error; 2 plan and diff: something differs; 3 settings propose and rollback: turned down or
refused; 4 settings: not known whether it was decided, see the history.`

// Exit codes.
const (
	exitError   = 1
	exitChanges = 2
	exitRefused = 3
	exitUnknown = 4
)

// cli is the command line.
type cli struct {
	State string `default:"state" placeholder:"DIR" help:"Folder that holds what is in force."`
	JSON  bool   `help:"Print JSON, where the command has something to print."`

	Run      runCmd      `cmd:"" help:"Serve what is in force in a state folder."`
	Plan     planCmd     `cmd:"" help:"Show how FILE differs from what is in force."`
	Apply    applyCmd    `cmd:"" help:"Put FILE in force."`
	Console  consoleCmd  `cmd:"" help:"Show the state and the live outcomes of a running program."`
	Ledger   ledgerCmd   `cmd:"" help:"Instructions that may have run, as dispatchers remember them together."`
	List     listCmd     `cmd:"" help:"The list of replicas on which dispatchers agree."`
	Recovery recoveryCmd `cmd:"" help:"How dispatchers come back from a loss of power."`
	Settings settingsCmd `cmd:"" help:"Settings in versions on which dispatchers agree."`
}

// cmdContext is the state that commands share.
type cmdContext struct {
	dir    appliance.Dir
	out    io.Writer
	asJSON bool
	code   int // exit code
}

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if len(os.Args) < 2 {
		if err := program.WithAsyncLog(program.Run); err != nil {
			log.Fatalf("standpulley: %v", err)
		}
		return
	}
	code, err := command(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standpulley:", err)
	}
	os.Exit(code)
}

// errHelpShown ends the parsing of a command line that only asked for help.
var errHelpShown = errors.New("helped")

// command runs one command line and returns its exit code.
func command(args []string, out io.Writer) (code int, err error) {
	var c cli
	defer func() {
		if r := recover(); r != nil {
			if r != errHelpShown { //nolint:errorlint // panic passes the value itself
				panic(r)
			}
			code, err = 0, nil
		}
	}()
	k, err := kong.New(&c, kong.Name("standpulley"), kong.Description(description), kong.Writers(out, out),
		kong.Exit(func(int) { panic(errHelpShown) }), kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}))
	if err != nil {
		return exitError, err
	}
	parsed, err := k.Parse(legacyFlags(args))
	if err != nil {
		return exitError, err
	}
	ctx := &cmdContext{dir: appliance.Dir(c.State), out: out, asJSON: c.JSON}
	err = parsed.Run(ctx)
	if err != nil && ctx.code == 0 {
		ctx.code = exitError
	}
	return ctx.code, err
}

// legacyFlags rewrites the single-dash flags of earlier versions to the present form.
func legacyFlags(args []string) []string {
	args = append([]string(nil), args...)
	for i, a := range args {
		name, _, _ := strings.Cut(a, "=")
		switch name {
		case "-state", "-once", "-every":
			args[i] = "-" + a
		}
	}
	return args
}

type runCmd struct{}

func (runCmd) Run(c *cmdContext) error {
	return program.WithAsyncLog(func() error { return program.RunAppliance(c.dir) })
}

type planCmd struct {
	File string `arg:"" help:"The operator's file."`
}

func (p planCmd) Run(c *cmdContext) error {
	changes, err := c.dir.Plan(p.File)
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		c.code = exitChanges
	}
	return c.printChanges(changes)
}

func (c *cmdContext) printChanges(changes []appliance.Change) error {
	if c.asJSON {
		return c.printJSON(changes)
	}
	appliance.Print(c.out, changes)
	return nil
}

type applyCmd struct {
	File string `arg:"" help:"The operator's file."`
}

func (a applyCmd) Run(c *cmdContext) error {
	changes, err := c.dir.Apply(a.File)
	if err != nil {
		return err
	}
	return c.printChanges(changes)
}

type consoleCmd struct {
	Once  bool          `help:"Show one page and end."`
	Every time.Duration `default:"1s" help:"Time between pages."`
}

const (
	clearScreen = "\x1b[H\x1b[2J"
	consoleRows = 20
)

// Run shows pages until it is interrupted, or a single page.
func (o consoleCmd) Run(c *cmdContext) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	for {
		reply, err := c.dir.State()
		if err != nil && o.Once {
			return err
		}
		if !o.Once {
			fmt.Fprint(c.out, clearScreen)
		}
		if err != nil {
			fmt.Fprintln(c.out, err)
		} else {
			appliance.Show(c.out, reply, consoleRows)
		}
		if o.Once {
			return nil
		}
		select {
		case <-stop:
			return nil
		case <-time.After(max(o.Every, 100*time.Millisecond)):
		}
	}
}
