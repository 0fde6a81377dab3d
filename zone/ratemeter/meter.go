// Package ratemeter measures rates that decay exponentially.
//
// The package has no clock. A Meter is not safe for concurrent use.
package ratemeter

import (
	"math"
	"time"
)

// Window is the time constant over which a rate is averaged.
const Window = 2 * time.Second

// Meter measures a rate with exponential decay. The zero Meter is ready to use.
type Meter struct {
	// level is the decayed sum of the amounts added, as of updatedAt; startedAt is when the
	// meter was first used.
	level     float64
	updatedAt time.Time
	startedAt time.Time
}

// Add counts an amount.
func (m *Meter) Add(now time.Time, amount float64) {
	m.decay(now)
	m.level += amount
}

// Level returns the decayed sum of the amounts added.
func (m *Meter) Level(now time.Time) float64 {
	m.decay(now)
	return m.level
}

// Rate returns the average amount per second, 0 when the meter has just started.
func (m *Meter) Rate(now time.Time) float64 {
	m.decay(now)
	span := min(now.Sub(m.startedAt), Window).Seconds()
	if span <= 0 {
		return 0
	}
	return m.level / span
}

// decay applies the decay of the time since the last update.
func (m *Meter) decay(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.updatedAt = now, now
	}
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return
	}
	m.level *= math.Exp(-elapsed.Seconds() / Window.Seconds())
	m.updatedAt = now
}
