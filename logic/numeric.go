package logic

import (
	"math"
	"time"
)

// Decaying sums and hashes.

// decayingSum is a sum that decays exponentially with time.
type decayingSum struct {
	value float64
	at    time.Duration
}

func (d *decayingSum) add(now time.Duration, x float64, life time.Duration) float64 {
	if d.value != 0 {
		d.value *= math.Exp(-float64(now-d.at) / float64(life))
	}
	d.at = now
	d.value += x
	return d.value
}

// decay is the fraction of a value that is left at an age, with an exponential decay time of life.
func decay(age, life time.Duration) float64 { return math.Exp(-float64(age) / float64(life)) }

// mix hashes a key to 64 evenly distributed bits.
func mix(h uint64) uint64 {
	h = (h ^ h>>31) * 0x9e3779b97f4a7c15
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// unit maps a hash to a number from 0 to 1.
func unit(h uint64) float64 { return float64(mix(h)>>11) / (1 << 53) }
