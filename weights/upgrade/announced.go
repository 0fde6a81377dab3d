package upgrade

import (
	"slices"
	"time"
)

const (
	// maxRememberedVersions is how many versions of a model are remembered whatever their age. Older ones
	// are forgotten once they have no influence on bounds, and are at most maxRunningVersions.
	maxRememberedVersions = 8
	// maxRunningVersions limits the versions of a model that are remembered. Beyond it the two oldest are
	// taken for one that was announced with the first of them.
	maxRunningVersions = 64
	// SendMargin is how long before the end of the bound an entry stops sending to older
	// versions what it cannot give up: a request may wait at the target before it starts.
	SendMargin = 1800 * time.Millisecond
	// BeginMargin is how long before the end of the bound an entry gives up requests that older
	// versions have not begun: its view of the announcement may be late, and so the target's of
	// the end of the request.
	BeginMargin = 500 * time.Millisecond
	// peerAgeTimeout is how long after its start a process waits for peers to report the
	// age of a version that it found announced when it started.
	peerAgeTimeout = 1500 * time.Millisecond
	// datingTolerance is how much later than announced a version may be dated. It is below BeginMargin, which
	// allows for it.
	datingTolerance = 250 * time.Millisecond
	// propagationDelay is how long a record takes to reach all processes. Smaller
	// differences between reported times carry no information.
	propagationDelay = 250 * time.Millisecond
)

// AnnouncedVersions records which versions of a model operators have announced, and when.
//
// The store does not record when a version was announced. A process that reads the operators' records while it
// runs is a witness: the announcement was made since it had last read them to their end, and it may have been
// made as early as that. Peers report to each other the date by the witness with the shortest such time. Until a
// process knows a date, the earliest possible time counts as the time of the announcement.
//
// All times are of a clock that goes on while the machine is suspended: ages that lacked a suspension would date
// a version too late.
type AnnouncedVersions struct {
	// started is when the process started.
	started time.Time
	// versions is in ascending order.
	versions []announcedVersion
}

type announcedVersion struct {
	number int64
	// knownSince is the earliest time at which any process is known to have known the
	// version.
	knownSince time.Time
	// witnessed reports whether a witness's date is known: the version was announced at witnessedAt, or up to
	// uncertainty before. That of the witness with the least uncertainty is kept: it is the same at all processes that
	// pass it on, while the times that they receive are late by their links.
	witnessed   bool
	witnessedAt time.Time
	uncertainty time.Duration
	// hasRecord reports whether this process has read the record of the version.
	hasRecord bool
}

// VersionAge is the time that has passed since a version was announced, at least.
type VersionAge struct {
	Number int64
	Age    time.Duration
	// Witnessed reports whether Age is a witness's: then no more than Age and Uncertainty have passed, unless Ages
	// capped Age.
	Witnessed   bool
	Uncertainty time.Duration
}

// NewAnnouncedVersions returns the empty state of a process that started at the given time.
func NewAnnouncedVersions(started time.Time) *AnnouncedVersions {
	return &AnnouncedVersions{started: started}
}

// ApplyRecord applies the record of a version that was read now. It reports whether the
// version is newer than that of every record before. caughtUpAt is when the operators'
// records had last been read to their end before this read, zero if never.
func (a *AnnouncedVersions) ApplyRecord(now time.Time, number int64, caughtUpAt time.Time) bool {
	for _, v := range a.versions {
		if v.hasRecord && v.number >= number {
			return false
		}
	}
	v := announcedVersion{number: number, knownSince: now}
	if !caughtUpAt.IsZero() {
		v.setWitness(now, now.Sub(caughtUpAt))
	}
	known := a.merge(v)
	known.hasRecord = true
	a.trim()
	return true
}

// ApplyPeerAge applies the age of a version as reported by a peer. It reports whether this
// added information.
func (a *AnnouncedVersions) ApplyPeerAge(now time.Time, reported VersionAge) bool {
	knownSince := now.Add(-reported.Age)
	v := announcedVersion{number: reported.Number, knownSince: knownSince}
	if reported.Witnessed {
		v.setWitness(knownSince, reported.Uncertainty)
	}
	known := a.find(reported.Number)
	changed := known == nil || known.knownSince.Sub(knownSince) >= propagationDelay ||
		v.witnessed && (!known.witnessed || known.uncertainty-v.uncertainty >= propagationDelay)
	a.merge(v)
	a.trim()
	return changed
}

// setWitness sets the date of a witness that learned of the version at a time. The uncertainty is rounded up to
// the unit in which peers report it.
func (v *announcedVersion) setWitness(at time.Time, uncertainty time.Duration) {
	const unit = time.Millisecond
	v.witnessed, v.witnessedAt = true, at
	v.uncertainty = (max(uncertainty, 0) + unit - 1).Truncate(unit)
}

// isBetterWitness reports whether the date of v is to replace that of known.
func (v *announcedVersion) isBetterWitness(known *announcedVersion) bool {
	switch {
	case !v.witnessed || !known.witnessed:
		return v.witnessed
	case v.uncertainty != known.uncertainty:
		return v.uncertainty < known.uncertainty
	default:
		return v.witnessedAt.Before(known.witnessedAt)
	}
}

