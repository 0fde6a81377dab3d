package poison

import (
	"cmp"
	"slices"
	"time"
)

// maxCrashes bounds the crashes that are remembered.
const maxCrashes = 1024

// crash is the end of an incarnation of a target.
type crash struct {
	service uint64
	// at is when the first attempt broke off.
	at time.Time
	// group is the blamed group that explains the crash; 0 if none does.
	group groupKey
	// droppedBy is the part that had no room for its sighting; 0 if none.
	droppedBy Part
}

// recordCrash records the crash that an observation shows.
func (t *Tracker) recordCrash(o Observation) {
	if c := t.crashes[o.Crash]; c != nil {
		if o.BrokenAt.Before(c.at) {
			c.at = o.BrokenAt
		}
		return
	}
	if len(t.crashes) >= maxCrashes {
		t.evictCrash()
	}
	t.crashes[o.Crash] = &crash{service: o.Request.Service, at: o.BrokenAt}
}

func (t *Tracker) evictCrash() {
	var oldest uint64
	var old *crash
	for id, c := range t.crashes {
		if old == nil || cmp.Or(c.at.Compare(old.at), cmp.Compare(id, oldest)) < 0 {
			oldest, old = id, c
		}
	}
	delete(t.crashes, oldest)
}

// forget has a crash no longer count, since a part had no room for its sighting. The sightings
// of parts with fewer would otherwise seem to be of a crash that the part does not explain.
func (t *Tracker) forget(id uint64, by Part) {
	if c := t.crashes[id]; c != nil {
		c.droppedBy = by
	}
	for p, s := range t.suspects {
		if len(s.sightings) < maxSightings {
			t.dropSightings(p, func(x sighting) bool { return x.crash == id })
		}
	}
}

func (t *Tracker) isForgotten(id uint64) bool {
	c := t.crashes[id]
	return c != nil && c.droppedBy != 0
}

// explain records that a blamed group explains crashes: they no longer count against parts
// outside the group.
func (t *Tracker) explain(key groupKey, crashes []uint64) {
	if len(crashes) == 0 {
		return
	}
	for _, id := range crashes {
		if c := t.crashes[id]; c != nil {
			c.group = key
		}
	}
	for p := range t.suspects {
		t.dropSightings(p, func(x sighting) bool { return t.isExplained(x.crash, p) })
	}
}

// isExplained reports whether a blamed group without the part explains a crash.
func (t *Tracker) isExplained(id uint64, p Part) bool {
	c := t.crashes[id]
	if c == nil || c.group == 0 {
		return false
	}
	b := t.blames[c.group]
	return b != nil && !slices.Contains(b.group, p)
}
