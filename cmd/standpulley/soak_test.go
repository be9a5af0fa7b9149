package main

import (
	"os"
	"testing"
	"time"

	"standpulley/internal/soak"
)

// TestSoak runs a short soak: dispatchers and replicas run as processes with overlapping faults,
// and the rules are checked from outside. More seeds can be run by hand with bin/proving soak.
func TestSoak(t *testing.T) {
	self := soak.Program{Dispatcher: os.Args[0], DispatcherEnv: []string{"STANDPULLEY_AS_PROGRAM=1"}, Replica: os.Args[0]}
	for seed := uint64(1); seed <= 4; seed++ {
		playSoak(t, soak.Generate(seed, soakSize, soakLength), self)
	}
}

// TestSoakWithBadClients is TestSoak with clients that misbehave beside the usual ones, the least
// memory, and the program as it is deployed.
func TestSoakWithBadClients(t *testing.T) {
	binary, err := deployedBinary()
	if err != nil {
		t.Fatal(err)
	}
	deployed := soak.Program{Dispatcher: binary, Replica: os.Args[0], LimitMemory: true}
	for seed := uint64(1); seed <= 3; seed++ {
		scenario := soak.Generate(seed, soakSize, soakLength).WithBadClients()
		scenario.MemoryMB = leastMemoryMB
		playSoak(t, scenario, deployed)
	}
}

// TestSoakWithSpoiltAnswers is TestSoak with answers that are spoilt at some event or written slowly:
// no client may be left waiting on one.
func TestSoakWithSpoiltAnswers(t *testing.T) {
	binary, err := deployedBinary()
	if err != nil {
		t.Fatal(err)
	}
	deployed := soak.Program{Dispatcher: binary, Replica: os.Args[0]}
	for seed := uint64(1); seed <= 3; seed++ {
		playSoak(t, soak.Generate(seed, soakSize, soakLength).WithSpoiltAnswers(), deployed)
	}
}

const (
	soakSize   = 0.4
	soakLength = 5 * time.Second
)

// playSoak plays a scenario and reports each finding with its trace.
func playSoak(t *testing.T, scenario soak.Scenario, p soak.Program) {
	t.Helper()
	rec, err := soak.Run(t.Context(), scenario, p, t.TempDir())
	if err != nil {
		t.Fatalf("seed %d: %v", scenario.Seed, err)
	}
	findings, figures := soak.Judge(rec)
	t.Logf("seed %d: %+v", scenario.Seed, figures)
	for _, f := range findings {
		t.Errorf("seed %d: %v\n%s", scenario.Seed, f, soak.Trace(rec, f))
	}
	if len(findings) > 0 {
		t.Logf("%s", scenario.Describe())
	}
}
