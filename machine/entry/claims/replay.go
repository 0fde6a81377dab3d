package claims

import (
	"bytes"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/batcher"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// Appended takes the end of an append.
func (m *Machine) OnAppendResult(now time.Time, seq uint64, status batcher.Status) {
	m.batcher.OnAppendResult(now, seq, status)
}

// Records takes the next records of the stream and the offset of the newest
// one. It fails with ledger.ErrGap if records are missing.
func (m *Machine) ApplyRecords(now time.Time, records []LogRecord, newest contract.Offset) error {
	for _, r := range records {
		if err := m.apply(now, r); err != nil {
			return err
		}
	}
	if !m.ready && m.ledger.Applied() >= newest {
		m.ready = true
		m.evaluateAll(now)
	}
	return nil
}

// apply takes one record; one that is malformed has no effect.
func (m *Machine) apply(now time.Time, r LogRecord) error {
	m.batcher.ObserveAppend(now)
	changes, err := m.ledger.Apply(r.Offset, r.Time, r.Data, now)
	if isGap(err) {
		return err
	}
	if len(changes) > 0 && changes[0].Writer == m.config.Batcher.Writer {
		m.readBack(r.Time, changes[0].Seq)
	}
	for i := range changes {
		m.applyChange(now, &changes[i])
	}
	return nil
}

// readBack takes a batch of this process that was read from the log.
func (m *Machine) readBack(at time.Time, seq uint64) {
	m.batcher.OnReadBack(seq)
	for len(m.sent) > 0 && m.sent[0].seq <= seq {
		if m.sent[0].seq == seq {
			m.logTime, m.logSeen = at, m.sent[0].at
		}
		m.sent = m.sent[1:]
	}
}

func (m *Machine) applyChange(now time.Time, ch *ledger.Change) {
	if ch.Writer == m.config.Batcher.Writer {
		m.applyOwn(ch)
	}
	if ch.Item.Kind == ledger.KindTakeover && ch.Applied && m.runs[ch.Item.Supersedes] != nil {
		m.stats.Superseded++
	}
	m.forgetProbe(ch.Item.Key)
	m.evaluateKey(now, ch.Item.Key)
}

// forgetProbe drops a probe whose subject does not hold the key any longer.
func (m *Machine) forgetProbe(key ledger.Key) {
	h, held := m.ledger.Lookup(key)
	p := m.probes[key]
	if p != nil && (!held || h.State == ledger.Done && !p.open || h.Request != p.winner) {
		delete(m.probes, key)
	}
}

// applyOwn takes an item that this process put into the log.
func (m *Machine) applyOwn(ch *ledger.Change) {
	request := ch.Item.Request
	if ch.Item.Kind == ledger.KindOutcome {
		m.recorded(request)
		return
	}
	if c := m.calls[request]; c != nil {
		c.queued = false
		return
	}
	if ch.Applied && m.runs[request] == nil {
		m.release(request, ch.Item.Key, ch.Item.BodyHash)
	}
}

// recorded ends a run whose outcome is in the log.
func (m *Machine) recorded(request contract.RequestID) {
	r := m.runs[request]
	if r == nil || r.result == nil {
		return
	}
	delete(m.runs, request)
	m.effects = append(m.effects, Recorded{Request: request})
}

// evaluateAll looks at all calls after the stream was first read to its end.
func (m *Machine) evaluateAll(now time.Time) {
	keys := make([]ledger.Key, 0, len(m.byKey))
	for key := range m.byKey {
		keys = append(keys, key)
	}
	sortKeys(keys)
	for _, key := range keys {
		m.evaluateKey(now, key)
	}
}

func isGap(err error) bool { return errors.Is(err, ledger.ErrGap) }

func sortKeys(keys []ledger.Key) {
	slices.SortFunc(keys, func(a, b ledger.Key) int { return bytes.Compare(a[:], b[:]) })
}
