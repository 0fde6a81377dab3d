package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// Config holds the parameters of a StateMachine. Zero fields take their defaults.
type Config struct {
	Self contract.MachineID
	// StatusRequestInterval is the time between two questions to members.
	StatusRequestInterval time.Duration
	// StatusValidity is how long an answer counts as knowledge of who serves, at least.
	StatusValidity time.Duration
}

const (
	defaultAskInterval = 250 * time.Millisecond
	defaultFresh       = 30 * time.Second
	// fillShare is the part of a target's limit that live load may fill while
	// others are out.
	fillShare = 0.8
)

// mechanism names one mechanism that tests can switch off.
type mechanism uint8

const (
	mechOrder mechanism = 1 << iota
	mechMinReady
	mechLoad
	mechFailures
)

// member is what is known of one target.
type member struct {
	name   contract.MachineID
	place  uint64
	status Status
	// heard is when the status was told, asked when it was last asked for.
	heard, asked time.Duration
	known        bool
}

// StateMachine is the state machine of one target. It is not safe for concurrent use.
type StateMachine struct {
	cfg Config
	off mechanism

	now     time.Duration
	plan    Plan
	members []*member
	self    Status
	// ready is the version that the own target is ready to change to.
	ready   contract.Digest
	granted contract.Digest
	waiting Reason
	askAt   time.Duration
	effects []Effect
}

// New returns a machine without a plan.
func New(cfg Config) *StateMachine {
	if cfg.StatusRequestInterval <= 0 {
		cfg.StatusRequestInterval = defaultAskInterval
	}
	if cfg.StatusValidity <= 0 {
		cfg.StatusValidity = defaultFresh
	}
	return &StateMachine{cfg: cfg}
}

// Step applies one event at the time now, which must not go backwards, and
// returns the effects. The slice is valid until the next call.
func (m *StateMachine) Step(now time.Duration, ev Event) []Effect {
	m.now = max(m.now, now)
	m.effects = m.effects[:0]
	switch e := ev.(type) {
	case Plan:
		m.replan(e)
	case SelfStatus:
		m.self = e.Status
	case ReadyToChange:
		m.ready, m.granted = e.Version, ""
	case StatusReceived:
		m.answered(e)
	case StatusUnavailable:
	case Tick:
	}
	m.decide()
	m.ask()
	return m.effects
}

func (m *StateMachine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *StateMachine) on(x mechanism) bool { return m.off&x == 0 }

// replan keeps what is known of members that stay.
func (m *StateMachine) replan(p Plan) {
	former := m.members
	m.members = nil
	for _, name := range p.Members {
		if name == m.cfg.Self {
			continue
		}
		i := slices.IndexFunc(former, func(o *member) bool { return o.name == name })
		mem := &member{name: name}
		if i >= 0 {
			mem = former[i]
		}
		mem.place = place(p.Version, name)
		m.members = append(m.members, mem)
	}
	slices.SortFunc(m.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.name, b.name))
	})
	if p.Version != m.plan.Version {
		m.waiting = ""
	}
	m.plan = p
}

// place is a target's place in the order of a version's roll-out.
func place(version contract.Digest, name contract.MachineID) uint64 {
	return xxhash.Sum64String(string(version) + "\x00" + string(name))
}

func (m *StateMachine) answered(e StatusReceived) {
	for _, mem := range m.members {
		if mem.name == e.From {
			mem.status, mem.heard, mem.known = e.Status, m.now, true
			return
		}
	}
}

// wants reports whether the own target waits for its turn.
func (m *StateMachine) wants() bool {
	return m.plan.Version != "" && m.ready == m.plan.Version && m.self.Active != m.plan.Version
}

// decide grants or revokes the own turn.
func (m *StateMachine) decide() {
	if m.granted != "" && (m.granted != m.plan.Version || m.self.Active == m.granted) {
		if m.granted != m.plan.Version {
			m.emit(Revoke{Version: m.granted})
		}
		m.granted = ""
	}
	if !m.wants() {
		return
	}
	if m.granted != "" {
		return
	}
	reason := m.reason()
	if reason == "" {
		m.granted = m.plan.Version
		m.waiting = ""
		m.emit(Grant{Version: m.granted})
		return
	}
	if reason != m.waiting {
		m.waiting = reason
		m.emit(Waiting{Reason: reason})
	}
}

// ask asks the members whose answers matter most: those before the own place
// that are not done, then those whose answers are oldest.
func (m *StateMachine) ask() {
	if !m.wants() || m.granted != "" || m.now < m.askAt || len(m.members) == 0 {
		return
	}
	m.askAt = m.now + m.cfg.StatusRequestInterval
	best := slices.MinFunc(m.members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(m.urgency(a), m.urgency(b)), cmp.Compare(a.asked, b.asked), cmp.Compare(a.place, b.place))
	})
	best.asked = m.now
	m.emit(RequestStatus{To: best.name})
}

// urgency is lower for members that are to be asked earlier. Every other
// question goes by age alone, so that no member is left out.
func (m *StateMachine) urgency(mem *member) int {
	if m.before(mem) && !m.done(mem) && m.now/m.cfg.StatusRequestInterval%2 == 0 {
		return 0
	}
	return 1
}

// Next returns when to call Step with a Tick, or a time that never comes.
func (m *StateMachine) Next() time.Duration {
	if !m.wants() || m.granted != "" || len(m.members) == 0 {
		return never
	}
	return max(m.askAt, m.now+time.Millisecond)
}
