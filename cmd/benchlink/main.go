// Command benchlink connects instances of the decision module to a simulator. It reads batches of
// events from standard input and writes the actions of the instances to standard output.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"standpulley/internal/wire"
	"standpulley/logic"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	routers := map[int]*logic.Router{}
	var m wire.Message
	var actions []logic.Action
	var clock time.Duration
	batch, inBatch := "", false
	for {
		err := r.Next(&m)
		if err == io.EOF && !inBatch {
			return nil
		}
		if err == io.EOF {
			err = fmt.Errorf("input ends within batch %s", batch)
		}
		if err != nil {
			return reportError(w, m.Instance, batch, err)
		}
		switch m.Kind {
		case wire.Begin:
			clock, batch, inBatch = m.Clock, m.Batch, true
			continue
		case wire.End:
			if !inBatch {
				return fmt.Errorf("end of a batch that has not begun")
			}
			inBatch = false
			if err := w.EndBatch(batch); err != nil {
				return err
			}
			continue
		case wire.Attach:
			l, err := logic.New(m.Settings, m.Seed)
			if err != nil {
				return reportError(w, m.Instance, batch, err)
			}
			routers[m.Instance] = l
		case wire.Crash:
			delete(routers, m.Instance)
		case wire.Event:
			l := routers[m.Instance]
			if l == nil {
				continue
			}
			actions = l.Handle(clock, &m.Event, actions[:0])
			for i := range actions {
				if err := w.Action(m.Instance, &actions[i]); err != nil {
					return err
				}
			}
		}
	}
}

// reportError reports an error to the simulator if it concerns a known instance, and returns the
// error.
func reportError(w *wire.Writer, instance int, batch string, err error) error {
	if instance >= 0 {
		if w.InternalError(instance, err.Error()) == nil && batch != "" {
			_ = w.EndBatch(batch) // the process exits with the original error anyway
		}
	}
	return err
}
