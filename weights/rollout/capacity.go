package rollout

import (
	"cmp"
	"math"
	"time"
)

// precedesSelf reports whether mem comes before the own target in the order.
func (m *StateMachine) precedesSelf(mem *member) bool {
	own := positionOf(m.plan.Version, m.cfg.Self)
	return cmp.Or(cmp.Compare(mem.position, own), cmp.Compare(mem.name, m.cfg.Self)) < 0
}

// isDone reports whether mem, by its newest status, serves the plan's version, or
// failed to change to it and serves another one.
func (m *StateMachine) isDone(mem *member) bool {
	if !mem.known || !mem.status.Serving {
		return false
	}
	return mem.status.Active == m.plan.Version || mem.status.Failed == m.plan.Version
}

// isFresh reports whether the status of mem is known and still valid.
func (m *StateMachine) isFresh(mem *member) bool {
	return mem.known && m.now-mem.receivedAt <= m.statusValidity()
}

// blockReason returns why the own target may not change now, or "" if it may.
func (m *StateMachine) blockReason() Reason {
	if m.failedMembers() > m.plan.MaxFailures && m.isEnabled(mechFailures) {
		return ReasonFailures
	}
	if !m.self.Serving {
		return ""
	}
	if m.self.Failed == m.plan.Version && m.isEnabled(mechFailures) {
		return ReasonFailures
	}
	required, rule := m.requiredServing()
	if m.isEnabled(mechOrder) && m.countPendingBefore()+1 > len(m.members)+1-required {
		if required > len(m.members) {
			return rule
		}
		return ReasonTurn
	}
	serving, unknown := m.countServing()
	switch {
	case serving >= required:
		return ""
	case serving+unknown >= required:
		return ReasonUnreachable
	default:
		return rule
	}
}

// failedMembers counts the members that are known to have failed to change to the
// plan's version, the own target included.
func (m *StateMachine) failedMembers() int {
	n := 0
	if m.self.Failed == m.plan.Version {
		n++
	}
	for _, mem := range m.members {
		if mem.known && mem.status.Failed == m.plan.Version {
			n++
		}
	}
	return n
}

// countPendingBefore counts the members before the own target that are not done.
func (m *StateMachine) countPendingBefore() int {
	n := 0
	for _, mem := range m.members {
		if m.precedesSelf(mem) && !m.isDone(mem) {
			n++
		}
	}
	return n
}

// countServing counts the other members that serve according to a valid status, and
// those without a valid status.
func (m *StateMachine) countServing() (serving, unknown int) {
	for _, mem := range m.members {
		switch {
		case !m.isFresh(mem):
			unknown++
		case mem.status.Serving:
			serving++
		}
	}
	return serving, unknown
}

// requiredServing returns how many members must serve, and which rule requires it.
func (m *StateMachine) requiredServing() (int, Reason) {
	count := len(m.members) + 1
	byShare := 0
	if m.isEnabled(mechMinReady) {
		byShare = int(math.Ceil(m.plan.MinReady * float64(count)))
		if m.plan.MinReady < 1 {
			byShare = min(byShare, count-1)
		}
	}
	byLoad := 0
	if m.isEnabled(mechLoad) && count > 1 {
		byLoad = m.requiredByLoad()
	}
	if byLoad > byShare {
		return byLoad, ReasonLoad
	}
	return byShare, ReasonMinReady
}

// requiredByLoad returns how many members the live load needs, according to the valid
// statuses and the own load. Members without a valid status count as the mean.
func (m *StateMachine) requiredByLoad() int {
	running, limit, known, unknown := m.self.Running, m.self.Limit, 1, 0
	for _, mem := range m.members {
		switch {
		case !m.isFresh(mem):
			unknown++
		case mem.status.Serving:
			running += mem.status.Running
			limit += mem.status.Limit
			known++
		}
	}
	if limit == 0 {
		return 0
	}
	total := float64(running) / float64(known) * float64(known+unknown)
	perMember := float64(limit) / float64(known) * maxLoadShare
	return int(math.Ceil(total / perMember))
}

// statusValidity returns how long a status counts: at least long enough to request the
// status of every member twice.
func (m *StateMachine) statusValidity() time.Duration {
	return max(m.cfg.StatusValidity, 2*time.Duration(len(m.members))*m.cfg.StatusRequestInterval)
}
