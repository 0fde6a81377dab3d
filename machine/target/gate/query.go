package gate

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// everyAttempt is the attempt number that stands for all attempts of a request.
const everyAttempt = 0

// handleQueried answers a query. A requested tombstone is stored before the state is
// determined.
func (g *Gate) handleQueried(q contract.Query) {
	if q.Attempt.Request == "" || len(q.Attempt.Request) > maxRequestIDBytes {
		g.emit(Ignored{Cause: string(contract.ReasonBadRequest)})
		g.emit(ReportStatus{Status: contract.Status{Attempt: q.Attempt, Incarnation: g.cfg.Incarnation}})
		return
	}
	if q.Tombstone {
		g.addTombstone(q.Attempt)
	}
	status := g.status(q.Attempt, "")
	if status.State == contract.AttemptNeverRan && !g.wouldHaveRecord(q) {
		status.State, status.Reason = contract.AttemptNoRecord, ""
	}
	g.emit(ReportStatus{Status: status})
}

// addTombstone refuses the matching queued attempts and ensures that no matching attempt
// starts later.
func (g *Gate) addTombstone(id contract.AttemptID) {
	g.refuseQueuedIf(contract.ReasonTombstone, func(a *attempt) bool { return matchesID(id, a.id()) })
	if id.N == everyAttempt || !g.isQueuedOrStarted(id) {
		g.store.AddTombstone(g.now, id)
	}
}

func matchesID(queried, id contract.AttemptID) bool {
	return queried.Request == id.Request && (queried.N == everyAttempt || queried.N == id.N)
}

// wouldHaveRecord reports whether the process would have a record if the attempt had run
// here: the attempt was first sent when the process could already receive it, and within
// the retention of records. The first condition is shown by the attempt's age, or by a
// sender that had received this incarnation's number before it sent the attempt. Neither
// condition is needed for an attempt that this process received and refused.
func (g *Gate) wouldHaveRecord(q contract.Query) bool {
	if g.disabled&offRecordCheck != 0 {
		return true
	}
	if r := g.store.Get(q.Attempt); r != nil && r.WasReceived() {
		return true
	}
	if q.Age <= 0 || q.Age >= g.cfg.Answers.RecordRetention {
		return false
	}
	receivingFor := g.now.Sub(g.started) - g.cfg.MaxTransitTime
	return q.Age < receivingFor || q.SentToIncarnation != 0 && q.SentToIncarnation == g.cfg.Incarnation
}

// status returns the state of an attempt, or of the newest started attempt of a request.
func (g *Gate) status(id contract.AttemptID, reason contract.Reason) contract.Status {
	s := contract.Status{Attempt: id, Incarnation: g.cfg.Incarnation, Reason: reason}
	if r := g.startedRecord(id); r != nil {
		s.Attempt, s.State = r.ID(), r.State()
		if reason == "" {
			s.Reason = r.Reason()
		}
		return s
	}
	if state, past := g.store.DroppedState(id); past {
		s.State = state
		return s
	}
	for _, a := range g.queue {
		if matchesID(id, a.id()) {
			s.Attempt, s.State = a.id(), contract.AttemptQueued
			return s
		}
	}
	if cause, hasTombstone := g.store.FindTombstone(g.now, id); hasTombstone {
		s.State = contract.AttemptNeverRan
		if reason == "" {
			s.Reason = cause
		}
	}
	return s
}

// startedRecord returns the record of a started attempt, or nil.
func (g *Gate) startedRecord(id contract.AttemptID) *answers.Record {
	if id.N == everyAttempt {
		return g.store.NewestStarted(id.Request)
	}
	if r := g.store.Get(id); r != nil && r.HasStarted() {
		return r
	}
	return nil
}

// Load returns the target's load as it is reported to a sender.
func (g *Gate) Load(sender contract.MachineID) contract.Load {
	g.loadSeq++
	limit := g.limiter.Limit()
	credits := 0
	if g.isOpen() {
		free := limit + g.queueLimit() - g.limiter.Running() - len(g.queue)
		credits = g.senders.credits(sender, limit, free)
	}
	return contract.Load{
		Running: uint32(g.limiter.Running()),
		Queued:  uint32(len(g.queue)),
		Limit:   uint32(limit),
		Warm:    g.limiter.IsWarm(),
		Leaving: g.leaving || g.settings.ZoneEvacuated,
		Weights: g.weights,
		Credits: uint32(credits),
		Seq:     g.loadSeq,
	}
}

// hasWeights reports whether the active version of a model engine is known. It is true
// for a plain service.
func (g *Gate) hasWeights() bool { return !g.cfg.Model || g.weights != "" }

// Offset returns the offset of the newest settings record applied.
func (g *Gate) Offset() contract.Offset { return g.settings.Offset }

// IsLingering reports whether the attempt's answer is closed while the back end may still
// work on it.
func (g *Gate) IsLingering(id contract.AttemptID) bool {
	a, ok := g.attempts[id]
	return ok && a.ended
}

// Units returns the number of running units and their limit.
func (g *Gate) Units() (running, limit int) {
	return g.limiter.Running(), g.limiter.Limit()
}

// Phase returns the phase of the cold start.
func (g *Gate) Phase() coldstart.Phase { return g.limiter.Phase() }
