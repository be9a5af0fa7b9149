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

// listsCmd prints tables that compare dispatchers with an agreed list of replicas to dispatchers
// that each use their own registry agent alone, on the same scripts and seeds.
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

// listModes are the two modes that are compared.
var listModes = []struct {
	name       string
	standalone bool
}{{"each alone", true}, {"agreed lists", false}}

func (l listsCmd) Run(c *cli) error {
	for _, part := range []struct {
		name string
		run  func(*cli) error
	}{{"lag", l.measureLag}, {"load", l.measureLoad}, {"herd", l.measureRestart}, {"crowd", l.measureManyMembers}, {"worth", l.measureWorth}} {
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

func (l listsCmd) withFleet(c *cli, size, rate int, standalone bool, f func(b *proving.Bench) error) error {
	s := proving.Script{Name: "lists", Voters: 3, Within: listsWithin.String(), Alone: l.Alone, Rate: rate, Last: "0s", Lists: true, OnRequest: true, Standalone: standalone}
	if size >= 10 {
		s.Voters = 5
	}
	s.Others = size - s.Voters
	return withBench(c, s, f)
}

func noDelay(int) time.Duration { return 0 }

// measureLag measures the time from a change of the registry until the last dispatcher uses it,
// first with agents that report the change at once, then with agents that each report it after a
// random delay.
func (l listsCmd) measureLag(c *cli) error {
	fmt.Println("| from the register's change to the last dispatcher | processes | changes | p50 | p99 | longest |\n| --- | --- | --- | --- | --- | --- |")
	for _, maxDelay := range []time.Duration{0, 5 * time.Second} {
		for _, size := range l.Sizes {
			for _, mode := range listModes {
				err := l.withFleet(c, size, 0, mode.standalone, func(b *proving.Bench) error {
					r := rand.New(rand.NewPCG(1, uint64(size)))
					var durations []time.Duration
					n := l.Changes
					if maxDelay > 0 {
						n = 5
					}
					for i := range n {
						d, err := b.ChangeWeight(2+float64(i%2), func(int) time.Duration { return randUpTo(r, maxDelay) })
						if err != nil {
							return err
						}
						durations = append(durations, d)
						time.Sleep(100 * time.Millisecond)
					}
					label := mode.name
					if maxDelay > 0 {
						label += fmt.Sprintf(", agents up to %v late", maxDelay)
					}
					printRow(fmt.Sprintf("%s | %d", label, size), durations)
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

func randUpTo(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Float64() * float64(most))
}

// measureLoad measures the load on the registry while nothing changes, and while a weight changes
// every second.
func (l listsCmd) measureLoad(c *cli) error {
	const span = 12 * time.Second
	fmt.Println("| asked of the register | processes | calls a second at rest | while it changes each second | bytes a second at rest | while it changes |\n| --- | --- | --- | --- | --- | --- |")
	for _, size := range l.Sizes {
		for _, mode := range listModes {
			err := l.withFleet(c, size, 0, mode.standalone, func(b *proving.Bench) error {
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

// measureRestart kills all dispatchers and starts them at the same time with a registry that
// answers few calls per second.
func (l listsCmd) measureRestart(c *cli) error {
	const callLimit, span = 10, 20 * time.Second
	fmt.Printf("| all start at once, the register takes %d calls a second | processes | answered | turned away | all serve after |\n| --- | --- | --- | --- | --- |\n", callLimit)
	for _, mode := range listModes {
		size := l.Sizes[len(l.Sizes)-1]
		err := l.withFleet(c, size, 0, mode.standalone, func(b *proving.Bench) error {
			b.KillAll(b.Dispatchers)
			b.LimitRegistry(callLimit)
			a0, w0, _ := b.RegistryLoad()
			began := time.Now()
			if err := b.StartAll(b.Dispatchers); err != nil {
				return err
			}
			if err := b.WaitServing(); err != nil {
				return err
			}
			servingAfter := time.Since(began)
			time.Sleep(max(span-time.Since(began), 0))
			a1, w1, _ := b.RegistryLoad()
			fmt.Printf("| %s | %d | %d | %d | %v |\n", mode.name, size, a1-a0, w1-w0, servingAfter.Round(10*time.Millisecond))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureManyMembers measures the lag with many members. They share the process of this command.
func (l listsCmd) measureManyMembers(c *cli) error {
	return l.withFleet(c, 3, 0, false, func(b *proving.Bench) error {
		log.SetOutput(io.Discard) // each member logs as a dispatcher does
		defer log.SetOutput(os.Stderr)
		members, err := b.AddMembers(l.Crowd)
		if err != nil {
			members.Close() // those that were added before the error
			return err
		}
		defer members.Close()
		if _, err := members.WaitVersion(1); err != nil {
			return err
		}
		time.Sleep(2 * listsWithin) // until every member is counted in the cluster
		fmt.Println("| from the register's change to the last dispatcher | processes | changes | p50 | p99 | longest |\n| --- | --- | --- | --- | --- | --- |")
		var durations []time.Duration
		a0, w0, _ := b.RegistryLoad()
		begin := time.Now()
		for i := range l.Changes {
			began := time.Now()
			if _, err := b.ChangeWeight(2+float64(i%2), noDelay); err != nil {
				return err
			}
			number, err := b.ListVersion()
			if err != nil {
				return err
			}
			if err := members.WaitList(number); err != nil {
				return err
			}
			durations = append(durations, time.Since(began))
			time.Sleep(100 * time.Millisecond)
		}
		a1, w1, _ := b.RegistryLoad()
		printRow(fmt.Sprintf("agreed lists | %d", l.Crowd+3), durations)
		fmt.Printf("\nasked of the register meanwhile: %.1f calls a second, of %d changes in %v\n", float64(a1+w1-a0-w0)/time.Since(begin).Seconds(), l.Changes,
			time.Since(begin).Round(time.Second))
		return nil
	})
}

// measureWorth measures the share of the possible credit that each mode earns under the same
// sequence of events: replicas are replaced one by one, and each loses power 2 s after it starts to
// drain.
func (l listsCmd) measureWorth(c *cli) error {
	const size, rate, length = 10, 20, 16 * time.Second
	fmt.Println("| worth served, 10 processes | seed | each alone | agreed lists | of alone |\n| --- | --- | --- | --- | --- |")
	for _, condition := range []string{"no fault", "register up to 5 s late", "readers killed", "half killed", "split"} {
		for seed := range l.Seeds {
			if len(l.Days) > 0 && !slices.Contains(l.Days, condition) {
				continue
			}
			var got [2]float64
			var readers []string
			for _, kind := range []int{1, 0} { // agreed lists first: that run names the dispatchers that read the registry
				err := l.withFleet(c, size, rate, listModes[kind].standalone, func(b *proving.Bench) error {
					r := rand.New(rand.NewPCG(uint64(seed), 21))
					maxDelay := time.Duration(0)
					if condition == "register up to 5 s late" {
						maxDelay = 5 * time.Second
					}
					if kind == 1 {
						registryReaders, err := b.Readers()
						if err != nil {
							return err
						}
						for _, d := range registryReaders {
							readers = append(readers, d.Name)
						}
					}
					from := b.Now()
					if err := l.playDay(b, condition, readers, func(int) time.Duration { return randUpTo(r, maxDelay) }, from); err != nil {
						return err
					}
					time.Sleep(from + length - b.Now())
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

// playDay plays the events that measureWorth measures under.
func (l listsCmd) playDay(b *proving.Bench, condition string, readers []string, delay func(int) time.Duration, from time.Duration) error {
	var failed error
	recordErr := func(err error) {
		if err != nil && failed == nil {
			failed = err
		}
	}
	until := func(at time.Duration) { time.Sleep(from + at - b.Now()) }
	replaced := []string{"reader-0", "writer-2", "reader-1", "writer-3"}
	startFault := func() (endFault func()) {
		switch condition {
		case "readers killed":
			affected := b.DispatchersNamed(readers...)
			b.KillAll(affected)
			return func() { recordErr(b.StartAll(affected)) }
		case "half killed":
			affected := b.Dispatchers[len(b.Dispatchers)/2:]
			b.KillAll(affected)
			return func() { recordErr(b.StartAll(affected)) }
		case "split":
			b.SetPartition(true)
			return func() { b.SetPartition(false) }
		}
		return func() {}
	}
	endFault := func() {}
	for i, replica := range replaced {
		at := time.Duration(1+3*i) * time.Second
		until(at)
		recordErr(b.ChangeRegistry("", "new", delay))
		recordErr(b.ChangeRegistry(replica, "terminating", delay))
		if i == 1 {
			endFault = startFault()
		}
		until(at + 2*time.Second)
		b.HangReplica(replica)
		recordErr(b.ChangeRegistry(replica, "gone", delay))
		if i == 2 {
			endFault()
		}
	}
	return failed
}
