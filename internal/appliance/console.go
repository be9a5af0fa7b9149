package appliance

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"sort"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"

	"standpulley/internal/dispatch"
)

const (
	stateCommand    = "state"
	reloadCommand   = "reload"
	settingsCommand = "settings"
	callTimeout     = 5 * time.Second
	maxConsoles     = 8                // connections served at once
	settingsTimeout = 20 * time.Second // the voters may be electing a leader
	maxLineBytes    = 4 << 20
)

var errNotRunning = errors.New("no program runs on this state folder")

// Reply is a running program's answer to the console or to apply.
type Reply struct {
	Error string        `json:"error,omitempty"`
	Name  string        `json:"name"`
	Since time.Time     `json:"since"`
	View  dispatch.View `json:"view"`
	Stage string        `json:"stage,omitempty"` // recovery stage and what it waits for; empty once it serves
	Why   string        `json:"why,omitempty"`   // why it can't act on the agreed settings
}

// Program is the running program that answers the console.
type Program interface {
	State() Reply
	Reload() error
	Settings(ask []byte) []byte // handles a command about the agreed settings; request and answer are JSON
}

// Listen opens the socket of the state folder. Only the owner of the folder can connect to it.
func (d Dir) Listen() (net.Listener, error) {
	if d.call(stateCommand, &Reply{}) == nil {
		return nil, fmt.Errorf("%s: another program already uses this state folder", d)
	}
	if err := os.Remove(d.Socket()); err != nil && !errors.Is(err, fs.ErrNotExist) { // left behind by a program that was killed
		return nil, err
	}
	ln, err := net.Listen("unix", d.Socket())
	if err != nil {
		return nil, err
	}
	return ln, os.Chmod(d.Socket(), 0o600)
}

// Serve answers connections until the listener is closed.
func Serve(ln net.Listener, p Program) {
	slots := make(chan struct{}, maxConsoles)
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { _ = c.Close(); <-slots }()
			_ = c.SetDeadline(time.Now().Add(callTimeout)) // an error shows up in the read
			line, err := bufio.NewReader(io.LimitReader(c, maxLineBytes)).ReadString('\n')
			if err != nil {
				return
			}
			var r Reply
			command, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
			switch command {
			case stateCommand:
				r = p.State()
			case reloadCommand:
				if err := p.Reload(); err != nil {
					r.Error = err.Error()
				}
			case settingsCommand:
				_ = c.SetDeadline(time.Now().Add(settingsTimeout)) // an error shows up in the write
				_, _ = c.Write(p.Settings([]byte(rest)))           // the console sees a broken connection
				return
			default:
				r.Error = "unknown command"
			}
			_ = jsoniter.NewEncoder(c).Encode(r) // fails only if the console has disconnected
		}()
	}
}

// State asks the running program for its state.
func (d Dir) State() (Reply, error) {
	var r Reply
	err := d.call(stateCommand, &r)
	return r, err
}

// Settings sends the running program a command about the agreed settings and decodes the answer
// into reply.
func (d Dir) Settings(ask, reply any) error {
	text, err := jsoniter.MarshalToString(ask)
	if err != nil {
		return err
	}
	return d.callFor(settingsCommand+" "+text, reply, settingsTimeout)
}

func (d Dir) call(command string, reply *Reply) error { return d.callFor(command, reply, callTimeout) }

func (d Dir) callFor(command string, reply any, limit time.Duration) error {
	c, err := net.DialTimeout("unix", d.Socket(), callTimeout)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return errNotRunning
	}
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c, command); err != nil {
		return err
	}
	return jsoniter.NewDecoder(c).Decode(reply)
}

// Show writes a program's state as a page with at most lines recent outcomes.
func Show(out io.Writer, r Reply, lines int) {
	v := r.View
	fmt.Fprintf(out, "%s  %s  up %s  open %d\n", r.Name, v.Phase, time.Since(r.Since).Round(time.Second), v.Open)
	if r.Stage != "" {
		fmt.Fprintf(out, "coming back: %s\n", r.Stage)
	}
	if r.Why != "" {
		fmt.Fprintf(out, "no lease: %s\n", r.Why)
	}
	fmt.Fprintf(out, "requests %d: %s\n", v.Totals.Taken, formatCounts(v.Totals.Verdicts))
	fmt.Fprintf(out, "attempts %d: %s\nreleases %d\n\n", v.Totals.Attempts, formatCounts(v.Totals.Outcomes), v.Totals.Releases)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REPLICA\tKIND\tZONE\tCELL\tADDRESS\tSTATE\tOUT")
	for _, s := range v.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\n", s.ID, s.Kind, s.Zone, s.Cell, s.Addr, s.State, s.Out)
	}
	fmt.Fprintln(w, "\nTIME\tREQUEST\tCLASS\tWHAT\tTOOK\tREPLICA\tDETAIL")
	for _, l := range v.Recent[max(len(v.Recent)-lines, 0):] {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.At.Format("15:04:05.000"), l.ID, l.Class, l.What, l.Took, l.Server, l.Detail)
	}
	_ = w.Flush() // out is a terminal or a buffer, so an error is of no use
}

func formatCounts(m map[string]int) string {
	var words []string
	for name, n := range m {
		words = append(words, fmt.Sprintf("%s %d", name, n))
	}
	if len(words) == 0 {
		return "none yet"
	}
	sort.Strings(words)
	return strings.Join(words, ", ")
}
