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
	const length, size = 5 * time.Second, 0.4
	self := soak.Program{Dispatcher: os.Args[0], DispatcherEnv: []string{"STANDPULLEY_AS_PROGRAM=1"}, Replica: os.Args[0]}
	for seed := uint64(1); seed <= 4; seed++ {
		scenario := soak.Generate(seed, size, length)
		rec, err := soak.Run(t.Context(), scenario, self, t.TempDir())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		findings, figures := soak.Judge(rec)
		t.Logf("seed %d: %+v", seed, figures)
		for _, f := range findings {
			t.Errorf("seed %d: %v\n%s", seed, f, soak.Trace(rec, f))
		}
		if len(findings) > 0 {
			t.Logf("%s", scenario.Describe())
		}
	}
}
