package ledger

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// applyItem applies one item by the rules of the package.
func (l *Ledger) applyItem(c *Change, now time.Time) {
	switch c.Item.Kind {
	case KindClaim:
		c.Applied = l.claim(c.Item, now)
	case KindTakeover:
		c.Applied = l.takeover(c.Item, now)
	case KindOutcome:
		l.outcome(c)
	}
}

func (l *Ledger) claim(it *Item, now time.Time) bool {
	h := l.keys[it.Key]
	if h != nil && l.off&firstWins == 0 {
		l.touch(it.Key, h)
		return h.Request == it.Request
	}
	l.hold(it, now)
	return true
}

func (l *Ledger) takeover(it *Item, now time.Time) bool {
	h := l.keys[it.Key]
	if h != nil {
		l.touch(it.Key, h)
		if h.Request == it.Request {
			return true
		}
		superseded := h.Request == it.Supersedes && h.State != Done
		if !superseded && l.off&supersedesCheck == 0 {
			return false
		}
	}
	l.hold(it, now)
	return true
}

// hold makes the item's request the holder of its key.
func (l *Ledger) hold(it *Item, now time.Time) {
	former := l.keys[it.Key]
	doubtful := l.IsHistoryIncomplete() || former != nil && former.Unconfirmed
	h := &Holder{Request: it.Request, BodyHash: it.BodyHash, Offset: l.applied, LogTime: l.clock, ReadAt: now}
	h.Unconfirmed = doubtful && l.off&doubt == 0
	l.keys[it.Key] = h
	l.touch(it.Key, h)
	delete(l.expired, it.Key)
}

// touch counts the window of a key from the present record on.
func (l *Ledger) touch(key Key, h *Holder) {
	if h.last != 0 && l.off&refresh != 0 {
		return
	}
	h.last = l.applied
	l.byAge = append(l.byAge, claimed{key: key, offset: l.applied, at: l.clock})
}

func (l *Ledger) outcome(c *Change) {
	it := c.Item
	h := l.keys[it.Key]
	if h != nil && h.Unconfirmed {
		c.Applied = l.settle(h, it)
		return
	}
	if h == nil || h.Request != it.Request && l.off&holderOnly == 0 {
		c.Contradiction = it.Result.Outcome == contract.OutcomeDone && h != nil
	} else {
		c.Contradiction = !l.end(h, it)
		c.Applied = !c.Contradiction
	}
	if c.Contradiction {
		l.stats.Contradictions++
	}
}

// settle ends the doubt about a key: only its true holder is ever done.
func (l *Ledger) settle(h *Holder, it *Item) bool {
	if it.Result.Outcome != contract.OutcomeDone {
		return false
	}
	h.Request = it.Request
	h.BodyHash = it.BodyHash
	h.Unconfirmed = false
	return l.end(h, it)
}

// end records the holder's outcome. It returns false if "not run" follows "done".
func (l *Ledger) end(h *Holder, it *Item) bool {
	switch {
	case h.State == Done:
		return it.Result.Outcome != contract.OutcomeNotRun
	case it.Result.Outcome == contract.OutcomeNotRun:
		delete(l.keys, it.Key)
	case it.Result.Outcome == contract.OutcomeDone:
		h.State = Done
		h.Result = it.Result
		l.keepBody(it.Key, h)
	default:
		h.State = Uncertain
	}
	return true
}
