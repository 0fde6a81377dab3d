package claims

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// probeSilentHolder probes a holder that has had no outcome for ProbeDelay, or whose
// outcome is uncertain.
func (m *Machine) probeSilentHolder(now time.Time, c *call, h ledger.Holder) {
	if r := m.runs[h.Request]; r != nil && r.result == nil {
		return
	}
	from := h.ReadAt.Add(m.config.ProbeDelay)
	if h.State == ledger.Open && now.Before(from) && m.disabled&graceBeforeProbe == 0 {
		m.wakeCallAt(c, from)
		return
	}
	if c.queued {
		return
	}
	if m.logTimeLocal.IsZero() {
		// The log's time is not known yet. It is read from the record of the call's own
		// claim, which does not win.
		m.queueItem(now, c, ledger.Item{Kind: ledger.KindClaim, Key: c.key, Request: c.claim.Request, BodyHash: c.bodyHash})
		return
	}
	m.startProbe(now, c, h)
}

// startProbe starts a probe, unless one is in flight or was started too recently.
func (m *Machine) startProbe(now time.Time, c *call, h ledger.Holder) {
	p := m.lastProbes[c.key]
	if p != nil && p.holder == h.Request {
		if p.inFlight {
			return
		}
		if next := p.startedAt.Add(m.config.ProbeInterval); now.Before(next) {
			m.wakeCallAt(c, next)
			return
		}
	}
	m.lastProbes[c.key] = &keyProbe{holder: h.Request, startedAt: now, inFlight: true}
	m.stats.Probes++
	m.effects = append(m.effects, Probe{Key: c.key, Service: c.claim.Service, Holder: h.Request, Age: m.claimAge(now, h)})
}

// claimAge returns an upper bound of the time since the holder claimed the key. It uses
// the log's clock where that is known, because this process may have read an old claim
// only recently.
func (m *Machine) claimAge(now time.Time, h ledger.Holder) time.Duration {
	if m.disabled&claimAgeBound != 0 || m.logTimeLocal.IsZero() {
		return now.Sub(h.ReadAt) + m.config.AgeMargin
	}
	logNow := m.logTime.Add(now.Sub(m.logTimeLocal))
	return max(logNow.Sub(h.LogTime), now.Sub(h.ReadAt)) + m.config.AgeMargin
}

// OnProbeResult handles the result of a Probe.
func (m *Machine) OnProbeResult(now time.Time, key ledger.Key, holder contract.RequestID, answer ProbeResult) {
	p := m.lastProbes[key]
	if p == nil || p.holder != holder || !p.inFlight {
		return
	}
	p.inFlight = false
	h, held := m.ledger.Lookup(key)
	if held && h.Request == holder && m.resultOf(h) != nil {
		m.onBodyAnswer(now, key, h, answer)
		return
	}
	if !held || h.Request != holder {
		m.evaluateKey(now, key)
		return
	}
	if answer.State == ProbeDone && answer.Result != nil {
		m.adoptResult(now, key, holder, *answer.Result)
		return
	}
	if answer.State == ProbeUnknown && m.disabled&requireAllAnswers != 0 {
		answer.State = ProbeNeverRan
	}
	for _, request := range m.byKey[key] {
		m.calls[request].lastAnswer = &holderAnswer{holder: holder, state: answer.State}
	}
	if answer.State == ProbeNeverRan {
		m.queueTakeover(now, key, holder)
		return
	}
	m.decideWaitingCalls(now, key)
}

// onBodyAnswer answers the calls for a key that is done with the body that a target
// retained, or without the body.
func (m *Machine) onBodyAnswer(now time.Time, key ledger.Key, h ledger.Holder, answer ProbeResult) {
	for _, request := range append([]contract.RequestID(nil), m.byKey[key]...) {
		c := m.calls[request]
		c.bodyRequested = true
		complete := answer.State == ProbeDone && answer.Result != nil && !answer.Result.BodyOmitted
		if complete && c.bodyHash == h.BodyHash {
			m.decideCall(c, Decision{Verdict: Replay, Holder: h.Request, Result: answer.Result})
			continue
		}
		m.evaluate(now, c)
	}
}

// adoptResult answers the calls for a key with the result that a target retained, and
// queues that result for the log.
func (m *Machine) adoptResult(now time.Time, key ledger.Key, holder contract.RequestID, result Result) {
	result.Outcome = contract.OutcomeDone
	logged := result
	if len(logged.Body) > m.config.MaxBodyBytes {
		logged.Body = nil
		logged.BodyOmitted = true
	}
	m.batcher.Add(ledger.Item{Kind: ledger.KindOutcome, Key: key, Request: holder, BodyHash: m.holderBodyHash(key), Result: &logged})
	for _, request := range append([]contract.RequestID(nil), m.byKey[key]...) {
		c := m.calls[request]
		if c.bodyHash != m.holderBodyHash(key) {
			m.evaluate(now, c)
			continue
		}
		m.decideCall(c, Decision{Verdict: Replay, Holder: holder, Result: &result})
	}
}

func (m *Machine) holderBodyHash(key ledger.Key) ledger.BodyHash {
	h, _ := m.ledger.Lookup(key)
	return h.BodyHash
}

// queueTakeover queues a takeover by the first call for the key that has no item queued.
// The other calls continue to wait.
func (m *Machine) queueTakeover(now time.Time, key ledger.Key, holder contract.RequestID) {
	for _, request := range m.byKey[key] {
		c := m.calls[request]
		if c.queued {
			continue
		}
		m.stats.Takeovers++
		m.queueItem(now, c, ledger.Item{
			Kind: ledger.KindTakeover, Key: key, Request: request, BodyHash: c.bodyHash, Supersedes: holder,
		})
		return
	}
}

// decideWaitingCalls decides about all calls for a key whose holder still runs or whose
// outcome is unknown.
func (m *Machine) decideWaitingCalls(now time.Time, key ledger.Key) {
	for _, request := range append([]contract.RequestID(nil), m.byKey[key]...) {
		m.decideFromLedger(now, m.calls[request])
	}
}
