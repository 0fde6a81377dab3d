package direct

import (
	"cmp"
	"slices"
	"time"

	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/weights/pieces"
)

// maxCandidates bounds the versions that are fetched at the same time. The version
// announced before the newest is fetched as well: while the newest does not arrive, it is
// still better than an older one. A loaded version that is not proved yet may be one more.
const maxCandidates = 2

// candidate is a version that the engine should load.
type candidate struct {
	version weightcache.Version
	set     *pieces.Set
	// fetching reports whether a goroutine is fetching its pieces.
	fetching bool
	// transfer tells whether the fetch waits while that of another candidate goes first.
	transfer weightcache.Transfer
	// skippedSince is since when the version, though staged, is not loaded because a newer one is
	// about to arrive; zero if it has not been. isSkipped reports whether that still holds.
	skippedSince time.Time
	isSkipped    bool
}

// isComplete reports whether all pieces of the version have been fetched.
func (c *candidate) isComplete() bool { return c.set != nil && c.set.IsComplete() }

// stagingArea is what an engine's staging area holds: it has one copy of each piece, and any piece that
// is staged replaces that of another version.
type stagingArea struct {
	// candidate is the version of which all pieces had been staged at the time at; nil if pieces of
	// several versions may be staged.
	candidate *candidate
	at        time.Time
	// born is the engine's start time then: an engine that restarts may lose its staged pieces.
	born int64
}

// stagedAt returns when all pieces of c had been staged at the engine that started at born; zero if they
// are not all staged.
func (a stagingArea) stagedAt(c *candidate, born int64) time.Time {
	if a.candidate != c || a.born != born {
		return time.Time{}
	}
	return a.at
}

// addCandidate appends an announced version to the candidates, which are in rising order
// of version, and drops the oldest beyond maxCandidates. It returns them unchanged if any
// of them is of another model or is not older than v.
func addCandidate(candidates []*candidate, v weightcache.Version) []*candidate {
	for _, c := range candidates {
		if c.version.Model != v.Model || c.version.Number >= v.Number {
			return candidates
		}
	}
	candidates = append(candidates, &candidate{version: v})
	if len(candidates) > maxCandidates {
		candidates = candidates[len(candidates)-maxCandidates:]
	}
	return candidates
}

// findCandidate returns the candidate of a version; nil if there is none.
func findCandidate(candidates []*candidate, number int64) *candidate {
	i := slices.IndexFunc(candidates, func(c *candidate) bool { return c.version.Number == number })
	if i < 0 {
		return nil
	}
	return candidates[i]
}

// keepCandidate adds a version to the candidates, unless it is one of them, with the pieces that it had
// among the previous ones.
func keepCandidate(candidates, previous []*candidate, v weightcache.Version) []*candidate {
	if findCandidate(candidates, v.Number) != nil {
		return candidates
	}
	kept := findCandidate(previous, v.Number)
	if kept == nil {
		kept = &candidate{version: v}
	}
	candidates = append(slices.Clone(candidates), kept)
	slices.SortFunc(candidates, func(a, b *candidate) int { return cmp.Compare(a.version.Number, b.version.Number) })
	return candidates
}

// newestComplete returns the newest complete candidate above the loaded version, or nil.
func newestComplete(candidates []*candidate, loaded int64) *candidate {
	for i := len(candidates) - 1; i >= 0; i-- {
		if candidates[i].version.Number > loaded && candidates[i].isComplete() {
			return candidates[i]
		}
	}
	return nil
}
