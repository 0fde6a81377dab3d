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

// OnAppendResult handles the result of an append.
func (m *Machine) OnAppendResult(now time.Time, seq uint64, status batcher.Status) {
	m.batcher.OnAppendResult(now, seq, status)
}

// ApplyRecords applies the next records of the stream; newest is the offset of the newest
// record in the log. It returns ledger.ErrGap if records are missing.
func (m *Machine) ApplyRecords(now time.Time, records []LogRecord, newest contract.Offset) error {
	for _, r := range records {
		if err := m.applyRecord(now, r); err != nil {
			return err
		}
	}
	if !m.ready && m.ledger.Applied() >= newest {
		m.ready = true
		m.evaluateAll(now)
	}
	return nil
}

// applyRecord applies one record. A malformed record has no effect.
func (m *Machine) applyRecord(now time.Time, r LogRecord) error {
	m.batcher.ObserveAppend(now)
	changes, err := m.ledger.Apply(r.Offset, r.Time, r.Data, now)
	if isGap(err) {
		return err
	}
	if len(changes) > 0 && changes[0].Writer == m.config.Batcher.Writer {
		m.onReadBack(r.Time, changes[0].Seq)
	}
	for i := range changes {
		m.applyChange(now, &changes[i])
	}
	return nil
}

// onReadBack handles a batch of this process that was read from the log.
func (m *Machine) onReadBack(logTime time.Time, seq uint64) {
	m.batcher.OnReadBack(seq)
	for len(m.firstSends) > 0 && m.firstSends[0].seq <= seq {
		if m.firstSends[0].seq == seq {
			m.logTime, m.logTimeLocal = logTime, m.firstSends[0].at
		}
		m.firstSends = m.firstSends[1:]
	}
}

func (m *Machine) applyChange(now time.Time, ch *ledger.Change) {
	if ch.Writer == m.config.Batcher.Writer {
		m.applyOwnItem(ch)
	}
	if ch.Item.Kind == ledger.KindTakeover && ch.Applied && m.runs[ch.Item.Supersedes] != nil {
		m.stats.Superseded++
	}
	m.dropStaleProbe(ch.Item.Key)
	m.evaluateKey(now, ch.Item.Key)
}

// dropStaleProbe removes the last probe for a key if its request no longer holds the key,
// or is done and the probe has ended.
func (m *Machine) dropStaleProbe(key ledger.Key) {
	h, held := m.ledger.Lookup(key)
	p := m.lastProbes[key]
	if p != nil && (!held || h.State == ledger.Done && !p.inFlight || h.Request != p.holder) {
		delete(m.lastProbes, key)
	}
}

// applyOwnItem handles an item that this process appended to the log.
func (m *Machine) applyOwnItem(ch *ledger.Change) {
	request := ch.Item.Request
	if ch.Item.Kind == ledger.KindOutcome {
		m.onOutcomeRecorded(request)
		return
	}
	if c := m.calls[request]; c != nil {
		c.queued = false
		return
	}
	if ch.Applied && m.runs[request] == nil {
		m.releaseKey(request, ch.Item.Key, ch.Item.BodyHash)
	}
}

// onOutcomeRecorded ends a run whose outcome is in the log.
func (m *Machine) onOutcomeRecorded(request contract.RequestID) {
	r := m.runs[request]
	if r == nil || r.result == nil {
		return
	}
	delete(m.runs, request)
	m.effects = append(m.effects, Recorded{Request: request})
}

// evaluateAll evaluates all calls once the stream has been read up to its end.
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
