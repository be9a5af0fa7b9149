package program

import (
	"testing"

	"standpulley/internal/config"
)

// TestSocketSharesLeaveReserve guards against a small socket limit that leaves fewer descriptors
// than discovery, the admin endpoint and the runtime need beside clients and replicas.
func TestSocketSharesLeaveReserve(t *testing.T) {
	// 16 callers of the admin endpoint and 8 refused connections, discovery, three ports, the
	// runtime's own, and a few more.
	const others = 40
	for sockets := 64; sockets < 1<<16; sockets++ {
		clients, replicas := share(sockets)
		if clients+replicas > sockets-others || clients < 8 || replicas < 8 {
			t.Fatalf("%d sockets: %d for clients, %d for replicas", sockets, clients, replicas)
		}
	}
	if clients, replicas := share(1024); clients != 460 || replicas != 409 {
		t.Errorf("%d and %d of 1024", clients, replicas)
	}
}

// TestMemorySharesFitTheLimit guards against bounds that together pass the memory limit: connections
// and open requests were bounded by descriptors alone.
func TestMemorySharesFitTheLimit(t *testing.T) {
	const largestBody, fewConns = 256 << 10, 100
	for memoryMB := 32; memoryMB <= 2048; memoryMB *= 2 {
		l := newProcessLimits(config.Limits{MemoryMB: memoryMB, Sockets: 1024})
		sum := imageBytes + runtimeBytes + l.clientConns*connBytes + l.openRequests*requestBytes + l.payloadBytes + l.bodyReadBytes*3/2 + l.decodeBytes + l.instructionBytes
		if sum > memoryMB<<20 || l.gcLimit >= int64(memoryMB<<20-imageBytes) {
			t.Errorf("%d MB: %+v take %d bytes", memoryMB, l, sum)
		}
		if l.clientConns < fewConns || l.openRequests < fewConns/2 || l.payloadBytes < 2*largestBody || l.bodyReadBytes < 2*largestBody {
			t.Errorf("%d MB: %+v", memoryMB, l)
		}
	}
	if l := newProcessLimits(config.Limits{MemoryMB: 192, Sockets: 1024}); l.clientConns != 460 || l.openRequests != 512 {
		t.Errorf("with the usual limits: %+v", l)
	}
}
