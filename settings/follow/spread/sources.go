package spread

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/replay"
)

// onLogRead takes an answer of the log.
func (m *Machine) onLogRead(now time.Time, ev LogRead) {
	m.reading = false
	m.logDown = false
	m.failures = 0
	m.noteAudit(now)
	if m.recovery.active() {
		m.onRecoveryRead(now, ev)
		return
	}
	stale := m.staleRead
	m.staleRead = false
	before := m.state.Offset()
	m.takeBatch(now, ev.Batch)
	m.caughtUp = m.caughtUp && !stale || !stale && m.state.Offset() >= ev.Batch.Newest
	m.afterRead(now, ev.Batch.Newest, m.state.Offset() > before)
}

// noteAudit ends an audit that was due. Other reads leave the phase as it is,
// because many processes make them at the same time.
func (m *Machine) noteAudit(now time.Time) {
	if !now.Before(m.nextAudit) {
		m.nextAudit = now.Add(m.audit)
	}
}

// afterRead decides when to read next.
func (m *Machine) afterRead(now time.Time, newest contract.Offset, progress bool) {
	switch {
	case m.state.Offset() < newest:
		m.readSoon = true
		m.nextRead = now
		if !progress {
			m.nextRead = now.Add(m.jitter(m.timing.ReadRetry))
		}
	case m.tails:
		m.nextRead = now
	default:
		m.nextRead = now.Add(m.jitter(m.timing.QuietLimit))
	}
}

// takeBatch applies the records of one read of the log.
func (m *Machine) takeBatch(now time.Time, batch durable.Batch) {
	before := m.state.Offset()
	for _, r := range batch.Records {
		if r.Offset == m.state.Offset()+1 {
			m.apply(now, r.Offset, r.Data, r.Time)
		}
	}
	if m.state.Offset() != before {
		m.emit(Publish{})
	}
	m.learnNewest(now, batch.Newest)
}

// learnNewest takes the log's word on the newest offset: it is the authority.
func (m *Machine) learnNewest(now time.Time, newest contract.Offset) {
	claimed := max(m.highest, newest)
	if m.off&logAuthority == 0 && m.highest > newest {
		m.emit(Ignored{Reason: contract.ReasonStaleSettings, What: "offset beyond the log"})
		claimed = newest
	}
	m.highest = max(claimed, m.state.Offset())
	m.noteBehind(now)
}

// onLogFailed takes a failed read.
func (m *Machine) onLogFailed(now time.Time, ev LogFailed) {
	m.reading, m.staleRead = false, false
	m.backOff(now)
	if !ev.Trimmed {
		m.logDown = true
		return
	}
	m.logDown = false
	m.failures = 0
	m.startRecovery(now)
}

// backOff puts the next read off, longer with each failure, and ends an audit
// that was due, so that an outage is not met by reads of all processes at once.
func (m *Machine) backOff(now time.Time) {
	m.nextRead = now.Add(m.jitter(m.timing.ReadRetry << min(m.failures, maxBackOff)))
	if m.off&outageBackOff == 0 {
		m.failures++
		m.noteAudit(now)
	}
}

// startRecovery asks peers for what the log no longer holds, and after
// PeerPatience the log's own checkpoints.
func (m *Machine) startRecovery(now time.Time) {
	m.caughtUp = false
	if m.recovery.since.IsZero() {
		m.recovery.since = now
	}
	if now.Sub(m.recovery.since) >= m.timing.PeerPatience {
		m.recovery.begin()
		return
	}
	if !m.pulling && !now.Before(m.nextPull) && m.off&(pullFromPeers|peerCheckpoint) == 0 {
		m.pulling = true
		m.emit(PullPeer{After: m.state.Offset()})
	}
}

// onRecoveryRead collects what the log still holds and rebuilds the state.
func (m *Machine) onRecoveryRead(now time.Time, ev LogRead) {
	m.nextRead = now
	if m.state.Offset()+1 >= ev.Batch.Oldest {
		m.recovery = recovery{}
		return
	}
	if !m.recovery.collect(ev) {
		return
	}
	state, found := rebuild(m.recovery.records, m.off&majorityCheckpoint == 0)
	m.recovery = recovery{}
	if !found {
		m.nextRead = now.Add(m.jitter(m.timing.ReadRetry))
		return
	}
	m.adopt(now, state)
}

// onPeerAnswer takes a peer's records.
func (m *Machine) onPeerAnswer(now time.Time, r contract.SettingsRecords) {
	stale := m.stalePull
	m.pulling, m.stalePull = false, false
	m.lastHeard = now
	m.nextPull = now.Add(m.jitter(m.timing.PullRetry))
	before := m.state.Offset()
	m.takeCheckpoint(now, r)
	m.takeRecords(now, r)
	if m.state.Offset() > before {
		m.recovery = recovery{}
		m.emit(Publish{})
		m.nextPull = now
	}
	m.hear(now, r.Newest)
	m.noteBehind(now)
	if !stale {
		m.confirm(r)
	}
	m.pullFailing = m.state.Offset() < m.highest && m.state.Offset() == before
}

func (m *Machine) takeCheckpoint(now time.Time, r contract.SettingsRecords) {
	if len(r.Checkpoint) == 0 || m.off&peerCheckpoint != 0 {
		return
	}
	snapshot, err := checkpoint.Decode(r.Checkpoint)
	if err != nil || r.First == 0 {
		m.emit(Ignored{Reason: contract.ReasonBadFrame, What: "checkpoint of a peer"})
		return
	}
	m.adopt(now, replay.Restore(snapshot, r.First-1))
}

func (m *Machine) takeRecords(now time.Time, r contract.SettingsRecords) {
	for i, data := range r.Records {
		if offset := r.First + contract.Offset(i); offset == m.state.Offset()+1 {
			m.apply(now, offset, data, time.Time{})
		}
	}
}

// confirm counts a ready peer that knows nothing newer. While the log is down,
// enough of them make up for it.
func (m *Machine) confirm(r contract.SettingsRecords) {
	if r.Newest == 0 && m.off&peerConfirm == 0 {
		return
	}
	if m.state.Offset() < max(r.Newest, m.highest) {
		return
	}
	m.confirmations++
	if m.logDown && m.confirmations >= m.timing.EnoughPeers {
		m.caughtUp = true
	}
}

// onPullFailed takes a pull that no peer answered.
func (m *Machine) onPullFailed(now time.Time) {
	m.pulling, m.stalePull = false, false
	m.pullFailing = true
	m.nextPull = now.Add(m.jitter(m.timing.PullRetry))
}
