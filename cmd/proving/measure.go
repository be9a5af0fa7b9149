package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"slices"
	"time"

	"standpulley/internal/proving"
)

// measureCmd measures how versions reach all dispatchers and prints the tables for the
// documentation.
type measureCmd struct {
	Within  time.Duration `default:"2s" help:"The promise's time."`
	Sizes   []int         `default:"3,15,40" help:"Numbers of processes."`
	Changes int           `default:"40" help:"Versions for each size."`
	Crowd   int           `default:"300" help:"Members beside the voters, for the leader's load."`
	Only    []string      `help:"Of: change, dead, rest, worth, alone, crowd."`
}

func (m measureCmd) selected(what string) bool {
	return len(m.Only) == 0 || slices.Contains(m.Only, what)
}

// withFleet starts a fleet, calls f with it and stops it.
func (m measureCmd) withFleet(c *cli, size, rate int, alone string, f func(b *proving.Bench) error) error {
	s := proving.Script{Name: "measure", Voters: 3, Within: m.Within.String(), Alone: alone, Rate: rate, Last: "0s"}
	if size >= 15 {
		s.Voters = 5
	}
	s.Others = size - s.Voters
	return withBench(c, s, f)
}

// withBench starts the fleet of a script, calls f with it and stops it.
func withBench(c *cli, s proving.Script, f func(b *proving.Bench) error) error {
	program, err := c.program(s)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	b, err := proving.NewBench(s, program, folder)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		return err
	}
	return f(b)
}

func (m measureCmd) Run(c *cli) error {
	for _, part := range []struct {
		name string
		run  func(*cli) error
	}{{"change", m.measureChange}, {"dead", m.measureAfterKill}, {"rest", m.measureIdle}, {"worth", m.measureWorth}, {"alone", m.measureNoMajority}, {"crowd", m.measureManyMembers}} {
		if !m.selected(part.name) {
			continue
		}
		if err := part.run(c); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		fmt.Println()
	}
	return nil
}

func printRow(name string, durations []time.Duration) {
	slices.Sort(durations)
	fmt.Printf("| %s | %d | %v | %v | %v |\n", name, len(durations), proving.Percentile(durations, 0.5).Round(100*time.Microsecond),
		proving.Percentile(durations, 0.99).Round(100*time.Microsecond), durations[len(durations)-1].Round(100*time.Microsecond))
}

