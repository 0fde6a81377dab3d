package spread

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings/replay"
)

// schedule emits the read and the pull that are due.
func (m *Machine) schedule(now time.Time) {
	if m.wantsRead(now) {
		m.reading, m.readSoon = true, false
		m.emit(m.nextLogRead())
	}
	if m.wantsProbe(now) {
		m.probing = true
		m.emit(ProbeLog{After: m.state.Offset()})
	}
	if m.wantsPull(now) {
		m.pulling = true
		m.emit(PullPeer{After: m.state.Offset()})
	}
	m.scheduleCheckpoint(now)
}

// wantsRead reports whether to read the log now.
func (m *Machine) wantsRead(now time.Time) bool {
	if m.reading || now.Before(m.nextRead) {
		return false
	}
	if m.tails || !m.caughtUp || m.readSoon || m.recovery.active() {
		return true
	}
	if m.off&logFallback != 0 {
		return false
	}
	quiet := now.Sub(m.lastHeard) > m.timing.QuietLimit
	stuck := !m.behindSince.IsZero() && m.pullFailing
	return quiet || stuck || !now.Before(m.nextAudit) && m.off&auditReads == 0
}

// wantsProbe reports whether to ask the log beside a waiting long poll whether
// an offset that no peer can give exists at all.
func (m *Machine) wantsProbe(now time.Time) bool {
	if m.probing || !m.reading || m.behindSince.IsZero() || !m.pullFailing || m.logDown {
		return false
	}
	return now.Sub(m.behindSince) > m.timing.BehindLimit/2
}

func (m *Machine) nextLogRead() ReadLog {
	if m.recovery.active() {
		return ReadLog{After: m.recovery.nextAfter()}
	}
	r := ReadLog{After: m.state.Offset()}
	if m.tails && m.caughtUp {
		r.Wait = m.timing.TailWait
	}
	return r
}

// wantsPull reports whether to ask a peer now: for records that are known of,
// or for confirmation while the log is down.
func (m *Machine) wantsPull(now time.Time) bool {
	if m.pulling || now.Before(m.nextPull) || m.off&pullFromPeers != 0 {
		return false
	}
	return m.state.Offset() < m.highest || !m.caughtUp && m.logDown
}

// noteCheckpoint counts a decided record towards the next checkpoint; the
// jitter keeps the tailing processes from writing it all at once.
func (m *Machine) noteCheckpoint(now time.Time, o replay.Outcome) {
	if o == replay.CheckpointConfirmed {
		m.checkpoints.reset(now, m.jitter(m.timing.CheckpointEvery))
		return
	}
	m.checkpoints.records++
	if m.checkpoints.records == m.timing.CheckpointRecords {
		m.checkpoints.soon(now.Add(m.jitter(checkpointSpread)))
	}
}

// scheduleCheckpoint emits a checkpoint that is due.
func (m *Machine) scheduleCheckpoint(now time.Time) {
	if !m.tails || !m.ready || m.logDown || m.off&checkpointWrites != 0 {
		return
	}
	if m.state.Offset() == 0 || !m.checkpoints.due(now) {
		return
	}
	data, err := checkpointRecord(m.state)
	if err != nil {
		m.emit(Ignored{Reason: contract.ReasonBadFrame, What: "checkpoint over the record limit"})
		m.checkpoints.appended(now, m.timing.CheckpointEvery)
		return
	}
	m.checkpoints.writing = true
	m.emit(AppendCheckpoint{Data: data})
}
