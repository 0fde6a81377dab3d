package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// ColdShares divides the requests that a cold target may receive in a second among the
// entries. Targets become cold without notice, so a limit also applies to targets that
// are not known to be cold, but then each entry may send at least one request.
type ColdShares struct {
	// TotalLimit is how many requests all entries together may send to a target in a
	// second; 0 means no limit.
	TotalLimit int
	// Self is this entry. Entries lists the known entries and is empty while none is
	// known.
	Self    contract.MachineID
	Entries []contract.MachineID
	// ShareCount is the number of shares that TotalLimit is divided into: one for each
	// entry, and a spare one for an entry that has just joined and is not yet known to
	// the others.
	ShareCount int
	// StartedAt is when this process started. What the previous process of this entry
	// sent just before is unknown.
	StartedAt time.Time
}

// WarmLimit returns how many requests this entry may send in a second to a target that
// is not known to be cold.
func (s ColdShares) WarmLimit() int { return max(s.TotalLimit/max(s.ShareCount, 1), 1) }

// ColdLimit returns how many requests this entry may send in a second to a cold target.
// The limits of all entries that know the same entries, together with that of one
// further entry that they do not know, do not exceed TotalLimit, if TotalLimit is at
// least 2. The limit is 0 during the first second of the process and while no entry is
// known.
func (s ColdShares) ColdLimit(now time.Time, target roster.TargetID) int {
	switch {
	case len(s.Entries) == 0 || now.Sub(s.StartedAt) <= coldWindow:
		return 0
	case s.TotalLimit >= s.ShareCount:
		return s.TotalLimit / max(s.ShareCount, 1)
	case s.rankFor(target) < s.senderCount():
		return 1
	default:
		return 0
	}
}

// senderCount returns how many entries may send to a cold target that cannot serve one
// request of each. One request is reserved for an unknown entry, unless there is only
// one.
func (s ColdShares) senderCount() int { return max(s.TotalLimit-1, 1) }

// rankFor returns how many entries precede this one at a target in the order of
// rendezvous hashing. Entries that know the same entries agree on this order.
func (s ColdShares) rankFor(target roster.TargetID) int {
	own := rendezvousWeight(target, s.Self)
	before := 0
	for _, e := range s.Entries {
		weight := rendezvousWeight(target, e)
		if weight > own || weight == own && e < s.Self {
			before++
		}
	}
	return before
}

func rendezvousWeight(target roster.TargetID, entry contract.MachineID) uint64 {
	return xxhash.Sum64String(string(target) + "/" + string(entry))
}
