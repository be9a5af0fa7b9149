package main

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"standpulley/internal/soak"
	"standpulley/internal/standin"
)

// Guards: SIGHUP in the first milliseconds of a process, before it listened for it, ended it as if it had crashed.
func TestHangUpOfTheFirstMomentDoesNotEndTheProgram(t *testing.T) {
	agent := agentOf(t, fleet(t, func(x *standin.Exchange) { x.Answer("one") })...)
	for range 5 {
		addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		cmd, out := start(t, configure(t, path, addr, agent.Addr, settings, ""))
		for !soak.Handles(cmd.Process.Pid, syscall.SIGHUP) { // no pause: the next moment is what counts
		}
		signalTo(t, cmd, syscall.SIGHUP)
		wait(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		signalTo(t, cmd, syscall.SIGHUP)
		wait(t, "a later SIGHUP to be taken up", func() bool { return strings.Contains(out.String(), "signal: SIGHUP") })
	}
}
