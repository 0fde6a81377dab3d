package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// maxSuspects bounds the parts with observations, maxSightings the observations of one
	// part.
	maxSuspects = 1024
	// evictedSuspects is how many parts are dropped at a time.
	evictedSuspects = 128
	maxSightings    = 16
	// sightingLifetime is how long an observation counts.
	sightingLifetime = 10 * time.Minute
	// sameMoment bounds the error in the times of what several entries report.
	sameMoment = 100 * time.Millisecond
)

// sighting is an observation in the record of one of its parts.
type sighting struct {
	id, crash uint64
	// request is the same for repeats of a request; 0 if unknown.
	request          uint64
	entry            contract.MachineID
	sentAt, brokenAt time.Time
}

// isAfter reports whether a time that the sighting tells of is after the end of an earlier
// sighting, as far as the times of their entries can tell.
func (x sighting) isAfter(at time.Time, earlier sighting) bool {
	slack := sameMoment
	if x.entry == earlier.entry {
		slack = 0
	}
	return at.After(earlier.brokenAt.Add(slack))
}

// suspect is a part with observations that are not cleared.
type suspect struct {
	part Part
	// isWhole is set if the part is a request as a whole.
	isWhole bool
	service uint64
	// sightings are in the order in which the attempts broke.
	sightings []sighting
	// contrast counts the attempts without the part that were sent since the first sighting
	// and proven.
	contrast int
	// lastAllowed is when an attempt was sent last while the part was held back.
	lastAllowed time.Time
}

// add records a sighting and reports whether it is new. One that is known already is as old as the oldest report tells.
func (s *suspect) add(new sighting) (isNew bool) {
	i := slices.IndexFunc(s.sightings, func(old sighting) bool { return old.id == new.id })
	switch {
	case i < 0:
		s.sightings = append(s.sightings, new)
	case new.brokenAt.Before(s.sightings[i].brokenAt):
		s.sightings[i] = new
	default:
		return false
	}
	slices.SortFunc(s.sightings, func(a, b sighting) int {
		return cmp.Or(a.brokenAt.Compare(b.brokenAt), cmp.Compare(a.id, b.id))
	})
	return i < 0
}

// dropOne drops the oldest sighting that does not belong to the longest chain, or the oldest
// one if all do, and returns its crash.
func (s *suspect) dropOne() (crash uint64) {
	inChain := map[uint64]bool{}
	for _, link := range s.chain(nil) {
		inChain[link.id] = true
	}
	i := slices.IndexFunc(s.sightings, func(x sighting) bool { return !inChain[x.id] })
	i = max(i, 0)
	crash = s.sightings[i].crash
	s.sightings = slices.Delete(s.sightings, i, i+1)
	return crash
}

// remove drops the sightings for which drop returns true. The contrast then starts anew, since
// the first sighting may be another one.
func (s *suspect) remove(drop func(sighting) bool) {
	before := len(s.sightings)
	s.sightings = slices.DeleteFunc(s.sightings, drop)
	if len(s.sightings) < before {
		s.contrast = 0
	}
}

// crashes returns the distinct crashes among the sightings, except those in covered, in
// ascending order.
func (s *suspect) crashes(covered map[uint64]bool) []uint64 {
	var list []uint64
	for _, x := range s.sightings {
		if !covered[x.crash] {
			list = append(list, x.crash)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// lastBroken returns when the last attempt broke.
func (s *suspect) lastBroken() time.Time { return s.sightings[len(s.sightings)-1].brokenAt }

// uncovered returns the sightings of crashes that are not in covered.
func (s *suspect) uncovered(covered map[uint64]bool) []sighting {
	isCovered := func(x sighting) bool { return covered[x.crash] }
	if !slices.ContainsFunc(s.sightings, isCovered) {
		return s.sightings
	}
	return slices.DeleteFunc(slices.Clone(s.sightings), isCovered)
}

// independent returns the sightings of distinct crashes that are not in covered, as far as they
// are independent.
func (s *suspect) independent(covered map[uint64]bool) []sighting {
	return s.chainBy(covered, func(sighting, sighting) bool { return true })
}

// chain returns the longest chain of independent sightings of crashes that are not in covered:
// each attempt was sent after the one before had broken.
func (s *suspect) chain(covered map[uint64]bool) []sighting {
	return s.chainBy(covered, func(x, last sighting) bool { return x.isAfter(x.sentAt, last) })
}

// moments returns the independent sightings of which each attempt broke after the one before.
// They may have been under way at the same time.
func (s *suspect) moments(covered map[uint64]bool) []sighting {
	return s.chainBy(covered, func(x, last sighting) bool { return x.isAfter(x.brokenAt, last) })
}

// chainBy returns independent sightings of which each follows the one before. Each crash counts
// once. Repeats of one request say nothing about which part of its prompt crashes targets, so a
// crash counts against a part only if no request that held it was at one counted before. The
// sightings of a part are few, at most maxSightings.
func (s *suspect) chainBy(covered map[uint64]bool, follows func(x, last sighting) bool) []sighting {
	list := s.uncovered(covered)
	var chain []sighting
	for _, x := range list {
		if len(chain) > 0 && !follows(x, chain[len(chain)-1]) {
			continue
		}
		if !s.dependsOn(x, chain, list) {
			chain = append(chain, x)
		}
	}
	return chain
}

// dependsOn reports whether a sighting adds nothing to those in chain, which are taken from list.
func (s *suspect) dependsOn(x sighting, chain, list []sighting) bool {
	for _, counted := range chain {
		if counted.crash == x.crash || !s.isWhole && shareRequest(counted.crash, x.crash, list) {
			return true
		}
	}
	return false
}

// shareRequest reports whether one request was at both crashes.
func shareRequest(a, b uint64, list []sighting) bool {
	for _, x := range list {
		if x.crash != a || x.request == 0 {
			continue
		}
		for _, y := range list {
			if y.crash == b && y.request == x.request {
				return true
			}
		}
	}
	return false
}

// addSighting records an observation of a part. Without room for a further part it drops those
// with the least sightings, and of these the ones whose last is the oldest.
func (t *Tracker) addSighting(p Part, r Request, x sighting) {
	s := t.suspects[p]
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			t.evictSuspects()
		}
		s = &suspect{part: p, isWhole: p == r.Whole, service: r.Service}
		t.suspects[p], t.uncontrasted[p] = s, s
	}
	if s.add(x) {
		t.changed = true
	}
	if len(s.sightings) > maxSightings {
		t.forget(s.dropOne(), p)
	}
}

// evictSuspects drops the evictedSuspects parts with the least evidence.
func (t *Tracker) evictSuspects() {
	list := slices.SortedFunc(maps.Values(t.suspects), func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(a.sightings), len(b.sightings)), a.lastBroken().Compare(b.lastBroken()), cmp.Compare(a.part, b.part))
	})
	for _, s := range list[:evictedSuspects] {
		t.dropSuspect(s.part)
	}
}

func (t *Tracker) dropSuspect(p Part) {
	delete(t.suspects, p)
	delete(t.uncontrasted, p)
	delete(t.heldWholes, p)
}

// dropSightings drops the sightings of a part for which drop returns true.
func (t *Tracker) dropSightings(p Part, drop func(sighting) bool) {
	s := t.suspects[p]
	if s == nil {
		return
	}
	before := len(s.sightings)
	s.remove(drop)
	t.changed = t.changed || len(s.sightings) < before
	if len(s.sightings) == 0 {
		t.dropSuspect(p)
		return
	}
	if s.contrast < blameContrast {
		t.uncontrasted[p] = s
	}
}