// measureChange measures the time from a proposal until the last dispatcher acts on the version.
func (m measureCmd) measureChange(c *cli) error {
	fmt.Println("| processes | versions | p50 | p99 | longest |\n| --- | --- | --- | --- | --- |")
	for _, size := range m.Sizes {
		err := m.withFleet(c, size, 0, "safe", func(b *proving.Bench) error {
			var durations []time.Duration
			for range m.Changes {
				d, err := b.ProposeChange()
				if err != nil {
					return err
				}
				durations = append(durations, d)
				time.Sleep(20 * time.Millisecond)
			}
			printRow(fmt.Sprint(size), durations)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureAfterKill measures the same just after a dispatcher, and then a voter, was killed.
func (m measureCmd) measureAfterKill(c *cli) error {
	fmt.Println("| one killed just before, of 15 | versions | p50 | p99 | longest |\n| --- | --- | --- | --- | --- |")
	return m.withFleet(c, 15, 0, "safe", func(b *proving.Bench) error {
		for _, killed := range []int{14, 4} {
			var durations []time.Duration
			for range max(m.Changes/4, 3) {
				b.Kill(b.Dispatchers[killed])
				d, err := b.ProposeChange()
				if err != nil {
					return err
				}
				durations = append(durations, d)
				if err := b.Restart(b.Dispatchers[killed]); err != nil {
					return err
				}
			}
			printRow(b.Dispatchers[killed].Name, durations)
		}
		return nil
	})
}

// measureIdle measures the traffic between dispatchers, CPU time and memory while no version
// changes.
func (m measureCmd) measureIdle(c *cli) error {
	fmt.Println("| processes | dispatcher | calls a second, in and out | bytes a second, in and out | processor | memory |\n| --- | --- | --- | --- | --- | --- |")
	for _, size := range m.Sizes {
		err := m.withFleet(c, size, 0, "safe", func(b *proving.Bench) error {
			return m.measureResources(b, size, []int{0, 1, size - 1})
		})
		if err != nil {
			return err
		}
	}
	return nil
}

const idleTime = 10 * time.Second

func (m measureCmd) measureResources(b *proving.Bench, size int, indexes []int) error {
	for _, i := range slices.Compact(indexes) {
		d := b.Dispatchers[i]
		before, err := b.Status(d)
		if err != nil {
			return err
		}
		cpu, err := d.CPU()
		if err != nil {
			return err
		}
		time.Sleep(idleTime)
		after, err := b.Status(d)
		if err != nil {
			return err
		}
		used, err := d.CPU()
		if err != nil {
			return err
		}
		memory, err := d.Memory()
		if err != nil {
			return err
		}
		role := "another"
		if after.Voter {
			role = "a voter"
		}
		if after.Leader == d.Name {
			role = "the one that leads"
		}
		each := func(x, y [2]int64) string {
			return fmt.Sprintf("%.0f, %.0f", float64(x[0]-y[0])/idleTime.Seconds(), float64(x[1]-y[1])/idleTime.Seconds())
		}
		fmt.Printf("| %d | %s | %s | %s | %.1f%% | %.1f MB |\n", size, role, each(after.Calls, before.Calls), each(after.Bytes, before.Bytes),
			100*(used-cpu).Seconds()/idleTime.Seconds(), memory)
	}
	return nil
}

// measureWorth compares the credit earned in periods in which versions change with periods in which
// none does. The periods alternate within one run.
func (m measureCmd) measureWorth(c *cli) error {
	const periodLength, rounds = 5 * time.Second, 3
	fmt.Println("| stretches of 5 s, in turn | worth served | p50 | p99 |\n| --- | --- | --- | --- |")
	return m.withFleet(c, 15, 20, "safe", func(b *proving.Bench) error {
		type span struct {
			from, to time.Duration
			changes  int
		}
		var spans [2][]span
		for range rounds {
			for kind := range 2 {
				s := span{from: b.Now()}
				for end := s.from + periodLength; b.Now() < end; {
					if kind == 1 {
						if _, err := b.ProposeChange(); err != nil {
							return err
						}
						s.changes++
					}
					time.Sleep(250 * time.Millisecond)
				}
				s.to = b.Now()
				spans[kind] = append(spans[kind], s)
			}
		}
		for kind, name := range []string{"no change", "versions change"} {
			share, changes := 0.0, 0
			var latencies []time.Duration
			for _, s := range spans[kind] {
				worth, t := b.EarnedShare(b.Dispatchers, s.from, s.to)
				share += worth / rounds
				latencies = append(latencies, t...)
				changes += s.changes
			}
			slices.Sort(latencies)
			fmt.Printf("| %s (%d) | %.4f | %v | %v |\n", name, changes, share, proving.Percentile(latencies, 0.5).Round(100*time.Microsecond),
				proving.Percentile(latencies, 0.99).Round(100*time.Microsecond))
		}
		return nil
	})
}

// measureNoMajority compares what dispatchers serve before and while a majority of the voters is
// down.
func (m measureCmd) measureNoMajority(c *cli) error {
	const downTime = 8 * time.Second
	fmt.Println("| alone | worth served before | while two of three voters are dead | acts beyond the lease |\n| --- | --- | --- | --- |")
	for _, mode := range []string{"stop", "safe", "hold"} {
		err := m.withFleet(c, 4, 20, mode, func(b *proving.Bench) error {
			remaining := b.Dispatchers[2:]
			from := b.Now()
			time.Sleep(3 * time.Second)
			dead := b.Now()
			b.Kill(b.Dispatchers[0])
			b.Kill(b.Dispatchers[1])
			time.Sleep(downTime)
			to := b.Now()
			before, _ := b.EarnedShare(remaining, from, dead)
			after, _ := b.EarnedShare(remaining, dead+m.Within, to)
			lateActions := int64(0)
			for _, d := range remaining {
				o, err := b.Status(d)
				if err != nil {
					return err
				}
				lateActions += o.LateActs
			}
			fmt.Printf("| %s | %.3f | %.3f | %d |\n", mode, before, after, lateActions)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureManyMembers measures the load on the leader with many members. They share the process of
// this command.
func (m measureCmd) measureManyMembers(c *cli) error {
	fmt.Printf("| processes | dispatcher, with %d members | calls a second, in and out | bytes a second, in and out | processor | memory |\n| --- | --- | --- | --- | --- | --- |\n", m.Crowd)
	return m.withFleet(c, 3, 0, "safe", func(b *proving.Bench) error {
		log.SetOutput(io.Discard) // each member logs as a dispatcher does
		defer log.SetOutput(os.Stderr)
		members, err := b.AddMembers(m.Crowd)
		if err != nil {
			members.Close() // those that were added before the error
			return err
		}
		defer members.Close()
		if _, err := members.WaitVersion(1); err != nil {
			return err
		}
		if err := m.measureResources(b, 3, []int{0, 1, 2}); err != nil {
			return err
		}
		var durations []time.Duration
		for i := range 10 {
			began := time.Now()
			if _, err := b.ProposeChange(); err != nil {
				return err
			}
			if _, err := members.WaitVersion(uint64(i + 2)); err != nil {
				return err
			}
			durations = append(durations, time.Since(began))
		}
		fmt.Printf("\n| in force at all %d | versions | p50 | p99 | longest |\n| --- | --- | --- | --- | --- |\n", m.Crowd+3)
		printRow("from the proposal", durations)
		return nil
	})
}
