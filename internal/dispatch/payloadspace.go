package dispatch

import "sync/atomic"

// payloadSpace bounds the memory of the payloads of all open requests, from their submission on: a
// payload counts before the core has handled the arrival of its request. It is safe for concurrent
// use.
type payloadSpace struct {
	used  atomic.Int64 // bytes
	limit atomic.Int64 // bytes
}

// reserve reserves space for a payload and reports whether there was enough.
func (s *payloadSpace) reserve(bytes int) bool {
	if s.used.Add(int64(bytes)) <= s.limit.Load() {
		return true
	}
	s.used.Add(-int64(bytes))
	return false
}

func (s *payloadSpace) release(bytes int) { s.used.Add(-int64(bytes)) }

// PayloadBytes returns the size of the payloads of all open requests. It may be called from any
// goroutine.
func (d *Dispatcher) PayloadBytes() int { return int(d.payloads.used.Load()) }

// dropPayload frees the payload of a request that will not be sent any more. Timers and queues may
// refer to the request for longer.
func (d *Dispatcher) dropPayload(r *request) {
	r.payload = nil
	if r.hasSpace {
		r.hasSpace = false
		d.payloads.release(r.size)
	}
}
