package upgrade

import (
	"slices"
	"testing"
	"time"
)

const testBound = 8 * time.Second

// recordWitnessed applies the record of a version to a process that witnesses its
// announcement.
func recordWitnessed(a *AnnouncedVersions, now time.Time, number int64) bool {
	return a.ApplyRecord(now, number, now)
}

// recordFound applies the record of a version that a process finds when it starts.
func recordFound(a *AnnouncedVersions, now time.Time, number int64) bool {
	return a.ApplyRecord(now, number, time.Time{})
}

// A version that is announced during the rollout of the previous one must not postpone the
// time after which requests may no longer start on the version before both.
func TestNewerVersionDoesNotPostponeBound(t *testing.T) {
	const bound = 8 * time.Second
	a := NewAnnouncedVersions(start)
	recordWitnessed(a, start, 2)
	recordWitnessed(a, start.Add(7*time.Second), 3)
	for _, c := range []struct {
		after time.Duration
		want  int64
	}{
		{7 * time.Second, 0},
		{8 * time.Second, 2},
		{14 * time.Second, 2},
		{15 * time.Second, 3},
	} {
		if got := a.OldestAllowed(start.Add(c.after), bound, 0); got != c.want {
			t.Errorf("after %v: OldestAllowed() = %d, want %d", c.after, got, c.want)
		}
	}
	if a.Newest() != 3 {
		t.Errorf("Newest() = %d, want 3", a.Newest())
	}
}

func TestOlderAnnouncementsAreIgnored(t *testing.T) {
	a := NewAnnouncedVersions(start)
	if !recordWitnessed(a, start, 3) || recordWitnessed(a, start, 3) || recordWitnessed(a, start, 2) {
		t.Error("version 3 ignored, or version 3 or 2 accepted after it; want only the first accepted")
	}
	for i := int64(4); i < 40; i++ {
		recordWitnessed(a, start, i)
	}
	if len(a.versions) > maxRememberedVersions || a.OldestAllowed(start, 0, 0) != 39 {
		t.Errorf("%d versions remembered, want at most 8; OldestAllowed() = %d, want 39", len(a.versions), a.OldestAllowed(start, 0, 0))
	}
}

// Guards against requests that begin on weights that are too old (VERSION, review/7): versions were announced
// faster than eight within a bound, the oldest were forgotten while their bounds ran, and no bound ever ended.
// What is remembered stays limited, however many versions are announced.
func TestBoundsEndWhenManyVersionsFollowQuickly(t *testing.T) {
	for _, interval := range []time.Duration{800 * time.Millisecond, 600 * time.Millisecond, 20 * time.Millisecond} {
		a := NewAnnouncedVersions(start)
		const count = 600
		for i := range count {
			now := start.Add(time.Duration(i) * interval)
			number := int64(i + 2)
			recordWitnessed(a, now, number)
			a.Ages(now, reportedBounds*testBound)
			// The newest version whose bound has ended, by the times of all announcements.
			want := int64(0)
			if ended := int64((now.Sub(start) - testBound) / interval); now.Sub(start) >= testBound {
				want = ended + 2
			}
			got := a.OldestAllowed(now, testBound, 0)
			if got < want || got > number {
				t.Fatalf("one each %v, at version %d: OldestAllowed() = %d, want %d or later", interval, number, got, want)
			}
			if isExact := reportedBounds*testBound/interval < maxRunningVersions; isExact && got != want {
				t.Fatalf("one each %v, at version %d: OldestAllowed() = %d, want %d", interval, number, got, want)
			}
			if len(a.versions) > maxRunningVersions {
				t.Fatalf("%d versions remembered, want at most %d", len(a.versions), maxRunningVersions)
			}
		}
		a.Ages(start.Add(time.Hour), reportedBounds*testBound)
		if len(a.versions) > maxRememberedVersions {
			t.Errorf("%d versions remembered after an hour, want at most %d", len(a.versions), maxRememberedVersions)
		}
	}
}

