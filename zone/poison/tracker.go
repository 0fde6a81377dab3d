package poison

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Tracker holds an entry's knowledge of the parts that crash targets.
type Tracker struct {
	rng      *rand.Rand
	suspects map[Part]*suspect
	// uncontrasted holds the suspects without enough contrast.
	uncontrasted map[Part]*suspect
	// proven holds the parts of prompts, provenWholes the requests that were proven last.
	proven, provenWholes *provenParts
	// now is the newest time that the tracker was told. changed is set while there is something
	// new that may blame a part.
	now     time.Time
	changed bool
	// blames holds the groups of parts that are blamed, clears the parts that were under
	// suspicion when an attempt with them was proven.
	blames map[groupKey]*blame
	clears map[Part]clearance
	// held lists the groups of parts that are about to be blamed, heldWholes the requests.
	held       [][]Part
	heldWholes map[Part]bool
	// crashes holds the crashes that are known, and which of them a blamed group explains.
	crashes map[uint64]*crash
	// recent lists the observations that this entry made or received lately, the newest last.
	recent []recentObservation
}

// NewTracker returns an empty tracker that draws the numbers of observations from rng.
func NewTracker(rng *rand.Rand) *Tracker {
	return &Tracker{
		rng:          rng,
		suspects:     map[Part]*suspect{},
		uncontrasted: map[Part]*suspect{},
		proven:       newProvenParts(),
		provenWholes: newProvenParts(),
		blames:       map[groupKey]*blame{},
		clears:       map[Part]clearance{},
		crashes:      map[uint64]*crash{},
	}
}

// Observe records an attempt of this entry that broke off unproven, once it is confirmed that
// the target's incarnation has ended.
func (t *Tracker) Observe(now time.Time, o Observation) {
	if len(o.Request.all()) == 0 {
		return
	}
	t.now = now
	id := t.rng.Uint64()
	t.recordRecent(now, id, o)
	t.probeFailed(o)
	t.apply(now, id, o)
	t.evaluate()
}

// apply adds an observation to the records of its parts. It does not count against a part of
// which an attempt was proven since, or if a blamed group explains the crash.
func (t *Tracker) apply(now time.Time, id uint64, o Observation) {
	if now.Sub(o.BrokenAt) > sightingLifetime {
		return
	}
	x := sighting{id: id, crash: o.Crash, request: o.Request.repeatKey(), entry: o.Entry, sentAt: o.SentAt, brokenAt: o.BrokenAt}
	t.recordCrash(o)
	if t.isForgotten(o.Crash) {
		return
	}
	for _, p := range o.Request.all() {
		if at := t.lastProven(p); !at.Before(o.BrokenAt) {
			t.recordClear(p, at, t.rng.Uint64())
			continue
		}
		if !t.clears[p].at.Before(o.BrokenAt) || t.isExplained(o.Crash, p) {
			continue
		}
		t.addSighting(p, o.Request, x)
	}
	for _, key := range t.sortedBlames() {
		if b := t.blames[key]; o.Request.holds(b.group) {
			t.explain(key, []uint64{o.Crash})
		}
	}
}

// Proven records that an attempt of this entry, sent at sentAt, is proven. It is called once
// for each such attempt. It clears the parts of the request of what was observed until its
// answer began, at begunAt, and counts for all suspect parts that the request does not hold.
// What came later may have been on its way when the target crashed.
func (t *Tracker) Proven(begunAt time.Time, r Request, sentAt time.Time) {
	for _, p := range r.Parts {
		t.proven.add(p, begunAt)
	}
	if r.Whole != 0 {
		t.provenWholes.add(r.Whole, begunAt)
	}
	for _, p := range r.all() {
		if t.isSuspected(p) {
			t.recordClear(p, begunAt, t.rng.Uint64())
		}
	}
	for p, s := range t.uncontrasted {
		if s.service != r.Service || r.has(p) || !sentAt.After(s.sightings[0].brokenAt) {
			continue
		}
		if s.contrast++; s.contrast >= blameContrast {
			t.changed = true
			delete(t.uncontrasted, p)
		}
	}
	t.evaluate()
}

func (t *Tracker) isSuspected(p Part) bool {
	if t.suspects[p] != nil {
		return true
	}
	for _, b := range t.blames {
		if slices.Contains(b.group, p) {
			return true
		}
	}
	return false
}

// lastProven returns when a part of prompts or a request was proven last, or the zero time if
// that is not known.
func (t *Tracker) lastProven(p Part) time.Time {
	if at := t.proven.last(p); !at.IsZero() {
		return at
	}
	return t.provenWholes.last(p)
}

// maxRetryChain is the longest chain of a part's observations with which an attempt is sent
// again: another crash may have cut it short by chance.
const maxRetryChain = 1

// MayRetry reports whether an attempt that broke off unproven may be sent again: what crashes
// targets would crash another one. It may if all parts of the prompt were proven recently and
// nothing of it is suspect because of more than one crash.
func (t *Tracker) MayRetry(r Request) bool {
	for _, p := range r.Parts {
		if t.proven.last(p).IsZero() {
			return false
		}
	}
	for _, p := range r.all() {
		if s := t.suspects[p]; s != nil && len(s.chain(nil)) > maxRetryChain {
			return false
		}
	}
	return !t.heldWholes[r.Whole] && !t.holdsBlamed(r)
}

// MayHedge reports whether an attempt may be sent beside one whose target is silent, which is
// no sign of a crash: no part is suspect.
func (t *Tracker) MayHedge(r Request) bool {
	for _, p := range r.all() {
		if t.suspects[p] != nil {
			return false
		}
	}
	return !t.holdsBlamed(r)
}

// prune forgets what is too old to count.
func (t *Tracker) prune(now time.Time) {
	t.now = now
	expired := func(x sighting) bool { return now.Sub(x.brokenAt) > sightingLifetime }
	for p := range t.suspects {
		t.dropSightings(p, expired)
	}
	for p, c := range t.clears {
		if now.Sub(c.at) > sightingLifetime {
			delete(t.clears, p)
		}
	}
	for id, c := range t.crashes {
		if now.Sub(c.at) > sightingLifetime {
			delete(t.crashes, id)
		}
	}
	t.evaluate()
}
