package main

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"standpulley/internal/proving"
)

// listsCmd prints the tables of docs/lists-in-versions.md: dispatchers that agree on lists beside such that go by their own
// registers alone, on the same scripts and seeds.
type listsCmd struct {
	Sizes   []int    `default:"3,15,40" help:"Numbers of processes."`
	Changes int      `default:"30" help:"Changes of the register for each size."`
	Crowd   int      `default:"300" help:"Members beside three voters."`
	Seeds   int      `default:"2" help:"Seeds for each condition, for worth."`
	Alone   string   `default:"safe" help:"What a dispatcher does that has lost contact: safe, stop, hold."`
	Days    []string `help:"For worth: no fault, register up to 5 s late, readers killed, half killed, split; all if none is named."`
	Only    []string `help:"Of: lag, load, herd, crowd, worth."`
}

const listsWithin = time.Second

// modes are the two ways that are compared.
var modes = []struct {
	name  string
	apart bool
}{{"each alone", true}, {"agreed lists", false}}

func (l listsCmd) Run(c *cli) error {
	for _, part := range []struct {
		name string
		run  func(*cli) error
	}{{"lag", l.lag}, {"load", l.load}, {"herd", l.herd}, {"crowd", l.crowd}, {"worth", l.worth}} {
		if len(l.Only) > 0 && !slices.Contains(l.Only, part.name) {
			continue
		}
		if err := part.run(c); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		fmt.Println()
	}
	return nil
}

func (l listsCmd) fleet(c *cli, size, rate int, apart bool, f func(b *proving.Bench) error) error {
	s := proving.Script{Name: "lists", Voters: 3, Within: listsWithin.String(), Alone: l.Alone, Rate: rate, Last: "0s", Lists: true, Standalone: apart}
	if size >= 10 {
		s.Voters = 5
	}
	s.Others = size - s.Voters
	return bench(c, s, f)
}

func atOnce(int) time.Duration { return 0 }

