package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// backoff is a time in which an incarnation of a target wants no request from this entry.
type backoff struct {
	born int64
	// until is the run time of the process at its end: what passes while the process stands
	// still does not count.
	until time.Duration
}

// SetRunTime tells the pool for how long the process has been running.
func (p *Pool) SetRunTime(runTime time.Duration) { p.runTime = runTime }

// BackOff records that an incarnation of a target, which started at born, wants no request from this
// entry for d. An answer that asks for less than one before changes nothing, and neither does one of
// a former incarnation. It reports whether the target wanted requests until then.
func (p *Pool) BackOff(id roster.TargetID, born int64, d time.Duration) (isNew bool) {
	l := p.loadOf(id)
	if born < l.backoff.born {
		return false
	}
	isNew = p.backoffWait(id, born) == 0
	if l.backoff.born != born {
		l.backoff = backoff{born: born}
	}
	l.backoff.until = max(l.backoff.until, p.runTime+d)
	return isNew
}

// backoffWait returns the time until an incarnation of a target wants requests from this entry
// again; 0 if it does.
func (p *Pool) backoffWait(id roster.TargetID, born int64) time.Duration {
	l := p.loads[id]
	if l == nil || l.backoff.born != born {
		return 0
	}
	return max(l.backoff.until-p.runTime, 0)
}
