package coldstart

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// minSamples is the number of first tokens that make a baseline.
	minSamples = 8
	// A first token is slow if it takes longer than slowFactor times the baseline, and
	// longer than minSlowDelay.
	slowFactor   = 5
	minSlowDelay = 250 * time.Millisecond
	// slowCountToFall is the number of slow first tokens in a row at which the limit
	// falls.
	slowCountToFall = 2
	// ewmaDivisor is the inverse of the weight of one sample in the baseline, which is an
	// exponentially weighted moving average.
	ewmaDivisor = 8
)

// delayMonitor watches the time from sending a unit to its first token.
type delayMonitor struct {
	baseline  time.Duration
	samples   int
	slowCount int
	// pending holds the units without a first token, oldest first.
	pending []pendingUnit
}

type pendingUnit struct {
	id     contract.AttemptID
	sentAt time.Time
	// evaluated reports that the unit no longer counts as slow: it has been counted
	// already, or it was sent before the last fall.
	evaluated bool
}

func (d *delayMonitor) addUnit(id contract.AttemptID, now time.Time) {
	d.pending = append(d.pending, pendingUnit{id: id, sentAt: now})
}

// recordFirstToken records a unit's first token and reports whether the back end has
// become slow. The delay of a slow first token is not added to the baseline.
func (d *delayMonitor) recordFirstToken(id contract.AttemptID, now time.Time) bool {
	u, ok := d.removeUnit(id)
	if !ok {
		return false
	}
	delay := now.Sub(u.sentAt)
	if d.samples >= minSamples && delay > d.slowThreshold() {
		return !u.evaluated && d.recordSlow()
	}
	d.slowCount = 0
	d.addSample(delay)
	return false
}

func (d *delayMonitor) addSample(delay time.Duration) {
	d.samples++
	if d.samples == 1 {
		d.baseline = delay
		return
	}
	d.baseline += (delay - d.baseline) / ewmaDivisor
}

func (d *delayMonitor) slowThreshold() time.Duration {
	return max(minSlowDelay, slowFactor*d.baseline)
}

// recordSlow counts a slow first token and reports whether the limit is to fall.
func (d *delayMonitor) recordSlow() bool {
	d.slowCount++
	return d.slowCount >= slowCountToFall
}

// checkOverdue counts the units whose first token is overdue as slow, and reports whether
// the limit is to fall.
func (d *delayMonitor) checkOverdue(now time.Time) bool {
	if d.samples < minSamples {
		return false
	}
	falls := false
	threshold := d.slowThreshold()
	for i := range d.pending {
		unit := &d.pending[i]
		if now.Sub(unit.sentAt) <= threshold {
			break
		}
		if !unit.evaluated {
			unit.evaluated = true
			falls = d.recordSlow() || falls
		}
	}
	return falls
}

// reset starts counting anew after a fall: the units that are pending now say nothing
// about the time after it. The baseline stays.
func (d *delayMonitor) reset() {
	d.slowCount = 0
	for i := range d.pending {
		d.pending[i].evaluated = true
	}
}

func (d *delayMonitor) unitEnded(id contract.AttemptID) {
	d.removeUnit(id)
}

func (d *delayMonitor) removeUnit(id contract.AttemptID) (pendingUnit, bool) {
	for i, u := range d.pending {
		if u.id == id {
			d.pending = append(d.pending[:i], d.pending[i+1:]...)
			return u, true
		}
	}
	return pendingUnit{}, false
}

// nextWake returns when the oldest unit that has not been evaluated becomes overdue, and
// false if there is none.
func (d *delayMonitor) nextWake() (time.Time, bool) {
	if d.samples < minSamples {
		return time.Time{}, false
	}
	for _, u := range d.pending {
		if !u.evaluated {
			return u.sentAt.Add(d.slowThreshold() + 1), true
		}
	}
	return time.Time{}, false
}
