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

// Limits of the state machine.
const (
	// AcceptTimeout is how long a target may take to reply to a Start.
	AcceptTimeout = 2 * time.Second
	// FirstPartTimeout and PartTimeout are how long a running attempt may stay silent,
	// before and after the first part of its answer, until the target is queried about
	// it.
	FirstPartTimeout = 8 * time.Second
	PartTimeout      = 3 * time.Second
	// QueryTimeout is how long a target may take to reply to a Query.
	QueryTimeout = time.Second
	// MaxQueries bounds the consecutive queries without a reply.
	MaxQueries = 6
	// MaxStalls is how many queries in a row may find an attempt running without
	// progress. After one more, an idempotent model request leaves the target.
	MaxStalls = 2
	// MaxFailedAttempts bounds the failed attempts of one request. MaxTotalAttempts
	// bounds all of its attempts, including those that were refused for lack of room or
	// because of a change of zones, hosts, settings or weights.
	MaxFailedAttempts = 8
	MaxTotalAttempts  = 64
	// MaxAnswerBytes bounds the answer of a plain service.
	MaxAnswerBytes = 8 << 20

	// queryRetryDelay is the mean delay before the second query. It doubles with every
	// further query without a reply.
	queryRetryDelay = 100 * time.Millisecond
	// exclusionTimeout is how long a request avoids a target after an attempt there was
	// refused or failed. reportExclusionTimeout applies instead after a refusal for lack
	// of room or of the right weights, if the target sends no further report.
	exclusionTimeout       = 100 * time.Millisecond
	reportExclusionTimeout = 2 * time.Second
	// LossGracePeriod is how long requests keep waiting after their service has lost its
	// last usable target, because a new connection or a probe may bring one back.
	LossGracePeriod = 5 * time.Second

	// queueCheckInterval is how often the queues are checked while requests wait.
	queueCheckInterval = 50 * time.Millisecond
	// defaultQueueLength is the queue length of a service whose settings do not specify
	// one.
	defaultQueueLength = 64
)

// Config identifies the entry and its location.
type Config struct {
	Machine contract.MachineID
	Home    balancer.Place
}

// service is the state of one service.
type service struct {
	name     contract.ServiceName
	settings settings.ServiceSettings
	// isConfigured is set if the settings contain the service.
	isConfigured bool
	pool         *balancer.Pool
	queue        *fairshare.Queue
	usage        *fairshare.Usage
	// lastUsable is the last time at which a target was usable, whether or not it had
	// room.
	lastUsable time.Time
	// pinnedCount counts the queued requests whose answer must come from a certain
	// digest.
	pinnedCount int
	// isScheduled is set if the queue is to be dispatched before the step ends.
	isScheduled bool
}

// StateMachine is the state machine of an entry.
type StateMachine struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Time
	view  settings.View
	hosts hostlist.List
	// hasHosts is set once a host list has been received.
	hasHosts bool
	stopping bool

	services map[contract.ServiceName]*service
	// sortedServices lists the services in order of their names.
	sortedServices []*service
	// serviceOf and addresses hold the service and the address of each listed target of
	// this entry. linked holds the targets with a working link.
	serviceOf map[contract.MachineID]*service
	addresses map[contract.MachineID]string
	linked    map[contract.MachineID]bool
	// linkedBefore holds the targets that have ever had a link.
	linkedBefore map[contract.MachineID]bool
	// attemptCounts counts the open attempts at each target, listed or not.
	attemptCounts map[contract.MachineID]int
	// retainedAddresses holds the addresses of targets with open attempts that were
	// listed when an attempt was sent to them.
	retainedAddresses map[contract.MachineID]string

	requests map[contract.RequestID]*request
	// orphanedClaims holds the claims of requests that ended in phaseClaiming, until a
	// later decision on them arrives.
	orphanedClaims map[contract.RequestID]contract.Claim
	exchanges      map[uint64]*attempt
	lastExchange   uint64
	timers         timers
	budget         *retry.Budget
	// scheduled lists the services whose queues are to be dispatched.
	scheduled []*service
	effects   []Effect
	disabled  mechanism
}

// mechanism is a set of parts of the state machine that tests disable.
type mechanism uint16

const (
	disableQueries mechanism = 1 << iota
	disableFrameOrder
	disableTotals
	disableIdempotence
	disablePin
	disableBudget
	disableDeadline
	disableOutcome
	disableAttemptMatch
	disableIncarnation
	disableLossGrace
	disableLossReroute
)

// New returns a state machine that has neither settings nor hosts.
func New(cfg Config, rng *rand.Rand) *StateMachine {
	return &StateMachine{
		cfg:               cfg,
		rng:               rng,
		services:          map[contract.ServiceName]*service{},
		serviceOf:         map[contract.MachineID]*service{},
		addresses:         map[contract.MachineID]string{},
		linked:            map[contract.MachineID]bool{},
		linkedBefore:      map[contract.MachineID]bool{},
		attemptCounts:     map[contract.MachineID]int{},
		retainedAddresses: map[contract.MachineID]string{},
		requests:          map[contract.RequestID]*request{},
		orphanedClaims:    map[contract.RequestID]contract.Claim{},
		exchanges:         map[uint64]*attempt{},
		budget:            retry.NewBudget(),
	}
}

// Step processes an event and returns effects with the effects of the event appended.
func (m *StateMachine) Step(now time.Time, ev Event, effects []Effect) []Effect {
	if now.After(m.now) {
		m.now = now
	}
	m.effects = effects
	m.runTimers()
	m.handle(ev)
	m.dispatchQueues()
	out := m.effects
	m.effects = nil
	return out
}

func (m *StateMachine) handle(ev Event) {
	switch ev := ev.(type) {
	case RequestArrived:
		m.handleArrival(ev.Request)
	case MessageReceived:
		m.handleMessage(ev.Exchange, ev.Message)
	case ExchangeBroken:
		m.handleBrokenExchange(ev)
	case CallerDisconnected:
		m.handleCallerDisconnected(ev.Request)
	case CallerSlow:
		m.handleCallerSlow(ev)
	case ClaimDecided:
		m.handleClaimDecided(ev)
	case StopRequested:
		m.stopping = true
	case Tick:
		m.scheduleAllQueues()
	default:
		m.handleFleetEvent(ev)
	}
}

func (m *StateMachine) handleFleetEvent(ev Event) {
	switch ev := ev.(type) {
	case LinkUp:
		m.handleLinkUp(ev.Machine)
	case LinkDown:
		m.handleLinkDown(ev)
	case Heartbeat:
		m.handleHeartbeat(ev.Heartbeat)
	case SettingsChanged:
		m.applySettings(ev.View)
	case HostsChanged:
		m.applyHosts(ev.List)
	}
}

// Wake returns the time by which Step must be called with Tick if no other event occurs.
// ok is false if there is nothing to wait for.
func (m *StateMachine) Wake() (at time.Time, ok bool) {
	if len(m.timers) > 0 {
		at, ok = m.timers[0].wakeAt, true
	}
	if m.QueuedRequests() > 0 {
		if next := m.now.Add(queueCheckInterval); !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	return at, ok
}

// Ready reports whether the state machine has settings and hosts and is not stopping.
func (m *StateMachine) Ready() bool {
	return m.view != nil && m.hasHosts && !m.stopping
}

// OpenRequests returns the number of requests that are not finished.
func (m *StateMachine) OpenRequests() int {
	return len(m.requests)
}

// QueuedRequests returns the number of requests that wait for a target with room.
func (m *StateMachine) QueuedRequests() int {
	n := 0
	for _, s := range m.sortedServices {
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
