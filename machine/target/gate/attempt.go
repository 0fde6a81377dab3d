package gate

import (
	"slices"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

const (
	maxRequestIDBytes = 128
	// maxRemaining bounds the remaining time of an attempt that a sender may set.
	maxRemaining     = 24 * time.Hour
	causeOldSettings = "settings_old"
	causePaused      = "process_paused"
	// meanDivisor is the inverse weight of one unit in the mean running time.
	meanDivisor = 16
)

// matching returns the running and lingering attempts that match, ordered by request and
// number.
func (g *Gate) matching(match func(*attempt) bool) []*attempt {
	var list []*attempt
	for _, a := range g.attempts {
		if a.record != nil && match(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		if c := strings.Compare(string(a.id().Request), string(b.id().Request)); c != 0 {
			return c
		}
		return int(a.id().N) - int(b.id().N)
	})
	return list
}

// stop requests to end the work on a running attempt, unless this was requested before.
func (g *Gate) stop(a *attempt, reason contract.Reason) {
	if a.stopping || a.ended {
		return
	}
	a.stopping = true
	g.emit(Stop{Attempt: a.id(), Reason: reason})
}

// handleDisconnected refuses a queued attempt whose stream broke. Running work is stopped
// after the resume grace if it is idempotent; other work continues.
func (g *Gate) handleDisconnected(id contract.AttemptID) {
	a, ok := g.attempts[id]
	switch {
	case !ok || a.ended:
	case a.record == nil:
		g.refuseQueued(a, contract.ReasonCallerGone)
	case a.start.Idempotent || g.disabled&offRunDetached != 0:
		a.detachedAt = g.now
	}
}

func (g *Gate) handleResumed(id contract.AttemptID) {
	if a, ok := g.attempts[id]; ok {
		a.detachedAt = zeroTime
	}
}

// handleCancelled refuses or stops an attempt whose answer is no longer needed. A call of a
// plain service that is not idempotent continues, because it cannot be undone.
func (g *Gate) handleCancelled(id contract.AttemptID) {
	a, ok := g.attempts[id]
	switch {
	case !ok || a.ended:
		g.emit(Ignored{Cause: string(contract.ReasonCallerGone)})
	case a.record == nil:
		g.refuseQueued(a, contract.ReasonCallerGone)
	case g.cfg.Model || a.start.Idempotent:
		g.stop(a, contract.ReasonCallerGone)
	}
}

// handleEnded closes the answer of an attempt. Its unit is removed unless it lingers.
func (g *Gate) handleEnded(e Ended) {
	a, ok := g.attempts[e.Attempt]
	if !ok || a.record == nil || a.ended {
		g.emit(Ignored{Cause: string(contract.ReasonDuplicateAttempt)})
		return
	}
	g.updateMeanRunTime(a, e)
	a.ended, a.endedAt = true, g.now
	g.senders.addHeld(a.from, -1)
	g.closeAnswer(a, e)
	g.limitAfterFault(e.Fault)
	if e.Lingers && g.disabled&offLingering == 0 {
		if e.LingerFor > 0 {
			a.lingerUntil = g.now.Add(e.LingerFor)
		}
	} else {
		g.removeUnit(a)
	}
}

// closeAnswer records the outcome of an attempt and emits its end. The outcome of a model
// answer is unknown if the engine's digest differs from the one that the attempt is
// pinned to.
func (g *Gate) closeAnswer(a *attempt, e Ended) {
	end := contract.End{
		Attempt: e.Attempt, Outcome: e.Outcome, Reason: e.Reason,
		Status: e.Status, ContentType: e.ContentType, Weights: e.Weights,
	}
	changed := g.cfg.Model && e.Outcome == contract.OutcomeDone && e.Weights != a.start.Weights
	if changed && g.disabled&offEndDigest == 0 {
		end.Outcome, end.Reason = contract.OutcomeUnknown, contract.ReasonWeightsChanged
	}
	if end.Outcome == contract.OutcomeNotRun {
		g.store.RevertStart(g.now, a.record, end.Reason)
	} else {
		g.store.Finish(g.now, a.record, end)
		end, _ = a.record.End()
	}
	g.emit(Close{From: a.from, End: end})
}

func (g *Gate) limitAfterFault(f Fault) {
	switch f {
	case FaultOverloaded:
		g.stepLimiter(coldstart.Overloaded{})
	case FaultConnection:
		g.stepLimiter(coldstart.AnswerBroken{})
	}
}

func (g *Gate) updateMeanRunTime(a *attempt, e Ended) {
	if e.Outcome != contract.OutcomeDone {
		return
	}
	runTime := g.now.Sub(a.started)
	if g.meanRunTime == 0 {
		g.meanRunTime = runTime
		return
	}
	g.meanRunTime += (runTime - g.meanRunTime) / meanDivisor
}

func (g *Gate) handleReleased(id contract.AttemptID) {
	if a, ok := g.attempts[id]; ok && a.ended {
		g.removeUnit(a)
	}
}

// releaseLingering removes lingering units that the engine no longer runs: all of them
// if the engine restarted, otherwise those that ended before the report was taken in which
// the engine had no work.
func (g *Gate) releaseLingering(takenAt time.Time, restarted bool) {
	isGone := func(a *attempt) bool { return a.ended && (restarted || a.endedAt.Before(takenAt)) }
	for _, a := range g.matching(isGone) {
		g.removeUnit(a)
	}
}

// removeUnit removes an attempt whose unit no longer runs in the back end.
func (g *Gate) removeUnit(a *attempt) {
	delete(g.attempts, a.id())
	g.stepLimiter(coldstart.UnitEnded{Attempt: a.id()})
}
