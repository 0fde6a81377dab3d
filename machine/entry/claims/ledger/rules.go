package ledger

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// applyItem applies one item by the rules in the package comment.
func (l *Ledger) applyItem(c *Change, now time.Time) {
	switch c.Item.Kind {
	case KindClaim:
		c.Applied = l.applyClaim(c.Item, now)
	case KindTakeover:
		c.Applied = l.applyTakeover(c.Item, now)
	case KindOutcome:
		l.applyOutcome(c)
	}
}

func (l *Ledger) applyClaim(it *Item, now time.Time) bool {
	h := l.keys[it.Key]
	if h != nil && l.disabled&firstClaimWins == 0 {
		l.restartWindow(it.Key, h)
		return h.Request == it.Request
	}
	l.setHolder(it, now)
	return true
}

func (l *Ledger) applyTakeover(it *Item, now time.Time) bool {
	h := l.keys[it.Key]
	if h != nil {
		l.restartWindow(it.Key, h)
		if h.Request == it.Request {
			return true
		}
		superseded := h.Request == it.Supersedes && h.State != Done
		if !superseded && l.disabled&supersedesCheck == 0 {
			return false
		}
	}
	l.setHolder(it, now)
	return true
}

// setHolder makes the item's request the holder of its key.
func (l *Ledger) setHolder(it *Item, now time.Time) {
	former := l.keys[it.Key]
	unconfirmed := l.IsHistoryIncomplete() || former != nil && former.Unconfirmed
	h := &Holder{Request: it.Request, BodyHash: it.BodyHash, Offset: l.applied, LogTime: l.clock, ReadAt: now}
	h.Unconfirmed = unconfirmed && l.disabled&unconfirmedHolders == 0
	l.keys[it.Key] = h
	l.restartWindow(it.Key, h)
	delete(l.expiredKeys, it.Key)
}

// restartWindow restarts the key's window at the current record.
func (l *Ledger) restartWindow(key Key, h *Holder) {
	if h.lastClaim != 0 && l.disabled&windowRestart != 0 {
		return
	}
	h.lastClaim = l.applied
	l.claimsByAge = append(l.claimsByAge, ageEntry{key: key, offset: l.applied, logTime: l.clock})
}

func (l *Ledger) applyOutcome(c *Change) {
	it := c.Item
	h := l.keys[it.Key]
	if h != nil && h.Unconfirmed {
		c.Applied = l.confirmHolder(h, it)
		return
	}
	if h == nil || h.Request != it.Request && l.disabled&holderOnly == 0 {
		c.Contradiction = it.Result.Outcome == contract.OutcomeDone && h != nil
	} else {
		c.Contradiction = !l.recordOutcome(h, it)
		c.Applied = !c.Contradiction
	}
	if c.Contradiction {
		l.stats.Contradictions++
	}
}

// confirmHolder makes the request of an outcome "done" the confirmed holder: only the
// true holder of a key reports "done". It returns false for any other outcome.
func (l *Ledger) confirmHolder(h *Holder, it *Item) bool {
	if it.Result.Outcome != contract.OutcomeDone {
		return false
	}
	h.Request = it.Request
	h.BodyHash = it.BodyHash
	h.Unconfirmed = false
	return l.recordOutcome(h, it)
}

// recordOutcome records the holder's outcome. It returns false if "not run" follows
// "done".
func (l *Ledger) recordOutcome(h *Holder, it *Item) bool {
	switch {
	case h.State == Done:
		return it.Result.Outcome != contract.OutcomeNotRun
	case it.Result.Outcome == contract.OutcomeNotRun:
		delete(l.keys, it.Key)
	case it.Result.Outcome == contract.OutcomeDone:
		h.State = Done
		h.Result = it.Result
		l.retainBody(it.Key, h)
	default:
		h.State = Uncertain
	}
	return true
}
