package gate

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// everyAttempt is the attempt number that stands for all of a request.
const everyAttempt = 0

// queried answers a query. A tombstone is put before the state is told.
func (g *Gate) queried(q contract.Query) {
	if q.Attempt.Request == "" || len(q.Attempt.Request) > maxRequestIDBytes {
		g.emit(Ignored{Cause: string(contract.ReasonBadRequest)})
		g.emit(ReportStatus{Status: contract.Status{Attempt: q.Attempt, Incarnation: g.cfg.Incarnation}})
		return
	}
	if q.Tombstone {
		g.bury(q.Attempt)
	}
	status := g.status(q.Attempt, "")
	if status.State == contract.AttemptNeverRan && !g.vouches(q) {
		status.State, status.Reason = contract.AttemptNoRecord, ""
	}
	g.emit(ReportStatus{Status: status})
}

// bury refuses for good what has not started.
func (g *Gate) bury(id contract.AttemptID) {
	g.returnIf(contract.ReasonTombstone, func(a *attempt) bool { return covers(id, a.id()) })
	if id.N == everyAttempt || !g.heard(id) {
		g.store.AddTombstone(g.now, id)
	}
}

func covers(asked, id contract.AttemptID) bool {
	return asked.Request == id.Request && (asked.N == everyAttempt || asked.N == id.N)
}

// vouches reports whether the process would know if the attempt had run here:
// it was first sent after the process could hear it, and within the time for
// which records are kept. A sender that had heard from this very run before it sent
// the attempt shows the first by that, any other by the attempt's age. An attempt
// that came to this process and was refused needs no such bound.
func (g *Gate) vouches(q contract.Query) bool {
	if g.off&offVouch != 0 {
		return true
	}
	if r := g.store.Get(q.Attempt); r != nil && r.WasReceived() {
		return true
	}
	if q.Age <= 0 || q.Age >= g.cfg.Answers.RecordRetention {
		return false
	}
	heardAll := g.now.Sub(g.started) - g.cfg.MaxTransitTime
	return q.Age < heardAll || q.SentToIncarnation != 0 && q.SentToIncarnation == g.cfg.Incarnation
}

// status returns what is known of an attempt, or of the newest one of a request.
func (g *Gate) status(id contract.AttemptID, reason contract.Reason) contract.Status {
	s := contract.Status{Attempt: id, Incarnation: g.cfg.Incarnation, Reason: reason}
	if r := g.recordOf(id); r != nil {
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
		if covers(id, a.id()) {
			s.Attempt, s.State = a.id(), contract.AttemptQueued
			return s
		}
	}
	if cause, buried := g.store.FindTombstone(g.now, id); buried {
		s.State = contract.AttemptNeverRan
		if reason == "" {
			s.Reason = cause
		}
	}
	return s
}

// recordOf returns the record of a started attempt, or nil.
func (g *Gate) recordOf(id contract.AttemptID) *answers.Record {
	if id.N == everyAttempt {
		return g.store.NewestStarted(id.Request)
	}
	if r := g.store.Get(id); r != nil && r.HasStarted() {
		return r
	}
	return nil
}

// Load returns what to tell a sender of the target's load.
func (g *Gate) Load(sender contract.MachineID) contract.Load {
	g.loadSeq++
	limit := g.limiter.Limit()
	credits := 0
	if g.open() {
		free := limit + g.queueBound() - g.limiter.Running() - len(g.queue)
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

// hasWeights reports whether the gate knows the version that it may serve.
func (g *Gate) hasWeights() bool { return !g.cfg.Model || g.weights != "" }

// Offset returns the highest settings record applied.
func (g *Gate) Offset() contract.Offset { return g.settings.Offset }

// Lingers reports whether the attempt's answer is closed while the back end may
// still work on it.
func (g *Gate) IsLingering(id contract.AttemptID) bool {
	a, ok := g.attempts[id]
	return ok && a.ended
}

// Units returns how many units run and how many the back end bears.
func (g *Gate) Units() (running, limit int) {
	return g.limiter.Running(), g.limiter.Limit()
}

// Phase returns the phase of the cold start.
func (g *Gate) Phase() coldstart.Phase { return g.limiter.Phase() }
