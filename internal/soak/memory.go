package soak

import (
	"strconv"
	"strings"
	"time"
)

// checkMemory checks that no process has passed its memory limit. A build with the race detector
// takes many times as much.
func (j *judge) checkMemory() {
	if !j.MemoryIsLimited {
		return
	}
	for name, processes := range j.Processes {
		for i, p := range processes {
			if limit := j.Scenario.memoryMB() << 20; p.PeakMemory > limit {
				j.addFinding(RuleCrash, "%s, process %d, had %d KB resident, limit %d", name, i, p.PeakMemory>>10, limit>>10)
			}
		}
	}
}

const memoryCheckInterval = 100 * time.Millisecond

// watchMemory records the most memory that a process has had resident until it exits.
func (d *dispatcher) watchMemory(pid int, process *Process) {
	for {
		peak := PeakMemory(pid)
		d.mu.Lock()
		process.PeakMemory = max(process.PeakMemory, peak)
		ended := !process.Exited.IsZero()
		d.mu.Unlock()
		if ended {
			return
		}
		time.Sleep(memoryCheckInterval)
	}
}

// PeakMemory returns the most memory in bytes that a process has had resident, or 0 if it has ended.
func PeakMemory(pid int) int {
	kb, err := strconv.Atoi(strings.TrimSuffix(statusField(pid, "VmHWM"), " kB"))
	if err != nil {
		return 0
	}
	return kb << 10
}
