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

// measureCmd prints tables for docs/agreement.md.
type measureCmd struct {
	Within  time.Duration `default:"2s" help:"The promise's time."`
	Sizes   []int         `default:"3,15,40" help:"Numbers of processes."`
	Changes int           `default:"40" help:"Versions for each size."`
	Crowd   int           `default:"300" help:"Members beside the voters, for the leader's load."`
	Only    []string      `help:"Of: change, dead, rest, worth, alone, crowd."`
}

func (m measureCmd) wants(what string) bool { return len(m.Only) == 0 || slices.Contains(m.Only, what) }

// fleet starts one and hands it to f.
func (m measureCmd) fleet(c *cli, size, rate int, alone string, f func(b *proving.Bench) error) error {
	s := proving.Script{Name: "measure", Voters: 3, Within: m.Within.String(), Alone: alone, Rate: rate, Last: "0s"}
	if size >= 15 {
		s.Voters = 5
	}
	s.Others = size - s.Voters
	return bench(c, s, f)
}

// bench starts a fleet and hands it to f.
func bench(c *cli, s proving.Script, f func(b *proving.Bench) error) error {
	subject, err := c.subject(s)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	b, err := proving.NewBench(s, subject, folder)
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
	}{{"change", m.change}, {"dead", m.dead}, {"rest", m.rest}, {"worth", m.worth}, {"alone", m.alone}, {"crowd", m.crowd}} {
		if !m.wants(part.name) {
			continue
		}
		if err := part.run(c); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		fmt.Println()
	}
	return nil
}

func row(name string, took []time.Duration) {
	slices.Sort(took)
	fmt.Printf("| %s | %d | %v | %v | %v |\n", name, len(took), proving.Percentile(took, 0.5).Round(100*time.Microsecond),
		proving.Percentile(took, 0.99).Round(100*time.Microsecond), took[len(took)-1].Round(100*time.Microsecond))
}

