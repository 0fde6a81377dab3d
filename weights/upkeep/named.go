package upkeep

import "time"

// maxNamed bounds the versions that are remembered; older ones are past their bound.
const maxNamed = 8

// Named remembers which versions of a model were named, and when.
type Named struct {
	// versions are in rising order.
	versions []namedVersion
}

type namedVersion struct {
	number int64
	at     time.Time
}

// Add records that a version was named; false if it is not newer than the newest.
func (n *Named) Add(now time.Time, number int64) bool {
	if number <= n.Newest() {
		return false
	}
	n.versions = append(n.versions, namedVersion{number: number, at: now})
	if len(n.versions) > maxNamed {
		n.versions = n.versions[1:]
	}
	return true
}

// Newest is the newest version that was named; 0 if none was.
func (n *Named) Newest() int64 {
	if len(n.versions) == 0 {
		return 0
	}
	return n.versions[len(n.versions)-1].number
}

// Least is the oldest version that may begin: the newest of those that were named
// at least age ago. A version that was named since does not put it off.
func (n *Named) Least(now time.Time, age time.Duration) int64 {
	least := int64(0)
	for _, v := range n.versions {
		if now.Sub(v.at) >= age {
			least = v.number
		}
	}
	return least
}

// Since is when the oldest version above loaded was named: an engine that holds
// loaded is behind from then on, whatever was named after it. Zero if none was.
func (n *Named) Since(loaded int64) time.Time {
	for _, v := range n.versions {
		if v.number > loaded {
			return v.at
		}
	}
	return time.Time{}
}
