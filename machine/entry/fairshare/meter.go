package fairshare

import (
	"math"
	"time"
)

// meterWindow is the time constant over which a rate is averaged.
const meterWindow = 2 * time.Second

// rateMeter measures a rate with exponential decay.
type rateMeter struct {
	// level is the decayed sum of the amounts added, as of updatedAt; startedAt is when the
	// meter was first used.
	level     float64
	updatedAt time.Time
	startedAt time.Time
}

// add counts an amount.
func (m *rateMeter) add(now time.Time, amount float64) {
	m.decay(now)
	m.level += amount
}

// rate returns the average amount per second, 0 when the meter has just started.
func (m *rateMeter) rate(now time.Time) float64 {
	m.decay(now)
	span := min(now.Sub(m.startedAt), meterWindow).Seconds()
	if span <= 0 {
		return 0
	}
	return m.level / span
}

// decay applies the decay of the time since the last update.
func (m *rateMeter) decay(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.updatedAt = now, now
	}
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return
	}
	m.level *= math.Exp(-elapsed.Seconds() / meterWindow.Seconds())
	m.updatedAt = now
}