// An engine that is upgraded from version 1 to 3 takes its turn before the bound of version
// 2 ends: after that requests may no longer start on it.
func TestTurnFollowsOldestMissedVersion(t *testing.T) {
	a := NewAnnouncedVersions(start)
	recordWitnessed(a, start, 2)
	recordWitnessed(a, start.Add(4*time.Second), 3)
	s := newState()
	s.Desired, s.StagedAt, s.Rank = 3, start.Add(4500*time.Millisecond), s.ZoneTargets-1
	s.BehindSince = a.BehindSince(s.Loaded, s.Bound)
	if due := s.DueAt(); due.After(start.Add(s.Bound)) {
		t.Errorf("turn starts %v after the announcement of version 2, want 8s at most", due.Sub(start))
	}
	if got := a.BehindSince(2, s.Bound); !got.Equal(start.Add(4 * time.Second)) {
		t.Errorf("BehindSince(2) = %v, want 4s after the start", got)
	}
	if !a.BehindSince(3, s.Bound).IsZero() {
		t.Error("BehindSince(3) is set although version 3 is the newest, want zero")
	}
}

// Guards against requests on too old a version: an entry that restarts during a rollout
// must use the time at which the version was announced, not the time at which it read the
// record.
func TestFoundVersionHasAgeReportedByPeers(t *testing.T) {
	soon := start.Add(100 * time.Millisecond)
	a := NewAnnouncedVersions(start)
	recordFound(a, start, 3)
	a.ApplyPeerAge(soon, VersionAge{Number: 3, Age: 7 * time.Second, Witnessed: true})
	if got := a.OldestAllowed(soon, testBound, SendMargin); got != 3 {
		t.Errorf("7 s after the announcement of version 3: OldestAllowed() = %d, want 3", got)
	}
	restarted := NewAnnouncedVersions(start)
	recordFound(restarted, start, 3)
	restarted.ApplyPeerAge(soon, VersionAge{Number: 3, Age: time.Second, Witnessed: true})
	if got := restarted.OldestAllowed(start.Add(3*time.Second), testBound, SendMargin); got != 0 {
		t.Errorf("4 s after the announcement of version 3: OldestAllowed() = %d, want 0", got)
	}
	if got := restarted.OldestAllowed(start.Add(6*time.Second), testBound, SendMargin); got != 3 {
		t.Errorf("7 s after the announcement of version 3: OldestAllowed() = %d, want 3", got)
	}
}

// When all processes start at the same time, none knows how old a version is. Once the time
// for peers to report an age has passed, requests may not start on older versions, however
// late the record was read and whatever the bound is.
func TestFoundVersionWithoutWitnessCountsAsOld(t *testing.T) {
	a := NewAnnouncedVersions(start)
	recordFound(a, start, 3)
	if got := a.OldestAllowed(start.Add(peerAgeTimeout-time.Millisecond), testBound, SendMargin); got != 0 {
		t.Errorf("before a peer could report an age: OldestAllowed() = %d, want 0", got)
	}
	for _, bound := range []time.Duration{testBound / 4, testBound, 2 * testBound} {
		if got := a.OldestAllowed(start.Add(peerAgeTimeout), bound, SendMargin); got != 3 {
			t.Errorf("without a reported age of version 3: OldestAllowed() = %d, want 3", got)
		}
	}
	late := NewAnnouncedVersions(start)
	recordFound(late, start.Add(5*time.Second), 3)
	if got := late.OldestAllowed(start.Add(5*time.Second), testBound, SendMargin); got != 3 {
		t.Errorf("record read 5 s after the start: OldestAllowed() = %d, want 3", got)
	}
}

// A process that was suspended or disconnected learns of a version late. It uses the
// announcement time of the processes that were not.
func TestEarliestReportedAnnouncementTimeWins(t *testing.T) {
	a := NewAnnouncedVersions(start)
	recordWitnessed(a, start, 2)
	if !a.ApplyPeerAge(start, VersionAge{Number: 2, Age: 5 * time.Second, Witnessed: true}) || a.ApplyPeerAge(start, VersionAge{Number: 2, Age: time.Second, Witnessed: true}) {
		t.Error("age of 5s ignored, or age of 1s accepted after it; want only the first accepted")
	}
	if got := a.BehindSince(1, testBound); !got.Equal(start.Add(-5 * time.Second)) {
		t.Errorf("BehindSince(1) = start + %v, want start - 5s", got.Sub(start))
	}
}

