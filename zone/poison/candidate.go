package poison

import "slices"

// candidate is a part, or several that cannot be told apart, that may explain crashes.
type candidate struct {
	// part is the one that the candidate was made of; group lists those that were joined.
	part    Part
	group   []Part
	isWhole bool
	// crashes are those that no candidate before explains, in ascending order. weight counts
	// those that are independent of each other.
	crashes []uint64
	weight  int
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
		if !s.isWhole || len(s.sightings) < blameChain {
			continue
		}
		if crashes := s.crashes(nil); len(crashes) >= blameChain {
			for _, id := range crashes {
				list[id] = true
			}
		}
	}
	return list
}

// newCandidates returns the candidates among parts that have enough evidence.
func (t *Tracker) newCandidates(parts []Part, covered map[uint64]bool) []*candidate {
	var list []*candidate
	for _, p := range parts {
		if c := newCandidate(t.suspects[p], covered); c.weight >= heldChain {
			list = append(list, c)
		}
	}
	return list
}

// partsWithout returns the parts of the candidates that are still suspect, without one and its
// rivals.
func (t *Tracker) partsWithout(candidates []*candidate, judged *candidate) []Part {
	var list []Part
	for _, c := range candidates {
		isJudged := slices.Contains(judged.group, c.part) || slices.Contains(judged.rivals, c.part)
		if !isJudged && t.suspects[c.part] != nil {
			list = append(list, c.part)
		}
	}
	return list
}

// mostSuspect returns the candidate with the most evidence besides the crashes in covered, joined
// with those that have the same crashes; nil if there is none. They are all parts of prompts, or all requests as a whole.
func (t *Tracker) mostSuspect(candidates []*candidate, covered map[uint64]bool) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	best := candidates[0]
	for _, c := range candidates {
		if c.isStronger(best) || c.hasAsMany(best) && !c.hasSameCrashes(best) && t.chainOf(c, covered) > t.chainOf(best, covered) {
			best = c
		}
	}
	joined := *best
	joined.group = nil
	for _, c := range candidates {
		if c.hasSameCrashes(best) {
			joined.join(c)
		}
	}
	joined.group = t.leastProven(joined.group, maxGroupParts)
	return &joined
}

// withoutCovered returns the candidates that have enough evidence besides the crashes in covered,
// of which those in crashes were added last.
func (t *Tracker) withoutCovered(candidates []*candidate, covered map[uint64]bool, crashes []uint64) []*candidate {
	var list []*candidate
	for _, c := range candidates {
		if !c.hasAny(crashes) {
			list = append(list, c)
			continue
		}
		// What was blamed meanwhile may explain all crashes of a suspect.
		if s := t.suspects[c.part]; s != nil {
			list = append(list, t.newCandidates([]Part{c.part}, covered)...)
		}
	}
	return list
}

func (c *candidate) hasAny(crashes []uint64) bool {
	for _, id := range crashes {
		if _, found := slices.BinarySearch(c.crashes, id); found {
			return true
		}
	}
	return false
}

func newCandidate(s *suspect, covered map[uint64]bool) *candidate {
	return &candidate{
		part: s.part, isWhole: s.isWhole, crashes: s.crashes(covered), weight: len(s.independent(covered)),
	}
}

// isStronger reports whether there is more evidence for a candidate than for another.
func (c *candidate) isStronger(o *candidate) bool {
	if c.weight != o.weight {
		return c.weight > o.weight
	}
	return len(c.crashes) > len(o.crashes)
}

func (c *candidate) hasAsMany(o *candidate) bool {
	return c.weight == o.weight && len(c.crashes) == len(o.crashes)
}

// chainOf returns how many crashes of a candidate, without those in covered, followed each other.
func (t *Tracker) chainOf(c *candidate, covered map[uint64]bool) int {
	return len(t.suspects[c.part].chain(covered))
}

func (c *candidate) hasSameCrashes(o *candidate) bool {
	return c.weight == o.weight && slices.Equal(c.crashes, o.crashes)
}

// join adds a candidate with the same crashes, or the first one. A request may hold several parts of
// prompts, but it is one whole.
func (c *candidate) join(o *candidate) {
	if c.isWhole && len(c.group) > 0 {
		c.rivals = append(c.rivals, o.part)
		return
	}
	c.group = append(c.group, o.part)
}
