package poison

import (
	"slices"
	"sync"
)

// candidate is a part, or several that cannot be told apart, that may explain crashes.
type candidate struct {
	group   []Part
	isWhole bool
	// crashes are those that no candidate before explains, in ascending order. weight counts
	// those that are independent of each other.
	crashes []uint64
	weight  int
	// chainLength returns how many of them followed each other.
	chainLength func() int
	// rivals are requests as a whole that explain the same crashes as the group.
	rivals []Part
}

// candidates returns the requests as a whole, or the parts of prompts, with enough observations to
// be held back or blamed, in ascending order.
func (t *Tracker) candidates(wholes bool) []Part {
	var list []Part
	for p, s := range t.suspects {
		if s.isWhole == wholes && len(s.sightings) >= heldChain {
			list = append(list, p)
		}
	}
	slices.Sort(list)
	return list
}

// crashesByRepeats returns the crashes of requests that came again and crashed enough targets to
// be blamed by themselves.
func (t *Tracker) crashesByRepeats() map[uint64]bool {
	list := map[uint64]bool{}
	for _, s := range t.suspects {
		crashes := s.crashes(nil)
		if !s.isWhole || len(crashes) < blameChain {
			continue
		}
		for _, id := range crashes {
			list[id] = true
		}
	}
	return list
}

// mostSuspect returns the candidate with the most independent observations of crashes that are
// not in covered, with what has the same ones. It returns nil if none has enough. The parts are
// all of prompts, or all requests as a whole.
func (t *Tracker) mostSuspect(parts []Part, covered map[uint64]bool) *candidate {
	var best *candidate
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil {
			// What was blamed meanwhile explains all of its crashes.
			continue
		}
		if len(s.sightings) < heldChain || best != nil && len(s.sightings) < best.weight {
			continue
		}
		c := newCandidate(s, covered)
		switch {
		case c.weight < heldChain:
		case best == nil || c.isStronger(best):
			best = c
		case c.hasSameCrashes(best):
			best.join(c)
		}
	}
	if best != nil {
		best.group = t.leastProven(best.group, maxGroupParts)
	}
	return best
}

func newCandidate(s *suspect, covered map[uint64]bool) *candidate {
	return &candidate{
		group: []Part{s.part}, isWhole: s.isWhole, crashes: s.crashes(covered), weight: len(s.independent(covered)),
		chainLength: sync.OnceValue(func() int { return len(s.chain(covered)) }),
	}
}

// isStronger reports whether there is more evidence for a candidate than for another.
func (c *candidate) isStronger(o *candidate) bool {
	if c.weight != o.weight {
		return c.weight > o.weight
	}
	if len(c.crashes) != len(o.crashes) {
		return len(c.crashes) > len(o.crashes)
	}
	return !c.hasSameCrashes(o) && c.chainLength() > o.chainLength()
}

func (c *candidate) hasSameCrashes(o *candidate) bool {
	return c.weight == o.weight && slices.Equal(c.crashes, o.crashes)
}

// join adds a candidate with the same crashes. A request may hold several parts of prompts, but
// it is one whole.
func (c *candidate) join(o *candidate) {
	if c.isWhole {
		c.rivals = append(c.rivals, o.group...)
		return
	}
	c.group = append(c.group, o.group...)
	own := c.chainLength
	c.chainLength = func() int { return max(own(), o.chainLength()) }
}
