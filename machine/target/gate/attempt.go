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
	// maxRemaining bounds the time that a sender may give an attempt.
	maxRemaining     = 24 * time.Hour
	causeOldSettings = "settings_old"
	causePaused      = "process_paused"
	// meanShare is the inverse weight of one unit in the mean running time.
	meanShare = 16
)

// matching returns the attempts that run or linger and match, in a fixed order.
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

// stop asks to end the work on a running attempt, once.
func (g *Gate) stop(a *attempt, reason contract.Reason) {
	if a.stopping || a.ended {
		return
	}
	a.stopping = true
	g.emit(Stop{Attempt: a.id(), Reason: reason})
}

// gone drops a queued attempt whose stream broke. Running work whose stream
// broke is stopped after a grace if it may be repeated; other work runs on.
func (g *Gate) gone(id contract.AttemptID) {
	a, ok := g.attempts[id]
	switch {
	case !ok || a.ended:
	case a.record == nil:
		g.dropQueued(a, contract.ReasonCallerGone)
	case a.start.Idempotent || g.off&offDetach != 0:
		a.detached = g.now
	}
}

func (g *Gate) resumed(id contract.AttemptID) {
	if a, ok := g.attempts[id]; ok {
		a.detached = zeroTime
	}
}

// cancelled drops or stops an attempt that nobody waits for. Work on a plain
// service that may not be repeated runs on, because it cannot be undone.
func (g *Gate) cancelled(id contract.AttemptID) {
	a, ok := g.attempts[id]
	switch {
	case !ok || a.ended:
		g.emit(Ignored{Cause: string(contract.ReasonCallerGone)})
	case a.record == nil:
		g.dropQueued(a, contract.ReasonCallerGone)
	case g.cfg.Model || a.start.Idempotent:
		g.stop(a, contract.ReasonCallerGone)
	}
}

// ended closes the answer of an attempt.
func (g *Gate) ended(e Ended) {
	a, ok := g.attempts[e.Attempt]
	if !ok || a.record == nil || a.ended {
		g.emit(Ignored{Cause: string(contract.ReasonDuplicateAttempt)})
		return
	}
	g.learn(a, e)
	a.ended, a.endedAt = true, g.now
	g.senders.hold(a.from, -1)
	g.close(a, e)
	g.limitFault(e.Fault)
	if e.Lingers && g.off&offLinger == 0 {
		if e.LingerFor > 0 {
			a.lingerUntil = g.now.Add(e.LingerFor)
		}
	} else {
		g.forget(a)
	}
}

// close fixes the outcome of an attempt and emits its end. The digest that the
// engine named must be the one that the attempt is pinned to.
func (g *Gate) close(a *attempt, e Ended) {
	end := contract.End{
		Attempt: e.Attempt, Outcome: e.Outcome, Reason: e.Reason,
		Status: e.Status, ContentType: e.ContentType, Weights: e.Weights,
	}
	changed := g.cfg.Model && e.Outcome == contract.OutcomeDone && e.Weights != a.start.Weights
	if changed && g.off&offEndDigest == 0 {
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

func (g *Gate) limitFault(f Fault) {
	switch f {
	case FaultOverloaded:
		g.limit(coldstart.Overloaded{})
	case FaultConnection:
		g.limit(coldstart.AnswerBroken{})
	}
}

func (g *Gate) learn(a *attempt, e Ended) {
	if e.Outcome != contract.OutcomeDone {
		return
	}
	ran := g.now.Sub(a.started)
	if g.meanRun == 0 {
		g.meanRun = ran
		return
	}
	g.meanRun += (ran - g.meanRun) / meanShare
}

func (g *Gate) released(id contract.AttemptID) {
	if a, ok := g.attempts[id]; ok && a.ended {
		g.forget(a)
	}
}

// releaseLingering forgets the units that a restarted engine cannot run, or that
// had ended before an engine without work was seen.
func (g *Gate) releaseLingering(taken time.Time, restarted bool) {
	gone := func(a *attempt) bool { return a.ended && (restarted || a.endedAt.Before(taken)) }
	for _, a := range g.matching(gone) {
		g.forget(a)
	}
}

// forget takes a unit out of the count.
func (g *Gate) forget(a *attempt) {
	delete(g.attempts, a.id())
	g.limit(coldstart.UnitEnded{Attempt: a.id()})
}
