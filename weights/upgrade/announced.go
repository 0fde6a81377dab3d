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
	// witnessGapLimit is the longest time since the operators' records were last read to
	// their end for which a version in the next records still counts as announced now.
	// A read waits up to 1.5 s for a new record (operatorsPollTimeout in
	// machine/entry/direct), so this time passes also without a gap.
	witnessGapLimit = 2500 * time.Millisecond
	// propagationDelay is how long a record takes to reach all processes. Smaller
	// differences between reported times carry no information.
	propagationDelay = 250 * time.Millisecond
)

// AnnouncedVersions records which versions of a model operators have announced, and when.
//
// The store does not record when a version was announced. A process that reads the
// operators' records without a gap sees the announcement as it happens: it is a witness.
// Other processes learn of it late, because they started afterwards, were suspended or
// were disconnected. Their peers report to them how long the version has been known, and
// whether a witness dated it. Until a witness's report arrives, the earliest possible time
// counts as the time of the announcement.
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
	// version. witnessed means that this is when the version was announced.
	knownSince time.Time
	witnessed  bool
	// absentAt is a time at which the version had not been announced yet; zero if none is
	// known.
	absentAt time.Time
	// hasRecord reports whether this process has read the record of the version.
	hasRecord bool
}

// VersionAge is the time that has passed since a version was announced, at least.
type VersionAge struct {
	Number int64
	Age    time.Duration
	// Witnessed reports whether a witness dated the version, so that no more than Age has
	// passed, unless Ages capped it.
	Witnessed bool
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
		v.witnessed = now.Sub(caughtUpAt) <= witnessGapLimit
		v.absentAt = caughtUpAt
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
	known := a.find(reported.Number)
	changed := known == nil || reported.Witnessed && !known.witnessed || known.knownSince.Sub(knownSince) >= propagationDelay
	a.merge(announcedVersion{number: reported.Number, knownSince: knownSince, witnessed: reported.Witnessed})
	a.trim()
	return changed
}

// merge combines v with what is known of the same version and returns the result. The
// earlier knownSince and the first known absentAt are kept; the version is witnessed if
// either is. The pointer is valid until the next insert or trim.
func (a *AnnouncedVersions) merge(v announcedVersion) *announcedVersion {
	known := a.find(v.number)
	if known == nil {
		return a.insert(v)
	}
	if v.knownSince.Before(known.knownSince) {
		known.knownSince = v.knownSince
	}
	known.witnessed = known.witnessed || v.witnessed
	if known.absentAt.IsZero() {
		known.absentAt = v.absentAt
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
		hasNoInfluence := next.witnessed && oldest.witnessed && !next.knownSince.After(oldest.knownSince)
		if !hasNoInfluence && len(a.versions) <= maxRunningVersions {
			return
		}
		next.knownSince, next.witnessed, next.absentAt = oldest.knownSince, oldest.witnessed, oldest.absentAt
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

// announcedAt returns the time that counts as the announcement of v; requests may start on
// an older version until bound after it. If a witness has dated v, it is knownSince.
// Otherwise it is the earlier of knownSince and absentAt or, if absentAt is not known, of
// knownSince and the process's start plus peerAgeTimeout, less (bound - margin): then
// what ends margin before the bound ends peerAgeTimeout after the start of this process at
// the latest.
func (a *AnnouncedVersions) announcedAt(v announcedVersion, bound, margin time.Duration) time.Time {
	switch {
	case v.witnessed:
		return v.knownSince
	case !v.absentAt.IsZero():
		return earlier(v.knownSince, v.absentAt)
	default:
		return earlier(v.knownSince, a.started.Add(peerAgeTimeout+margin-bound))
	}
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
		if age < limit || v.number == a.Newest() {
			list = append(list, VersionAge{Number: v.number, Age: min(age, limit), Witnessed: v.witnessed})
		}
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
