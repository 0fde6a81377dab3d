package poison

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blameChain is how many crashes in a row blame a part, blameContrast how many attempts
	// without it must have been proven meanwhile.
	blameChain    = 3
	blameContrast = 3
	// blameShareDivisor gives the least share of the service's crashes, as far as no other part
	// explains them, at which a part must have been present: of those since the first with a
	// part of prompts, of those while an attempt was under way with a request as a whole. If
	// many engines crash for another cause, a part of few requests is at few of them.
	blameShareDivisor = 3
	// maxCandidates bounds how many groups are looked at after each change.
	maxCandidates = 16
	// maxBlames bounds the blamed groups, maxGroupParts the parts of one.
	maxBlames     = 128
	maxGroupParts = 4
	// maxClears bounds the parts that are remembered as cleared.
	maxClears = 256
)

// groupKey identifies a group of parts.
type groupKey uint64

func keyOf(group []Part) groupKey {
	var b []byte
	for _, p := range group {
		b = binary.LittleEndian.AppendUint64(b, uint64(p))
	}
	return groupKey(xxhash.Sum64(b))
}

// blame is the newest statement on a group of parts whose requests crash targets. The parts
// are in ascending order; there are several if their observations do not tell them apart.
type blame struct {
	group []Part
	// at is when the last crash happened on which the statement rests, or, if probing, when
	// the probe was sent.
	at      time.Time
	probing bool
	// probes counts the probes that crashed their target.
	probes uint8
	// id distinguishes statements: the same one may be reported by several peers.
	id uint64
}

// clearance is the newest proof that a part under suspicion is sound.
type clearance struct {
	at time.Time
	id uint64
}

// evaluate blames what explains the crashes observed. Requests as a whole come first: what one
// of them explains says nothing about the parts of its prompt.
func (t *Tracker) evaluate() {
	if !t.changed {
		return
	}
	t.changed = false
	t.held, t.heldWholes = nil, map[Part]bool{}
	t.judgeWholes()
	t.judgeParts()
}

// judgeParts judges the parts of prompts so that the crashes are explained by as few of them as
// possible. The one with the most independent evidence comes first, and the others count only
// what it does not explain.
func (t *Tracker) judgeParts() {
	covered := t.crashesByRepeats()
	candidates := t.newCandidates(t.candidates(false), covered)
	for range maxCandidates {
		c := t.mostSuspect(candidates, covered)
		if c == nil {
			return
		}
		if t.blames[keyOf(c.group)] == nil {
			t.judgeGroup(c.group, covered)
		}
		for _, crash := range c.crashes {
			covered[crash] = true
		}
		candidates = t.withoutCovered(candidates, covered, c.crashes)
	}
}

// judgeGroup blames parts of prompts, or holds them back, as far as the evidence goes.
func (t *Tracker) judgeGroup(group []Part, covered map[uint64]bool) {
	chain, at := t.evidence(group, covered)
	switch {
	case chain >= blameChain:
		t.addBlame(&blame{group: group, at: at, id: t.rng.Uint64()})
	case chain >= heldChain:
		t.held = append(t.held, group)
	}
}

// leastProven returns at most n of the parts, those that were proven least recently, in
// ascending order.
func (t *Tracker) leastProven(parts []Part, n int) []Part {
	if len(parts) <= n {
		return parts
	}
	list := slices.SortedStableFunc(slices.Values(parts), func(a, b Part) int {
		return t.lastProven(a).Compare(t.lastProven(b))
	})
	return slices.Sorted(slices.Values(list[:n]))
}

// evidence returns the length of the shortest chain of the parts of a group, without the
// crashes in covered, and when the last of these happened. It is 0 if a part does not stand
// out.
func (t *Tracker) evidence(group []Part, covered map[uint64]bool) (chain int, at time.Time) {
	for i, p := range group {
		s := t.suspects[p]
		if !t.standsOut(p, s, covered) {
			return 0, at
		}
		if own := len(s.chain(covered)); i == 0 || own < chain {
			chain = own
		}
		at = s.sightings[len(s.sightings)-1].brokenAt
	}
	return chain, at
}

// standsOut reports whether attempts without a suspect part were proven since its first
// sighting, and enough of the crashes since then that no blamed group explains happened to
// attempts with it; those in covered do not count for it.
func (t *Tracker) standsOut(p Part, s *suspect, covered map[uint64]bool) bool {
	if s.contrast < blameContrast {
		return false
	}
	from := s.sightings[0].brokenAt.Add(-sameMoment)
	own, all := len(s.crashes(covered)), 0
	for _, c := range t.crashes {
		if c.service != s.service || c.group != 0 || c.at.Before(from) {
			continue
		}
		all++
		if c.droppedBy == p {
			own++
		}
	}
	return own*blameShareDivisor >= all
}

// addBlame sets the statement on a group.
func (t *Tracker) addBlame(b *blame) {
	key := keyOf(b.group)
	if t.blames[key] == nil && len(t.blames) >= maxBlames {
		t.evictBlame()
	}
	t.blames[key] = b
	t.changed = true
	t.explain(key, t.crashesOf(b.group))
}

func (t *Tracker) evictBlame() {
	oldest := slices.MinFunc(t.sortedBlames(), func(a, b groupKey) int {
		return t.blames[a].at.Compare(t.blames[b].at)
	})
	t.lift(oldest)
}

func (t *Tracker) sortedBlames() []groupKey { return slices.Sorted(maps.Keys(t.blames)) }

// crashesOf returns the crashes of attempts with all parts of a group.
func (t *Tracker) crashesOf(group []Part) []uint64 {
	var list []uint64
	count := map[uint64]int{}
	for _, p := range group {
		s := t.suspects[p]
		if s == nil {
			return nil
		}
		for _, x := range s.sightings {
			if count[x.id]++; count[x.id] == len(group) {
				list = append(list, x.crash)
			}
		}
	}
	return list
}

// recordClear records that an attempt with a part under suspicion was proven at a time: what
// was observed of the part before no longer counts, and the groups with it are not blamed.
func (t *Tracker) recordClear(p Part, at time.Time, id uint64) {
	if !at.After(t.clears[p].at) {
		return
	}
	if _, known := t.clears[p]; !known && len(t.clears) >= maxClears {
		t.evictClear()
	}
	t.clears[p] = clearance{at, id}
	t.changed = true
	t.dropSightings(p, func(x sighting) bool { return !x.brokenAt.After(at) })
	for _, key := range t.sortedBlames() {
		if b := t.blames[key]; slices.Contains(b.group, p) && !b.at.After(at) {
			t.lift(key)
		}
	}
}

func (t *Tracker) evictClear() {
	oldest := slices.MinFunc(slices.Sorted(maps.Keys(t.clears)), func(a, b Part) int {
		return t.clears[a].at.Compare(t.clears[b].at)
	})
	delete(t.clears, oldest)
}

// lift removes the blame from a group. Crashes that it explained count again from then on.
func (t *Tracker) lift(key groupKey) {
	delete(t.blames, key)
	for _, c := range t.crashes {
		if c.group == key {
			c.group = 0
		}
	}
}
