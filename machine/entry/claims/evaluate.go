package claims

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

const (
	// minRetryAfter is the least Retry-After.
	minRetryAfter = time.Second
	// unresolvedRetry is the Retry-After while targets cannot vouch.
	unresolvedRetry = 10 * time.Second
)

// evaluateKey looks again at every call for a key, in order of arrival.
func (m *Machine) evaluateKey(now time.Time, key ledger.Key) {
	for _, request := range slices.Clone(m.byKey[key]) {
		if c := m.calls[request]; c != nil {
			m.evaluate(now, c)
		}
	}
}

// evaluate decides for a call as far as what was read allows it.
func (m *Machine) evaluate(now time.Time, c *call) {
	if !m.ready {
		m.awaitLog(now, c)
		return
	}
	h, held := m.ledger.Lookup(c.key)
	switch {
	case held && m.isDoubtful(now, c, h):
		m.await(now, c)
	case held && h.Request == c.claim.Request:
		m.win(now, c)
	case held && h.BodyHash != c.body && m.off&bodyCheck == 0:
		m.decide(c, Decision{Verdict: Conflict, Holder: h.Request})
	case held:
		m.contend(now, c, h)
	default:
		m.claimFree(now, c)
	}
}

// claimFree hands a claim of a free key to the log.
func (m *Machine) claimFree(now time.Time, c *call) {
	if !c.contended.IsZero() {
		c.contended = time.Time{}
		c.began = now
	}
	if !m.awaitLog(now, c) || c.queued {
		return
	}
	if m.isExpired(now, c) {
		m.decide(c, Decision{Verdict: Expired})
		return
	}
	if m.isHistoryShort(now, c) {
		m.stats.IncompleteHistory++
		m.unavailable(now, c)
		return
	}
	if m.ledger.Len() >= m.config.MaxKeys {
		m.unavailable(now, c)
		return
	}
	m.queue(now, c, ledger.Item{Kind: ledger.KindClaim, Key: c.key, Request: c.claim.Request, BodyHash: c.body})
}

// awaitLog refuses a call that has waited too long for the log, else it sets
// the timer for that. It reports whether the call is still open.
func (m *Machine) awaitLog(now time.Time, c *call) bool {
	end := c.began.Add(m.config.LogTimeout)
	if !now.Before(end) {
		m.unavailable(now, c)
		return false
	}
	m.sleep(c, end)
	return true
}

// queue hands an item of the call to the batcher.
func (m *Machine) queue(now time.Time, c *call, it ledger.Item) {
	if !m.batcher.Add(it) {
		m.unavailable(now, c)
		return
	}
	c.queued = true
	c.claimedAt = now
	if m.off&waitForRecord != 0 {
		m.win(now, c)
	}
}

// isExpired reports whether the key may have been used before the records that
// are still known.
func (m *Machine) isExpired(now time.Time, c *call) bool {
	if m.off&keyAge != 0 {
		return false
	}
	if m.ledger.IsExpired(c.key) {
		return true
	}
	made, ok := keyTime(c.claim.Key, now)
	if !ok || m.ledger.Clock().IsZero() {
		return false
	}
	oldest := m.ledger.Clock().Add(-m.config.Ledger.Window)
	return made.Before(oldest.Add(clockSkew))
}

// isHistoryShort reports whether the key may be held in records that are lost.
// A key that tells its time cannot, if it was made after them.
func (m *Machine) isHistoryShort(now time.Time, c *call) bool {
	return m.ledger.IsHistoryIncomplete() && m.off&distrustShort == 0 && !m.isMadeLater(now, c)
}

// isMadeLater reports whether the key was surely made after the records that
// are lost.
func (m *Machine) isMadeLater(now time.Time, c *call) bool {
	made, ok := keyTime(c.claim.Key, now)
	return ok && made.After(m.ledger.Horizon().Add(clockSkew))
}

