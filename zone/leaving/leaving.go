// Package leaving remembers which incarnations of targets have said in an answer that they are
// about to stop. The entries tell each other. The word holds until the incarnation is gone:
// answers may overtake each other, so that one without it takes nothing back, and neither does a
// target list that does not agree.
//
// The package does no I/O and does not read the clock. A Tracker is not safe for concurrent use.
package leaving

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/zone/ratelimit"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// retention is how long an incarnation is remembered that is not listed: it may be missing
	// from the list for a while and come back.
	retention = time.Minute
	// maxTargets bounds the incarnations that are remembered.
	maxTargets = 1024
	// maxReports bounds those in one heartbeat.
	maxReports = 128
)

// Tracker holds the incarnations that have said that they leave.
type Tracker struct {
	// lastListed holds when an incarnation was last listed, or heard of if it was not.
	lastListed map[ratelimit.Key]time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{lastListed: map[ratelimit.Key]time.Time{}} }

// Observe records that an incarnation of a target, which started at born, said that it leaves. It
// reports whether that is new.
func (t *Tracker) Observe(now time.Time, id roster.TargetID, born int64) (isNew bool) {
	return t.add(now, ratelimit.KeyOf(id, born))
}

func (t *Tracker) add(now time.Time, key ratelimit.Key) (isNew bool) {
	if _, known := t.lastListed[key]; known {
		return false
	}
	if len(t.lastListed) >= maxTargets {
		return false
	}
	t.lastListed[key] = now
	return true
}

// IsLeaving reports whether an incarnation of a target has said that it leaves.
func (t *Tracker) IsLeaving(id roster.TargetID, born int64) bool {
	if len(t.lastListed) == 0 {
		return false
	}
	_, leaving := t.lastListed[ratelimit.KeyOf(id, born)]
	return leaving
}

// Prune forgets the incarnations that have not been listed for long. listed is called only if
// there is anything to forget.
func (t *Tracker) Prune(now time.Time, listed func() map[ratelimit.Key]bool) {
	if len(t.lastListed) == 0 {
		return
	}
	keys := listed()
	for key, at := range t.lastListed {
		switch {
		case keys[key]:
			t.lastListed[key] = now
		case now.Sub(at) > retention:
			delete(t.lastListed, key)
		}
	}
}

// Reports lists incarnations that leave, for the other entries: only those that were listed when
// Prune was called last or heard of since, so that entries do not remind each other for ever.
func (t *Tracker) Reports(now time.Time) []uint64 {
	var keys []uint64
	for key, at := range t.lastListed {
		if now.Sub(at) <= reportedFor {
			keys = append(keys, uint64(key))
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), maxReports)]
}

// reportedFor is how long an incarnation is reported after it was last listed.
const reportedFor = 5 * time.Second

// ApplyReports applies what another entry reports, and returns how many incarnations are new.
func (t *Tracker) ApplyReports(now time.Time, keys []uint64) (added int) {
	for _, key := range keys[:min(len(keys), maxReports)] {
		if t.add(now, ratelimit.Key(key)) {
			added++
		}
	}
	return added
}
