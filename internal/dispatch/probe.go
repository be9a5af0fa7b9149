package dispatch

import (
	"time"

	"standpulley/logic"
)

// probe probes a server in service. For any other server, or without a Prober, the probe fails at
// once with NotSent.
func (d *Dispatcher) probe(id string) {
	s := d.servers[id]
	if s == nil || s.Availability != logic.Ready || d.Prober == nil {
		d.route(logic.Event{Kind: logic.Probed, Server: id, Outcome: logic.NotSent})
		return
	}
	sentAt := d.clock()
	d.Prober.Probe(s.Addr, func(out logic.Outcome) { d.post(probeAnswer{id, sentAt, out}) })
}

// probeAnswer is posted when a probe has ended.
type probeAnswer struct {
	server  string
	sentAt  time.Time
	outcome logic.Outcome
}

func (a probeAnswer) apply(d *Dispatcher) {
	d.route(logic.Event{Kind: logic.Probed, Server: a.server, Outcome: a.outcome, Took: d.clock().Sub(a.sentAt)})
}
