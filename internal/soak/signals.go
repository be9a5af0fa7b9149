package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// HandlesSignal reports whether a process ignores a signal or has a handler for it, so that the
// signal's default action no longer terminates the process.
func HandlesSignal(pid int, sig syscall.Signal) bool {
	for _, mask := range []string{"SigIgn", "SigCgt"} {
		bits, err := strconv.ParseUint(statusField(pid, mask), 16, 64)
		if err == nil && bits&(1<<(sig-1)) != 0 {
			return true
		}
	}
	return false
}

// statusField returns a field of a process in /proc, or nothing if the process has ended.
func statusField(pid int, name string) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return ""
	}
	_, value, _ := strings.Cut(string(text), "\n"+name+":")
	value, _, _ = strings.Cut(value, "\n")
	return strings.TrimSpace(value)
}
