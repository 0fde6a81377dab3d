package gate

import (
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// handleArrived checks an attempt and queues or refuses it. admit starts it at once if
// the back end has room.
func (g *Gate) handleArrived(e Arrived) {
	s := &e.Start
	g.senders.attemptArrived(e.From, g.now)
	if !isValid(s) {
		g.emitRefusal(e.From, s.Attempt, contract.ReasonBadRequest)
		return
	}
	if g.answerDuplicate(e.From, s) {
		return
	}
	s.Remaining = min(s.Remaining, maxRemaining)
	a := &attempt{from: e.From, start: *s, deadline: g.now.Add(s.Remaining)}
	if reason := g.refusalReason(s); reason != "" {
		g.refuse(a, reason)
		return
	}
	g.enqueue(a)
}

func isValid(s *contract.Start) bool {
	return s.Attempt.Request != "" && s.Attempt.N > 0 && len(s.Attempt.Request) <= maxRequestIDBytes
}

// answerDuplicate answers an attempt that was seen before and reports whether it was. An
// attempt with a tombstone is refused. One that is queued or has started gets its state
// instead, because a refusal would say that it never runs.
func (g *Gate) answerDuplicate(from contract.MachineID, s *contract.Start) bool {
	if g.disabled&offTombstones == 0 {
		if _, hasTombstone := g.store.FindTombstone(g.now, s.Attempt); hasTombstone && !g.isQueuedOrStarted(s.Attempt) {
			g.emitRefusal(from, s.Attempt, contract.ReasonTombstone)
			return true
		}
	}
	if g.disabled&offRecords != 0 || !g.isQueuedOrStarted(s.Attempt) {
		return false
	}
	g.emit(Ignored{Cause: string(contract.ReasonDuplicateAttempt)})
	g.emit(ReportStatus{Status: g.status(s.Attempt, contract.ReasonDuplicateAttempt)})
	return true
}

// isQueuedOrStarted reports whether the attempt is queued or has started.
func (g *Gate) isQueuedOrStarted(id contract.AttemptID) bool {
	if _, ok := g.attempts[id]; ok {
		return true
	}
	if r := g.store.Get(id); r != nil && r.HasStarted() {
		return true
	}
	_, past := g.store.DroppedState(id)
	return past
}

// refusalReason returns why the target accepts no attempt like s now, or "".
func (g *Gate) refusalReason(s *contract.Start) contract.Reason {
	switch {
	case s.Service != g.cfg.Service:
		return contract.ReasonUnknownService
	case g.leaving && g.disabled&offLeaving == 0:
		return contract.ReasonTargetLeaving
	case !g.settings.Ready, g.now.Before(g.pauseGraceUntil):
		return contract.ReasonSettingsNotReady
	case g.settings.ZoneEvacuated && g.disabled&offZoneEvacuated == 0:
		return contract.ReasonZoneOut
	case s.SettingsOffset < g.settings.RelevantOffset && g.disabled&offStaleSettings == 0:
		return contract.ReasonStaleSettings
	case s.Remaining <= 0 && g.disabled&offDeadline == 0:
		return contract.ReasonDeadline
	case !s.Idempotent && g.hasOtherAttempt(s.Attempt) && g.disabled&offSingleAttempt == 0:
		return contract.ReasonDuplicateAttempt
	case g.disabled&offPinning == 0:
		return g.weightsRefusalReason(s)
	}
	return ""
}

func (g *Gate) weightsRefusalReason(s *contract.Start) contract.Reason {
	if !g.cfg.Model {
		return ""
	}
	if !g.hasWeights() || g.isDraining() {
		return contract.ReasonNoWeights
	}
	if s.Weights != g.weights {
		return contract.ReasonWeightsMismatch
	}
	return ""
}

// hasOtherAttempt reports whether another attempt of the request is queued or may have
// run here.
func (g *Gate) hasOtherAttempt(id contract.AttemptID) bool {
	if g.store.OtherAttemptStarted(id) {
		return true
	}
	for _, a := range g.queue {
		if a.id().Request == id.Request && a.id().N != id.N {
			return true
		}
	}
	return false
}

// enqueue queues an attempt if there is room, and refuses it otherwise. admit starts it at
// once if the back end has room.
func (g *Gate) enqueue(a *attempt) {
	g.supersede(a)
	if !g.store.HasRoom(len(g.queue)) {
		g.refuse(a, contract.ReasonTargetFull)
		return
	}
	direct := len(g.queue) == 0 && g.freeUnits() > 0
	if !direct && !g.makeQueueRoom(a) {
		g.refuse(a, g.fullReason())
		return
	}
	at := sort.Search(len(g.queue), func(i int) bool {
		return g.queue[i].start.Priority < a.start.Priority
	})
	g.queue = append(g.queue, nil)
	copy(g.queue[at+1:], g.queue[at:])
	g.queue[at] = a
	g.queueBytes += len(a.start.Body)
	g.attempts[a.id()] = a
	g.senders.addHeld(a.from, 1)
}

// supersede stops earlier attempts of an idempotent request, because the sender has
// replaced them by this one.
func (g *Gate) supersede(a *attempt) {
	if !a.start.Idempotent || a.id().N == 1 {
		return
	}
	isEarlier := func(b *attempt) bool { return b.id().Request == a.id().Request && b.id().N < a.id().N }
	for _, b := range g.matching(isEarlier) {
		g.stop(b, contract.ReasonDuplicateAttempt)
	}
}

// makeQueueRoom reports whether the queue has room for a. If the queue is full, it refuses
// the last queued attempt when that one has a lower priority than a.
func (g *Gate) makeQueueRoom(a *attempt) bool {
	if g.expectedWait(g.countAhead(a)) >= a.start.Remaining {
		return false
	}
	if g.queueBytes+len(a.start.Body) > g.cfg.MaxQueueBytes {
		return false
	}
	if len(g.queue) < g.queueLimit() {
		return true
	}
	if len(g.queue) == 0 {
		return false
	}
	last := g.queue[len(g.queue)-1]
	if last.start.Priority >= a.start.Priority {
		return false
	}
	g.refuseQueued(last, contract.ReasonTargetFull)
	return true
}

func (g *Gate) queueLimit() int {
	return min(g.cfg.MaxQueue, g.limiter.Limit())
}

// countAhead returns how many queued attempts are started before a.
func (g *Gate) countAhead(a *attempt) int {
	return sort.Search(len(g.queue), func(i int) bool {
		return g.queue[i].start.Priority < a.start.Priority
	})
}

func (g *Gate) fullReason() contract.Reason {
	if g.limiter.Phase() == coldstart.PhaseWarm {
		return contract.ReasonTargetFull
	}
	return contract.ReasonColdStart
}

// freeUnits returns how many units may be sent to the back end now.
func (g *Gate) freeUnits() int {
	if g.disabled&offLimit != 0 {
		return 1
	}
	return g.limiter.Available()
}

// admit starts queued attempts while there is room.
func (g *Gate) admit() {
	for len(g.queue) > 0 && g.freeUnits() > 0 {
		a := g.queue[0]
		if g.isPastDeadline(a) {
			g.refuseQueued(a, contract.ReasonDeadline)
			continue
		}
		g.dequeue(a)
		g.run(a)
	}
}

func (g *Gate) run(a *attempt) {
	a.record = g.store.RecordStart(g.now, a.id(), a.deadline)
	a.started = g.now
	g.stepLimiter(coldstart.UnitSent{Attempt: a.id()})
	g.emit(Run{From: a.from, Start: a.start, Deadline: a.deadline})
}

// Sendable returns why a running attempt may not be sent to the back end now, or "" if it
// may.
func (g *Gate) Sendable(now time.Time, id contract.AttemptID) contract.Reason {
	a, ok := g.attempts[id]
	switch {
	case !ok || a.ended:
		return contract.ReasonTombstone
	case !a.deadline.After(now) && g.disabled&offDeadline == 0:
		return contract.ReasonDeadline
	case !g.servesWeights(a.start.Weights) && g.disabled&offPinning == 0:
		return contract.ReasonWeightsMismatch
	case a.stopping:
		return contract.ReasonCallerGone
	}
	return ""
}
