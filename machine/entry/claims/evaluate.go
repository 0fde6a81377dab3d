package claims

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

const (
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = time.Second
	// unresolvedRetry is the Retry-After while a request's outcome is unknown.
	unresolvedRetry = 10 * time.Second
)

// evaluateKey evaluates all calls for a key again, in order of arrival.
func (m *Machine) evaluateKey(now time.Time, key ledger.Key) {
	for _, request := range slices.Clone(m.byKey[key]) {
		if c := m.calls[request]; c != nil {
			m.evaluate(now, c)
		}
	}
}

// evaluate decides about a call if the records read so far allow it.
func (m *Machine) evaluate(now time.Time, c *call) {
	if !m.ready {
		m.awaitLog(now, c)
		return
	}
	h, held := m.ledger.Lookup(c.key)
	switch {
	case held && m.isUnconfirmed(now, c, h):
		m.awaitHolder(now, c)
	case held && h.Request == c.claim.Request:
		m.grantRun(now, c)
	case held && h.BodyHash != c.bodyHash && m.disabled&bodyCheck == 0:
		m.decideCall(c, Decision{Verdict: Conflict, Holder: h.Request})
	case held:
		m.handleHeldKey(now, c, h)
	default:
		m.claimFreeKey(now, c)
	}
}

// claimFreeKey queues a claim of a free key for the log.
func (m *Machine) claimFreeKey(now time.Time, c *call) {
	if !c.contendedSince.IsZero() {
		c.contendedSince = time.Time{}
		c.startedAt = now
	}
	if !m.awaitLog(now, c) || c.queued {
		return
	}
	if m.isExpired(now, c) {
		m.decideCall(c, Decision{Verdict: Expired})
		return
	}
	if m.isHistoryIncomplete(now, c) {
		m.stats.IncompleteHistory++
		m.refuseUnavailable(now, c)
		return
	}
	if m.ledger.Len() >= m.config.MaxKeys {
		m.refuseUnavailable(now, c)
		return
	}
	m.queueItem(now, c, ledger.Item{Kind: ledger.KindClaim, Key: c.key, Request: c.claim.Request, BodyHash: c.bodyHash})
}

// awaitLog refuses a call that has waited too long for the log, and sets a timer for that
// otherwise. It reports whether the call is still open.
func (m *Machine) awaitLog(now time.Time, c *call) bool {
	end := c.startedAt.Add(m.config.LogTimeout)
	if !now.Before(end) {
		m.refuseUnavailable(now, c)
		return false
	}
	m.wakeCallAt(c, end)
	return true
}

// queueItem adds an item of the call to the batcher.
func (m *Machine) queueItem(now time.Time, c *call, it ledger.Item) {
	if !m.batcher.Add(it) {
		m.refuseUnavailable(now, c)
		return
	}
	c.queued = true
	c.queuedAt = now
	if m.disabled&waitForRecord != 0 {
		m.grantRun(now, c)
	}
}

// isExpired reports whether the key may have been used before the records that are still
// retained.
func (m *Machine) isExpired(now time.Time, c *call) bool {
	if m.disabled&keyExpiry != 0 {
		return false
	}
	if m.ledger.IsExpired(c.key) {
		return true
	}
	createdAt, ok := keyCreationTime(c.claim.Key, now)
	if !ok || m.ledger.Clock().IsZero() {
		return false
	}
	oldest := m.ledger.Clock().Add(-m.config.Ledger.Window)
	return createdAt.Before(oldest.Add(clockSkew))
}

// isHistoryIncomplete reports whether lost records may contain a claim of the key. They
// cannot if the key's creation time is known and later than them.
func (m *Machine) isHistoryIncomplete(now time.Time, c *call) bool {
	return m.ledger.IsHistoryIncomplete() && m.disabled&distrustIncompleteHistory == 0 && !m.isKeyAfterHorizon(now, c)
}

// isKeyAfterHorizon reports whether the key was certainly created after the lost records.
func (m *Machine) isKeyAfterHorizon(now time.Time, c *call) bool {
	createdAt, ok := keyCreationTime(c.claim.Key, now)
	return ok && createdAt.After(m.ledger.Horizon().Add(clockSkew))
}

// isUnconfirmed reports whether another request may be the true holder of the key.
func (m *Machine) isUnconfirmed(now time.Time, c *call, h ledger.Holder) bool {
	return h.Unconfirmed && m.disabled&distrustIncompleteHistory == 0 && !m.isKeyAfterHorizon(now, c)
}