// A process that was suspended when a version was announced is not a witness. Until a
// witness's report arrives, the version counts as announced when the records were last read
// to their end. The suspended process's own reports do not date the version for processes
// that started afterwards.
func TestLateReaderIsNotWitness(t *testing.T) {
	now := start.Add(7 * time.Second)
	suspended := NewAnnouncedVersions(start)
	suspended.ApplyRecord(now, 3, start)
	if got := suspended.OldestAllowed(now, testBound, SendMargin); got != 3 {
		t.Errorf("version read late, no witness's report: OldestAllowed() = %d, want 3", got)
	}
	restarted := NewAnnouncedVersions(now)
	recordFound(restarted, now, 3)
	for _, age := range suspended.Ages(now, 2*testBound) {
		restarted.ApplyPeerAge(now, age)
	}
	if got := restarted.OldestAllowed(now.Add(peerAgeTimeout), testBound, SendMargin); got != 3 {
		t.Errorf("age reported by a suspended process only: OldestAllowed() = %d, want 3", got)
	}
	suspended.ApplyPeerAge(now, VersionAge{Number: 3, Age: time.Second, Witnessed: true})
	if got := suspended.OldestAllowed(now, testBound, SendMargin); got != 0 {
		t.Errorf("1 s after a witness saw the announcement of version 3: OldestAllowed() = %d, want 0", got)
	}
}

// A version is at least as old as the time for which this process has known it, whatever
// peers report.
func TestVersionIsAtLeastAsOldAsLocallyKnown(t *testing.T) {
	a := NewAnnouncedVersions(start)
	recordFound(a, start, 3)
	a.ApplyPeerAge(start.Add(5*time.Second), VersionAge{Number: 3, Age: 0, Witnessed: true})
	if got := a.BehindSince(2, testBound); !got.Equal(start) {
		t.Errorf("BehindSince(2) = %v after version 3 was found, want 0s", got.Sub(start))
	}
}

// The store retains only the newest version. Peers also report the versions in between,
// whose bounds end earlier, and versions whose records have not been read yet.
func TestPeersReportVersionsMissingFromStore(t *testing.T) {
	a := NewAnnouncedVersions(start)
	recordFound(a, start, 3)
	a.ApplyPeerAge(start, VersionAge{Number: 2, Age: 7 * time.Second, Witnessed: true})
	a.ApplyPeerAge(start, VersionAge{Number: 3, Age: time.Second, Witnessed: true})
	if got := a.OldestAllowed(start, testBound, SendMargin); got != 2 {
		t.Errorf("OldestAllowed() = %d, want 2", got)
	}
	if !a.ApplyPeerAge(start, VersionAge{Number: 4, Age: time.Second, Witnessed: true}) || a.Newest() != 4 {
		t.Error("version 4 reported by a peer is not the newest, want it applied")
	}
	if !recordFound(a, start.Add(time.Second), 4) {
		t.Error("ApplyRecord() = false for the record of a version reported by a peer, want true")
	}
	if got := a.BehindSince(3, testBound); !got.Equal(start.Add(-time.Second)) {
		t.Errorf("BehindSince(3) = start + %v, want start - 1s", got.Sub(start))
	}
}

// Ages of versions whose reporting period is over are no longer reported, except that of the
// newest: a process that was suspended for long must not take it for newly announced.
func TestAgeOfNewestVersionIsAlwaysReported(t *testing.T) {
	a := NewAnnouncedVersions(start)
	recordWitnessed(a, start, 2)
	recordWitnessed(a, start.Add(time.Second), 3)
	limit := 2 * testBound
	want := []VersionAge{{Number: 2, Age: 2 * time.Second, Witnessed: true}, {Number: 3, Age: time.Second, Witnessed: true}}
	if got := a.Ages(start.Add(2*time.Second), limit); !slices.Equal(got, want) {
		t.Errorf("Ages() after 2 s = %v, want versions 2 and 3 with their ages", got)
	}
	want = []VersionAge{{Number: 3, Age: limit, Witnessed: true}}
	if got := a.Ages(start.Add(time.Hour), limit); !slices.Equal(got, want) {
		t.Errorf("Ages() after an hour = %v, want only version 3, with the limit as its age", got)
	}
}
