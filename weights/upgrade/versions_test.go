package upgrade

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Guards against VERSION by an entry that stood still, or was suspended, for two bounds:
// nobody told it since when the version that it learned of late had been named.
func TestAVersionThatWasLearnedOfVeryLateIsDatedAsWell(t *testing.T) {
	const stable = 3 * time.Second
	peer, late := NewVersionTracker(start), NewVersionTracker(start)
	peer.ForModel("daka").ApplyRecord(start, 3, start)
	now := start.Add(toldBounds*testBound + time.Second)
	late.ForModel("daka").ApplyRecord(now, 3, now)
	late.ApplyPeerAges(now, peer.Ages(now, testBound))
	if got := late.ForModel("daka").OldestAllowed(now.Add(stable), testBound, SendMargin); got != 3 {
		t.Errorf("%v after version 3 was named version %d may begin", now.Add(stable).Sub(start), got)
	}
}

// A malformed heartbeat names no version.
func TestVersionsBelowTheFirstAreIgnored(t *testing.T) {
	v := NewVersionTracker(start)
	if news := v.ApplyPeerAges(start, []contract.NamedVersion{{Model: "daka"}, {Model: "daka", Version: -1}}); len(news) > 0 {
		t.Errorf("taken in: %+v", news)
	}
	if got := v.ForModel("daka").Newest(); got != 0 {
		t.Errorf("newest version %d", got)
	}
}
