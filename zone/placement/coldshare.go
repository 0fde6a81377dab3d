package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// ColdShares divides what a target may get in a second while it is cold among the
// entries. Targets turn cold without warning, so that it holds for warm ones as well,
// but then each entry may send at least one.
type ColdShares struct {
	// Bound is what all entries together may send in a second; 0 if there is no bound.
	TotalLimit int
	// Self is this entry, Entries those known, empty if none is known yet.
	Self    contract.MachineID
	Entries []contract.MachineID
	// Sharers is by how many Bound is divided: the entries, and a spare place for one
	// that has just joined and that the others do not know yet.
	ShareCount int
	// Started is when this process started. What its former run sent is not known.
	StartedAt time.Time
}

// Warm is how many requests this entry may send in a second to a target that is not
// known to be cold.
func (s ColdShares) WarmLimit() int { return max(s.TotalLimit/max(s.ShareCount, 1), 1) }

// Cold is how many requests this entry may send in a second to a target that is cold.
// The shares of all entries that know the same, and of one that they do not know,
// do not exceed Bound.
func (s ColdShares) ColdLimit(now time.Time, target roster.TargetID) int {
	switch {
	case len(s.Entries) == 0 || now.Sub(s.StartedAt) <= coldWindow:
		return 0
	case s.TotalLimit >= s.ShareCount:
		return s.TotalLimit / max(s.ShareCount, 1)
	case s.place(target) < s.senders():
		return 1
	default:
		return 0
	}
}

// senders is how many entries may send to a cold target that bears less than one
// request of each. One place is spare, unless there is only one.
func (s ColdShares) senders() int { return max(s.TotalLimit-1, 1) }

// place is how many entries come before this one at a target, by rendezvous hashing:
// entries that know the same agree.
func (s ColdShares) place(target roster.TargetID) int {
	own := coldWeight(target, s.Self)
	before := 0
	for _, e := range s.Entries {
		weight := coldWeight(target, e)
		if weight > own || weight == own && e < s.Self {
			before++
		}
	}
	return before
}

func coldWeight(target roster.TargetID, entry contract.MachineID) uint64 {
	return xxhash.Sum64String(string(target) + "/" + string(entry))
}
