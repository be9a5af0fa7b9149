package program

import (
	"context"
	"log"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	memoryCheckInterval = time.Second
	memoryLogInterval   = 5 * time.Second
	// memoryLogShare is the share of the limit on Go's memory from which on the log tells what takes
	// it. A process that passes its memory limit is killed and can't tell any more.
	memoryLogShare = 0.8
	// readOnly makes debug.SetMemoryLimit return the limit and leave it as it is.
	readOnly = -1
)

// memoryUse is what the parts of the process that clients can fill take at present.
type memoryUse struct {
	goBytes      int // memory of the Go runtime, without what it has returned
	limitBytes   int // of goBytes, from which on garbage is collected more aggressively
	connections  int
	bodyBytes    int
	aheadBytes   int
	payloadBytes int
}

func (p *program) memoryUse() memoryUse {
	clients := p.limiter.Use()
	m := memoryUse{goBytes: goMemory(), limitBytes: int(debug.SetMemoryLimit(readOnly)), connections: clients.Connections,
		bodyBytes: clients.BodyBytes, aheadBytes: clients.AheadBytes}
	if s := p.live.Load(); s != nil {
		m.payloadBytes = s.core.PayloadBytes()
	}
	return m
}

// goMemory returns the memory of the Go runtime in bytes, without what it has returned to the system.
func goMemory() int {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// watchMemory logs what takes the memory while much of it is in use, until ctx ends.
func (p *program) watchMemory(ctx context.Context) {
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	var lastLogged time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		m := p.memoryUse()
		if float64(m.goBytes) < memoryLogShare*float64(m.limitBytes) || time.Since(lastLogged) < memoryLogInterval {
			continue
		}
		lastLogged = time.Now()
		log.Printf("memory: %d of %d bytes; %d connections of clients, %d bytes of bodies, %d read ahead, %d of open requests",
			m.goBytes, m.limitBytes, m.connections, m.bodyBytes, m.aheadBytes, m.payloadBytes)
	}
}
