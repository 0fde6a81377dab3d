package upgrade

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
	// freshTime is how long ago the operators' records may have been read to their end
	// for a version among the next ones to count as named now. A read waits for 1.5 s.
	freshTime = 2500 * time.Millisecond
	// recordTime is what records take to reach all processes: dates that differ by less
	// tell nothing.
	recordTime = 250 * time.Millisecond
)

// Named remembers which versions of a model were named, and when.
//
// The store does not tell when a version was named. A process that follows what operators
// write without a gap sees it: it is a witness. Others learn of it late, because they have
// started since, stood still or were cut off; to them peers tell how long it has been
// known, and whether to a witness. Until a witness tells, a version counts as named as
// early as can be.
type AnnouncedVersions struct {
	// started is when the process started.
	started time.Time
	// versions are in rising order.
	versions []namedVersion
}

type namedVersion struct {
	number int64
	// seenAt is the earliest time at which a process is known to have known of the
	// version; witnessed tells that this is when it was named.
	seenAt    time.Time
	witnessed bool
	// after is when it had not been named yet; zero if that is not known.
	after time.Time
	// recorded tells that this process has read the record.
	recorded bool
}

// Age is how long ago a version was named, or longer.
type VersionAge struct {
	Number int64
	Age    time.Duration
	// Witnessed tells that it was named that long ago.
	Witnessed bool
}

// NewNamed returns what a process knows that started at a time.
func NewAnnouncedVersions(started time.Time) *AnnouncedVersions {
	return &AnnouncedVersions{started: started}
}

// Record takes in the record of a version, read now; false if it is not newer than the
// newest record. since is when the operators' records had been read to their end before,
// zero if never.
func (n *AnnouncedVersions) ApplyRecord(now time.Time, number int64, since time.Time) bool {
	for _, v := range n.versions {
		if v.recorded && v.number >= number {
			return false
		}
	}
	v := namedVersion{number: number, seenAt: now}
	if !since.IsZero() {
		v.witnessed = now.Sub(since) <= freshTime
		v.after = since
	}
	known := n.merge(v)
	known.recorded = true
	n.trim()
	return true
}

// Told takes in from a peer how long ago a version was named, or longer, and reports
// whether that was news.
func (n *AnnouncedVersions) ApplyPeerAge(now time.Time, told VersionAge) bool {
	at := now.Add(-told.Age)
	known := n.find(told.Number)
	news := known == nil || told.Witnessed && !known.witnessed || known.seenAt.Sub(at) >= recordTime
	n.merge(namedVersion{number: told.Number, seenAt: at, witnessed: told.Witnessed})
	n.trim()
	return news
}

// merge joins what is told of a version with what is known: the earliest sight holds.
func (n *AnnouncedVersions) merge(v namedVersion) *namedVersion {
	known := n.find(v.number)
	if known == nil {
		return n.insert(v)
	}
	if v.seenAt.Before(known.seenAt) {
		known.seenAt = v.seenAt
	}
	known.witnessed = known.witnessed || v.witnessed
	if known.after.IsZero() {
		known.after = v.after
	}
	return known
}

func (n *AnnouncedVersions) find(number int64) *namedVersion {
	for i := range n.versions {
		if n.versions[i].number == number {
			return &n.versions[i]
		}
	}
	return nil
}

func (n *AnnouncedVersions) insert(v namedVersion) *namedVersion {
	i := 0
	for i < len(n.versions) && n.versions[i].number < v.number {
		i++
	}
	n.versions = slices.Insert(n.versions, i, v)
	return &n.versions[i]
}

func (n *AnnouncedVersions) trim() {
	if len(n.versions) > maxNamed {
		n.versions = slices.Delete(n.versions, 0, len(n.versions)-maxNamed)
	}
}

// date is when a version counts as named, if requests may begin on an older one for
// bound after it.
func (n *AnnouncedVersions) date(v namedVersion, bound time.Duration) time.Time {
	switch {
	case v.witnessed:
		return v.seenAt
	case !v.after.IsZero():
		return earlier(v.seenAt, v.after)
	default:
		return earlier(v.seenAt, n.started.Add(datingTime+SendMargin-bound))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Ages lists how long the versions have been known, oldest first: those for less than
// limit, and the newest in any case, with an age of limit at most.
func (n *AnnouncedVersions) Ages(now time.Time, limit time.Duration) []VersionAge {
	var list []VersionAge
	for _, v := range n.versions {
		age := now.Sub(v.seenAt)
		if age < limit || v.number == n.Newest() {
			list = append(list, VersionAge{Number: v.number, Age: min(age, limit), Witnessed: v.witnessed})
		}
	}
	return list
}

// Newest is the newest version that was named; 0 if none was.
func (n *AnnouncedVersions) Newest() int64 {
	if len(n.versions) == 0 {
		return 0
	}
	return n.versions[len(n.versions)-1].number
}

// Least is the oldest version that may begin: the newest of those whose bound ends
// within margin. A version that was named since does not put it off.
func (n *AnnouncedVersions) OldestAllowed(now time.Time, bound, margin time.Duration) int64 {
	least := int64(0)
	for _, v := range n.versions {
		if now.Sub(n.date(v, bound)) >= bound-margin {
			least = v.number
		}
	}
	return least
}

// Since is when the oldest version above loaded was named: an engine that holds
// loaded is behind from then on, whatever was named after it. Zero if none was.
func (n *AnnouncedVersions) BehindSince(loaded int64, bound time.Duration) time.Time {
	for _, v := range n.versions {
		if v.number > loaded {
			return n.date(v, bound)
		}
	}
	return time.Time{}
}
