package program

import "testing"

// Guards: a small limit left fewer descriptors than discovery, the door and the runtime hold beside those of clients and replicas.
func TestSharesOfSocketsLeaveEnough(t *testing.T) {
	const others = 40 // 16 callers of the door and 8 that are told to go, discovery, three ports, the runtime's own, and a few more
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
