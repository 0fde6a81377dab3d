package placement

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// ColdShares divides the requests that a cold target may receive in a second among the
// entries. Targets become cold without notice, so a limit also applies to targets that
// are not known to be cold, but then each entry may send at least one request.
type ColdShares struct {
	EntryShares
	// TotalLimit is how many requests all entries together may send to a target in a
	// second; 0 means no limit.
	TotalLimit int
}

// WarmLimit returns how many requests this entry may send in a second to a target that
// is not known to be cold.
func (s ColdShares) WarmLimit() int { return max(s.TotalLimit/max(s.ShareCount, 1), 1) }

// ColdLimit returns how many requests this entry may send in a second to a cold target.
func (s ColdShares) ColdLimit(now time.Time, target roster.TargetID) int {
	return s.ShareOf(s.TotalLimit, coldWindow, now, target)
}

// near returns the shares of a target in a zone.
func (s ColdShares) near(zone contract.ZoneName) ColdShares {
	s.EntryShares = s.EntryShares.near(zone)
	return s
}
