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
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil { // the process has exited
		return false
	}
	for line := range strings.Lines(string(text)) {
		name, mask, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		bits, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		if err == nil && bits&(1<<(sig-1)) != 0 {
			return true
		}
	}
	return false
}
