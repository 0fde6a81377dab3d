package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// Config holds the parameters of a StateMachine. A duration that is not positive takes
// its default.
type Config struct {
	Self contract.MachineID
	// StatusRequestInterval is the time between two status requests to members.
	StatusRequestInterval time.Duration
	// StatusValidity is the minimum time for which a status counts. In large zones it
	// is longer, so that every member can be asked twice within it.
	StatusValidity time.Duration
}

const (
	defaultStatusRequestInterval = 250 * time.Millisecond
	defaultStatusValidity        = 30 * time.Second
	// maxLoadShare is the share of a target's limit that live load may fill while other
	// targets are out of service.
	maxLoadShare = 0.8
)

// mechanism is a set of the rules that tests can disable.
type mechanism uint8

const (
	mechOrder mechanism = 1 << iota
	mechMinReady
	mechLoad
	mechFailures
)

// member is what is known of another target of the zone.
type member struct {
	name     contract.MachineID
	position uint64
	status   Status
	// receivedAt is when the status was received, requestedAt when it was last
	// requested.
	receivedAt, requestedAt time.Duration
	known                   bool
}

// StateMachine decides when one target may change. It is not safe for concurrent use.
type StateMachine struct {
	cfg      Config
	disabled mechanism

	now     time.Duration
	plan    Plan
	members []*member
	self    Status
	// readyFor is the version that the own target is ready to change to.
	readyFor      contract.Digest
	granted       contract.Digest
	waitReason    Reason
	nextRequestAt time.Duration
	effects       []Effect
}

// New returns a StateMachine without a plan.
func New(cfg Config) *StateMachine {
	if cfg.StatusRequestInterval <= 0 {
		cfg.StatusRequestInterval = defaultStatusRequestInterval
	}
	if cfg.StatusValidity <= 0 {
		cfg.StatusValidity = defaultStatusValidity
	}
	return &StateMachine{cfg: cfg}
}

// Step applies one event at the time now, which must not go backwards, and
// returns the effects. The slice is valid until the next call.
func (m *StateMachine) Step(now time.Duration, event Event) []Effect {
	m.now = max(m.now, now)
	m.effects = m.effects[:0]
	switch e := event.(type) {
	case Plan:
		m.applyPlan(e)
	case SelfStatus:
		m.self = e.Status
	case ReadyToChange:
		m.readyFor, m.granted = e.Version, ""
	case StatusReceived:
		m.recordStatus(e)
	case StatusUnavailable:
	case Tick:
	}
	m.decide()
	m.requestStatus()
	return m.effects
}

func (m *StateMachine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *StateMachine) isEnabled(mech mechanism) bool { return m.disabled&mech == 0 }

// applyPlan replaces the plan and keeps what is known of the members that remain.
func (m *StateMachine) applyPlan(p Plan) {
	previous := m.members
	m.members = nil
	for _, name := range p.Members {
		if name == m.cfg.Self {
			continue
		}
		i := slices.IndexFunc(previous, func(o *member) bool { return o.name == name })
		mem := &member{name: name}
		if i >= 0 {
			mem = previous[i]
		}
		mem.position = positionOf(p.Version, name)
		m.members = append(m.members, mem)
	}
	slices.SortFunc(m.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.name, b.name))
	})
	if p.Version != m.plan.Version {
		m.waitReason = ""
	}
	m.plan = p
}

// positionOf returns the position of a target in the order in which a version is rolled
// out. Every target computes the same one.
func positionOf(version contract.Digest, name contract.MachineID) uint64 {
	return xxhash.Sum64String(string(version) + "\x00" + string(name))
}

// recordStatus records the status of a member; other targets are ignored.
func (m *StateMachine) recordStatus(e StatusReceived) {
	for _, mem := range m.members {
		if mem.name == e.From {
			mem.status, mem.receivedAt, mem.known = e.Status, m.now, true
			return
		}
	}
}

// needsTurn reports whether the own target is ready for the plan's version and does not
// run it yet.
func (m *StateMachine) needsTurn() bool {
	return m.plan.Version != "" && m.readyFor == m.plan.Version && m.self.Active != m.plan.Version
}

// decide grants or revokes the turn of the own target.
func (m *StateMachine) decide() {
	if m.granted != "" && (m.granted != m.plan.Version || m.self.Active == m.granted) {
		if m.granted != m.plan.Version {
			m.emit(Revoke{Version: m.granted})
		}
		m.granted = ""
	}
	if !m.needsTurn() {
		return
	}
	if m.granted != "" {
		return
	}
	reason := m.blockReason()
	if reason == "" {
		m.granted = m.plan.Version
		m.waitReason = ""
		m.emit(Grant{Version: m.granted})
		return
	}
	if reason != m.waitReason {
		m.waitReason = reason
		m.emit(Waiting{Reason: reason})
	}
}

// requestStatus requests the status of the member with the lowest requestRank; among
// equals, of the one whose last request is longest ago.
func (m *StateMachine) requestStatus() {
	if !m.needsTurn() || m.granted != "" || m.now < m.nextRequestAt || len(m.members) == 0 {
		return
	}
	m.nextRequestAt = m.now + m.cfg.StatusRequestInterval
	next := slices.MinFunc(m.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(m.requestRank(a), m.requestRank(b)), cmp.Compare(a.requestedAt, b.requestedAt), cmp.Compare(a.position, b.position))
	})
	next.requestedAt = m.now
	m.emit(RequestStatus{To: next.name})
}

// requestRank is lower for members that are to be asked earlier: those that precede the
// own target and are not done. In every other interval all members rank the same, so
// that requests go by age alone and no member is left out.
func (m *StateMachine) requestRank(mem *member) int {
	if m.precedesSelf(mem) && !m.isDone(mem) && m.now/m.cfg.StatusRequestInterval%2 == 0 {
		return 0
	}
	return 1
}

// Next returns when to call Step with a Tick, or never.
func (m *StateMachine) Next() time.Duration {
	if !m.needsTurn() || m.granted != "" || len(m.members) == 0 {
		return never
	}
	return max(m.nextRequestAt, m.now+time.Millisecond)
}
