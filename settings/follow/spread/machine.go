package spread

import (
	"math"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings/replay"
)

// mechanism is a bit set of mechanisms that tests switch off.
type mechanism uint16

const (
	pullFromPeers mechanism = 1 << iota
	monotonicOffset
	readyGate
	pauseGate
	behindGate
	peerConfirm
	checkpointWrites
	logFallback
	logAuthority
	peerCheckpoint
	majorityCheckpoint
	auditReads
	outageBackOff
)

// maxBackOff is how often the pause after a failed read doubles.
const maxBackOff = 2

// endOfLog is beyond every offset; a read there tells the bounds of the log.
const endOfLog = contract.Offset(math.MaxInt64)

// Machine decides how one process follows the settings.
type Machine struct {
	timing Timing
	rng    *rand.Rand
	state  *replay.State
	recent *recent
	off    mechanism
	out    []Effect

	// highest is the newest offset heard of.
	highest contract.Offset
	// behindSince is when highest first went above the applied offset.
	behindSince time.Time
	ready       bool
	// caughtUp is set by the log or by enough peers since the start or pause.
	caughtUp bool
	// confirmations counts peers that know nothing newer since the last change.
	confirmations int
	lastEvent     time.Time

	tails   bool
	logDown bool
	// failures counts the reads of the log that failed since the last answer.
	failures int
	reading  bool
	// staleRead and stalePull mark a read and a pull that began before a pause:
	// what they bring may be old.
	staleRead bool
	stalePull bool
	// readSoon asks for a read of the log also where nothing else does.
	readSoon bool
	// probing tells that a ProbeLog is under way.
	probing     bool
	nextRead    time.Time
	audit       time.Duration
	nextAudit   time.Time
	lastHeard   time.Time
	pulling     bool
	nextPull    time.Time
	pullFailing bool

	checkpoints checkpointClock
	recovery    recovery
}

// New returns a machine that knows nothing at time now.
func New(timing Timing, rng *rand.Rand, now time.Time) *Machine {
	m := &Machine{
		timing:    timing.WithDefaults(),
		rng:       rng,
		state:     replay.New(),
		recent:    newRecent(),
		lastEvent: now,
		lastHeard: now,
	}
	m.audit = m.timing.AuditEvery
	m.nextAudit = now.Add(m.phase(m.audit))
	m.checkpoints.reset(now, m.jitter(m.timing.CheckpointEvery))
	return m
}

// Step takes one event and returns the effects, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.out = nil
	m.notePause(now)
	switch ev := ev.(type) {
	case LogRead:
		m.onLogRead(now, ev)
	case LogFailed:
		m.onLogFailed(now, ev)
	case PeerAnswer:
		m.onPeerAnswer(now, ev.Records)
	case PullFailed:
		m.onPullFailed(now)
	case PeerOffset:
		m.lastHeard = now
		m.hear(now, ev.Offset)
	case Tailing:
		m.setTailing(now, ev)
	case Appended:
		m.checkpoints.appended(now, m.jitter(checkpointSpread))
	case ExtraRead:
		m.probing = m.probing && !ev.Probe
		m.takeBatch(now, ev.Batch)
	case ProbeFailed:
		m.probing = false
	}
	m.updateReady(now)
	m.schedule(now)
	return m.out
}

func (m *Machine) emit(e Effect) {
	m.out = append(m.out, e)
}

// jitter returns a duration between half of d and d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

// phase returns a duration up to d: the first of a series, so that the series of
// many processes are spread evenly from the start.
func (m *Machine) phase(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// notePause notices that the process did not run for a while: what it knows may
// be out of date, and a read or pull from before may never end.
func (m *Machine) notePause(now time.Time) {
	gap := now.Sub(m.lastEvent)
	m.lastEvent = now
	if gap <= m.timing.PauseLimit || m.off&pauseGate != 0 {
		return
	}
	m.caughtUp = false
	m.confirmations = 0
	m.staleRead, m.stalePull = m.reading, m.pulling
	m.lastHeard = now
	m.nextRead, m.nextPull = now, now
}

// hear notes an offset that another process has applied.
func (m *Machine) hear(now time.Time, offset contract.Offset) {
	if offset > m.highest {
		m.highest = offset
		m.noteBehind(now)
	}
}

// noteBehind starts or ends the time during which newer records are known of.
func (m *Machine) noteBehind(now time.Time) {
	switch {
	case m.state.Offset() >= m.highest:
		m.behindSince = time.Time{}
	case m.behindSince.IsZero():
		m.behindSince = now
		m.nextPull = now
	}
}

func (m *Machine) setTailing(now time.Time, ev Tailing) {
	if ev.On && !m.tails {
		m.nextRead = now
	}
	m.tails = ev.On
	audit := ev.Audit
	if audit <= 0 {
		audit = m.timing.AuditEvery
	}
	if audit != m.audit {
		m.audit = audit
		m.nextAudit = now.Add(m.phase(audit))
	}
}

// updateReady decides whether the process may serve.
func (m *Machine) updateReady(now time.Time) {
	ready, why := m.judge(now)
	if ready != m.ready {
		m.ready = ready
		m.emit(Readiness{Ready: ready, Why: why})
	}
}

func (m *Machine) judge(now time.Time) (bool, string) {
	if m.off&readyGate != 0 {
		return true, "gate off"
	}
	if !m.caughtUp {
		return false, "not caught up"
	}
	behind := !m.behindSince.IsZero() && now.Sub(m.behindSince) > m.timing.BehindLimit
	if behind && m.off&behindGate == 0 {
		return false, "newer records are known but not here"
	}
	return true, "caught up"
}

// State returns the replayed state; the caller must not change it.
func (m *Machine) State() *replay.State {
	return m.state
}

// Ready reports whether the process may serve.
func (m *Machine) Ready() bool {
	return m.ready
}

// Recent returns the records after an offset that are in memory, oldest first.
func (m *Machine) Recent(after contract.Offset) []Entry {
	var list []Entry
	for _, e := range m.recent.entries {
		if e.Record.Offset > after {
			list = append(list, e)
		}
	}
	return list
}

// apply takes the next record.
func (m *Machine) apply(now time.Time, offset contract.Offset, data []byte, at time.Time) {
	d, err := m.state.Apply(offset, data)
	if err != nil {
		m.emit(Ignored{Reason: contract.ReasonBadFrame, What: "record out of order"})
		return
	}
	m.recent.add(durable.Record{Offset: offset, Data: data, Time: at}, d)
	m.confirmations = 0
	m.noteCheckpoint(now, d.Outcome)
	m.emit(Decided{Decision: d})
}

// adopt replaces the state by one further on.
func (m *Machine) adopt(now time.Time, state *replay.State) bool {
	if state.Offset() <= m.state.Offset() && m.off&monotonicOffset == 0 {
		m.emit(Ignored{Reason: contract.ReasonStaleSettings, What: "older checkpoint"})
		return false
	}
	m.state = state
	m.recent = newRecent()
	m.confirmations = 0
	m.checkpoints.reset(now, m.jitter(m.timing.CheckpointEvery))
	m.emit(Publish{})
	return true
}
