package upgrade

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Guards against requests on too old a version from an entry that was suspended for two
// bounds: no peer reported to it when the version that it learned of late had been
// announced.
func TestVersionReadAfterReportingPeriodIsDated(t *testing.T) {
	const elapsed = 3 * time.Second
	peer, suspended := NewVersionTracker(start), NewVersionTracker(start)
	peer.ForModel("daka").ApplyRecord(start, 3, start)
	now := start.Add(reportedBounds*testBound + time.Second)
	suspended.ForModel("daka").ApplyRecord(now, 3, now)
	suspended.ApplyPeerAges(now, peer.Ages(now, testBound), 0)
	if got := suspended.ForModel("daka").OldestAllowed(now.Add(elapsed), testBound, SendMargin); got != 3 {
		t.Errorf("%v after the announcement of version 3: OldestAllowed() = %d, want 3", now.Add(elapsed).Sub(start), got)
	}
}

// A malformed heartbeat announces no version.
func TestVersionsBelowFirstVersionAreIgnored(t *testing.T) {
	tracker := NewVersionTracker(start)
	if changed := tracker.ApplyPeerAges(start, []contract.AnnouncedVersion{{Model: "daka"}, {Model: "daka", Version: -1}}, 0); len(changed) > 0 {
		t.Errorf("ApplyPeerAges() = %+v, want none applied", changed)
	}
	if got := tracker.ForModel("daka").Newest(); got != 0 {
		t.Errorf("Newest() = %d, want 0", got)
	}
}
