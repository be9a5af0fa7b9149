package chat

import "sync"

// bytesPerBodyByte is how much memory a byte of a body takes while it is decoded, at most: a
// conversation of very short turns takes many small allocations, and the body is encoded anew with
// streaming enabled.
const bytesPerBodyByte = 12

// DecodeBudget bounds the memory of bodies from when they were read until their requests are handed
// to the core, which bounds the memory of open requests. It is safe for concurrent use.
type DecodeBudget struct {
	mu    sync.Mutex
	limit int // in bytes
	used  int
}

// SetLimit changes the limit, in bytes.
func (b *DecodeBudget) SetLimit(bytes int) {
	b.mu.Lock()
	b.limit = bytes
	b.mu.Unlock()
}

// reserve reserves what decoding a body of the given size takes, and returns the function that ends
// the reservation. It reports false if there is no room beside the bodies that are being decoded.
func (b *DecodeBudget) reserve(size int) (release func(), ok bool) {
	bytes := size * bytesPerBodyByte
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > 0 && b.used+bytes > b.limit {
		return nil, false
	}
	b.used += bytes
	return sync.OnceFunc(func() {
		b.mu.Lock()
		b.used -= bytes
		b.mu.Unlock()
	}), true
}
