package logic

import (
	"math"
	"time"
)

// Decaying sums and hashes.

// decayed is a sum that fades with time.
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

// fade is what is left of something after a time, by its life.
func decay(age, life time.Duration) float64 { return math.Exp(-float64(age) / float64(life)) }

// mix spreads a key over all 64 bits.
func mix(h uint64) uint64 {
	h = (h ^ h>>31) * 0x9e3779b97f4a7c15
	h = (h ^ h>>29) * 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// unit is a number from 0 to 1 by a hash.
func unit(h uint64) float64 { return float64(mix(h)>>11) / (1 << 53) }
