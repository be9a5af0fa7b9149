package proving

import (
	"fmt"
	"sync"
	"time"

	"standpulley/internal/cluster"
	"standpulley/internal/intentlog"
	"standpulley/internal/program"
)

// SendInstructions sends rate instructions per second in all, each under a key of its own, spread
// over the dispatchers. It returns the latencies of those that were served, and the number of the
// others.
func (b *Bench) SendInstructions(rate int, span time.Duration) (latencies []time.Duration, failed int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	n := 0
	for end := b.Now() + span; b.Now() < end; n++ {
		<-tick.C
		d, key := b.Dispatchers[n%len(b.Dispatchers)], fmt.Sprintf("m-%d-%d-%d", rate, b.sequence, n)
		all.Go(func() {
			a := b.traffic.sendWithResend(d, ClientRequest{Dispatcher: d.Name, ID: key, AtMostOnce: true}, key, "{}")
			mu.Lock()
			defer mu.Unlock()
			if a.Status == 200 && a.Complete {
				latencies = append(latencies, a.Done-a.Sent)
			} else {
				failed++
			}
		})
	}
	b.sequence++
	all.Wait()
	return latencies, failed
}

// LedgerFigures returns the ledger figures of one dispatcher.
func (b *Bench) LedgerFigures(d *Dispatcher) (intentlog.Stats, error) {
	r, err := b.SendCommand(d, cluster.Command{Do: program.LedgerStatus})
	if err != nil || r.Figures == nil {
		return intentlog.Stats{}, fmt.Errorf("no figures: %w %s", err, r.Error)
	}
	return *r.Figures, nil
}
