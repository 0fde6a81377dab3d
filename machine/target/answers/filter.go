package answers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

const (
	filterBits   = 1 << 20
	filterProbes = 4
	wordBits     = 64
)

// filter is a Bloom filter of two generations. An attempt stays in it for at least one
// period and at most two.
type filter struct {
	period    time.Duration
	rotatedAt time.Time
	current   []uint64
	previous  []uint64
}

func (f *filter) add(now time.Time, id contract.AttemptID) {
	f.rotate(now)
	if f.current == nil {
		f.current = make([]uint64, filterBits/wordBits)
	}
	h, step := hashID(id)
	for range filterProbes {
		bit := h % filterBits
		f.current[bit/wordBits] |= 1 << (bit % wordBits)
		h += step
	}
}

func (f *filter) has(now time.Time, id contract.AttemptID) bool {
	f.rotate(now)
	if f.current == nil && f.previous == nil {
		return false
	}
	h, step := hashID(id)
	return contains(f.current, h, step) || contains(f.previous, h, step)
}

func contains(words []uint64, h, step uint64) bool {
	if words == nil {
		return false
	}
	for range filterProbes {
		bit := h % filterBits
		if words[bit/wordBits]&(1<<(bit%wordBits)) == 0 {
			return false
		}
		h += step
	}
	return true
}

// rotate drops the previous generation and starts a new one when the current generation
// is a period old.
func (f *filter) rotate(now time.Time) {
	if now.Sub(f.rotatedAt) < f.period {
		return
	}
	f.previous = f.current
	if now.Sub(f.rotatedAt) >= 2*f.period {
		f.previous = nil
	}
	f.current = nil
	f.rotatedAt = now
}

// hashID returns the first bit position of an attempt and the step to the next ones, for
// double hashing.
func hashID(id contract.AttemptID) (h, step uint64) {
	h = xxhash.Sum64String(string(id.Request)) + uint64(id.N)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return h, h>>32 | 1
}