// merge combines v with what is known of the same version and returns the result. The
// earlier knownSince and the better witness are kept. The pointer is valid until the next insert or trim.
func (a *AnnouncedVersions) merge(v announcedVersion) *announcedVersion {
	known := a.find(v.number)
	if known == nil {
		return a.insert(v)
	}
	if v.knownSince.Before(known.knownSince) {
		known.knownSince = v.knownSince
	}
	if v.isBetterWitness(known) {
		known.witnessed, known.witnessedAt, known.uncertainty = true, v.witnessedAt, v.uncertainty
	}
	return known
}

// find returns the state of a version, or nil. The pointer is valid until the next insert or
// trim.
func (a *AnnouncedVersions) find(number int64) *announcedVersion {
	for i := range a.versions {
		if a.versions[i].number == number {
			return &a.versions[i]
		}
	}
	return nil
}

func (a *AnnouncedVersions) insert(v announcedVersion) *announcedVersion {
	i := 0
	for i < len(a.versions) && a.versions[i].number < v.number {
		i++
	}
	a.versions = slices.Insert(a.versions, i, v)
	return &a.versions[i]
}

// trim limits the versions to maxRunningVersions. It forgets the oldest one beyond maxRememberedVersions if
// the next one was announced no later, so that its bound does not end before that of the next one.
func (a *AnnouncedVersions) trim() {
	for len(a.versions) > maxRememberedVersions {
		oldest, next := a.versions[0], &a.versions[1]
		hasNoInfluence := next.witnessed && oldest.witnessed && !next.witnessedDate().After(oldest.witnessedDate())
		if !hasNoInfluence && len(a.versions) <= maxRunningVersions {
			return
		}
		number, hasRecord := next.number, next.hasRecord
		*next = oldest
		next.number, next.hasRecord = number, hasRecord
		a.versions = slices.Delete(a.versions, 0, 1)
	}
}

// forget forgets the oldest versions beyond maxRememberedVersions for as long as the next one has been known
// for limit, after which its bound has ended: then the bound of an older one has no influence.
func (a *AnnouncedVersions) forget(now time.Time, limit time.Duration) {
	for len(a.versions) > maxRememberedVersions && now.Sub(a.versions[1].knownSince) >= limit {
		a.versions = slices.Delete(a.versions, 0, 1)
	}
}

// witnessedDate returns a time at which v had not been announced for longer than datingTolerance, by its witness.
func (v *announcedVersion) witnessedDate() time.Time {
	return earlier(v.knownSince, v.witnessedAt.Add(-max(v.uncertainty-datingTolerance, 0)))
}

// announcedAt returns the time that counts as the announcement of v; requests may start on
// an older version until bound after it. Without a witness it is the earlier of
// knownSince and the process's start plus peerAgeTimeout, less (bound - margin): then
// what ends margin before the bound ends peerAgeTimeout after the start of this process at
// the latest.
func (a *AnnouncedVersions) announcedAt(v announcedVersion, bound, margin time.Duration) time.Time {
	if v.witnessed {
		return v.witnessedDate()
	}
	return earlier(v.knownSince, a.started.Add(peerAgeTimeout+margin-bound))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Ages returns how long the versions have been known, in ascending order of versions. It
// includes versions known for less than limit, and always the newest one, whose age is
// capped at limit. What is older and has no influence any more is forgotten: limit must not be below the bound.
func (a *AnnouncedVersions) Ages(now time.Time, limit time.Duration) []VersionAge {
	a.forget(now, limit)
	var list []VersionAge
	for _, v := range a.versions {
		age := now.Sub(v.knownSince)
		if age >= limit && v.number != a.Newest() {
			continue
		}
		if v.witnessed {
			age = now.Sub(v.witnessedAt)
		}
		list = append(list, VersionAge{Number: v.number, Age: min(age, limit), Witnessed: v.witnessed, Uncertainty: v.uncertainty})
	}
	return list
}

// Newest returns the newest announced version; 0 if none was announced.
func (a *AnnouncedVersions) Newest() int64 {
	if len(a.versions) == 0 {
		return 0
	}
	return a.versions[len(a.versions)-1].number
}

// OldestAllowed returns the oldest version on which requests may still start: the newest
// announced version whose bound ends within margin, or 0 if there is none. A version
// announced later does not postpone the bound of an earlier one.
func (a *AnnouncedVersions) OldestAllowed(now time.Time, bound, margin time.Duration) int64 {
	oldest := int64(0)
	for _, v := range a.versions {
		if now.Sub(a.announcedAt(v, bound, margin)) >= bound-margin {
			oldest = v.number
		}
	}
	return oldest
}

// End returns when the bound of an announced version ends; ok is false if the version is not known.
func (a *AnnouncedVersions) End(number int64, bound time.Duration) (end time.Time, ok bool) {
	v := a.find(number)
	if v == nil {
		return time.Time{}, false
	}
	return a.announcedAt(*v, bound, SendMargin).Add(bound), true
}

// BehindSince returns when the oldest version above loaded was announced. An engine that
// has loaded is behind from then on, whatever was announced later. It returns the zero
// time if there is no such version.
func (a *AnnouncedVersions) BehindSince(loaded int64, bound time.Duration) time.Time {
	for _, v := range a.versions {
		if v.number > loaded {
			return a.announcedAt(v, bound, SendMargin)
		}
	}
	return time.Time{}
}