// grantRun lets the holder of the key run if some of its start timeout is left; else it
// releases the key.
func (m *Machine) grantRun(now time.Time, c *call) {
	request := c.claim.Request
	remaining := m.config.StartTimeout - now.Sub(c.queuedAt)
	if remaining <= 0 && m.disabled&startLimit == 0 {
		m.stats.TooLate++
		m.refuseUnavailable(now, c)
		m.releaseKey(request, c.key, c.bodyHash)
		return
	}
	m.runs[request] = &run{key: c.key, bodyHash: c.bodyHash}
	m.decideCall(c, Decision{Verdict: Run, Holder: request, StartTimeout: remaining})
}

// releaseKey releases a key whose holder does not run.
func (m *Machine) releaseKey(request contract.RequestID, key ledger.Key, bodyHash ledger.BodyHash) {
	if m.disabled&releaseAbandoned != 0 {
		return
	}
	m.stats.Released++
	result := &Result{Outcome: contract.OutcomeNotRun, Reason: contract.ReasonCallerGone}
	m.batcher.Add(ledger.Item{Kind: ledger.KindOutcome, Key: key, Request: request, BodyHash: bodyHash, Result: result})
}

func (m *Machine) refuseUnavailable(now time.Time, c *call) {
	m.decideCall(c, Decision{Verdict: Unavailable, RetryAfter: m.jitter(minRetryAfter + m.batcher.Interval(now))})
}

// jitter returns a random duration between d and one and a half times d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d + time.Duration(m.rng.Int64N(int64(d)/2+1))
}

// handleHeldKey evaluates a call whose key another request holds.
func (m *Machine) handleHeldKey(now time.Time, c *call, h ledger.Holder) {
	result := m.resultOf(h)
	if result != nil && (!result.BodyOmitted || c.bodyRequested) {
		m.decideCall(c, Decision{Verdict: Replay, Holder: h.Request, Result: result})
		return
	}
	if !m.awaitHolder(now, c) {
		return
	}
	if result != nil {
		m.startProbe(now, c, h)
	} else {
		m.probeSilentHolder(now, c, h)
	}
}

// awaitHolder decides about a call that has waited too long for another request, and sets
// a timer for that otherwise. It reports whether the call is still open.
func (m *Machine) awaitHolder(now time.Time, c *call) bool {
	if c.contendedSince.IsZero() {
		c.contendedSince = now
	}
	end := c.contendedSince.Add(m.config.HolderTimeout)
	if !now.Before(end) {
		m.decideFromLedger(now, c)
		return false
	}
	m.wakeCallAt(c, end)
	return true
}

// resultOf returns the result of a holder that is done, or nil.
func (m *Machine) resultOf(h ledger.Holder) *Result {
	if h.State == ledger.Done {
		return h.Result
	}
	r := m.runs[h.Request]
	if r != nil && r.result != nil && r.result.Outcome == contract.OutcomeDone {
		return r.result
	}
	return nil
}

// decideFromLedger decides about a call by what has been read about its key.
func (m *Machine) decideFromLedger(now time.Time, c *call) {
	h, held := m.ledger.Lookup(c.key)
	switch {
	case held && m.isUnconfirmed(now, c, h):
		m.decideCall(c, Decision{Verdict: Unresolved, RetryAfter: m.jitter(unresolvedRetry)})
	case !held || h.Request == c.claim.Request:
		m.refuseUnavailable(now, c)
	case m.resultOf(h) != nil:
		m.decideCall(c, Decision{Verdict: Replay, Holder: h.Request, Result: m.resultOf(h)})
	case m.isUnresolved(now, c, h):
		m.decideCall(c, Decision{Verdict: Unresolved, Holder: h.Request, RetryAfter: m.jitter(unresolvedRetry)})
	default:
		rest := max(h.ReadAt.Add(m.config.ProbeDelay).Sub(now), minRetryAfter)
		m.decideCall(c, Decision{Verdict: InProgress, Holder: h.Request, RetryAfter: m.jitter(rest)})
	}
}

// isUnresolved reports whether the holder's outcome is unknown.
func (m *Machine) isUnresolved(now time.Time, c *call, h ledger.Holder) bool {
	if c.lastAnswer != nil && c.lastAnswer.holder == h.Request {
		return c.lastAnswer.state == ProbeUnknown
	}
	return h.State == ledger.Uncertain || m.runs[h.Request] == nil && now.Sub(h.ReadAt) >= m.config.ProbeDelay
}
