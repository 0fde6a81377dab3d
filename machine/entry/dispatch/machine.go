package dispatch

import (
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/fairshare"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/balancer"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// Limits of the machine.
const (
	// AcceptTimeout is how long a target may take to answer a Start.
	AcceptTimeout = 2 * time.Second
	// FirstPartTimeout and PartTimeout bound the silence of a running attempt
	// before the machine asks about it.
	FirstPartTimeout = 8 * time.Second
	PartTimeout      = 3 * time.Second
	// QuestionTimeout is how long a target may take to answer a Query.
	QueryTimeout = time.Second
	// MaxQuestions bounds the questions in a row without a reply.
	MaxQueries = 6
	// MaxStalls is how often an engine may be asked about without progress.
	MaxStalls = 2
	// MaxAttempts bounds the attempts of one request that failed, MaxMoves all
	// of its attempts, also those that were refused for room or for a change.
	MaxFailedAttempts = 8
	MaxTotalAttempts  = 64
	// MaxAnswerBytes bounds the answer of a plain service.
	MaxAnswerBytes = 8 << 20

	questionPause = 100 * time.Millisecond
	// leaveOutTime is how long a request avoids a target that failed it, and
	// leaveOutUntilReport one that refused it for room and reports no more.
	leaveOutTime        = 100 * time.Millisecond
	leaveOutUntilReport = 2 * time.Second
	// LossGrace is how long requests wait for a service that has just lost its
	// last target, because a new connection or a probe may bring one back.
	LossGracePeriod = 5 * time.Second

	// pumpInterval is how often queues are looked at while requests wait.
	pumpInterval = 50 * time.Millisecond
	// defaultQueue is the queue length of a service whose settings name none.
	defaultQueue = 64
)

// Config tells where the entry runs.
type Config struct {
	Machine contract.MachineID
	Home    balancer.Place
}

// service holds what concerns one service.
type service struct {
	name     contract.ServiceName
	settings settings.ServiceSettings
	// exists tells that the settings name the service.
	exists bool
	pool   *balancer.Pool
	queue  *fairshare.Queue
	usage  *fairshare.Usage
	// usable is when a target could last take requests, had it room.
	usable time.Time
	// pinned counts the waiting requests that need a certain digest.
	pinned int
	// dirty tells that the queue must be looked at.
	dirty bool
}

// Machine is the state machine of an entry.
type StateMachine struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Time
	view  settings.View
	hosts hostlist.List
	// listed tells that a host list has come.
	listed   bool
	stopping bool

	services map[contract.ServiceName]*service
	// order lists the services by name.
	order []*service
	// serviceOf and addresses hold the listed targets.
	serviceOf map[contract.MachineID]*service
	addresses map[contract.MachineID]string
	up        map[contract.MachineID]bool
	// seen holds targets that had a link before.
	seen map[contract.MachineID]bool
	// holding counts the attempts at each target, listed or not.
	holding map[contract.MachineID]int
	// kept holds the addresses of targets that were listed when work was sent.
	kept map[contract.MachineID]string

	requests map[contract.RequestID]*request
	// orphans holds the claims of ended requests that are not yet decided.
	orphans   map[contract.RequestID]contract.Claim
	exchanges map[uint64]*attempt
	exchange  uint64
	timers    timers
	budget    *retry.Budget
	// dirty lists the services whose queue must be looked at.
	dirty   []*service
	effects []Effect
	off     mechanism
}

// mechanism names a part of the machine that tests switch off.
type mechanism uint16

const (
	offQuestions mechanism = 1 << iota
	offFrameOrder
	offTotals
	offIdempotence
	offPin
	offBudget
	offDeadline
	offOutcome
	offCrossing
	offIncarnation
	offLossGrace
	offLostMoves
)

// New returns a machine that knows neither settings nor hosts.
func New(cfg Config, rng *rand.Rand) *StateMachine {
	return &StateMachine{
		cfg:       cfg,
		rng:       rng,
		services:  map[contract.ServiceName]*service{},
		serviceOf: map[contract.MachineID]*service{},
		addresses: map[contract.MachineID]string{},
		up:        map[contract.MachineID]bool{},
		seen:      map[contract.MachineID]bool{},
		holding:   map[contract.MachineID]int{},
		kept:      map[contract.MachineID]string{},
		requests:  map[contract.RequestID]*request{},
		orphans:   map[contract.RequestID]contract.Claim{},
		exchanges: map[uint64]*attempt{},
		budget:    retry.NewBudget(),
	}
}

// Step takes in an event and appends its effects to effects.
func (m *StateMachine) Step(now time.Time, ev Event, effects []Effect) []Effect {
	if now.After(m.now) {
		m.now = now
	}
	m.effects = effects
	m.expire()
	m.handle(ev)
	m.drainQueues()
	out := m.effects
	m.effects = nil
	return out
}

func (m *StateMachine) handle(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		m.arrive(ev.Request)
	case MessageReceived:
		m.received(ev.Exchange, ev.Message)
	case ExchangeBroken:
		m.broken(ev)
	case CallerDisconnected:
		m.callerGone(ev.Request)
	case CallerSlow:
		m.callerSlow(ev)
	case ClaimDecided:
		m.decided(ev)
	case StopRequested:
		m.stopping = true
	case Tick:
		m.pumpAll()
	default:
		m.handleWorld(ev)
	}
}

func (m *StateMachine) handleWorld(ev Event) {
	switch ev := ev.(type) {
	case LinkUp:
		m.linkUp(ev.Machine)
	case LinkDown:
		m.linkDown(ev)
	case Heartbeat:
		m.heartbeat(ev.Heartbeat)
	case SettingsChanged:
		m.settingsChanged(ev.View)
	case HostsChanged:
		m.hostsChanged(ev.List)
	}
}

// Wake is when Step must be called with Tick if nothing else happens; ok is
// false if there is nothing to wait for.
func (m *StateMachine) Wake() (at time.Time, ok bool) {
	if len(m.timers) > 0 {
		at, ok = m.timers[0].wake, true
	}
	if m.QueuedRequests() > 0 {
		if next := m.now.Add(pumpInterval); !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	return at, ok
}

// Ready reports whether the machine knows settings and hosts and is not stopping.
func (m *StateMachine) Ready() bool {
	return m.view != nil && m.listed && !m.stopping
}

// Open is the number of requests that are not finished.
func (m *StateMachine) OpenRequests() int {
	return len(m.requests)
}

// Queued is the number of requests that wait for room.
func (m *StateMachine) QueuedRequests() int {
	n := 0
	for _, s := range m.order {
		n += s.queue.Len()
	}
	return n
}

func (m *StateMachine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *StateMachine) count(c Counter, reason contract.Reason) {
	m.emit(Count{Counter: c, Reason: reason})
}
