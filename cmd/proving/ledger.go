package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"standpulley/internal/ledger"
	"standpulley/internal/ledgerstore"
	"standpulley/internal/proving"
)

// ledgerMeasureCmd measures the ledger and prints the tables for its documentation.
type ledgerMeasureCmd struct {
	Rates []int         `default:"50,500,2000" help:"Instructions a second."`
	Span  time.Duration `default:"5s" help:"For each rate."`
	Marks int           `default:"1000000" help:"Entries of the ledger that is opened."`
}

func (l ledgerMeasureCmd) Run(c *cli) error {
	fmt.Println("| instructions a second, 3 processes | ledger | served, p50 | p99 | not served | an intent waits, p50 | p99 | commits for each instruction and holder | bytes for each |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, rate := range l.Rates {
		for _, mode := range []string{"", "process", "site", "disk"} {
			if err := l.measureMode(c, rate, mode); err != nil {
				return err
			}
		}
	}
	return l.measureOpen()
}

func (l ledgerMeasureCmd) measureMode(c *cli, rate int, mode string) error {
	s := proving.Script{Name: "ledger", Voters: 3, Within: "2s", Alone: "safe", Last: "0s", Ledger: mode}
	return withBench(c, s, func(b *proving.Bench) error {
		if mode != "" {
			time.Sleep(time.Second) // until all ledger holders are complete
		}
		b.SendInstructions(rate, time.Second) // opens the connections before the measurement
		type figures struct {
			commits, bytes, entries int64
			p50, p99                time.Duration // the highest of all dispatchers
		}
		sumFigures := func() (sum figures, err error) {
			for _, d := range b.Dispatchers {
				f, err := b.LedgerFigures(d)
				if err != nil {
					return sum, err
				}
				sum.commits, sum.bytes, sum.entries = sum.commits+f.Commits, sum.bytes+f.Bytes, sum.entries+f.Entries
				sum.p50, sum.p99 = max(sum.p50, f.WaitP50), max(sum.p99, f.WaitP99)
			}
			return sum, nil
		}
		var before, after figures
		var err error
		if mode != "" {
			if before, err = sumFigures(); err != nil {
				return err
			}
		}
		latencies, failed := b.SendInstructions(rate, l.Span)
		if mode != "" {
			if after, err = sumFigures(); err != nil {
				return err
			}
		}
		slices.Sort(latencies)
		name := mode
		if name == "" {
			name = "off"
		}
		n := float64(max(after.entries-before.entries, 1))
		round := func(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
		fmt.Printf("| %d | %s | %v | %v | %d | %v | %v | %.2f | %.0f |\n", rate, name, round(proving.Percentile(latencies, 0.5)), round(proving.Percentile(latencies, 0.99)), failed,
			round(after.p50), round(after.p99), float64(after.commits-before.commits)/n, float64(after.bytes-before.bytes)/n)
		return nil
	})
}

// measureOpen measures how long a ledger with many entries takes to open, and its memory.
func (l ledgerMeasureCmd) measureOpen() error {
	folder, err := os.MkdirTemp("", "ledger-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	path := filepath.Join(folder, "ledger.db")
	draw := func() uint64 { return 1 }
	log, err := ledgerstore.Open(path, draw, false, func(ledgerstore.Record) {})
	if err != nil {
		return err
	}
	r := rand.New(rand.NewPCG(1, 2))
	for from := 0; from < l.Marks; from += 1000 {
		records := make([]ledgerstore.Record, 1000)
		for i := range records {
			x := &records[i]
			binary.BigEndian.PutUint64(x.Key[:], r.Uint64())
			binary.BigEndian.PutUint64(x.Key[8:], r.Uint64())
			x.Customer = fmt.Sprintf("customer-%d", r.IntN(10000))
			x.Entry.Record(ledger.Attempt{Owner: "v1", Boot: 7, N: uint64(from + i)}, ledger.Ran)
		}
		if err := log.Commit(records, 0); err != nil {
			return err
		}
	}
	if err := log.Close(); err != nil {
		return err
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	table := ledger.NewTable(ledger.Limits{MaxEntries: l.Marks, Retention: time.Hour, Share: 1e9})
	began := time.Now()
	log, err = ledgerstore.Open(path, draw, false, func(x ledgerstore.Record) { table.Merge(x.At, x.Key, x.Customer, x.Entry) })
	if err != nil {
		return err
	}
	took := time.Since(began)
	defer log.Close()
	used := heap() - before
	fmt.Printf("\n%d entries: opened in %v, %d MB of memory, %d MB on disk\n", table.Len(), took.Round(10*time.Millisecond), used>>20, log.Size()>>20)
	return nil
}
