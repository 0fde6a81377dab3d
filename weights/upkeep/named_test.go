package upkeep

import (
	"slices"
	"testing"
	"time"
)

// A version that is named while the one before it is under way must not put off the
// time from which the first one's predecessor may begin nothing more.
func TestANewerVersionDoesNotPutOffTheBound(t *testing.T) {
	const bound = 8 * time.Second
	var n Named
	n.Add(start, 2)
	n.Add(start.Add(7*time.Second), 3)
	for _, c := range []struct {
		after time.Duration
		want  int64
	}{
		{7 * time.Second, 0},
		{8 * time.Second, 2},
		{14 * time.Second, 2},
		{15 * time.Second, 3},
	} {
		if got := n.Least(start.Add(c.after), bound); got != c.want {
			t.Errorf("after %v: version %d, want %d", c.after, got, c.want)
		}
	}
	if n.Newest() != 3 {
		t.Errorf("newest %d", n.Newest())
	}
}

func TestOlderNamesAreIgnored(t *testing.T) {
	var n Named
	if !n.Add(start, 3) || n.Add(start, 3) || n.Add(start, 2) {
		t.Error("an older version was taken")
	}
	for i := int64(4); i < 40; i++ {
		n.Add(start, i)
	}
	if len(n.versions) > maxNamed || n.Least(start, 0) != 39 {
		t.Errorf("%d versions kept, least %d", len(n.versions), n.Least(start, 0))
	}
}

// An engine that goes from version 1 to 3 takes its turn before the bound of version 2:
// from then on it may begin nothing.
func TestATurnGoesByTheOldestVersionMissed(t *testing.T) {
	var n Named
	n.Add(start, 2)
	n.Add(start.Add(4*time.Second), 3)
	v := view()
	v.Wanted, v.StagedAt, v.Rank = 3, start.Add(4500*time.Millisecond), v.Of-1
	v.WantedAt = n.Since(v.Loaded)
	if due := v.Due(); due.After(start.Add(v.Bound)) {
		t.Errorf("its turn begins %v after version 2 was named", due.Sub(start))
	}
	if got := n.Since(2); !got.Equal(start.Add(4 * time.Second)) {
		t.Errorf("behind since %v", got)
	}
	if !n.Since(3).IsZero() {
		t.Error("behind although it holds the newest")
	}
}

// An entry that starts again while a version is under way must go by when that was named,
// not by when it read the record (VERSION on lantern-allow, incident inc1).
func TestAFoundVersionIsAsOldAsPeersTell(t *testing.T) {
	const bound = 8 * time.Second
	var n Named
	n.Find(start, 3, bound)
	n.Told(start.Add(100*time.Millisecond), 3, 7*time.Second)
	if got := n.Least(start.Add(100*time.Millisecond), bound-SendMargin); got != 3 {
		t.Errorf("7 s after version 3 was named version %d may begin", got)
	}
	var young Named
	young.Find(start, 3, bound)
	young.Told(start.Add(100*time.Millisecond), 3, time.Second)
	if got := young.Least(start.Add(3*time.Second), bound-SendMargin); got != 0 {
		t.Errorf("4 s after version 3 was named only version %d may begin", got)
	}
	if got := young.Least(start.Add(6*time.Second), bound-SendMargin); got != 3 {
		t.Errorf("7 s after version 3 was named version %d may begin", got)
	}
}

// When all processes start at once nobody knows how old a version is: after the time in
// which a peer could have told, older ones may not begin.
func TestAFoundVersionThatNobodyDatesCountsAsOld(t *testing.T) {
	const bound = 8 * time.Second
	var n Named
	n.Find(start, 3, bound)
	if got := n.Least(start.Add(datingTime-time.Millisecond), bound-SendMargin); got != 0 {
		t.Errorf("version %d may begin before a peer could tell", got)
	}
	if got := n.Least(start.Add(datingTime), bound-SendMargin); got != 3 {
		t.Errorf("version %d may begin although nobody knows the age of version 3", got)
	}
	if got := n.Recent(start, time.Hour); len(got) != 0 {
		t.Errorf("an assumed age is told: %v", got)
	}
}

// A process that stood still, or was cut off, learns of a version late and counts from
// the date of those that did not.
func TestTheEarliestDateOfAVersionHolds(t *testing.T) {
	var n Named
	n.Add(start, 2)
	if !n.Told(start, 2, 5*time.Second) || n.Told(start, 2, time.Second) {
		t.Error("a later date was taken")
	}
	if got := n.Since(1); !got.Equal(start.Add(-5 * time.Second)) {
		t.Errorf("behind since %v", got.Sub(start))
	}
}

// The store keeps only the newest version: peers also tell of the ones between, whose
// bound comes first.
func TestPeersTellOfVersionsThatTheStoreNoLongerHolds(t *testing.T) {
	const bound = 8 * time.Second
	var n Named
	n.Find(start, 3, bound)
	n.Told(start, 2, 7*time.Second)
	n.Told(start, 3, time.Second)
	if got := n.Least(start, bound-SendMargin); got != 2 {
		t.Errorf("oldest version %d, want 2", got)
	}
	if n.Told(start, 4, time.Second) || n.Newest() != 3 {
		t.Error("a version was taken in before its record")
	}
	want := []Age{{Number: 2, Age: 7 * time.Second}, {Number: 3, Age: time.Second}}
	if got := n.Recent(start, time.Hour); !slices.Equal(got, want) {
		t.Errorf("told on: %v", got)
	}
	if got := n.Recent(start, 5*time.Second); len(got) != 1 {
		t.Errorf("told on within 5 s: %v", got)
	}
}