// isDoubtful reports whether another request may hold the key in truth.
func (m *Machine) isDoubtful(now time.Time, c *call, h ledger.Holder) bool {
	return h.Unconfirmed && m.off&distrustShort == 0 && !m.isMadeLater(now, c)
}

// win lets the holder of the key run, if there is time left to start.
func (m *Machine) win(now time.Time, c *call) {
	request := c.claim.Request
	rest := m.config.StartTimeout - now.Sub(c.claimedAt)
	if rest <= 0 && m.off&startBound == 0 {
		m.stats.TooLate++
		m.unavailable(now, c)
		m.release(request, c.key, c.body)
		return
	}
	m.runs[request] = &run{key: c.key, body: c.body}
	m.decide(c, Decision{Verdict: Run, Holder: request, StartTimeout: rest})
}

// release gives up a key whose holder does not run.
func (m *Machine) release(request contract.RequestID, key ledger.Key, body ledger.BodyHash) {
	if m.off&releaseAbandoned != 0 {
		return
	}
	m.stats.Released++
	result := &Result{Outcome: contract.OutcomeNotRun, Reason: contract.ReasonCallerGone}
	m.batcher.Add(ledger.Item{Kind: ledger.KindOutcome, Key: key, Request: request, BodyHash: body, Result: result})
}

func (m *Machine) unavailable(now time.Time, c *call) {
	m.decide(c, Decision{Verdict: Unavailable, RetryAfter: m.jitter(minRetryAfter + m.batcher.Interval(now))})
}

// jitter spreads a time over itself and half of it more.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d + time.Duration(m.rng.Int64N(int64(d)/2+1))
}

// contend deals with a key that another request holds.
func (m *Machine) contend(now time.Time, c *call, h ledger.Holder) {
	result := m.resultOf(h)
	if result != nil && (!result.BodyOmitted || c.fetched) {
		m.decide(c, Decision{Verdict: Replay, Holder: h.Request, Result: result})
		return
	}
	if !m.await(now, c) {
		return
	}
	if result != nil {
		m.ask(now, c, h)
	} else {
		m.investigate(now, c, h)
	}
}

// await ends a call that has waited too long for another request, else it sets
// the timer for that. It reports whether the call is still open.
func (m *Machine) await(now time.Time, c *call) bool {
	if c.contended.IsZero() {
		c.contended = now
	}
	end := c.contended.Add(m.config.HolderTimeout)
	if !now.Before(end) {
		m.decideByKnowledge(now, c)
		return false
	}
	m.sleep(c, end)
	return true
}

// resultOf returns the answer of a holder that is done.
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

// decideByKnowledge ends a call with what is known of its key.
func (m *Machine) decideByKnowledge(now time.Time, c *call) {
	h, held := m.ledger.Lookup(c.key)
	switch {
	case held && m.isDoubtful(now, c, h):
		m.decide(c, Decision{Verdict: Unresolved, RetryAfter: m.jitter(unresolvedRetry)})
	case !held || h.Request == c.claim.Request:
		m.unavailable(now, c)
	case m.resultOf(h) != nil:
		m.decide(c, Decision{Verdict: Replay, Holder: h.Request, Result: m.resultOf(h)})
	case m.isUnresolved(now, c, h):
		m.decide(c, Decision{Verdict: Unresolved, Holder: h.Request, RetryAfter: m.jitter(unresolvedRetry)})
	default:
		rest := max(h.ReadAt.Add(m.config.ProbeDelay).Sub(now), minRetryAfter)
		m.decide(c, Decision{Verdict: InProgress, Holder: h.Request, RetryAfter: m.jitter(rest)})
	}
}

// isUnresolved reports whether the holder's outcome is in doubt.
func (m *Machine) isUnresolved(now time.Time, c *call, h ledger.Holder) bool {
	if c.answer != nil && c.answer.winner == h.Request {
		return c.answer.state == ProbeUnknown
	}
	return h.State == ledger.Uncertain || m.runs[h.Request] == nil && now.Sub(h.ReadAt) >= m.config.ProbeDelay
}
