package claims

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// investigate asks the targets about a holder that has been silent for too long.
func (m *Machine) investigate(now time.Time, c *call, h ledger.Holder) {
	if r := m.runs[h.Request]; r != nil && r.result == nil {
		return
	}
	from := h.ReadAt.Add(m.config.ProbeDelay)
	if h.State == ledger.Open && now.Before(from) && m.off&graceBeforeProbe == 0 {
		m.sleep(c, from)
		return
	}
	if c.queued {
		return
	}
	if m.logSeen.IsZero() {
		// The call's own claim, which does not win, tells the log's clock.
		m.queue(now, c, ledger.Item{Kind: ledger.KindClaim, Key: c.key, Request: c.claim.Request, BodyHash: c.body})
		return
	}
	m.ask(now, c, h)
}

// ask begins a probe, unless one is open or too recent.
func (m *Machine) ask(now time.Time, c *call, h ledger.Holder) {
	p := m.probes[c.key]
	if p != nil && p.winner == h.Request {
		if p.open {
			return
		}
		if next := p.asked.Add(m.config.ProbeInterval); now.Before(next) {
			m.sleep(c, next)
			return
		}
	}
	m.probes[c.key] = &probe{winner: h.Request, asked: now, open: true}
	m.stats.Probes++
	m.effects = append(m.effects, Probe{Key: c.key, Service: c.claim.Service, Holder: h.Request, Age: m.age(now, h)})
}

// age returns a bound of the time since the holder claimed: no log record of
// the claim was there any earlier.
func (m *Machine) age(now time.Time, h ledger.Holder) time.Duration {
	if m.off&ageBound != 0 || m.logSeen.IsZero() {
		return now.Sub(h.ReadAt) + m.config.AgeMargin
	}
	logNow := m.logTime.Add(now.Sub(m.logSeen))
	return max(logNow.Sub(h.LogTime), now.Sub(h.ReadAt)) + m.config.AgeMargin
}

// Probed takes the answer to an Ask.
func (m *Machine) OnProbeResult(now time.Time, key ledger.Key, winner contract.RequestID, answer ProbeResult) {
	p := m.probes[key]
	if p == nil || p.winner != winner || !p.open {
		return
	}
	p.open = false
	h, held := m.ledger.Lookup(key)
	if held && h.Request == winner && m.resultOf(h) != nil {
		m.fetched(now, key, h, answer)
		return
	}
	if !held || h.Request != winner {
		m.evaluateKey(now, key)
		return
	}
	if answer.State == ProbeDone && answer.Result != nil {
		m.adopt(now, key, winner, *answer.Result)
		return
	}
	if answer.State == ProbeUnknown && m.off&vouching != 0 {
		answer.State = ProbeNeverRan
	}
	for _, request := range m.byKey[key] {
		m.calls[request].answer = &probeAnswer{winner: winner, state: answer.State}
	}
	if answer.State == ProbeNeverRan {
		m.takeOver(now, key, winner)
		return
	}
	m.refuse(now, key)
}

// fetched answers the calls for a key that is done with the body that a target
// kept, or without it.
func (m *Machine) fetched(now time.Time, key ledger.Key, h ledger.Holder, answer ProbeResult) {
	for _, request := range append([]contract.RequestID(nil), m.byKey[key]...) {
		c := m.calls[request]
		c.fetched = true
		whole := answer.State == ProbeDone && answer.Result != nil && !answer.Result.BodyOmitted
		if whole && c.body == h.BodyHash {
			m.decide(c, Decision{Verdict: Replay, Holder: h.Request, Result: answer.Result})
			continue
		}
		m.evaluate(now, c)
	}
}

// adopt answers the calls for a key with the result that a target kept, and
// puts it into the log.
func (m *Machine) adopt(now time.Time, key ledger.Key, winner contract.RequestID, result Result) {
	result.Outcome = contract.OutcomeDone
	kept := result
	if len(kept.Body) > m.config.MaxBodyBytes {
		kept.Body = nil
		kept.BodyOmitted = true
	}
	m.batcher.Add(ledger.Item{Kind: ledger.KindOutcome, Key: key, Request: winner, BodyHash: m.holderBody(key), Result: &kept})
	for _, request := range append([]contract.RequestID(nil), m.byKey[key]...) {
		c := m.calls[request]
		if c.body != m.holderBody(key) {
			m.evaluate(now, c)
			continue
		}
		m.decide(c, Decision{Verdict: Replay, Holder: winner, Result: &result})
	}
}

func (m *Machine) holderBody(key ledger.Key) ledger.BodyHash {
	h, _ := m.ledger.Lookup(key)
	return h.BodyHash
}

// takeOver hands a takeover by the first call for the key to the log. The
// others go on waiting.
func (m *Machine) takeOver(now time.Time, key ledger.Key, winner contract.RequestID) {
	for _, request := range m.byKey[key] {
		c := m.calls[request]
		if c.queued {
			continue
		}
		m.stats.Takeovers++
		m.queue(now, c, ledger.Item{
			Kind: ledger.KindTakeover, Key: key, Request: request, BodyHash: c.body, Supersedes: winner,
		})
		return
	}
}

// refuse ends the calls for a key whose holder still runs or is in doubt.
func (m *Machine) refuse(now time.Time, key ledger.Key) {
	for _, request := range append([]contract.RequestID(nil), m.byKey[key]...) {
		m.decideByKnowledge(now, m.calls[request])
	}
}
