package poison

import (
	"slices"
	"time"
)

// settleTime is how long it takes until the observations of a crash have come from all entries: the
// target must be found to be down, and the next heartbeat must arrive.
const settleTime = time.Second

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
	parts := t.unprovenPartsOf(s)
	group := parts
	if len(parts) == 0 {
		group = []Part{s.part}
	}
	switch {
	case t.blames[keyOf(group)] != nil:
	case stands && isSettled:
		t.addBlame(&blame{group: group, at: s.lastBroken(), id: t.rng.Uint64()})
	case len(s.moments(coveredHold)) >= heldChain:
		t.changed = t.changed || stands
		if len(parts) > 0 {
			t.held = append(t.held, parts)
			return
		}
		t.heldWholes[s.part] = true
	}
}

// unprovenPartsOf returns the parts of prompts that were at all crashes of a request as a whole and were
// never proven, in ascending order, if the whole was proven with another prompt. They are to blame then:
// requests with the same path, caller and body may differ in their prompts, which the whole leaves out.
func (t *Tracker) unprovenPartsOf(s *suspect) []Part {
	if t.lastProven(s.part).IsZero() {
		return nil
	}
	mine := s.crashes(nil)
	var list []Part
	for p, other := range t.suspects {
		if !other.isWhole && other.service == s.service && t.lastProven(p).IsZero() && containsAll(other.crashes(nil), mine) {
			list = append(list, p)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), maxGroupParts)]
}

// containsAll reports whether a list in ascending order contains all of another.
func containsAll(list, wanted []uint64) bool {
	return !slices.ContainsFunc(wanted, func(id uint64) bool {
		_, found := slices.BinarySearch(list, id)
		return !found
	})
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
