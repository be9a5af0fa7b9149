package program

import "testing"

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
