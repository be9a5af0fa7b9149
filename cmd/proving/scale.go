package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"standpulley/internal/soak"
)

type scaleCmd struct {
	Replicas int           `default:"3200" help:"Replicas of the large fleet."`
	Usual    int           `default:"200" help:"Replicas of the fleet that it is held against."`
	Siblings int           `default:"1" help:"Dispatchers that the settings tell of, of which one is played."`
	Rate     float64       `default:"120" help:"Requests a second."`
	Sessions int           `default:"2000" help:"Sessions that the requests belong to."`
	Sockets  int           `default:"1024" help:"The dispatcher's limit of descriptors."`
	Seed     uint64        `default:"1" help:"Seed of the traffic and of what is replaced."`
	Quiet    bool          `help:"Nothing is replaced, and no zone is silent."`
	Length   time.Duration `default:"21s" help:"Of the traffic."`
}

// bound limits a figure of the large fleet by the same figure of the usual fleet.
type bound struct {
	name          string
	large, usual  float64
	ratio, offset float64
	perThousand   float64
	minimum       bool // the limit is a lower one
}

func (b bound) allowed(replicas int) float64 {
	return b.ratio*b.usual + b.offset + b.perThousand*float64(replicas)/1000
}

func (b bound) holds(replicas int) bool {
	if b.minimum {
		return b.large >= b.allowed(replicas)
	}
	return b.large <= b.allowed(replicas)
}

// Run plays one dispatcher with a fleet of the usual size and one with a large fleet, and prints
// the resources that each needed.
func (s *scaleCmd) Run(c *cli) error {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	usual, usualServed, usualBroken, err := s.playFleet(s.Usual, binary, c.Keep)
	if err != nil {
		return err
	}
	large, served, broken, err := s.playFleet(s.Replicas, binary, c.Keep)
	if err != nil {
		return err
	}
	const mb, kb = 1 << 20, 1 << 10
	bounds := []bound{
		{"CPU seconds", large.CPU.Seconds(), usual.CPU.Seconds(), 1.4, 0.02, 0.03, false},
		{"peak memory, MB", float64(large.PeakMemory) / mb, float64(usual.PeakMemory) / mb, 1.5, 8, 4, false},
		{"descriptors", float64(large.Descriptors), float64(usual.Descriptors), 2, 40, 0, false},
		{"connections to replicas", float64(large.Connections), float64(usual.Connections), 2.5, 40, 0, false},
		{"list bytes, KB", float64(large.ListBytes) / kb, float64(usual.ListBytes) / kb, 2, 64, 500, false},
		{"share served", served, usualServed, 0.85, 0, 0, true},
	}
	fmt.Printf("%-24s %10d %10d %8s %10s\n", "replicas", s.Usual, s.Replicas, "ratio", "bound")
	failed := usualBroken + broken
	for _, b := range bounds {
		verdict := ""
		if !b.holds(s.Replicas) {
			verdict = "  falls short"
			failed++
		}
		fmt.Printf("%-24s %10.3f %10.3f %8.2f %10.3f%s\n", b.name, b.usual, b.large, b.large/b.usual, b.allowed(s.Replicas), verdict)
	}
	if failed > 0 {
		return errors.New("falls short")
	}
	fmt.Println("kept")
	return nil
}

// playFleet plays one fleet and prints the violated rules.
func (s *scaleCmd) playFleet(replicas int, binary, keep string) (costs soak.Costs, served float64, broken int, err error) {
	folder, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return costs, 0, 0, err
	}
	scenario := soak.LargeScenario{Seed: s.Seed, Replicas: replicas, Siblings: s.Siblings, Rate: s.Rate, Sessions: s.Sessions, Sockets: s.Sockets, Quiet: s.Quiet, Length: s.Length}
	rec, costs, err := soak.RunLarge(context.Background(), scenario, soak.Program{Dispatcher: binary}, folder)
	if err != nil {
		return costs, 0, 0, fmt.Errorf("%d replicas: %w (its files: %s)", replicas, err, folder)
	}
	findings, f := soak.Judge(rec)
	fmt.Printf("%d replicas: asked %d, served %d, refused %d, failed %d, left %d, unheard %d, crossed %d; held at most %v, held back %d; stall %v\n",
		replicas, f.Requests, f.Served, f.Refused, f.Failed, f.ClientClosed, f.Unanswered, f.ClosedUnread, f.LongestHeld.Round(time.Millisecond), f.DelayedStreams, rec.Stall.Round(time.Millisecond))
	printFindings(findings)
	if keep == "" {
		_ = os.RemoveAll(folder) // a leftover temporary folder does no harm
	} else {
		to := soak.LargeRunDir(keep, scenario)
		_ = os.RemoveAll(to) // left by an earlier run
		if err := errors.Join(os.MkdirAll(keep, 0o755), os.Rename(folder, to)); err != nil {
			return costs, 0, 0, err
		}
	}
	return costs, float64(f.Served) / float64(max(f.Requests-f.ClientClosed-f.ClosedUnread, 1)), len(findings), nil
}

// printFindings prints how often each rule was violated, and the first three findings of each.
func printFindings(findings []soak.Finding) {
	count := map[string]int{}
	for _, f := range findings {
		if count[f.Rule]++; count[f.Rule] <= 3 {
			fmt.Println("   ", f)
		}
	}
	for rule, n := range count {
		fmt.Printf("    %s: %d times\n", rule, n)
	}
}
