// Package appliance operates the dispatcher of a small site. The operator's file is the desired
// state: plan shows what would change, apply puts the file in force, and the console shows the
// state of the running program. None of it is on the path of requests.
package appliance

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"standpulley/internal/config"
)

// Dir is the state folder of an appliance.
type Dir string

func (d Dir) active() string { return filepath.Join(string(d), "active.json") }

// Socket returns the path of the socket on which a running program answers the console and apply.
func (d Dir) Socket() string { return filepath.Join(string(d), "console.sock") }

// Load reads and parses the configuration in force.
func (d Dir) Load() (config.Config, error) {
	text, err := os.ReadFile(d.active())
	if errors.Is(err, fs.ErrNotExist) {
		return config.Config{}, fmt.Errorf("%s: nothing is in force yet: apply a file first", d)
	}
	if err != nil {
		return config.Config{}, err
	}
	return config.Parse(text, os.Getenv)
}

// Change is a key whose value differs between the configuration in force and the desired one.
type Change struct{ Key, Now, Next string }

func (c Change) String() string {
	switch {
	case c.Now == "":
		return fmt.Sprintf("+ %s = %s", c.Key, c.Next)
	case c.Next == "":
		return fmt.Sprintf("- %s = %s", c.Key, c.Now)
	}
	return fmt.Sprintf("~ %s = %s -> %s", c.Key, c.Now, c.Next)
}

// Plan checks the operator's file and returns how it differs from the configuration in force. It
// changes nothing.
func (d Dir) Plan(file string) ([]Change, error) {
	_, changes, err := d.plan(file)
	return changes, err
}

func (d Dir) plan(file string) (desired []byte, changes []Change, err error) {
	if desired, err = os.ReadFile(file); err != nil {
		return nil, nil, err
	}
	if _, err = config.ParseStrict(desired, os.Getenv); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", file, err)
	}
	now, err := os.ReadFile(d.active())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	before, err := config.Flatten(now)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", d.active(), err)
	}
	after, err := config.Flatten(desired)
	if err != nil {
		return nil, nil, err
	}
	for key, v := range after {
		if before[key] != v {
			changes = append(changes, Change{key, before[key], v})
		}
	}
	for key, v := range before {
		if _, ok := after[key]; !ok && v != "" {
			changes = append(changes, Change{key, v, ""})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return desired, changes, nil
}

// Apply puts the operator's file in force. The file replaces the previous configuration atomically,
// and a running program reloads it; if the program rejects it, the previous configuration is
// restored. Apply returns what has changed.
func (d Dir) Apply(file string) ([]Change, error) {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return nil, err
	}
	unlock, err := d.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	desired, changes, err := d.plan(file)
	if err != nil || len(changes) == 0 {
		return nil, err
	}
	before, err := os.ReadFile(d.active())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if err := d.replace(desired); err != nil {
		return nil, err
	}
	var reply Reply
	err = d.call(reloadCommand, &reply)
	if errors.Is(err, errNotRunning) {
		return changes, nil // the next start uses it
	}
	if err == nil && reply.Error != "" {
		err = errors.New(reply.Error)
	}
	if err == nil {
		return changes, nil
	}
	if before == nil {
		return nil, errors.Join(err, os.Remove(d.active()))
	}
	return nil, errors.Join(fmt.Errorf("the running program rejected the file, so the previous configuration stays in force: %w", err),
		d.replace(before))
}

// lock prevents two applies at the same time.
func (d Dir) lock() (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(string(d), "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another apply is under way", d), f.Close())
	}
	return func() { _ = f.Close() }, nil // closing the file releases the lock
}

// replace replaces the configuration in force atomically: a reader finds the whole old file or the
// whole new one. Both the file and the folder are synced to disk.
func (d Dir) replace(text []byte) error {
	f, err := os.CreateTemp(string(d), "next-*.json")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), d.active())
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	folder, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Print writes a plan in readable form.
func Print(out io.Writer, changes []Change) {
	if len(changes) == 0 {
		fmt.Fprintln(out, "No changes: the file is in force.")
		return
	}
	for _, c := range changes {
		fmt.Fprintln(out, c)
	}
	fmt.Fprintf(out, "%d keys differ.\n", len(changes))
}
