package main

import (
	"fmt"
	"strings"
	"time"

	"standpulley/internal/proving"
)

// backCmd measures the share of the possible credit that is earned in each second after a power
// loss, and prints it as a table.
type backCmd struct {
	Sizes []int `default:"3,9" help:"Numbers of processes."`
	Rate  int   `default:"30" help:"Requests a second at each dispatcher."`
}

const recoverySpan = 14 * time.Second

func (m backCmd) Run(c *cli) error {
	fmt.Println("Share of the worth served, by second since power is back; replicas are cold and warm up within 6 s.")
	for _, size := range m.Sizes {
		for _, order := range []bool{false, true} {
			s := proving.Script{Name: "back", Voters: 3, Within: "1s", Alone: "safe", Rate: m.Rate, Last: "0s", Lists: true, Ledger: "site", OrderedRecovery: order}
			if size >= 9 {
				s.Voters = 5
			}
			s.Others = size - s.Voters
			err := withBench(c, s, func(b *proving.Bench) error {
				time.Sleep(12 * time.Second) // until the load is steady and its rate is recorded
				b.KillAll(b.Dispatchers)
				time.Sleep(300 * time.Millisecond)
				from := b.Now()
				if err := b.ChangeRegistry("", "restart", noDelay); err != nil {
					return err
				}
				if err := b.StartAll(b.Dispatchers); err != nil {
					return err
				}
				time.Sleep(recoverySpan)
				var curve []string
				first := time.Duration(-1)
				for at := time.Duration(0); at < recoverySpan; at += time.Second {
					share, _ := b.EarnedShare(b.Dispatchers, from+at, from+at+time.Second)
					if share > 0 && first < 0 {
						first = at
					}
					curve = append(curve, fmt.Sprintf("%.2f", share))
				}
				name := "as before"
				if order {
					name = "in stages"
				}
				fmt.Printf("| %d | %s | %s | %v |\n", size, name, strings.Join(curve, " "), b.PeakColdLoad())
				return nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
