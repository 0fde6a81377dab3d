package ejection

import (
	"math/rand/v2"
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Limits of the tracker.
const (
	// FailuresToEject is how many failures in a row eject a target.
	FailuresToEject = 3
	// SlowFactor times the median delay of the targets in use is too slow.
	SlowFactor = 4
	// BaseEjection is the length of a first ejection, MaxEjection of any.
	BaseEjectionTime = time.Second
	MaxEjectionTime  = 30 * time.Second

	// minSamples is how many delays of a target must be known, and minSlowDelay how
	// long their average must be, before it can be too slow.
	minSamples   = 5
	minSlowDelay = 200 * time.Millisecond
	// maxSlowShare bounds the targets ejected for slowness: one in so many.
	maxSlowShare = 3
	// delayWeight is the part of the newest delay in the moving average, 0 to 1.
	delayWeight = 0.3
)

// Verdict tells how a target may be used.
type Verdict uint8

const (
	// Open targets take any attempt.
	Available Verdict = iota
	// Probe targets take one attempt, which decides about them.
	Probe
	// Ejected targets take none.
	Ejected
)

// Cause tells why a target failed.
type Cause uint8

const (
	// Failed attempts count towards FailuresToEject.
	Failed Cause = iota
	// Silent targets are ejected at once.
	Silent
)

type record struct {
	failures int
	// rounds counts ejections without a success between them.
	rounds  int
	ejected bool
	slow    bool
	until   time.Time
	probing bool
	delay   time.Duration
	samples int
}

// Tracker follows the targets of one service.
type Tracker struct {
	rng     *rand.Rand
	records map[contract.MachineID]*record
}

// NewTracker returns a tracker that spreads its times by rng.
func NewTracker(rng *rand.Rand) *Tracker {
	return &Tracker{rng: rng, records: map[contract.MachineID]*record{}}
}

// Forget drops what is known of a target.
func (t *Tracker) Forget(id contract.MachineID) {
	delete(t.records, id)
}

// Verdict tells how the target may be used now.
func (t *Tracker) Verdict(now time.Time, id contract.MachineID) Verdict {
	r, ok := t.records[id]
	switch {
	case !ok || !r.ejected:
		return Available
	case r.probing || now.Before(r.until):
		return Ejected
	default:
		return Probe
	}
}

// Until is when an ejected target may be probed; zero for others.
func (t *Tracker) EjectedUntil(id contract.MachineID) time.Time {
	if r, ok := t.records[id]; ok && r.ejected && !r.probing {
		return r.until
	}
	return time.Time{}
}

// Sent records an attempt; at a target due for a probe it becomes the probe.
func (t *Tracker) Sent(now time.Time, id contract.MachineID) {
	if t.Verdict(now, id) == Probe {
		t.records[id].probing = true
	}
}

// Withdrawn records that an attempt ended without telling anything of the
// target's health, such as a refusal for load.
func (t *Tracker) Inconclusive(id contract.MachineID) {
	if r, ok := t.records[id]; ok {
		r.probing = false
	}
}

// Success records a first part of an answer after delay. It reports whether
// the target thereby returned from ejection.
func (t *Tracker) Success(now time.Time, id contract.MachineID, delay time.Duration) (returned bool) {
	r := t.record(id)
	r.failures = 0
	if r.ejected && !r.probing {
		return false
	}
	returned = r.ejected
	if returned {
		*r = record{rounds: r.rounds}
	}
	r.observe(delay)
	if t.tooSlow(r) {
		r.slow = true
		t.eject(now, r)
		return false
	}
	r.rounds = 0
	return returned
}

// Failure records an attempt that the target failed, or its silence. It
// reports whether the target was ejected now.
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

func (t *Tracker) record(id contract.MachineID) *record {
	r, ok := t.records[id]
	if !ok {
		r = &record{}
		t.records[id] = r
	}
	return r
}

func (t *Tracker) eject(now time.Time, r *record) {
	const maxDoublings = 5
	length := min(BaseEjectionTime<<min(r.rounds, maxDoublings), MaxEjectionTime)
	spread := 0.75 + 0.5*t.rng.Float64()
	r.rounds++
	r.ejected = true
	r.probing = false
	r.failures = 0
	r.until = now.Add(time.Duration(float64(length) * spread))
}

func (r *record) observe(delay time.Duration) {
	r.samples++
	if r.samples == 1 {
		r.delay = delay
		return
	}
	r.delay += time.Duration(delayWeight * float64(delay-r.delay))
}

// tooSlow compares r with the median of all targets that are in use.
func (t *Tracker) tooSlow(r *record) bool {
	if r.samples < minSamples || r.delay < minSlowDelay {
		return false
	}
	delays, slow := t.delays()
	if (slow+1)*maxSlowShare > len(t.records) {
		return false
	}
	median := delays[len(delays)/2]
	return r.delay > SlowFactor*median
}

func (t *Tracker) delays() (sorted []time.Duration, slow int) {
	for _, r := range t.records {
		if r.ejected && r.slow {
			slow++
		}
		if r.samples > 0 {
			sorted = append(sorted, r.delay)
		}
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted, slow
}
