package soak

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// requestID matches the IDs that clients give to their requests.
var requestID = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

// Trace returns what the record says about a finding: the lifetimes of all processes, with their
// signals, and each line of the dispatchers' logs that names a request of the finding or a step of
// the process.
func Trace(rec Record, f Finding) string {
	var out strings.Builder
	since := func(at time.Time) string {
		if at.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", at.Sub(rec.Started).Seconds())
	}
	fmt.Fprintf(&out, "second 0 is %s\n", rec.Started.Format("15:04:05.000000"))
	ids := requestID.FindAllString(f.Text, -1)
	for _, name := range slices.Sorted(maps.Keys(rec.Processes)) {
		for i, p := range rec.Processes[name] {
			fmt.Fprintf(&out, "%s, process %d: started %s, ready %s, SIGTERM %s, SIGKILL %s, exited %s\n", name, i,
				since(p.Started), since(p.Ready), since(p.TermSent), since(p.KillSent), since(p.Exited))
		}
		for line := range strings.Lines(rec.Logs[name]) {
			if namesAny(line, ids) || isProcessStep(line) {
				fmt.Fprintf(&out, "%s %s", name, line)
			}
		}
	}
	return out.String()
}

func namesAny(line string, ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return strings.Contains(line, id) })
}

// isProcessStep reports whether a log line tells of the process as a whole.
func isProcessStep(line string) bool {
	for _, step := range []string{"signal:", "SIGHUP:", "phase:", "draining", "stopped", "standpulley:", "panic:", "lines were dropped"} {
		if strings.Contains(line, step) {
			return true
		}
	}
	return false
}
