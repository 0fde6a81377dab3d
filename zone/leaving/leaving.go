// Package leaving remembers which incarnations of targets have said in an answer that they are
// about to stop. The entries tell each other. The word holds until the incarnation is gone:
// answers may overtake each other, so that one without it takes nothing back, and neither does a
// target list that does not agree.
//
// The package does no I/O and does not read the clock. A Tracker is not safe for concurrent use.
package leaving

import (
	"cmp"
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
	maxTargets = 16384
	// maxReports bounds those in one heartbeat. The newest go first: the others have been reported
	// before.
	maxReports = 128
	// reportedFor is how long an incarnation is reported after it was last listed.
	reportedFor = 5 * time.Second
)

// record is what is known of an incarnation that leaves.
type record struct {
	heardAt time.Time
	// listedAt is when it was last listed, or heard of if it was not.
	listedAt time.Time
}

// Tracker holds the incarnations that have said that they leave.
type Tracker struct {
	targets map[ratelimit.Key]record
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{targets: map[ratelimit.Key]record{}} }

// Observe records that an incarnation of a target, which started at born, said that it leaves. It
// reports whether that is new.
func (t *Tracker) Observe(now time.Time, id roster.TargetID, born int64) (isNew bool) {
	return t.add(now, ratelimit.KeyOf(id, born))
}

func (t *Tracker) add(now time.Time, key ratelimit.Key) (isNew bool) {
	if _, known := t.targets[key]; known {
		return false
	}
	if len(t.targets) >= maxTargets {
		return false
	}
	t.targets[key] = record{heardAt: now, listedAt: now}
	return true
}

// IsLeaving reports whether an incarnation of a target has said that it leaves.
func (t *Tracker) IsLeaving(id roster.TargetID, born int64) bool {
	if len(t.targets) == 0 {
		return false
	}
	_, leaving := t.targets[ratelimit.KeyOf(id, born)]
	return leaving
}

// Prune forgets the incarnations that have not been listed for long. listed is called only if
// there is anything to forget.
func (t *Tracker) Prune(now time.Time, listed func() map[ratelimit.Key]bool) {
	if len(t.targets) == 0 {
		return
	}
	keys := listed()
	for key, r := range t.targets {
		switch {
		case keys[key]:
			t.targets[key] = record{heardAt: r.heardAt, listedAt: now}
		case now.Sub(r.listedAt) > retention:
			delete(t.targets, key)
		}
	}
}

// Reports lists incarnations that leave, for the other entries: only those that were listed when
// Prune was called last or heard of since, so that entries do not remind each other for ever.
func (t *Tracker) Reports(now time.Time) []uint64 {
	var keys []ratelimit.Key
	for key, r := range t.targets {
		if now.Sub(r.listedAt) <= reportedFor {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b ratelimit.Key) int {
		return cmp.Or(t.targets[b].heardAt.Compare(t.targets[a].heardAt), cmp.Compare(a, b))
	})
	var list []uint64
	for _, key := range keys[:min(len(keys), maxReports)] {
		list = append(list, uint64(key))
	}
	return list
}

// ApplyReports applies what another entry reports, and returns how many incarnations are new.
func (t *Tracker) ApplyReports(now time.Time, keys []uint64) (added int) {
	for _, key := range keys[:min(len(keys), maxReports)] {
		if t.add(now, ratelimit.Key(key)) {
			added++
		}
	}
	return added
}
