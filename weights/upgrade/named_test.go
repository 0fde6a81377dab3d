package upgrade

import (
	"slices"
	"testing"
	"time"
)

const testBound = 8 * time.Second

// witness records a version that a process sees named.
func witness(n *AnnouncedVersions, now time.Time, number int64) bool {
	return n.ApplyRecord(now, number, now)
}

// find records a version that a process finds at its start.
func find(n *AnnouncedVersions, now time.Time, number int64) bool {
	return n.ApplyRecord(now, number, time.Time{})
}

// A version that is named while the one before it is under way must not put off the
// time from which the first one's predecessor may begin nothing more.
func TestANewerVersionDoesNotPutOffTheBound(t *testing.T) {
	const bound = 8 * time.Second
	n := NewAnnouncedVersions(start)
	witness(n, start, 2)
	witness(n, start.Add(7*time.Second), 3)
	for _, c := range []struct {
		after time.Duration
		want  int64
	}{
		{7 * time.Second, 0},
		{8 * time.Second, 2},
		{14 * time.Second, 2},
		{15 * time.Second, 3},
	} {
		if got := n.OldestAllowed(start.Add(c.after), bound, 0); got != c.want {
			t.Errorf("after %v: version %d, want %d", c.after, got, c.want)
		}
	}
	if n.Newest() != 3 {
		t.Errorf("newest %d", n.Newest())
	}
}

func TestOlderNamesAreIgnored(t *testing.T) {
	n := NewAnnouncedVersions(start)
	if !witness(n, start, 3) || witness(n, start, 3) || witness(n, start, 2) {
		t.Error("an older version was taken")
	}
	for i := int64(4); i < 40; i++ {
		witness(n, start, i)
	}
	if len(n.versions) > maxNamed || n.OldestAllowed(start, 0, 0) != 39 {
		t.Errorf("%d versions kept, least %d", len(n.versions), n.OldestAllowed(start, 0, 0))
	}
}

// An engine that goes from version 1 to 3 takes its turn before the bound of version 2:
// from then on it may begin nothing.
func TestATurnGoesByTheOldestVersionMissed(t *testing.T) {
	n := NewAnnouncedVersions(start)
	witness(n, start, 2)
	witness(n, start.Add(4*time.Second), 3)
	v := view()
	v.Desired, v.StagedAt, v.Rank = 3, start.Add(4500*time.Millisecond), v.ZoneTargets-1
	v.BehindSince = n.BehindSince(v.Loaded, v.Bound)
	if due := v.DueAt(); due.After(start.Add(v.Bound)) {
		t.Errorf("its turn begins %v after version 2 was named", due.Sub(start))
	}
	if got := n.BehindSince(2, v.Bound); !got.Equal(start.Add(4 * time.Second)) {
		t.Errorf("behind since %v", got)
	}
	if !n.BehindSince(3, v.Bound).IsZero() {
		t.Error("behind although it holds the newest")
	}
}

// An entry that starts again while a version is under way must go by when that was named,
// not by when it read the record (VERSION on lantern-allow, incident inc1).
func TestAFoundVersionIsAsOldAsPeersTell(t *testing.T) {
	soon := start.Add(100 * time.Millisecond)
	n := NewAnnouncedVersions(start)
	find(n, start, 3)
	n.ApplyPeerAge(soon, VersionAge{Number: 3, Age: 7 * time.Second, Witnessed: true})
	if got := n.OldestAllowed(soon, testBound, SendMargin); got != 3 {
		t.Errorf("7 s after version 3 was named version %d may begin", got)
	}
	young := NewAnnouncedVersions(start)
	find(young, start, 3)
	young.ApplyPeerAge(soon, VersionAge{Number: 3, Age: time.Second, Witnessed: true})
	if got := young.OldestAllowed(start.Add(3*time.Second), testBound, SendMargin); got != 0 {
		t.Errorf("4 s after version 3 was named only version %d may begin", got)
	}
	if got := young.OldestAllowed(start.Add(6*time.Second), testBound, SendMargin); got != 3 {
		t.Errorf("7 s after version 3 was named version %d may begin", got)
	}
}

// When all processes start at once nobody knows how old a version is: after the time in
// which a peer could have told, older ones may not begin, however late the record came and
// whatever the bound is meanwhile.
func TestAFoundVersionThatNoWitnessDatesCountsAsOld(t *testing.T) {
	n := NewAnnouncedVersions(start)
	find(n, start, 3)
	if got := n.OldestAllowed(start.Add(datingTime-time.Millisecond), testBound, SendMargin); got != 0 {
		t.Errorf("version %d may begin before a peer could tell", got)
	}
	for _, bound := range []time.Duration{testBound / 4, testBound, 2 * testBound} {
		if got := n.OldestAllowed(start.Add(datingTime), bound, SendMargin); got != 3 {
			t.Errorf("version %d may begin although nobody knows the age of version 3", got)
		}
	}
	late := NewAnnouncedVersions(start)
	find(late, start.Add(5*time.Second), 3)
	if got := late.OldestAllowed(start.Add(5*time.Second), testBound, SendMargin); got != 3 {
		t.Errorf("read 5 s after the start: version %d may begin", got)
	}
}

