package ejection

import (
	"math/rand/v2"
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Limits of the tracker.
const (
	// FailuresToEject is how many consecutive failures eject a target.
	FailuresToEject = 3
	// SlowFactor is how many times the median delay a target's mean delay must exceed
	// to be too slow.
	SlowFactor = 4
	// BaseEjectionTime is the duration of a first ejection, MaxEjectionTime the longest
	// duration of any, both before the random spread.
	BaseEjectionTime = time.Second
	MaxEjectionTime  = 30 * time.Second

	// minSamples is how many delays of a target must be known, and minSlowDelay how long
	// their moving average must be, before the target can be too slow.
	minSamples   = 5
	minSlowDelay = 200 * time.Millisecond
	// slowTargetsDivisor bounds the targets ejected for slowness: at most one in this
	// many.
	slowTargetsDivisor = 3
	// delayWeight is the weight of the newest delay in the moving average, 0 to 1.
	delayWeight = 0.3
)

// Verdict is how a target may be used.
type Verdict uint8

const (
	// Available means that the target may get any attempt.
	Available Verdict = iota
	// Probe means that the target may get one attempt, which decides whether it is
	// readmitted.
	Probe
	// Ejected means that the target may get no attempt.
	Ejected
)

// Cause is the reason for a failure.
type Cause uint8

const (
	// Failed means that an attempt failed. It counts towards FailuresToEject.
	Failed Cause = iota
	// Silent means that the target fell silent. It is ejected immediately.
	Silent
)

// targetRecord is the state of one target.
type targetRecord struct {
	// failures counts consecutive failures.
	failures int
	// ejections counts ejections without a success between them.
	ejections    int
	ejected      bool
	slow         bool
	ejectedUntil time.Time
	probing      bool
	meanDelay    time.Duration
	samples      int
}

// Tracker tracks the health of the targets of one service.
type Tracker struct {
	rng     *rand.Rand
	records map[contract.MachineID]*targetRecord
}

// NewTracker returns a tracker that draws the random spread of ejection times from rng.
func NewTracker(rng *rand.Rand) *Tracker {
	return &Tracker{rng: rng, records: map[contract.MachineID]*targetRecord{}}
}

// Forget drops the state of a target.
func (t *Tracker) Forget(id contract.MachineID) {
	delete(t.records, id)
}

// Verdict returns how the target may be used now.
func (t *Tracker) Verdict(now time.Time, id contract.MachineID) Verdict {
	r, ok := t.records[id]
	switch {
	case !ok || !r.ejected:
		return Available
	case r.probing || now.Before(r.ejectedUntil):
		return Ejected
	default:
		return Probe
	}
}

// EjectedUntil returns when an ejected target may be probed. It is zero for a target
// that is not ejected and for one that is being probed.
func (t *Tracker) EjectedUntil(id contract.MachineID) time.Time {
	if r, ok := t.records[id]; ok && r.ejected && !r.probing {
		return r.ejectedUntil
	}
	return time.Time{}
}

// Sent records an attempt. If the target is due for a probe, the attempt is the probe.
func (t *Tracker) Sent(now time.Time, id contract.MachineID) {
	if t.Verdict(now, id) == Probe {
		t.records[id].probing = true
	}
}

// Inconclusive records that an attempt ended in a way that says nothing about the
// target's health, such as a refusal because of load. If the attempt was a probe, the
// target is due for another one.
func (t *Tracker) Inconclusive(id contract.MachineID) {
	if r, ok := t.records[id]; ok {
		r.probing = false
	}
}

// Success records that the first part of an answer arrived after delay. It reports
// whether the target was readmitted as a result.
func (t *Tracker) Success(now time.Time, id contract.MachineID, delay time.Duration) (readmitted bool) {
	r := t.record(id)
	r.failures = 0
	if r.ejected && !r.probing {
		return false
	}
	readmitted = r.ejected
	if readmitted {
		*r = targetRecord{ejections: r.ejections}
	}
	r.recordDelay(delay)
	if t.isTooSlow(r) {
		r.slow = true
		t.eject(now, r)
		return false
	}
	r.ejections = 0
	return readmitted
}

// Failure records a failed attempt, or the silence of a target. It reports whether the
// target was ejected as a result.
func (t *Tracker) Failure(now time.Time, id contract.MachineID, cause Cause) (ejected bool) {
	r := t.record(id)
	r.failures++
	probeFailed := r.ejected && r.probing
	if r.ejected && !probeFailed {
		return false
	}
	if !probeFailed && cause != Silent && r.failures < FailuresToEject {
		return false
	}
	r.slow = false
	t.eject(now, r)
	return true
}

// record returns the state of a target, which it creates if necessary.
func (t *Tracker) record(id contract.MachineID) *targetRecord {
	r, ok := t.records[id]
	if !ok {
		r = &targetRecord{}
		t.records[id] = r
	}
	return r
}

// eject ejects a target. The duration doubles with each ejection in a row, up to
// MaxEjectionTime, and is spread randomly by a quarter in either direction.
func (t *Tracker) eject(now time.Time, r *targetRecord) {
	const maxDoublings = 5
	duration := min(BaseEjectionTime<<min(r.ejections, maxDoublings), MaxEjectionTime)
	jitter := 0.75 + 0.5*t.rng.Float64()
	r.ejections++
	r.ejected = true
	r.probing = false
	r.failures = 0
	r.ejectedUntil = now.Add(time.Duration(float64(duration) * jitter))
}

// recordDelay updates the moving average of the delay.
func (r *targetRecord) recordDelay(delay time.Duration) {
	r.samples++
	if r.samples == 1 {
		r.meanDelay = delay
		return
	}
	r.meanDelay += time.Duration(delayWeight * float64(delay-r.meanDelay))
}

// isTooSlow reports whether the mean delay of r exceeds SlowFactor times the median of
// all targets with known delays, ejected ones included. It returns false if too many
// targets are already ejected for slowness.
func (t *Tracker) isTooSlow(r *targetRecord) bool {
	if r.samples < minSamples || r.meanDelay < minSlowDelay {
		return false
	}
	delays, slow := t.sortedDelays()
	if (slow+1)*slowTargetsDivisor > len(t.records) {
		return false
	}
	median := delays[len(delays)/2]
	return r.meanDelay > SlowFactor*median
}

// sortedDelays returns the known mean delays of all targets in ascending order, and how
// many targets are ejected for slowness.
func (t *Tracker) sortedDelays() (sorted []time.Duration, slow int) {
	for _, r := range t.records {
		if r.ejected && r.slow {
			slow++
		}
		if r.samples > 0 {
			sorted = append(sorted, r.meanDelay)
		}
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted, slow
}
