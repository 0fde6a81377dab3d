package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxSuspects bounds the parts with observations, maxSightings the observations of one
	// part.
	maxSuspects = 256
	// evictedSuspects is how many parts are dropped at a time.
	evictedSuspects = 32
	maxSightings    = 16
	// sightingLifetime is how long an observation counts.
	sightingLifetime = time.Minute
	// sameMoment bounds the error in the times of what several entries report.
	sameMoment = 100 * time.Millisecond
)

// sighting is an observation in the record of one of its parts.
type sighting struct {
	id, crash        uint64
	sentAt, brokenAt time.Time
}

// suspect is a part with observations that are not cleared.
type suspect struct {
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
	for _, link := range longestChain(s.sightings) {
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

// chain returns the longest chain of sightings of crashes that are not in covered.
func (s *suspect) chain(covered map[uint64]bool) []sighting {
	var list []sighting
	for _, x := range s.sightings {
		if !covered[x.crash] {
			list = append(list, x)
		}
	}
	return longestChain(list)
}

// longestChain returns the most sightings of which each attempt was sent after the one before
// had broken, as far as their times can tell. list is in the order in which the attempts broke.
func longestChain(list []sighting) []sighting {
	var chain []sighting
	crashes := map[uint64]bool{}
	for _, x := range list {
		if crashes[x.crash] || len(chain) > 0 && !x.sentAt.After(chain[len(chain)-1].brokenAt.Add(sameMoment)) {
			continue
		}
		crashes[x.crash] = true
		chain = append(chain, x)
	}
	return chain
}

// addSighting records an observation of a part. Without room for a further part it drops those
// with the least sightings, and of these the ones whose last is the oldest.
func (t *Tracker) addSighting(p Part, service uint64, x sighting) {
	s := t.suspects[p]
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			t.evictSuspects()
		}
		s = &suspect{service: service}
		t.suspects[p] = s
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
	parts := slices.SortedFunc(maps.Keys(t.suspects), t.compareSuspects)
	for _, p := range parts[:evictedSuspects] {
		delete(t.suspects, p)
	}
}

func (t *Tracker) compareSuspects(a, b Part) int {
	s, o := t.suspects[a], t.suspects[b]
	return cmp.Or(
		cmp.Compare(len(s.sightings), len(o.sightings)),
		s.sightings[len(s.sightings)-1].brokenAt.Compare(o.sightings[len(o.sightings)-1].brokenAt),
		cmp.Compare(a, b),
	)
}

// dropSightings drops the sightings of a part for which drop returns true.
func (t *Tracker) dropSightings(p Part, drop func(sighting) bool) {
	s := t.suspects[p]
	if s == nil {
		return
	}
	s.remove(drop)
	if len(s.sightings) == 0 {
		delete(t.suspects, p)
	}
}
