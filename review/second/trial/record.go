// Command trial runs the cases of the second review. Each case starts the project's own programs as
// separate processes, plays clients, replicas, discovery and the network around them on loopback
// addresses, and judges by what these stand-ins saw.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

// record is record.txt: what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

var rec = &record{out: os.Stdout, start: time.Now()}

func say(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if tempDir != "" {
		text = strings.ReplaceAll(text, tempDir, "DIR")
	}
	fmt.Fprintf(rec.out, "%8.3f  %s\n", time.Since(rec.start).Seconds(), text)
}

// cannotRun ends a case that could not be played.
type cannotRun struct{ why string }

func must(err error, what string) {
	if err != nil {
		panic(cannotRun{what + ": " + err.Error()})
	}
}

// trouble tells whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	cases := map[string]func() bool{}
	for name, f := range allCases {
		cases[name] = f
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec.out = io.MultiWriter(f, os.Stdout)
	os.Exit(play(cases[os.Args[1]]))
}

// play runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func play(run func() bool) (code int) {
	defer endAll()
	defer func() {
		if r := recover(); r != nil {
			why, ok := r.(cannotRun)
			if !ok {
				why = cannotRun{fmt.Sprint("fault of the case: ", r)}
			}
			say("the case could not run: %s", why.why)
			code = 2
		}
	}()
	time.AfterFunc(110*time.Second, func() {
		say("the case could not run: it took too long")
		endAll()
		os.Exit(2)
	})
	say("trouble: %v", trouble())
	if run() {
		say("the rule was broken")
		return 1
	}
	say("the rule held")
	return 0
}
