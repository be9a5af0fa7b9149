package main

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"standpulley/internal/fake"
	"standpulley/internal/soak"
)

// TestEarlySIGHUPDoesNotEndTheProgram guards against SIGHUP ending the process like a crash when it
// arrives in the first milliseconds, before the program handles it.
func TestEarlySIGHUPDoesNotEndTheProgram(t *testing.T) {
	agent := startAgent(t, startFleet(t, func(x *fake.Exchange) { x.Answer("one") })...)
	for range 5 {
		addr, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		cmd, out := startProgram(t, writeConfig(t, path, addr, agent.Addr, settings, ""))
		for !soak.HandlesSignal(cmd.Process.Pid, syscall.SIGHUP) { // no pause, the signal must arrive right after this
		}
		sendSignal(t, cmd, syscall.SIGHUP)
		waitFor(t, "a ready program", func() bool { return strings.Contains(out.String(), "n0: ready") })
		sendSignal(t, cmd, syscall.SIGHUP)
		waitFor(t, "a later SIGHUP to be handled", func() bool { return strings.Contains(out.String(), "signal: SIGHUP") })
	}
}
