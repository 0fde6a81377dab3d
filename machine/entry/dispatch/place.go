package dispatch

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/fairshare"
	"mimosastand.example/mimosastand/zone/balancer"
)

// Estimated bytes that a token of an answer and a request add to a link between regions.
const (
	tokenLinkBytes   = 150
	requestLinkBytes = 600
)

// sendNext sends the next queued request that a target can take, and reports whether
// there was one.
func (m *StateMachine) sendNext(s *service) bool {
	var choice balancer.Choice
	item, ok := s.queue.Pop(m.now, func(item fairshare.Item) bool {
		r := m.requests[item.Request]
		found, _, ok := s.pool.Pick(m.now, m.requirements(r))
		choice = found
		return ok
	})
	if !ok {
		return false
	}
	r := m.requests[item.Request]
	r.item = item
	if r.pinnedDigest != "" {
		s.pinnedCount--
	}
	m.sendAttempt(r, choice)
	return true
}

func (m *StateMachine) requirements(r *request) balancer.Requirements {
	return balancer.Requirements{
		Prefix:          r.PrefixHash,
		Pinned:          r.pinnedDigest,
		HeadroomDivisor: r.service.usage.HeadroomDivisor(m.now, r.Team),
		Bytes:           len(r.Body) + requestLinkBytes + tokenLinkBytes*int(r.Tokens),
		Tried:           func(id contract.MachineID) bool { return r.isExcluded(m.now, id) },
	}
}

// sendAttempt creates an attempt, makes it current and sends it.
func (m *StateMachine) sendAttempt(r *request, choice balancer.Choice) {
	s := r.service
	a := &attempt{
		id:          contract.AttemptID{Request: r.ID, N: uint32(len(r.attempts) + 1)},
		request:     r,
		target:      choice.Machine,
		weights:     choice.Weights,
		incarnation: s.pool.Incarnation(choice.Machine),
		sentAt:      m.now,
		timeoutAt:   m.now.Add(AcceptTimeout),
	}
	m.recordPlacement(r, choice)
	r.attempts = append(r.attempts, a)
	r.current = a
	r.phase = phaseActive
	r.answerBody = r.answerBody[:0]
	m.recordSent(a)
	m.openExchange(a)
	m.timers.update(r)
	m.emit(SendStart{Exchange: a.exchange, Target: a.target, Start: m.newStart(r, a)})
}

func (m *StateMachine) recordPlacement(r *request, choice balancer.Choice) {
	if len(r.attempts) == 0 {
		home := m.cfg.Home
		team, _ := m.view.Team(home.Region, home.Zone, r.Service, r.Team)
		m.budget.RecordFirstAttempt(r.Service, r.Team, r.service.settings.RetryShare, team.RetryShare)
	}
	if choice.Remote {
		m.count(CountSpill, contract.ReasonTargetFull)
	}
}

func (m *StateMachine) newStart(r *request, a *attempt) contract.Start {
	return contract.Start{
		Attempt:        a.id,
		Service:        r.Service,
		Team:           r.Team,
		Priority:       r.Priority,
		Remaining:      r.deadline.Sub(m.now),
		Weights:        a.weights,
		SettingsOffset: m.view.Offset(),
		Idempotent:     r.Idempotent,
		Method:         r.Method,
		Path:           r.Path,
		ContentType:    r.ContentType,
		Body:           r.Body,
		Key:            r.Key,
		ResumeAt:       r.deliveredTokens,
		PrefixHash:     r.PrefixHash,
		Tokens:         r.Tokens,
	}
}

// recordSent counts an attempt as open at its target, and its tokens for its team.
func (m *StateMachine) recordSent(a *attempt) {
	a.request.service.pool.Sent(m.now, a.target)
	a.request.service.usage.RecordTokens(m.now, a.request.Team, a.request.Tokens)
	m.attemptCounts[a.target]++
	if address, ok := m.addresses[a.target]; ok {
		m.retainedAddresses[a.target] = address
	}
}

// releaseAttempt stops counting an attempt as open at its target. A target that is no
// longer listed loses its link with its last attempt.
func (m *StateMachine) releaseAttempt(a *attempt) {
	if a.isReleased {
		return
	}
	a.isReleased = true
	a.request.service.pool.Ended(a.target, a.isAcked)
	m.attemptCounts[a.target]--
	if m.attemptCounts[a.target] > 0 {
		return
	}
	delete(m.attemptCounts, a.target)
	delete(m.retainedAddresses, a.target)
	if _, listed := m.addresses[a.target]; !listed {
		m.emitPeers()
	}
}

// openExchange opens a new exchange for an attempt and closes the previous one.
func (m *StateMachine) openExchange(a *attempt) {
	m.closeExchange(a)
	m.lastExchange++
	a.exchange = m.lastExchange
	m.exchanges[a.exchange] = a
}

// closeExchange closes the exchange of an attempt.
func (m *StateMachine) closeExchange(a *attempt) {
	if a.exchange == 0 {
		return
	}
	delete(m.exchanges, a.exchange)
	m.emit(EndExchange{Exchange: a.exchange})
	a.exchange = 0
}

// cancelAttempt cancels an attempt at its target and closes its exchange.
func (m *StateMachine) cancelAttempt(a *attempt) {
	if a.exchange != 0 {
		delete(m.exchanges, a.exchange)
		m.emit(SendCancel{Exchange: a.exchange, Target: a.target, Attempt: a.id})
		a.exchange = 0
	}
	a.state = attemptEnded
	m.releaseAttempt(a)
}
