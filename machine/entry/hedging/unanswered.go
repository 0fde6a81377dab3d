package hedging

import (
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// unansweredAttempts is the number of attempts in succession, replaced by their hedges, from which on a
// target that has sent nothing meanwhile may count as silent. A target that is only slow answers one of
// them, or another request, almost always.
const unansweredAttempts = 3

// Unanswered recognizes targets that do not answer at all although their hedges win: no attempt lasts
// until the target counts as silent. The zero value is ready to use.
type Unanswered struct {
	runs map[roster.TargetID]unansweredRun
}

// unansweredRun is a run of attempts at a target during which nothing arrived from it. The first one
// started after the process had run for since.
type unansweredRun struct {
	since    time.Duration
	attempts int
}

// Replaced records an attempt that its hedge has replaced. The process had run for startedAt when the
// attempt started, and for lastReceived when something last arrived from the target; it has run for
// runTime. It reports whether the target counts as silent: nothing has arrived from it for longer than
// timeout, in several attempts.
func (u *Unanswered) Replaced(id roster.TargetID, startedAt, lastReceived, runTime, timeout time.Duration) (silent bool) {
	run, ok := u.runs[id]
	if !ok || lastReceived >= run.since {
		run = unansweredRun{since: startedAt}
	}
	if lastReceived >= startedAt {
		delete(u.runs, id)
		return false
	}
	run.attempts++
	if run.attempts >= unansweredAttempts && runTime-run.since > timeout {
		delete(u.runs, id)
		return true
	}
	if u.runs == nil {
		u.runs = map[roster.TargetID]unansweredRun{}
	}
	u.runs[id] = run
	return false
}

// Retain forgets the targets that are not listed.
func (u *Unanswered) Retain(isListed func(roster.TargetID) bool) {
	for id := range u.runs {
		if !isListed(id) {
			delete(u.runs, id)
		}
	}
}
