package batcher

import (
	"math"
	"time"
)

// rateWindow is the time constant of the decay.
const rateWindow = time.Second

// decayingRate is an exponentially decaying average of the number of appends per second.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the rate at a time.
func (r *decayingRate) valueAt(now time.Time) float64 {
	elapsed := max(now.Sub(r.updatedAt), 0)
	return r.value * math.Exp(-float64(elapsed)/float64(rateWindow))
}

func (r *decayingRate) add(now time.Time) {
	r.value = r.valueAt(now) + 1/rateWindow.Seconds()
	r.updatedAt = now
}
