package poison

import (
	"slices"
	"time"
)

const (
	// firstProbeAfter is the time from the blame to the first probe. It doubles with each
	// probe that is not proven, maxProbeDoublings times at most: to 16 min.
	firstProbeAfter   = 2 * time.Minute
	maxProbeDoublings = 3
	// minRetryAfter is the least time named to callers.
	minRetryAfter = time.Second
)

// Decision says what is to be done with a request.
type Decision uint8

// The decisions. A Probe is sent like a request that is Allowed, although it has crashed targets.
const (
	Allowed Decision = iota
	Refused
	Probe
)

// Turns reports whether it is this entry's turn to do something that has been due for the time
// elapsed; key identifies the matter. It is implemented by placement.EntryShares.IsTurn.
type Turns func(key uint64, elapsed time.Duration) bool

// Check decides on an attempt that is about to be sent, and returns the time until the next
// probe if it is refused. If it is a probe, the reports to the other entries say so from then
// on, and the next one is due as if it had crashed its target, until it is proven.
func (t *Tracker) Check(now time.Time, r Request, turns Turns) (d Decision, retryAfter time.Duration) {
	d, retryAfter = t.Peek(now, r, turns)
	if d == Refused {
		return d, retryAfter
	}
	for _, key := range t.heldBlames(r) {
		t.blames[key].startProbe(now, t.rng.Uint64())
	}
	for _, s := range t.heldSuspects(r) {
		s.lastAllowed = now
	}
	return d, 0
}

// ShouldGiveUp reports whether an attempt that is under way, and is not a probe, would be refused
// for what has become known since.
func (t *Tracker) ShouldGiveUp(r Request) bool { return t.heldWholes[r.Whole] || t.holdsBlamed(r) }

// HasVerdicts reports whether ShouldGiveUp may be true for any request.
func (t *Tracker) HasVerdicts() bool { return len(t.heldWholes) > 0 || len(t.blames) > 0 }

// Peek returns what Check would decide, for an attempt that is not sent yet.
func (t *Tracker) Peek(now time.Time, r Request, turns Turns) (d Decision, retryAfter time.Duration) {
	held := t.heldBlames(r)
	if len(held) == 0 {
		return t.checkSuspects(now, r, turns)
	}
	// The group that is due last decides, so that one entry's turn comes for all.
	last := held[0]
	for _, key := range held[1:] {
		if t.blames[key].due().After(t.blames[last].due()) {
			last = key
		}
	}
	sinceDue := now.Sub(t.blames[last].due())
	if sinceDue < 0 || !turns(uint64(last), sinceDue) {
		return Refused, max(-sinceDue, minRetryAfter)
	}
	return Probe, 0
}

const (
	// heldChain is how many crashes in a row it takes until a part that was never proven is
	// held back: one attempt in holdTime shows as much as several, and crashes one engine.
	heldChain = 2
	holdTime  = time.Second
	// wholeTurnStretch is how many times longer than others the turns are in which entries send
	// a request as a whole that is held back: another crash cuts off the requests of many
	// callers, and to wait concerns one. wholeHoldTime is when the first turn comes after a crash.
	wholeTurnStretch = 15
	wholeHoldTime    = 2 * wholeTurnStretch * time.Second
)

// checkSuspects refuses an attempt with a part that is about to be blamed, unless the last one
// is long enough ago that its end would be known. A request as a whole that is about to be
// blamed is sent by one entry at a time, since it comes at all of them.
func (t *Tracker) checkSuspects(now time.Time, r Request, turns Turns) (d Decision, retryAfter time.Duration) {
	d = Allowed
	for _, s := range t.heldSuspects(r) {
		if wait := holdTime - now.Sub(s.lastAllowed); wait > 0 {
			return Refused, max(wait, minRetryAfter)
		}
		if !s.isWhole {
			continue
		}
		d = Probe
		sinceCrash := now.Sub(s.lastBroken())
		if !turns(uint64(s.part), sinceCrash/wholeTurnStretch) {
			return Refused, max(wholeHoldTime-sinceCrash, minRetryAfter)
		}
	}
	return d, 0
}

// heldSuspects returns what a request has that is about to be blamed.
func (t *Tracker) heldSuspects(r Request) []*suspect {
	var held []*suspect
	for _, group := range t.held {
		if s := t.suspects[group[0]]; s != nil && r.holds(group) && t.neverProven(group) {
			held = append(held, s)
		}
	}
	if s := t.suspects[r.Whole]; s != nil && t.heldWholes[r.Whole] {
		held = append(held, s)
	}
	return held
}

func (t *Tracker) neverProven(group []Part) bool {
	for _, p := range group {
		if !t.lastProven(p).IsZero() {
			return false
		}
	}
	return true
}

// heldBlames returns the blamed groups of which the request holds all parts.
func (t *Tracker) heldBlames(r Request) []groupKey {
	if len(t.blames) == 0 {
		return nil
	}
	var held []groupKey
	for key, b := range t.blames {
		if r.holds(b.group) {
			held = append(held, key)
		}
	}
	slices.Sort(held)
	return held
}

func (t *Tracker) holdsBlamed(r Request) bool { return len(t.heldBlames(r)) > 0 }

// due returns when the next probe may be sent.
func (b *blame) due() time.Time {
	return b.at.Add(firstProbeAfter << min(b.probes, maxProbeDoublings))
}

// startProbe records a probe. Until it is proven it counts as one that crashed its target, since
// its end may never be known.
func (b *blame) startProbe(now time.Time, id uint64) {
	b.at, b.probing, b.id = now, true, id
	b.probes = min(b.probes+1, maxProbeDoublings)
}

// probeFailed renews the blame of the groups whose probe is the attempt observed.
func (t *Tracker) probeFailed(o Observation) {
	for _, key := range t.heldBlames(o.Request) {
		b := t.blames[key]
		if !b.probing || o.SentAt.Before(b.at) {
			continue
		}
		b.at, b.probing, b.id = o.BrokenAt, false, t.rng.Uint64()
	}
}
