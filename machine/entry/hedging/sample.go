package hedging

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSize bounds the values that a sample holds, sampleMaxAge their age: several slow periods of
	// targets, but not the load of another time of day.
	sampleSize   = 128
	sampleMaxAge = 20 * time.Second
)

// sample holds the latest values of a quantity, in order of time.
type sample struct {
	at     []time.Time
	values []float64
}

// add adds a value.
func (s *sample) add(now time.Time, value float64) {
	if len(s.values) == sampleSize {
		s.at = append(s.at[:0], s.at[1:]...)
		s.values = append(s.values[:0], s.values[1:]...)
	}
	s.at = append(s.at, now)
	s.values = append(s.values, value)
}

// recent returns the values that are not older than sampleMaxAge.
func (s *sample) recent(now time.Time) []float64 {
	start := now.Add(-sampleMaxAge)
	first, _ := slices.BinarySearchFunc(s.at, start, time.Time.Compare)
	return s.values[first:]
}

// count returns the number of recent values.
func (s *sample) count(now time.Time) int { return len(s.recent(now)) }

// quantile returns the smallest recent value that at least the share q of them does not exceed; there
// must be one.
func (s *sample) quantile(now time.Time, q float64) float64 {
	sorted := slices.Sorted(slices.Values(s.recent(now)))
	return sorted[max(int(math.Ceil(q*float64(len(sorted))))-1, 0)]
}

// largestOf returns the largest of the share of the recent values that comes first in order of size; 0
// if that share is less than one value.
func (s *sample) largestOf(now time.Time, share float64) float64 {
	sorted := slices.Sorted(slices.Values(s.recent(now)))
	n := int(share * float64(len(sorted)))
	if n == 0 {
		return 0
	}
	return sorted[n-1]
}

// meanAbove returns the mean of the recent values above a bound, and their number.
func (s *sample) meanAbove(now time.Time, bound float64) (mean float64, n int) {
	sum := 0.0
	for _, v := range s.recent(now) {
		if v > bound {
			sum += v
			n++
		}
	}
	return sum / float64(max(n, 1)), n
}
