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

// judgeWholes judges the requests as a whole, the one with the most evidence first. The others are
// blamed for what it does not explain only. They are held back for it as well as long as they may
// turn out to have been at the same crashes.
func (t *Tracker) judgeWholes() {
	covered := map[uint64]bool{}
	var judged []*candidate
	candidates := t.newCandidates(t.candidates(true), nil)
	for range maxCandidates {
		c := t.mostSuspect(candidates, nil)
		if c == nil {
			return
		}
		if len(c.rivals) > 0 {
			t.holdRivals(c)
		} else {
			t.judgeWhole(t.suspects[c.part], covered, t.coveredFor(c, judged))
		}
		for _, crash := range c.crashes {
			covered[crash] = true
		}
		judged = append(judged, c)
		candidates = t.newCandidates(t.partsWithout(candidates, c), nil)
	}
}

// coveredFor returns the crashes for which a request need not be held back, since one that was
// judged before was at them and at a settled one beside.
func (t *Tracker) coveredFor(c *candidate, judged []*candidate) map[uint64]bool {
	covered := map[uint64]bool{}
	for _, other := range judged {
		if t.mayTie(c, other) {
			continue
		}
		for _, crash := range other.crashes {
			covered[crash] = true
		}
	}
	return covered
}

// mayTie reports whether a request may turn out to have been at all crashes of another one, once
// all observations have come.
func (t *Tracker) mayTie(c, other *candidate) bool {
	for _, id := range other.crashes {
		if !c.hasAny([]uint64{id}) && !t.mayHaveBeenAt(c, id) {
			return false
		}
	}
	return true
}

// mayHaveBeenAt reports whether a request may have been at a crash at which it was not observed: the
// crash is not settled, and the request was at no other one at that moment.
func (t *Tracker) mayHaveBeenAt(c *candidate, id uint64) bool {
	missed := t.crashes[id]
	if missed == nil || t.now.Sub(missed.at) >= settleTime {
		return false
	}
	return !slices.ContainsFunc(c.crashes, func(own uint64) bool {
		crash := t.crashes[own]
		return crash != nil && crash.at.Sub(missed.at).Abs() <= sameMoment
	})
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

// settleTime is how long it takes until the observations of a crash have come from all entries: the
// target must be found to be down, and the next heartbeat must arrive.
const settleTime = time.Second

// judgeWhole judges a request as a whole. It need not have been sent in a chain, and other requests
// need not have been proven meanwhile, if it was present at each crash: it may have crashed all
// targets. Until its crashes are settled it is only held back, since another request may turn out
// to have been at the same ones. The crashes in covered do not count for blaming it, those in
// coveredHold do not for holding it back.
func (t *Tracker) judgeWhole(s *suspect, covered, coveredHold map[uint64]bool) {
	own, all := t.momentsDuring(s)
	if own*blameShareDivisor < all {
		return
	}
	stands := t.standsAgainst(s, covered)
	isSettled := t.now.Sub(s.lastBroken()) >= settleTime
	switch {
	case t.blames[keyOf([]Part{s.part})] != nil:
	case stands && isSettled:
		t.addBlame(&blame{group: []Part{s.part}, at: s.lastBroken(), id: t.rng.Uint64()})
	case len(s.moments(coveredHold)) >= heldChain:
		t.heldWholes[s.part] = true
		t.changed = t.changed || stands
	}
}

// standsAgainst reports whether the crashes that are not in covered suffice to blame a request.
func (t *Tracker) standsAgainst(s *suspect, covered map[uint64]bool) bool {
	hasContrast, atEach := s.contrast >= blameContrast, t.isAtEachCrash(s)
	inChain := len(s.chain(covered)) >= blameChain
	isRepeated := len(s.crashes(covered)) >= blameChain && len(s.moments(covered)) >= heldChain
	return inChain && (hasContrast || atEach) || isRepeated && hasContrast && atEach
}

// isAtEachCrash reports whether a request was present at each crash of its service from its first
// to its last sighting, as far as no blamed group explains it.
func (t *Tracker) isAtEachCrash(s *suspect) bool {
	mine := s.crashes(nil)
	from, to := s.sightings[0].brokenAt.Add(-sameMoment), s.lastBroken().Add(sameMoment)
	for id, c := range t.crashes {
		if c.service != s.service || c.group != 0 || c.droppedBy == s.part || c.at.Before(from) || c.at.After(to) {
			continue
		}
		if _, found := slices.BinarySearch(mine, id); !found {
			return false
		}
	}
	return true
}

// holdRivals holds back the requests of which only one need be to blame. What becomes of the
// next attempt tells them apart.
func (t *Tracker) holdRivals(c *candidate) {
	for _, p := range append(c.rivals, c.group...) {
		t.heldWholes[p] = true
	}
}

// moment is a time at which targets crashed; mine is set if the request in question was there.
type moment struct {
	at   time.Time
	mine bool
}

// momentsDuring returns at how many moments targets of the service crashed while one of the lost
// attempts of a request was under way, as far as no blamed group explains it, and at how many of
// them the request was present. Many targets that crash at once for another cause are one moment.
func (t *Tracker) momentsDuring(s *suspect) (own, all int) {
	mine := s.crashes(nil)
	var list []moment
	for id, c := range t.crashes {
		if c.service == s.service && c.group == 0 && s.isUnderWay(c.at) {
			_, found := slices.BinarySearch(mine, id)
			list = append(list, moment{c.at, found || c.droppedBy == s.part})
		}
	}
	slices.SortFunc(list, func(a, b moment) int { return a.at.Compare(b.at) })
	var last moment
	for _, m := range list {
		if all == 0 || m.at.Sub(last.at) > sameMoment {
			all++
			last = moment{at: m.at}
		}
		if m.mine && !last.mine {
			own++
			last.mine = true
		}
	}
	return own, all
}

// isUnderWay reports whether a lost attempt was under way at a time.
func (s *suspect) isUnderWay(at time.Time) bool {
	return slices.ContainsFunc(s.sightings, func(x sighting) bool {
		return !at.Before(x.sentAt.Add(-sameMoment)) && !at.After(x.brokenAt.Add(sameMoment))
	})
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
