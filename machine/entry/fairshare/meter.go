package fairshare

import (
	"math"
	"time"
)

// meterWindow is the time constant over which the drain rate is averaged.
const meterWindow = 2 * time.Second

// meter measures a rate with exponential decay.
type meter struct {
	level float64
	last  time.Time
	since time.Time
}

func (m *meter) add(now time.Time, amount float64) {
	m.decay(now)
	m.level += amount
}

// rate returns the amount per second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	span := min(now.Sub(m.since), meterWindow).Seconds()
	if span <= 0 {
		return 0
	}
	return m.level / span
}

func (m *meter) decay(now time.Time) {
	if m.since.IsZero() {
		m.since, m.last = now, now
	}
	elapsed := now.Sub(m.last)
	if elapsed <= 0 {
		return
	}
	m.level *= math.Exp(-elapsed.Seconds() / meterWindow.Seconds())
	m.last = now
}