// change measures from the proposal until the last dispatcher acts on the version.
func (m measureCmd) change(c *cli) error {
	fmt.Println("| processes | versions | p50 | p99 | longest |\n| --- | --- | --- | --- | --- |")
	for _, size := range m.Sizes {
		err := m.fleet(c, size, 0, "safe", func(b *proving.Bench) error {
			var took []time.Duration
			for range m.Changes {
				d, err := b.ProposeChange()
				if err != nil {
					return err
				}
				took = append(took, d)
				time.Sleep(20 * time.Millisecond)
			}
			row(fmt.Sprint(size), took)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// dead measures the same with a dispatcher, then a voter, that was killed just before.
func (m measureCmd) dead(c *cli) error {
	fmt.Println("| one killed just before, of 15 | versions | p50 | p99 | longest |\n| --- | --- | --- | --- | --- |")
	return m.fleet(c, 15, 0, "safe", func(b *proving.Bench) error {
		for _, who := range []int{14, 4} {
			var took []time.Duration
			for range max(m.Changes/4, 3) {
				b.Kill(b.Dispatchers[who])
				d, err := b.ProposeChange()
				if err != nil {
					return err
				}
				took = append(took, d)
				if err := b.Restart(b.Dispatchers[who]); err != nil {
					return err
				}
			}
			row(b.Dispatchers[who].Name, took)
		}
		return nil
	})
}

// rest measures what is said where nothing changes, and memory.
func (m measureCmd) rest(c *cli) error {
	fmt.Println("| processes | dispatcher | calls a second, in and out | bytes a second, in and out | processor | memory |\n| --- | --- | --- | --- | --- | --- |")
	for _, size := range m.Sizes {
		err := m.fleet(c, size, 0, "safe", func(b *proving.Bench) error {
			return m.load(b, size, []int{0, 1, size - 1})
		})
		if err != nil {
			return err
		}
	}
	return nil
}

const restTime = 10 * time.Second

func (m measureCmd) load(b *proving.Bench, size int, who []int) error {
	for _, i := range slices.Compact(who) {
		d := b.Dispatchers[i]
		before, err := b.Status(d)
		if err != nil {
			return err
		}
		cpu, err := d.CPU()
		if err != nil {
			return err
		}
		time.Sleep(restTime)
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
			return fmt.Sprintf("%.0f, %.0f", float64(x[0]-y[0])/restTime.Seconds(), float64(x[1]-y[1])/restTime.Seconds())
		}
		fmt.Printf("| %d | %s | %s | %s | %.1f%% | %.1f MB |\n", size, role, each(after.Calls, before.Calls), each(after.Bytes, before.Bytes),
			100*(used-cpu).Seconds()/restTime.Seconds(), memory)
	}
	return nil
}

// worth compares, in one run and in turn, stretches in which versions change with such in which none does.
func (m measureCmd) worth(c *cli) error {
	const stretch, turns = 5 * time.Second, 3
	fmt.Println("| stretches of 5 s, in turn | worth served | p50 | p99 |\n| --- | --- | --- | --- |")
	return m.fleet(c, 15, 20, "safe", func(b *proving.Bench) error {
		type span struct {
			from, to time.Duration
			changes  int
		}
		var spans [2][]span
		for range turns {
			for kind := range 2 {
				s := span{from: b.Now()}
				for end := s.from + stretch; b.Now() < end; {
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
			var took []time.Duration
			for _, s := range spans[kind] {
				worth, t := b.EarnedShare(b.Dispatchers, s.from, s.to)
				share += worth / turns
				took = append(took, t...)
				changes += s.changes
			}
			slices.Sort(took)
			fmt.Printf("| %s (%d) | %.4f | %v | %v |\n", name, changes, share, proving.Percentile(took, 0.5).Round(100*time.Microsecond),
				proving.Percentile(took, 0.99).Round(100*time.Microsecond))
		}
		return nil
	})
}

// alone compares what a dispatcher serves while a majority of the voters is gone.
func (m measureCmd) alone(c *cli) error {
	const gone = 8 * time.Second
	fmt.Println("| alone | worth served before | while two of three voters are dead | acts beyond the lease |\n| --- | --- | --- | --- |")
	for _, mode := range []string{"stop", "safe", "hold"} {
		err := m.fleet(c, 4, 20, mode, func(b *proving.Bench) error {
			left := b.Dispatchers[2:]
			from := b.Now()
			time.Sleep(3 * time.Second)
			dead := b.Now()
			b.Kill(b.Dispatchers[0])
			b.Kill(b.Dispatchers[1])
			time.Sleep(gone)
			to := b.Now()
			before, _ := b.EarnedShare(left, from, dead)
			after, _ := b.EarnedShare(left, dead+m.Within, to)
			late := int64(0)
			for _, d := range left {
				o, err := b.Status(d)
				if err != nil {
					return err
				}
				late += o.LateActs
			}
			fmt.Printf("| %s | %.3f | %.3f | %d |\n", mode, before, after, late)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// crowd measures the leader under many members, which share one process here.
func (m measureCmd) crowd(c *cli) error {
	fmt.Printf("| processes | dispatcher, with %d members | calls a second, in and out | bytes a second, in and out | processor | memory |\n| --- | --- | --- | --- | --- | --- |\n", m.Crowd)
	return m.fleet(c, 3, 0, "safe", func(b *proving.Bench) error {
		log.SetOutput(io.Discard) // each member logs as a dispatcher does
		defer log.SetOutput(os.Stderr)
		crowd, err := b.AddMembers(m.Crowd)
		if err != nil {
			crowd.Close() // those that have begun
			return err
		}
		defer crowd.Close()
		if _, err := crowd.WaitVersion(1); err != nil {
			return err
		}
		if err := m.load(b, 3, []int{0, 1, 2}); err != nil {
			return err
		}
		var took []time.Duration
		for i := range 10 {
			began := time.Now()
			if _, err := b.ProposeChange(); err != nil {
				return err
			}
			if _, err := crowd.WaitVersion(uint64(i + 2)); err != nil {
				return err
			}
			took = append(took, time.Since(began))
		}
		fmt.Printf("\n| in force at all %d | versions | p50 | p99 | longest |\n| --- | --- | --- | --- | --- |\n", m.Crowd+3)
		row("from the proposal", took)
		return nil
	})
}
