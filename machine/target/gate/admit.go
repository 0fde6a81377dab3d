package gate

import (
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// arrived checks an attempt and starts, queues or refuses it.
func (g *Gate) arrived(e Arrived) {
	s := &e.Start
	g.senders.worked(e.From, g.now)
	if !valid(s) {
		g.refuseUnburied(e.From, s.Attempt, contract.ReasonBadRequest)
		return
	}
	if g.known(e.From, s) {
		return
	}
	s.Remaining = min(s.Remaining, maxRemaining)
	a := &attempt{from: e.From, start: *s, deadline: g.now.Add(s.Remaining)}
	if reason := g.objection(s); reason != "" {
		g.refuse(a, reason)
		return
	}
	g.enqueue(a)
}

func valid(s *contract.Start) bool {
	return s.Attempt.Request != "" && s.Attempt.N > 0 && len(s.Attempt.Request) <= maxRequestIDBytes
}

// known answers an attempt that was heard before. A tombstone refuses it;
// otherwise it may run, so that its state is told instead.
func (g *Gate) known(from contract.MachineID, s *contract.Start) bool {
	if g.off&offTombstones == 0 {
		if _, buried := g.store.FindTombstone(g.now, s.Attempt); buried && !g.heard(s.Attempt) {
			g.refuseUnburied(from, s.Attempt, contract.ReasonTombstone)
			return true
		}
	}
	if g.off&offRecords != 0 || !g.heard(s.Attempt) {
		return false
	}
	g.emit(Ignored{Cause: string(contract.ReasonDuplicateAttempt)})
	g.emit(ReportStatus{Status: g.status(s.Attempt, contract.ReasonDuplicateAttempt)})
	return true
}

// heard reports whether the attempt is queued or has started.
func (g *Gate) heard(id contract.AttemptID) bool {
	if _, ok := g.attempts[id]; ok {
		return true
	}
	if r := g.store.Get(id); r != nil && r.HasStarted() {
		return true
	}
	_, past := g.store.DroppedState(id)
	return past
}

// objection returns why the target takes no attempt like s now, or "".
func (g *Gate) objection(s *contract.Start) contract.Reason {
	switch {
	case s.Service != g.cfg.Service:
		return contract.ReasonUnknownService
	case g.leaving && g.off&offLeaving == 0:
		return contract.ReasonTargetLeaving
	case !g.settings.Ready, g.now.Before(g.pausedUntil):
		return contract.ReasonSettingsNotReady
	case g.settings.ZoneEvacuated && g.off&offZoneOut == 0:
		return contract.ReasonZoneOut
	case s.SettingsOffset < g.settings.RelevantOffset && g.off&offStale == 0:
		return contract.ReasonStaleSettings
	case s.Remaining <= 0 && g.off&offDeadline == 0:
		return contract.ReasonDeadline
	case !s.Idempotent && g.other(s.Attempt) && g.off&offOneAttempt == 0:
		return contract.ReasonDuplicateAttempt
	case g.off&offPinned == 0:
		return g.weightsObjection(s)
	}
	return ""
}

func (g *Gate) weightsObjection(s *contract.Start) contract.Reason {
	if !g.cfg.Model {
		return ""
	}
	if !g.hasWeights() || g.draining() {
		return contract.ReasonNoWeights
	}
	if s.Weights != g.weights {
		return contract.ReasonWeightsMismatch
	}
	return ""
}

// other reports whether another attempt of the request is queued or may have
// run here.
func (g *Gate) other(id contract.AttemptID) bool {
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

// enqueue puts an attempt that may run into the queue if there is room; admit
// takes it out again at once if the back end has room.
func (g *Gate) enqueue(a *attempt) {
	g.supersede(a)
	if !g.store.HasRoom(len(g.queue)) {
		g.refuse(a, contract.ReasonTargetFull)
		return
	}
	direct := len(g.queue) == 0 && g.room() > 0
	if !direct && !g.queueTakes(a) {
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
	g.senders.hold(a.from, 1)
}

// supersede stops an earlier attempt of an idempotent request: its sender has
// moved on to this one.
func (g *Gate) supersede(a *attempt) {
	if !a.start.Idempotent || a.id().N == 1 {
		return
	}
	former := func(b *attempt) bool { return b.id().Request == a.id().Request && b.id().N < a.id().N }
	for _, b := range g.matching(former) {
		g.stop(b, contract.ReasonDuplicateAttempt)
	}
}

// queueTakes reports whether the queue has room for a, after it has displaced
// an attempt of lower priority if need be.
func (g *Gate) queueTakes(a *attempt) bool {
	if g.wait(g.ahead(a)) >= a.start.Remaining {
		return false
	}
	if g.queueBytes+len(a.start.Body) > g.cfg.MaxQueueBytes {
		return false
	}
	if len(g.queue) < g.queueBound() {
		return true
	}
	if len(g.queue) == 0 {
		return false
	}
	last := g.queue[len(g.queue)-1]
	if last.start.Priority >= a.start.Priority {
		return false
	}
	g.dropQueued(last, contract.ReasonTargetFull)
	return true
}

func (g *Gate) queueBound() int {
	return min(g.cfg.MaxQueue, g.limiter.Limit())
}

// ahead returns how many queued attempts go before a.
func (g *Gate) ahead(a *attempt) int {
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

// room returns how many units may be given to the back end now.
func (g *Gate) room() int {
	if g.off&offLimit != 0 {
		return 1
	}
	return g.limiter.Available()
}

// admit starts queued attempts while there is room.
func (g *Gate) admit() {
	for len(g.queue) > 0 && g.room() > 0 {
		a := g.queue[0]
		if g.late(a) {
			g.dropQueued(a, contract.ReasonDeadline)
			continue
		}
		g.unqueue(a)
		g.run(a)
	}
}

func (g *Gate) run(a *attempt) {
	a.record = g.store.RecordStart(g.now, a.id(), a.deadline)
	a.started = g.now
	g.limit(coldstart.UnitSent{Attempt: a.id()})
	g.emit(Run{From: a.from, Start: a.start, Deadline: a.deadline})
}

// Sendable tells whether a running attempt may still be given to the back end
// now; the reason says why not.
func (g *Gate) Sendable(now time.Time, id contract.AttemptID) contract.Reason {
	a, ok := g.attempts[id]
	switch {
	case !ok || a.ended:
		return contract.ReasonTombstone
	case !a.deadline.After(now) && g.off&offDeadline == 0:
		return contract.ReasonDeadline
	case !g.pinned(a.start.Weights) && g.off&offPinned == 0:
		return contract.ReasonWeightsMismatch
	case a.stopping:
		return contract.ReasonCallerGone
	}
	return ""
}
