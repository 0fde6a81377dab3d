// Package standstill notices when a process stood still: stopped by a signal, without processor time, or
// suspended with its machine.
package standstill

import (
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/internal/boottime"
)

// Standstill is a time in which the process did not run.
type Standstill struct {
	// EndedAt is when it was noticed; zero if there was none.
	EndedAt time.Time
	// Lasted is the time between the two observations around it, and Suspended the part of it in which the
	// machine was suspended, so that the monotonic clock stood still as well.
	Lasted, Suspended time.Duration
}

// LateReadTime is for how long after a standstill what is read may have arrived before its end.
const LateReadTime = 3 * time.Second

// Detector notices standstills from the times between observations. It is safe for concurrent use.
type Detector struct {
	// min is the shortest time between two observations that counts as a standstill.
	min time.Duration
	// bootClock goes on while the machine is suspended.
	bootClock func() time.Time

	mu sync.Mutex
	// observedBoot and observedAt are the times of the last observation by bootClock and the monotonic clock.
	observedBoot, observedAt time.Time
	last                     Standstill
	// loggedAt is the end of the last standstill that was logged.
	loggedAt time.Time
}

// NewDetector returns a detector for a process that calls Observe at intervals well below min.
func NewDetector(min time.Duration) *Detector { return NewDetectorWithClock(min, boottime.Time) }

// NewDetectorWithClock is NewDetector with a clock that takes the place of boottime.Time.
func NewDetectorWithClock(min time.Duration, bootClock func() time.Time) *Detector {
	return &Detector{min: min, bootClock: bootClock, observedBoot: bootClock(), observedAt: time.Now()}
}

// Restart begins the observations after a time without any.
func (d *Detector) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observedBoot, d.observedAt = d.bootClock(), time.Now()
}

// Observe returns the last standstill.
func (d *Detector) Observe() Standstill {
	boot, now := d.bootClock(), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if lasted := boot.Sub(d.observedBoot); lasted >= d.min {
		suspended := max(lasted-now.Sub(d.observedAt), 0)
		d.last = Standstill{EndedAt: now, Lasted: lasted, Suspended: suspended}
	}
	d.observedBoot, d.observedAt = boot, now
	return d.last
}

// ReadDelay returns how long before now what is read now may have arrived, because of a standstill; 0 if the
// process ran all the while.
func (d *Detector) ReadDelay() time.Duration {
	last := d.Observe()
	if last.EndedAt.IsZero() || time.Since(last.EndedAt) >= LateReadTime {
		return 0
	}
	return last.Lasted
}

// Log observes, and logs a standstill that has not been logged.
func (d *Detector) Log(logger log.Interface) {
	s := d.Observe()
	d.mu.Lock()
	isNew := s.EndedAt != d.loggedAt
	d.loggedAt = s.EndedAt
	d.mu.Unlock()
	if isNew {
		logger.WithField("ms", s.Lasted.Milliseconds()).WithField("suspended_ms", s.Suspended.Milliseconds()).Warn("process stood still")
	}
}
