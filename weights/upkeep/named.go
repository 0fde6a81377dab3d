package upkeep

import (
	"slices"
	"time"
)

const (
	// maxNamed bounds the versions that are remembered; older ones are past their bound.
	maxNamed = 8
	// SendMargin is how long before the bound an entry sends nothing more to an
	// older version: a request may wait at the target before it begins.
	SendMargin = 1800 * time.Millisecond
	// datingTime is how long after its start a process waits for peers to tell since
	// when a version that it found has been named.
	datingTime = 1500 * time.Millisecond
	// recordTime is what records take to reach all processes: dates that differ by less
	// tell nothing.
	recordTime = 250 * time.Millisecond
)

// Named remembers which versions of a model were named, and when.
//
// A process that starts finds the newest version in the store, which does not tell when
// it was named. Peers that saw it tell how long ago that was. Until one does, the version
// counts as so old that the ones before it may begin for datingTime more.
type Named struct {
	// versions are in rising order.
	versions []namedVersion
}

type namedVersion struct {
	number int64
	// at is when the version was named; dated is false while that is an assumption.
	at    time.Time
	dated bool
}

// Age is how long ago a version was named.
type Age struct {
	Number int64
	Age    time.Duration
}

// Add records that a version was named just now; false if it is not newer than the
// newest.
func (n *Named) Add(now time.Time, number int64) bool {
	return n.add(namedVersion{number: number, at: now, dated: true})
}

// Find records a version that had been named before the process started; false if it
// is not newer than the newest. bound is how long after a version was named requests
// may begin on an older one.
func (n *Named) Find(now time.Time, number int64, bound time.Duration) bool {
	return n.add(namedVersion{number: number, at: now.Add(datingTime + SendMargin - bound)})
}

func (n *Named) add(v namedVersion) bool {
	if v.number <= n.Newest() {
		return false
	}
	n.versions = append(n.versions, v)
	n.trim()
	return true
}

// Told takes in from a peer that a version was named at least age ago, and reports
// whether that was news. The earliest date holds: a process learns of a version late
// when it was cut off or stood still, never early. A version above the newest is
// ignored until its record has come.
func (n *Named) Told(now time.Time, number int64, age time.Duration) bool {
	if number > n.Newest() {
		return false
	}
	told := namedVersion{number: number, at: now.Add(-age), dated: true}
	i := slices.IndexFunc(n.versions, func(v namedVersion) bool { return v.number >= number })
	if n.versions[i].number != number {
		n.versions = slices.Insert(n.versions, i, told)
		n.trim()
		return true
	}
	known := n.versions[i]
	if known.dated && !told.at.Before(known.at) {
		return false
	}
	n.versions[i] = told
	return !known.dated || known.at.Sub(told.at) >= recordTime
}

func (n *Named) trim() {
	if len(n.versions) > maxNamed {
		n.versions = n.versions[1:]
	}
}

// Recent lists the versions that were named less than age ago and are dated, oldest
// first.
func (n *Named) Recent(now time.Time, age time.Duration) []Age {
	var list []Age
	for _, v := range n.versions {
		if ago := now.Sub(v.at); v.dated && ago < age {
			list = append(list, Age{Number: v.number, Age: ago})
		}
	}
	return list
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