// lag measures from a change of the register until the last dispatcher goes by it, where all agents hear at once and where
// each hears after a time of its own.
func (l listsCmd) lag(c *cli) error {
	fmt.Println("| from the register's change to the last dispatcher | processes | changes | p50 | p99 | longest |\n| --- | --- | --- | --- | --- | --- |")
	for _, late := range []time.Duration{0, 5 * time.Second} {
		for _, size := range l.Sizes {
			for _, mode := range modes {
				err := l.fleet(c, size, 0, mode.apart, func(b *proving.Bench) error {
					r := rand.New(rand.NewPCG(1, uint64(size)))
					var took []time.Duration
					n := l.Changes
					if late > 0 {
						n = 5
					}
					for i := range n {
						d, err := b.ChangeWeight(2+float64(i%2), func(int) time.Duration { return rand01(r, late) })
						if err != nil {
							return err
						}
						took = append(took, d)
						time.Sleep(100 * time.Millisecond)
					}
					word := mode.name
					if late > 0 {
						word += fmt.Sprintf(", agents up to %v late", late)
					}
					row(fmt.Sprintf("%s | %d", word, size), took)
					return nil
				})
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func rand01(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Float64() * float64(most))
}

// load measures what is asked of the register at rest, and while it changes each second.
func (l listsCmd) load(c *cli) error {
	const span = 12 * time.Second
	fmt.Println("| asked of the register | processes | calls a second at rest | while it changes each second | bytes a second at rest | while it changes |\n| --- | --- | --- | --- | --- | --- |")
	for _, size := range l.Sizes {
		for _, mode := range modes {
			err := l.fleet(c, size, 0, mode.apart, func(b *proving.Bench) error {
				time.Sleep(2 * time.Second)
				var calls, bytes [2]float64
				for kind := range 2 {
					a0, w0, b0 := b.RegistryLoad()
					for i := range int(span / time.Second) {
						if kind == 1 {
							b.SetWeight("writer-2", float64(2+i%2))
						}
						time.Sleep(time.Second)
					}
					a1, w1, b1 := b.RegistryLoad()
					calls[kind] = float64(a1+w1-a0-w0) / span.Seconds()
					bytes[kind] = float64(b1-b0) / span.Seconds()
				}
				fmt.Printf("| %s | %d | %.1f | %.1f | %.0f | %.0f |\n", mode.name, size, calls[0], calls[1], bytes[0], bytes[1])
				return nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// herd has all dispatchers end and start at once before a register that takes few calls a second.
func (l listsCmd) herd(c *cli) error {
	const took, span = 10, 20 * time.Second
	fmt.Printf("| all start at once, the register takes %d calls a second | processes | answered | turned away | all serve after |\n| --- | --- | --- | --- | --- |\n", took)
	for _, mode := range modes {
		size := l.Sizes[len(l.Sizes)-1]
		err := l.fleet(c, size, 0, mode.apart, func(b *proving.Bench) error {
			b.KillAll(b.Dispatchers)
			b.LimitRegistry(took)
			a0, w0, _ := b.RegistryLoad()
			began := time.Now()
			if err := b.StartAll(b.Dispatchers); err != nil {
				return err
			}
			if err := b.WaitServing(); err != nil {
				return err
			}
			all := time.Since(began)
			time.Sleep(max(span-time.Since(began), 0))
			a1, w1, _ := b.RegistryLoad()
			fmt.Printf("| %s | %d | %d | %d | %v |\n", mode.name, size, a1-a0, w1-w0, all.Round(10*time.Millisecond))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// crowd measures the lag with many members, which share one process here.
func (l listsCmd) crowd(c *cli) error {
	return l.fleet(c, 3, 0, false, func(b *proving.Bench) error {
		log.SetOutput(io.Discard) // each member logs as a dispatcher does
		defer log.SetOutput(os.Stderr)
		crowd, err := b.AddMembers(l.Crowd)
		if err != nil {
			crowd.Close() // those that have begun
			return err
		}
		defer crowd.Close()
		if _, err := crowd.WaitVersion(1); err != nil {
			return err
		}
		time.Sleep(2 * listsWithin) // until all are counted
		fmt.Println("| from the register's change to the last dispatcher | processes | changes | p50 | p99 | longest |\n| --- | --- | --- | --- | --- | --- |")
		var took []time.Duration
		a0, w0, _ := b.RegistryLoad()
		begin := time.Now()
		for i := range l.Changes {
			began := time.Now()
			if _, err := b.ChangeWeight(2+float64(i%2), atOnce); err != nil {
				return err
			}
			number, err := b.ListVersion()
			if err != nil {
				return err
			}
			if err := crowd.WaitList(number); err != nil {
				return err
			}
			took = append(took, time.Since(began))
			time.Sleep(100 * time.Millisecond)
		}
		a1, w1, _ := b.RegistryLoad()
		row(fmt.Sprintf("agreed lists | %d", l.Crowd+3), took)
		fmt.Printf("\nasked of the register meanwhile: %.1f calls a second, of %d changes in %v\n", float64(a1+w1-a0-w0)/time.Since(begin).Seconds(), l.Changes,
			time.Since(begin).Round(time.Second))
		return nil
	})
}

// worth plays the same day with both ways: replicas are replaced one by one, each loses its power 2 s after it drains.
func (l listsCmd) worth(c *cli) error {
	const size, rate, span = 10, 20, 16 * time.Second
	fmt.Println("| worth served, 10 processes | seed | each alone | agreed lists | of alone |\n| --- | --- | --- | --- | --- |")
	for _, condition := range []string{"no fault", "register up to 5 s late", "readers killed", "half killed", "split"} {
		for seed := range l.Seeds {
			if len(l.Days) > 0 && !slices.Contains(l.Days, condition) {
				continue
			}
			var got [2]float64
			var readers []string
			for _, kind := range []int{1, 0} { // the agreed one first: it tells who reads
				err := l.fleet(c, size, rate, modes[kind].apart, func(b *proving.Bench) error {
					r := rand.New(rand.NewPCG(uint64(seed), 21))
					late := time.Duration(0)
					if condition == "register up to 5 s late" {
						late = 5 * time.Second
					}
					if kind == 1 {
						some, err := b.Readers()
						if err != nil {
							return err
						}
						for _, d := range some {
							readers = append(readers, d.Name)
						}
					}
					from := b.Now()
					if err := l.day(b, condition, readers, func(int) time.Duration { return rand01(r, late) }, from); err != nil {
						return err
					}
					time.Sleep(from + span - b.Now())
					got[kind], _ = b.EarnedShare(b.Dispatchers, from, b.Now())
					return nil
				})
				if err != nil {
					return err
				}
			}
			fmt.Printf("| %s | %d | %.4f | %.4f | %.3f |\n", condition, seed, got[0], got[1], got[1]/got[0])
		}
	}
	return nil
}

// day is what happens in worth.
func (l listsCmd) day(b *proving.Bench, condition string, readers []string, late func(int) time.Duration, from time.Duration) error {
	var failed error
	note := func(err error) {
		if err != nil && failed == nil {
			failed = err
		}
	}
	until := func(at time.Duration) { time.Sleep(from + at - b.Now()) }
	gone := []string{"reader-0", "writer-2", "reader-1", "writer-3"}
	trouble := func() (undo func()) {
		switch condition {
		case "readers killed":
			some := b.DispatchersNamed(readers...)
			b.KillAll(some)
			return func() { note(b.StartAll(some)) }
		case "half killed":
			some := b.Dispatchers[len(b.Dispatchers)/2:]
			b.KillAll(some)
			return func() { note(b.StartAll(some)) }
		case "split":
			b.SetPartition(true)
			return func() { b.SetPartition(false) }
		}
		return func() {}
	}
	undo := func() {}
	for i, replica := range gone {
		at := time.Duration(1+3*i) * time.Second
		until(at)
		note(b.ChangeRegistry("", "new", late))
		note(b.ChangeRegistry(replica, "terminating", late))
		if i == 1 {
			undo = trouble()
		}
		until(at + 2*time.Second)
		b.HangReplica(replica)
		note(b.ChangeRegistry(replica, "gone", late))
		if i == 2 {
			undo()
		}
	}
	return failed
}
