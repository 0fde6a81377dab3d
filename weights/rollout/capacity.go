package rollout

import (
	"cmp"
	"math"
	"time"
)

// before reports whether a member comes before the own target in the order.
func (m *StateMachine) before(mem *member) bool {
	own := place(m.plan.Version, m.cfg.Self)
	return cmp.Or(cmp.Compare(mem.place, own), cmp.Compare(mem.name, m.cfg.Self)) < 0
}

// done reports whether a member serves the plan's version, or failed to change
// to it and serves another one, by the newest answer.
func (m *StateMachine) done(mem *member) bool {
	if !mem.known || !mem.status.Serving {
		return false
	}
	return mem.status.Active == m.plan.Version || mem.status.Failed == m.plan.Version
}

// fresh reports whether an answer is new enough to count on.
func (m *StateMachine) fresh(mem *member) bool {
	return mem.known && m.now-mem.heard <= m.freshFor()
}

// reason tells why the own target may not change now; empty if it may.
func (m *StateMachine) reason() Reason {
	if m.failures() > m.plan.MaxFailures && m.on(mechFailures) {
		return ReasonFailures
	}
	if !m.self.Serving {
		return ""
	}
	if m.self.Failed == m.plan.Version && m.on(mechFailures) {
		return ReasonFailures
	}
	need, why := m.need()
	if m.on(mechOrder) && m.pendingBefore()+1 > len(m.members)+1-need {
		if need > len(m.members) {
			return why
		}
		return ReasonTurn
	}
	serving, unheard := m.serving()
	switch {
	case serving >= need:
		return ""
	case serving+unheard >= need:
		return ReasonUnreachable
	default:
		return why
	}
}

func (m *StateMachine) failures() int {
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

// pendingBefore counts the members before the own target that are not done.
func (m *StateMachine) pendingBefore() int {
	n := 0
	for _, mem := range m.members {
		if m.before(mem) && !m.done(mem) {
			n++
		}
	}
	return n
}

// serving counts the other members that serve by fresh answers, and those of
// which nothing fresh is known.
func (m *StateMachine) serving() (serving, unheard int) {
	for _, mem := range m.members {
		switch {
		case !m.fresh(mem):
			unheard++
		case mem.status.Serving:
			serving++
		}
	}
	return serving, unheard
}

// need is how many members must serve, and which rule asks for that many.
func (m *StateMachine) need() (int, Reason) {
	count := len(m.members) + 1
	byShare := 0
	if m.on(mechMinReady) {
		byShare = int(math.Ceil(m.plan.MinReady * float64(count)))
		if m.plan.MinReady < 1 {
			byShare = min(byShare, count-1)
		}
	}
	byLoad := 0
	if m.on(mechLoad) && count > 1 {
		byLoad = m.loadNeed()
	}
	if byLoad > byShare {
		return byLoad, ReasonLoad
	}
	return byShare, ReasonMinReady
}

// loadNeed is how many members the live load needs, by the fresh answers and
// the own load; members of which nothing is known count like the mean.
func (m *StateMachine) loadNeed() int {
	running, limit, heard, unheard := m.self.Running, m.self.Limit, 1, 0
	for _, mem := range m.members {
		switch {
		case !m.fresh(mem):
			unheard++
		case mem.status.Serving:
			running += mem.status.Running
			limit += mem.status.Limit
			heard++
		}
	}
	if limit == 0 {
		return 0
	}
	total := float64(running) / float64(heard) * float64(heard+unheard)
	perMember := float64(limit) / float64(heard) * fillShare
	return int(math.Ceil(total / perMember))
}

// freshFor is how long an answer counts: long enough to ask every member twice.
func (m *StateMachine) freshFor() time.Duration {
	return max(m.cfg.StatusValidity, 2*time.Duration(len(m.members))*m.cfg.StatusRequestInterval)
}
