package batcher

import (
	"math"
	"time"
)

// rateWindow is the time over which appends are averaged.
const rateWindow = time.Second

// rate is an exponentially decaying count of appends a second.
type rate struct {
	value float64
	since time.Time
}

// at returns the rate at a time.
func (r *rate) at(now time.Time) float64 {
	passed := max(now.Sub(r.since), 0)
	return r.value * math.Exp(-float64(passed)/float64(rateWindow))
}

func (r *rate) add(now time.Time) {
	r.value = r.at(now) + 1/rateWindow.Seconds()
	r.since = now
}
