package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"standpulley/internal/soak"
)

type soakCmd struct {
	From   uint64        `default:"1" help:"The first seed."`
	To     uint64        `default:"10" help:"The last seed."`
	Length time.Duration `default:"10s" help:"Of the traffic of one seed."`
	Size   float64       `default:"1" help:"Scales the number of processes; 1 is from 10 to 40."`
	Beside int           `default:"2" help:"Seeds that are played at once."`

	BadClients    bool `help:"Clients that misbehave appear too."`
	SpoiltAnswers bool `help:"Some answers are spoilt at some event, or written slowly."`
	MemoryMB      int  `default:"128" help:"Memory limit of each dispatcher."`
	Race          bool `help:"The program has the race detector, and can't keep its memory limit."`
}

// Run plays the seeds and prints a line for each, followed by its findings.
func (s *soakCmd) Run(c *cli) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex // guards the output and the counts
	broken, played := 0, 0
	slots := make(chan bool, max(s.Beside, 1))
	for seed := s.From; seed <= s.To; seed++ {
		slots <- true
		wait.Go(func() {
			defer func() { <-slots }()
			findings, text := s.playSeed(seed, soak.Program{Dispatcher: binary, Replica: self, LimitMemory: !s.Race}, c.Keep)
			mu.Lock()
			defer mu.Unlock()
			played++
			if findings > 0 {
				broken++
			}
			fmt.Print(text)
		})
	}
	wait.Wait()
	fmt.Printf("%d seeds, %d of them with broken rules\n", played, broken)
	if broken > 0 {
		return fmt.Errorf("rules were violated")
	}
	return nil
}

// playSeed plays one seed and returns the number of findings and the text to print.
func (s *soakCmd) playSeed(seed uint64, p soak.Program, keep string) (int, string) {
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return 1, err.Error() + "\n"
	}
	scenario := soak.Generate(seed, s.Size, s.Length)
	scenario.MemoryMB = s.MemoryMB
	if s.BadClients {
		scenario = scenario.WithBadClients()
	}
	if s.SpoiltAnswers {
		scenario = scenario.WithSpoiltAnswers()
	}
	rec, err := soak.Run(context.Background(), scenario, p, folder)
	if err != nil {
		return 1, fmt.Sprintf("seed %d: %v (its files: %s)\n", seed, err, folder)
	}
	findings, f := soak.Judge(rec)
	text := fmt.Sprintf("seed %d: %d dispatchers, %d replicas; asked %d, served %d, refused %d, failed %d, left %d, unheard %d, crossed %d; held at most %v, held back %d; stall %v\n",
		seed, scenario.Dispatchers, scenario.Readers+scenario.Writers, f.Requests, f.Served, f.Refused, f.Failed, f.ClientClosed, f.Unanswered, f.ClosedUnread,
		f.LongestHeld.Round(time.Millisecond), f.DelayedStreams, rec.Stall.Round(time.Millisecond))
	const most = 8
	for i, finding := range findings {
		if i == most {
			text += fmt.Sprintf("    and %d more\n", len(findings)-most)
			break
		}
		text += "    " + finding.String() + "\n"
		if i == 0 {
			text += soak.Trace(rec, finding)
		}
	}
	if len(findings) == 0 || keep == "" {
		_ = os.RemoveAll(folder) // a leftover temporary folder does no harm
		return len(findings), text
	}
	if err := os.WriteFile(filepath.Join(folder, "story.txt"), []byte(scenario.Describe()), 0o600); err != nil {
		return len(findings), text + err.Error() + "\n"
	}
	to := soak.RunDir(keep, seed)
	if err := os.MkdirAll(keep, 0o755); err == nil {
		_ = os.RemoveAll(to) // left by an earlier run
		if err := os.Rename(folder, to); err == nil {
			folder = to
		}
	}
	return len(findings), text + "    its files: " + folder + "\n"
}
