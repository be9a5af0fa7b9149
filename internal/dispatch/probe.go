package dispatch

import (
	"time"

	"standpulley/logic"
)

// probe asks a server in service whether it is well; any other has not answered at once.
func (d *Dispatcher) probe(id string) {
	s := d.servers[id]
	if s == nil || s.Availability != logic.Ready || d.Prober == nil {
		d.route(logic.Event{Kind: logic.Probed, Server: id, Outcome: logic.NotSent})
		return
	}
	sentAt := d.clock()
	d.Prober.Probe(s.Addr, func(out logic.Outcome) { d.post(probeAnswer{id, sentAt, out}) })
}

// probeAnswer comes when a probe is over.
type probeAnswer struct {
	server string
	sentAt time.Time
	out    logic.Outcome
}

func (a probeAnswer) apply(d *Dispatcher) {
	d.route(logic.Event{Kind: logic.Probed, Server: a.server, Outcome: a.out, Took: d.clock().Sub(a.sentAt)})
}
