package dispatch

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/fairshare"
	"mimosastand.example/mimosastand/zone/balancer"
)

// Bytes that one answer token and one request put on a link between regions.
const (
	tokenLinkBytes   = 150
	requestLinkBytes = 600
)

// sendNext sends the next waiting request that a target can take, and reports
// whether there was one.
func (m *Machine) sendNext(s *service) bool {
	var choice balancer.Choice
	item, ok := s.queue.Pop(m.now, func(item fairshare.Item) bool {
		r := m.requests[item.Request]
		found, _, ok := s.pool.Pick(m.now, m.want(r))
		choice = found
		return ok
	})
	if !ok {
		return false
	}
	r := m.requests[item.Request]
	r.item = item
	if r.pinned != "" {
		s.pinned--
	}
	m.send(r, choice)
	return true
}

func (m *Machine) want(r *request) balancer.Requirements {
	return balancer.Requirements{
		Prefix:          r.PrefixHash,
		Pinned:          r.pinned,
		HeadroomDivisor: r.service.usage.HeadroomDivisor(m.now, r.Team),
		Bytes:           len(r.Body) + requestLinkBytes + tokenLinkBytes*int(r.Tokens),
		Tried:           func(id contract.MachineID) bool { return r.isTried(m.now, id) },
	}
}

// send makes a new attempt current and sends it.
func (m *Machine) send(r *request, choice balancer.Choice) {
	s := r.service
	a := &attempt{
		id:          contract.AttemptID{Request: r.ID, N: uint32(len(r.attempts) + 1)},
		request:     r,
		target:      choice.Machine,
		weights:     choice.Weights,
		incarnation: s.pool.Incarnation(choice.Machine),
		sentAt:      m.now,
		due:         m.now.Add(AcceptTimeout),
	}
	m.countAttempt(r, choice)
	r.attempts = append(r.attempts, a)
	r.current = a
	r.phase = phaseActive
	r.answer = r.answer[:0]
	m.hold(a)
	m.attach(a)
	m.timers.update(r)
	m.emit(SendStart{Exchange: a.exchange, Target: a.target, Start: m.start(r, a)})
}

func (m *Machine) countAttempt(r *request, choice balancer.Choice) {
	if len(r.attempts) == 0 {
		home := m.cfg.Home
		team, _ := m.view.Team(home.Region, home.Zone, r.Service, r.Team)
		m.budget.RecordFirstAttempt(r.Service, r.Team, r.service.settings.RetryShare, team.RetryShare)
	}
	if choice.Remote {
		m.count(CountSpill, contract.ReasonTargetFull)
	}
}

func (m *Machine) start(r *request, a *attempt) contract.Start {
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
		ResumeAt:       r.at,
		PrefixHash:     r.PrefixHash,
		Tokens:         r.Tokens,
	}
}

// hold counts an attempt at its target.
func (m *Machine) hold(a *attempt) {
	a.request.service.pool.Sent(m.now, a.target)
	a.request.service.usage.RecordTokens(m.now, a.request.Team, a.request.Tokens)
	m.holding[a.target]++
	if address, ok := m.addresses[a.target]; ok {
		m.kept[a.target] = address
	}
}

// release ends the counting of an attempt at its target.
func (m *Machine) release(a *attempt) {
	if a.released {
		return
	}
	a.released = true
	a.request.service.pool.Ended(a.target, a.heard)
	m.holding[a.target]--
	if m.holding[a.target] > 0 {
		return
	}
	delete(m.holding, a.target)
	delete(m.kept, a.target)
	if _, listed := m.addresses[a.target]; !listed {
		m.setPeers()
	}
}

// attach gives an attempt a new exchange, in place of the one it had.
func (m *Machine) attach(a *attempt) {
	m.detach(a)
	m.exchange++
	a.exchange = m.exchange
	m.exchanges[a.exchange] = a
}

// detach ends an attempt's exchange.
func (m *Machine) detach(a *attempt) {
	if a.exchange == 0 {
		return
	}
	delete(m.exchanges, a.exchange)
	m.emit(EndExchange{Exchange: a.exchange})
	a.exchange = 0
}

// cancel tells the target that nobody waits for the attempt, and ends its exchange.
func (m *Machine) cancel(a *attempt) {
	if a.exchange != 0 {
		delete(m.exchanges, a.exchange)
		m.emit(SendCancel{Exchange: a.exchange, Target: a.target, Attempt: a.id})
		a.exchange = 0
	}
	a.state = attemptEnded
	m.release(a)
}