// A process that stood still, or was cut off, learns of a version late and counts from
// the date of those that did not.
func TestTheEarliestDateOfAVersionHolds(t *testing.T) {
	n := NewAnnouncedVersions(start)
	witness(n, start, 2)
	if !n.ApplyPeerAge(start, VersionAge{Number: 2, Age: 5 * time.Second, Witnessed: true}) || n.ApplyPeerAge(start, VersionAge{Number: 2, Age: time.Second, Witnessed: true}) {
		t.Error("a later date was taken")
	}
	if got := n.BehindSince(1, testBound); !got.Equal(start.Add(-5 * time.Second)) {
		t.Errorf("behind since %v", got.Sub(start))
	}
}

// A process that stood still while a version was named is no witness: until one tells, the
// version counts as named when the records were last read to their end, and its word does
// not date the version for others that have started since.
func TestWhoLearnsOfAVersionLateIsNoWitness(t *testing.T) {
	now := start.Add(7 * time.Second)
	late := NewAnnouncedVersions(start)
	late.ApplyRecord(now, 3, start)
	if got := late.OldestAllowed(now, testBound, SendMargin); got != 3 {
		t.Errorf("version %d may begin at once on the word of the store alone", got)
	}
	young := NewAnnouncedVersions(now)
	find(young, now, 3)
	for _, age := range late.Ages(now, 2*testBound) {
		young.ApplyPeerAge(now, age)
	}
	if got := young.OldestAllowed(now.Add(datingTime), testBound, SendMargin); got != 3 {
		t.Errorf("version %d may begin on the word of a process that stood still", got)
	}
	late.ApplyPeerAge(now, VersionAge{Number: 3, Age: time.Second, Witnessed: true})
	if got := late.OldestAllowed(now, testBound, SendMargin); got != 0 {
		t.Errorf("only version %d may begin 1 s after a witness saw version 3 named", got)
	}
}

// What all have known for some time is at least that old, whoever tells otherwise.
func TestAVersionIsAtLeastAsOldAsItHasBeenKnown(t *testing.T) {
	n := NewAnnouncedVersions(start)
	find(n, start, 3)
	n.ApplyPeerAge(start.Add(5*time.Second), VersionAge{Number: 3, Age: 0, Witnessed: true})
	if got := n.BehindSince(2, testBound); !got.Equal(start) {
		t.Errorf("named %v after it was found", got.Sub(start))
	}
}

// The store keeps only the newest version: peers also tell of the ones between, whose
// bound comes first, and of those whose record is still to come.
func TestPeersTellOfVersionsThatTheStoreDoesNot(t *testing.T) {
	n := NewAnnouncedVersions(start)
	find(n, start, 3)
	n.ApplyPeerAge(start, VersionAge{Number: 2, Age: 7 * time.Second, Witnessed: true})
	n.ApplyPeerAge(start, VersionAge{Number: 3, Age: time.Second, Witnessed: true})
	if got := n.OldestAllowed(start, testBound, SendMargin); got != 2 {
		t.Errorf("oldest version %d, want 2", got)
	}
	if !n.ApplyPeerAge(start, VersionAge{Number: 4, Age: time.Second, Witnessed: true}) || n.Newest() != 4 {
		t.Error("a peer's word of a newer version was lost")
	}
	if !find(n, start.Add(time.Second), 4) {
		t.Error("the record of a version that a peer told of is no news")
	}
	if got := n.BehindSince(3, testBound); !got.Equal(start.Add(-time.Second)) {
		t.Errorf("version 4 named %v after the start", got.Sub(start))
	}
}

// The ages of versions whose bound is over are told no more, but for the newest: a process
// that stood still for long must not take it for one named just now.
func TestTheNewestVersionIsAlwaysTold(t *testing.T) {
	n := NewAnnouncedVersions(start)
	witness(n, start, 2)
	witness(n, start.Add(time.Second), 3)
	limit := 2 * testBound
	want := []VersionAge{{Number: 2, Age: 2 * time.Second, Witnessed: true}, {Number: 3, Age: time.Second, Witnessed: true}}
	if got := n.Ages(start.Add(2*time.Second), limit); !slices.Equal(got, want) {
		t.Errorf("told on: %v", got)
	}
	want = []VersionAge{{Number: 3, Age: limit, Witnessed: true}}
	if got := n.Ages(start.Add(time.Hour), limit); !slices.Equal(got, want) {
		t.Errorf("told on an hour later: %v", got)
	}
}
